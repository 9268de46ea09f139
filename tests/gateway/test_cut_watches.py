"""Tests of a gateway whose waiting watches of the store are cut."""

import trio
from support.gateway_harness import GatewayHarness

from wagtailbay.clock import boottime_s

# Far below the drain time, for which a removed target may still get requests.
NOTICED_S = 1.0
ROUNDS = 3


class TestCutWatches:
    """A cut watch is no outage of the store, in which entries of targets may lapse."""

    async def test_target_removed_right_after_the_cut_gets_no_requests(self, nursery):
        """Guards against requests later than the drain time to a target that is gone.

        Its removal counted as a lapse during an outage, after which a target stays in use.
        """
        harness = GatewayHarness()
        await harness.start(nursery)
        for _ in range(ROUNDS):
            fields = harness.api.table.objects["servers/t2"][1]
            harness.api.cut_watches()
            await trio.sleep(0.01)
            harness.api.remove("servers", "t2")
            with trio.fail_after(NOTICED_S):
                while "t2" in usable_targets(harness):
                    await trio.sleep(0.01)
            harness.api.put_fields("servers", "t2", fields)
            with trio.fail_after(NOTICED_S):
                while "t2" not in usable_targets(harness):
                    await trio.sleep(0.01)


def usable_targets(harness: GatewayHarness) -> set[str]:
    """Return the names of the targets that get requests."""
    usable = harness.node.registry.usable("records", boottime_s())
    return {target.entry.target for target in usable}
