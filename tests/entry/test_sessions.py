"""Snapshot tests of the bytes that callers receive."""

import re
from functools import partial

import pytest
import trio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from test_forward import SHED, TRUNCATED, respond_and_close

from wagtailbay.quarantine import request_fingerprint
from wagtailbay_bench.rig import AUTH, Rig, get, post

VARIABLE_PATTERNS = [
    (rb"[0-9a-f]{32}", b"<id>"),
    (rb"127\.0\.0\.1:\d+", b"<address>"),
]
SESSIONS = {
    "good": [get("/records/thesis/1?page=2")],
    "open": [get("/records/open/1", headers="")],
    "head": [get("/records/thesis/1").replace(b"GET", b"HEAD")],
    "pipelined": [get("/records/1", close=False) + get("/records/2")],
    "deposit_twice": [post("/records/deposits/1", "key-1")] * 2,
    "deposit_other_body": [
        post("/records/deposits/1", "key-1"),
        post("/records/deposits/1", "key-1", b"another"),
    ],
    "deposit_without_key": [post("/records/deposits/1", "")],
    "key_missing": [get("/records/1", headers="")],
    "key_unknown": [get("/records/1", headers="Authorization: Bearer wrong\r\n")],
    "key_exposed": [get("/records/1?k=unam-key-0123456789")],
    "service_unknown": [get("/nothing/1")],
    "bad_timeout": [get("/records/1", headers=AUTH + "Request-Timeout-Ms: soon\r\n")],
    "dot_segments": [get("/records/../1")],
    "absolute_form": [get("http://records/1")],
    "repeated_key": [get("/records/1", headers=AUTH + AUTH)],
    "both_lengths": [
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    ],
    "not_http": [b"\x16\x03\x01\x00\r\n\r\n"],
    "ready": [get("/-/ready", headers="")],
    "own_path_unknown": [get("/-/nothing", headers="")],
}
TARGET_RESPONSES = {
    "truncated": TRUNCATED,
    "shed": SHED,
    "no_length": b"HTTP/1.1 200 OK\r\n\r\nended by close",
    "not_modified": b"HTTP/1.1 304 Not Modified\r\nETag: x\r\n\r\n",
    "own_headers": b"HTTP/1.1 200 OK\r\nWagtailbay-Run: not-run\r\nContent-Length: 2\r\n\r\nok",
    "trailers": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n",
}


def normalize(data: bytes) -> bytes:
    """Replace the parts that differ between runs."""
    for pattern, text in VARIABLE_PATTERNS:
        data = re.sub(pattern, text, data)
    return data


class TestSessions:
    """Bytes sent to callers match the snapshots."""

    @pytest.mark.parametrize("name", SESSIONS)
    async def test_session(self, nursery, name: str, snapshot) -> None:
        """Guards against unintended changes of responses and refusals."""
        rig = Rig(nursery)
        await rig.add_target("t0")
        vm = await rig.add_vm()
        received = [normalize(await vm.session(data)) for data in SESSIONS[name]]
        assert received == snapshot

    @pytest.mark.parametrize("name", TARGET_RESPONSES)
    async def test_target_response(self, nursery, name: str, snapshot) -> None:
        """Guards against unintended changes in how target responses are forwarded."""
        rig = Rig(nursery)
        await rig.add_raw_target("t0", partial(respond_and_close, TARGET_RESPONSES[name]))
        vm = await rig.add_vm()
        assert normalize(await vm.session(get("/records/1"))) == snapshot

    @pytest.mark.parametrize("name", ["store_down", "unreachable", "quarantined", "frozen"])
    async def test_refusal(self, nursery, name: str, snapshot) -> None:
        """Guards against unintended changes of refusals that are caused by failures."""
        rig = Rig(nursery, idle_timeout_ms=50)
        data = get("/records/1")
        if name == "unreachable":
            rig.register_target("t0", "127.0.0.1:1")
        else:
            await rig.add_target("t0")
        vm = await rig.add_vm()
        if name == "store_down":
            rig.store.outage, data = True, post("/records/deposits/1", "key-1")
        elif name == "frozen":
            rig.update_behaviour("t0", frozen_answers=True)
        elif name == "quarantined":
            fingerprint = request_fingerprint("unam", "GET", "/records/1", b"")
            for target in ("t0", "t1"):
                vm.forwarder.crashes.record_crash(fingerprint, target, "", trio.current_time())
        assert normalize(await vm.session(data)) == snapshot


class TestRandomInput:
    """Arbitrary input from a caller does not stop the VM."""

    @settings(
        derandomize=True,
        max_examples=60,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        st.binary(max_size=100)
        | st.builds(
            lambda path, name, value: (
                b"GET /"
                + path
                + b" HTTP/1.1\r\nHost: x\r\n"
                + AUTH.encode()
                + name
                + b": "
                + value
                + b"\r\nConnection: close\r\n\r\n"
            ),
            st.binary(max_size=20).map(lambda b: b"records/" + b)
            | st.sampled_from([b"-/locate?client=%", b"-/locate?client=::", b"-/%", b"records?%"]),
            st.sampled_from(
                [b"X", b"Idempotency-Key", b"Request-Timeout-Ms", b"Connection", b"TE"]
            ),
            st.binary(max_size=20),
        )
    )
    def test_next_good_request_is_answered(self, data: bytes) -> None:
        """Guards against random bytes that crash or hang the VM."""

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                rig = Rig(nursery)
                await rig.add_target("t0")
                vm = await rig.add_vm()
                await vm.session(data, wait_s=0.02)
                assert (await vm.session(get("/records/1")))[9:12] == b"200"
                nursery.cancel_scope.cancel()

        trio.run(run)
