"""Tests of entry VMs whose targets send foreign, endless or truncated answers."""

import json
import time
from contextlib import suppress

import pytest
import trio
from support.raw_target import RawExchange, RawTarget, repeat_late

from wagtailbay.entry import attempt
from wagtailbay_bench.rig import Rig, RigVm, get, post
from wagtailbay_standins.target import Behaviour

CHUNK = "x" * 16_384
MAX_RESPONSE_BYTES = 1_048_576
ENDLESS = {
    "head": ("HTTP/1.1 200 OK\r\nX-Odd: ", CHUNK),
    "no_protocol": ("", CHUNK),
    "informational": ("", "HTTP/1.1 100 Continue\r\n\r\n" * 500),
    "until_close": ("HTTP/1.1 200 OK\r\n\r\n", CHUNK),
    "chunks": ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", f"4000\r\n{CHUNK}\r\n"),
    "other_request": (
        "HTTP/1.1 200 OK\r\nWagtailbay-Request-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
        f"4000\r\n{CHUNK}\r\n",
    ),
    "shed": (
        "HTTP/1.1 503 x\r\nWagtailbay-Run: not-run\r\nTransfer-Encoding: chunked\r\n\r\n",
        f"4000\r\n{CHUNK}\r\n",
    ),
}


async def start_vm(
    nursery: trio.Nursery, target: RawTarget, names: tuple[str, ...] = ("t0",)
) -> RigVm:
    """Return an entry VM with one raw target, registered under each of the names."""
    rig = Rig(nursery)
    host, port = await nursery.start(target.serve)
    for name in names:
        rig.register_target(name, f"{host}:{port}")
    return await rig.add_vm()


def answer_text(exchange: RawExchange) -> str:
    """Return an answer that holds the request's path and echoes its ID."""
    path = exchange.head.split(" ")[1]
    return (
        f"HTTP/1.1 200 OK\r\nWagtailbay-Request-Id: {exchange.request_id}\r\n"
        f"Content-Length: {len(path)}\r\n\r\n{path}"
    )


class TestForeignAnswers:
    """An answer to another request never reaches the caller."""

    async def test_late_second_copy_is_not_the_answer_of_the_next_caller(self, nursery) -> None:
        """Guards against a copy that arrives when its connection is in use again."""
        previous: list[str] = []

        async def answer_twice(exchange: RawExchange) -> None:
            own = answer_text(exchange)
            await exchange.send(*previous, own)
            previous[:] = [own]

        vm = await start_vm(nursery, RawTarget(answer_twice))
        for number in range(6):
            response = await vm.session(get(f"/records/{number}"))
            assert response.startswith(b"HTTP/1.1 200")
            assert response.endswith(f"/{number}".encode())

    # Guards against issue 34: nothing in such an answer tells it from the one that is due.
    async def test_late_second_copy_without_an_id(self, nursery) -> None:
        """Guards against the answer to another caller, from a target that echoes no ID."""

        def answer_without_id(exchange: RawExchange) -> str:
            path = exchange.head.split(" ")[1]
            return f"HTTP/1.1 200 OK\r\nContent-Length: {len(path)}\r\n\r\n{path}"

        vm = await start_vm(nursery, RawTarget(repeat_late(answer_without_id)))
        for number in range(6):
            response = await vm.session(get(f"/records/{number}"))
            assert response.endswith(f"/{number}".encode())


class TestCopiesOfRefusals:
    """A copy of a refusal is no answer to the same request when it is sent once more."""

    # Guards against issue 34: a refusal of the first try, taken for the answer to the second one.
    async def test_address_with_two_registrations(self, nursery) -> None:
        """Guards against telling a caller that a request has not run although it does."""
        first_exchanges: dict[str, RawExchange] = {}
        returned: list[str] = []

        def refusal_text(exchange: RawExchange) -> str:
            return (
                f"HTTP/1.1 503 Busy\r\nWagtailbay-Request-Id: {exchange.request_id}\r\n"
                "Wagtailbay-Run: not-run\r\nContent-Length: 0\r\n\r\n"
            )

        async def refuse_once(exchange: RawExchange) -> None:
            first = first_exchanges.setdefault(exchange.request_id, exchange)
            if first is exchange:
                await exchange.send(refusal_text(exchange))
                return
            returned.append(exchange.request_id)
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await first.send(refusal_text(first))
            await trio.sleep(0.05)
            await exchange.send(answer_text(exchange))

        vm = await start_vm(nursery, RawTarget(refuse_once), ("t0", "t1"))
        statuses = [(await vm.session(get(f"/records/{number}")))[9:12] for number in range(6)]
        assert len(returned) > 0
        assert statuses.count(b"200") == len(returned)

    async def test_concurrent_refusals_are_true(self, nursery) -> None:
        """Guards against a caller that is told "not run" while a busy target repeats refusals."""
        rig = Rig(nursery)
        busy = Behaviour(slots=1, queue=0, service_time_ms=10, repeat_refusal_after_ms=20)
        standin = await rig.add_target("t0", busy)
        rig.register_target("t1", rig.targets["t0"].address)
        vm = await rig.add_vm()
        false_refusals: list[str] = []

        async def send_requests(caller: int) -> None:
            for number in range(20):
                trace = f"{caller}-{number}"
                request = get(f"/records/{trace}").replace(
                    b"\r\n\r\n", f"\r\nX-Trace: {trace}\r\n\r\n".encode(), 1
                )
                response = await vm.session(request)
                ran = any(run.trace == trace for run in standin.history)
                if b"Wagtailbay-Run: not-run" in response and ran:
                    false_refusals.append(trace)

        async with trio.open_nursery() as callers:
            for caller in range(6):
                callers.start_soon(send_requests, caller)
        assert standin.shed > 0
        assert false_refusals == []


class TestEndlessAnswers:
    """An answer that never ends is cut at a limit in bytes, long before the deadline."""

    @pytest.mark.parametrize("parts", ENDLESS.values(), ids=ENDLESS.keys())
    async def test_endless_answer_is_no_success(self, nursery, monkeypatch, parts) -> None:
        """Guards against a VM that reads without end, or a part that is taken for the whole."""
        monkeypatch.setattr(attempt, "MAX_RESPONSE_BODY_BYTES", MAX_RESPONSE_BYTES)

        async def answer(exchange: RawExchange) -> None:
            await exchange.send_without_end(*parts)

        target = RawTarget(answer)
        vm = await start_vm(nursery, target)
        started_s = time.monotonic()
        response = await vm.session(get("/records/x"))
        assert len(response) < 2 * MAX_RESPONSE_BYTES
        assert time.monotonic() - started_s < 15
        if response.startswith(b"HTTP/1.1 200"):
            assert not response.endswith(b"0\r\n\r\n")
        with trio.fail_after(30):
            while target.open_connections:
                await trio.sleep(0.01)


class TestLostAnswers:
    """A request whose answer was lost is neither run again nor said not to have run."""

    async def test_deposit_with_a_lost_answer_runs_once(self, nursery) -> None:
        """Guards against a second deposit, and against a refusal that claims that none ran."""

        async def lose(exchange: RawExchange) -> None:
            await exchange.stream.aclose()

        target = RawTarget(lose)
        vm = await start_vm(nursery, target)
        response = await vm.session(post("/records/deposits/1", "key-1"))
        assert response[9:12] == b"502"
        error = json.loads(response.partition(b"\r\n\r\n")[2])["error"]
        assert error["run"] == "unknown"
        assert len(target.exchanges) == 1
