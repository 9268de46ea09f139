"""Test with gateway processes that crash counts outlive a kill of all of them."""

import trio
from attrs import define

from wagtailbay.transport import HttpServer, Reply, Request, fetch
from wagtailbay_bench.processes import ProcessGroup
from wagtailbay_bench.soak.const import HOST
from wagtailbay_bench.soak.documents import SoakRoute, build_config, build_registration
from wagtailbay_bench.soak.models import History
from wagtailbay_bench.soak.vms import SoakVm
from wagtailbay_standins.objects import ObjectApiStandin

ZONE = "r1-z1"
CRASH_PATH = "/deposit/crash"
# A request may crash this many targets; the third is allowed, since VMs learn of a crash late.
MAX_CRASHES = 3
RUNS = 3
REQUESTS_PER_RUN = 3
DOWN_S = 0.5


@define
class FragileTarget:
    """Target that ends when it begins to run one request, and is back after DOWN_S."""

    crashes: int = 0
    scope: trio.CancelScope | None = None

    async def handle(self, request: Request, reply: Reply) -> None:
        """Respond, or end the whole target."""
        if request.path == CRASH_PATH:
            self.crashes += 1
            self.scope.cancel()
            await trio.sleep_forever()
        headers = (("Request-Id", request.header("Request-Id") or ""), ("Response-Seal", "s"))
        await reply.send_response(200, headers, b"ok")

    async def run(self, *, task_status: trio.TaskStatus) -> None:
        """Serve until cancelled, on one address; report it once started."""
        address = ("127.0.0.1", 0)
        while True:
            with trio.CancelScope() as self.scope:
                async with trio.open_nursery() as nursery:
                    address = await nursery.start(HttpServer(self.handle).serve, address)
                    task_status.started(address)
                    task_status = trio.TASK_STATUS_IGNORED
            await trio.sleep(DOWN_S)


async def send(vm: SoakVm, path: str, request_id: str) -> int | None:
    """Send a deposit and return the status, None without an answer."""
    headers = (("Request-Id", request_id), ("Deadline-Ms", "3000"))
    request = Request("POST", path, headers, b"a record", host=HOST)
    fetched = await fetch(vm.front, request, 3_000)
    return fetched.ok_value.status if fetched.is_ok() else None


class TestRestartOfAllVms:
    """A request that crashes targets stays refused after all VMs were killed."""

    async def test_crashing_request_is_not_let_through_after_each_kill(self) -> None:
        """Guards against two more crashes after each kill of all VMs, with the deposits there."""
        api = ObjectApiStandin()
        routes = [SoakRoute("deposit", "/deposit/", "records", False, "2s")]
        api.put_spec("config", "main", build_config("00000007", routes))
        targets = [FragileTarget() for _ in range(4)]
        with ProcessGroup() as group:
            async with trio.open_nursery() as nursery:
                store_address = await nursery.start(api.serve)
                for number, target in enumerate(targets):
                    host, port = await nursery.start(target.run)
                    fields = build_registration(f"{host}:{port}", ZONE)
                    api.put_fields("servers", f"t{number}", fields)
                vms = [
                    SoakVm(f"127.5.0.{number}", ZONE, group, History(), store_address)
                    for number in range(1, 4)
                ]
                for vm in vms:
                    vm.seeds = [other.peer for other in vms]
                    vm.start(first_start=True)
                for run in range(RUNS):
                    for vm in vms:
                        await vm.wait_ready()
                    await trio.sleep(1.0)
                    for number in range(REQUESTS_PER_RUN):
                        vm = vms[number % len(vms)]
                        await send(vm, CRASH_PATH, f"crash-{run}-{number}")
                        await trio.sleep(2 * DOWN_S)
                    assert await send(vms[0], "/deposit/sound", f"sound-{run}") == 200
                    for vm in vms:
                        vm.program.kill()
                    for vm in vms:
                        vm.start(first_start=False)
                nursery.cancel_scope.cancel()
        crashes = sum(target.crashes for target in targets)
        assert 2 <= crashes <= MAX_CRASHES
