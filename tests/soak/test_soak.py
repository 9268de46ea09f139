"""Short seeded soaks of real gateway processes, and tests that their checks can fail."""

import pytest
from attrs import evolve

from wagtailbay_bench.soak.checks import find_violations
from wagtailbay_bench.soak.models import (
    Exchange,
    FollowedChange,
    History,
    ReturnedRequest,
    Run,
    Signal,
    SoakSize,
)
from wagtailbay_bench.soak.regressions import DRILL_SIZE, RESTART_SIZE, SITE_SIZE
from wagtailbay_bench.soak.scenario import record_history

SIZE = SoakSize(duration_s=12.0)
CHANGE_SIZE = SoakSize(
    vms=4,
    targets=12,
    callers=24,
    duration_s=24.0,
    is_site=True,
    disturbances=("restore_store_and_change",),
)
SOUND = Exchange("c0-1", False, "vm-1", 10.0, 10.5, 200, "t1.c0-1/200", b"c0-1 t1")
RUN = Run("c0-1", "t1", 10.1)


def find_rules(history: History) -> list[str]:
    """Return the rules that a history breaks."""
    return [violation.rule for violation in find_violations(history)]


class TestSeededSoak:
    """Callers are told the truth while targets, links and processes misbehave."""

    @pytest.mark.parametrize("seed", [1, 2, 3, 6])
    async def test_no_promise_is_broken(self, seed):
        """Guards against the faults of issue 28, which these seeds found.

        1: REFUSED and TWICE, 503 and 429 for deposits that ran. 2: REFUSED, 408 and 503. 3: LOST, a
        second SIGTERM. 6: LOST, a request that was complete only late in the grace.
        """
        history = await record_history(seed, SIZE)
        assert find_violations(history) == [], f"seed={seed} faults={history.faults}"
        assert sum(exchange.status == 200 for exchange in history.exchanges) > 50


class TestSeededSite:
    """Callers are told the truth while a whole site changes."""

    @pytest.mark.parametrize("seed", [100, 101])
    async def test_no_promise_is_broken(self, seed):
        """Guards against the faults of issue 31; both seeds found MIXED before.

        A status line that broke off was continued by the next answer, or a success had no seal.
        """
        history = await record_history(seed, evolve(SITE_SIZE, duration_s=15.0))
        assert find_violations(history) == [], f"seed={seed} faults={history.faults}"
        assert sum(exchange.status == 200 for exchange in history.exchanges) > 50


class TestSeededRestarts:
    """Callers are told the truth while targets restart at addresses with an older entry."""

    async def test_no_promise_is_broken(self):
        """Guards against the fault of issue 34, which both seeds found: REFUSED.

        A copy of the 421 to the first try of a deposit was taken for the answer to the second one.
        """
        returned: list[ReturnedRequest] = []
        for seed in (341, 342):
            size = evolve(RESTART_SIZE, duration_s=12.0)
            history = await record_history(seed, size, ("answer_in_pieces",))
            assert find_violations(history) == [], f"seed={seed} faults={history.faults}"
            returned += history.returned
        assert len(returned) > 0, "the condition was never met"
        assert not any(request.same_connection for request in returned)


class TestSeededDrills:
    """Callers are told the truth while the store comes back from older copies."""

    async def test_no_promise_is_broken(self):
        """Guards against requests that run twice, or a process that ends, after a drill."""
        history = await record_history(500, evolve(DRILL_SIZE, duration_s=15.0))
        assert find_violations(history) == [], f"faults={history.faults}"
        assert sum(drill.lost_objects for drill in history.drills) > 0, "nothing was lost"
        assert sum(drill.reissued_revisions for drill in history.drills) > 0
        assert sum(exchange.status == 200 for exchange in history.exchanges) > 50


class TestSeededDrillsWithChanges:
    """VMs follow the store after it came back from older copies, one drill or several in a row."""

    async def test_changes_take_effect(self):
        """Guards against the fault of issue 41, which this seed found at 3fcfef8: CONFIG, DRAIN.

        Changes were ignored while revisions stayed below those known before.
        """
        history = await record_history(50001, CHANGE_SIZE)
        assert find_violations(history) == [], f"faults={history.faults}"
        assert len(history.changes) >= 2, "no change was made"
        assert sum(drill.lost_objects for drill in history.drills) > 0, "nothing was lost"
        assert max(drill.reissued_revisions for drill in history.drills) > 100
        assert any(exchange.status == 401 for exchange in history.exchanges)


class TestChecks:
    """Each check finds a history that breaks its promise."""

    def test_sound_history_has_no_violation(self):
        """Guards against checks that always fail."""
        assert find_rules(History(exchanges=[SOUND], runs=[RUN])) == []

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_refused_request_that_ran(self, status):
        """Guards against missing a promise that is not true."""
        refused = evolve(SOUND, status=status, seal="", body=b"")
        assert find_rules(History(exchanges=[refused], runs=[RUN])) == ["REFUSED"]
        assert find_rules(History(exchanges=[refused])) == []

    def test_deposit_that_ran_twice(self):
        """Guards against missing a second run."""
        runs = [RUN, evolve(RUN, target="t2")]
        assert find_rules(History(exchanges=[SOUND], runs=runs)) == ["TWICE"]
        read = evolve(SOUND, idempotent=True)
        assert find_rules(History(exchanges=[read], runs=runs)) == []

    def test_answer_of_another_request(self):
        """Guards against missing a foreign or changed answer."""
        foreign = evolve(SOUND, body=b"c0-10 t1")
        assert find_rules(History(exchanges=[foreign], runs=[RUN])) == ["MIXED"]
        changed = evolve(SOUND, status=502)
        assert find_rules(History(exchanges=[changed], runs=[RUN])) == ["MIXED"]

    @pytest.mark.parametrize(("sent_s", "rules"), [(12.4, []), (12.6, ["CONFIG"]), (17.0, [])])
    def test_request_with_a_withdrawn_key(self, sent_s, rules):
        """Guards against missing a key in use too late; later on it is valid again."""
        change = FollowedChange("key", "key-1", 10.0, 16.0)
        late = evolve(SOUND, sent_s=sent_s, key="key-1")
        assert find_rules(History(exchanges=[late], runs=[RUN], changes=[change])) == rules
        assert find_rules(History(exchanges=[late], changes=[change])) == []

    @pytest.mark.parametrize(("arrived_s", "rules"), [(12.4, []), (12.6, ["DRAIN"])])
    def test_request_at_a_removed_target(self, arrived_s, rules):
        """Guards against missing a target in use too late."""
        change = FollowedChange("target", "t1", 10.0, 16.0)
        run = evolve(RUN, arrived_s=arrived_s)
        assert find_rules(History(exchanges=[SOUND], runs=[run], changes=[change])) == rules

    def test_process_that_ended_or_grew(self):
        """Guards against missing a process that ends by itself or uses too much memory."""
        ended = Signal("vm-1", "ended with status 1", 3.0)
        assert find_rules(History(signals=[ended])) == ["ENDED"]
        assert find_rules(History(peak_resident_mb={"vm-1": 250.0})) == ["MEMORY"]

    @pytest.mark.parametrize(
        ("sent_s", "cut_s", "rules"),
        [(8.0, 9.0, ["LOST"]), (12.0, 12.4, ["LOST"]), (9.0, 12.8, []), (11.5, 12.8, ["LOST"])],
    )
    def test_request_that_a_planned_stop_cut(self, sent_s, cut_s, rules):
        """Guards against missing a cut request; long ones that came early may be cut at the end."""
        cut = evolve(SOUND, sent_s=sent_s, ended_s=cut_s, status=None, body=b"", seal="")
        stop = Signal("vm-1", "SIGTERM", 7.0)
        history = History(planned_only=True, exchanges=[cut], runs=[RUN], signals=[stop])
        assert find_rules(history) == rules
        assert find_rules(History(exchanges=[cut], runs=[RUN], signals=[stop])) == []
