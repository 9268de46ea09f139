"""Test calls between two VMs over real gRPC connections on loopback."""

import json
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
import trio
import trustme
from attrs import evolve
from membership.factories import CODEC, exchanger
from result import Err, Ok

from wagtailbay.clock import boottime_s
from wagtailbay.membership import Exchanger, PeerClient, PeerFailure, PeerLoop, PeerServer
from wagtailbay.membership.const import CERTIFICATE_NAME
from wagtailbay.membership.credentials import CertificateReload, CertificateSource
from wagtailbay.membership.loans import LoanGrant, LoanRequest
from wagtailbay.membership.settings import PeerSettings, certificate_source
from wagtailbay.settings.checks import split_address
from wagtailbay.store import StoredObject
from wagtailbay_bench.processes import free_address

LOAN = LoanRequest("a", 1, "workspace:records/unam", 10_000, 2_000)


def write_certificates(authority: trustme.CA, folder: Path) -> CertificateSource:
    """Write a VM's files as an operator would replace them."""
    issued = authority.issue_cert(CERTIFICATE_NAME)
    paths = [folder / name for name in ("certificate", "key", "authority")]
    for path, blob in zip(
        paths, (issued.cert_chain_pems[0], issued.private_key_pem, authority.cert_pem), strict=True
    ):
        path.with_suffix(".new").write_bytes(blob.bytes())
        os.replace(path.with_suffix(".new"), path)
    return CertificateSource(*map(str, paths))


@asynccontextmanager
async def serving(
    source: CertificateSource | None = None, **values: object
) -> AsyncIterator[tuple[Exchanger, str]]:
    """Serve VM b and give its exchanger and address."""
    address, callee = free_address("127.0.0.9"), exchanger("b")
    server = PeerServer(callee, CODEC, boottime_s, source, **values)
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve, address)
        yield callee, address
        nursery.cancel_scope.cancel()


def loop_to(address: str, source: CertificateSource | None = None) -> PeerLoop:
    """Return VM a's loop to VM b."""
    client = PeerClient(lambda vm: address, source)
    return PeerLoop("b", exchanger("a"), client, CODEC, boottime_s)


class TestPeerLoop:
    """Peers exchange messages at once after an urgent change and once a second otherwise."""

    async def test_an_urgent_change_does_not_wait_for_the_heartbeat(self) -> None:
        """Guards against a stop that reaches the peers only after a second."""
        async with serving() as (callee, address), trio.open_nursery() as nursery:
            loop = loop_to(address)
            nursery.start_soon(loop.run)
            with trio.fail_after(5):
                while "a" not in callee.roster.members:
                    await trio.sleep(0.01)
            before_s, calls = trio.current_time(), 0
            while trio.current_time() < before_s + 0.5:
                loop.urgent.set()
                direct_contact_s = callee.roster.members["a"].direct_contact_s
                await trio.sleep(0.01)
                calls += callee.roster.members["a"].direct_contact_s != direct_contact_s
            assert 2 <= calls <= 6
            nursery.cancel_scope.cancel()

    async def test_malformed_calls_are_refused_and_later_ones_served(self) -> None:
        """Guards against a peer message that ends the process or blocks the server."""
        async with serving() as (callee, address):
            loop = loop_to(address)
            for data in (b"", b"\xff" * 50, os.urandom(10_000)):
                answer = await loop.client.exchange("b", data)
                assert answer.err_value.kind is PeerFailure.REFUSED
            await loop.exchange()
            assert loop.error is None
            assert "a" in callee.roster.members

    async def test_a_peer_at_a_wrong_address_is_not_taken_for_another(self) -> None:
        """Guards against an address reused by another VM."""
        async with serving() as (_, address):
            loop = evolve(loop_to(address), vm="c")
            await loop.exchange()
            assert loop.error.kind is PeerFailure.MALFORMED
            assert "b" not in loop.exchanger.roster.members


class CountingRelay:
    """Pass bytes to an address and count those of the requests."""

    def __init__(self, address: str) -> None:
        self.address, self.passed_bytes = split_address(address), 0

    async def serve(self, near: trio.SocketStream) -> None:
        """Carry one connection."""
        far = await trio.open_tcp_stream(*self.address)
        async with far, trio.open_nursery() as nursery:
            nursery.start_soon(self._answers, far, near)
            async for data in near:
                self.passed_bytes += len(data)
                await far.send_all(data)
            nursery.cancel_scope.cancel()

    @staticmethod
    async def _answers(far: trio.SocketStream, near: trio.SocketStream) -> None:
        async for data in far:
            await near.send_all(data)


class TestCompression:
    """Messages are compressed, since bytes between availability zones are paid for."""

    async def test_a_configuration_takes_a_fraction_of_its_size(self) -> None:
        """Guards against a document of the fleet sent to every VM at its full size."""
        routes = [{"name": f"route-{n}", "timeout": "1500ms", "kind": "safe"} for n in range(200)]
        value = {"routes": routes}
        async with serving() as (callee, address), trio.open_nursery() as nursery:
            relay = CountingRelay(address)
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.9")
            nursery.start_soon(trio.serve_listeners, relay.serve, [listener])
            host, port = listener.socket.getsockname()[:2]
            loop = loop_to(f"{host}:{port}")
            loop.exchanger.replica.apply((StoredObject("routing/a", 3, value),), 3)
            await loop.exchange()
            assert callee.replica.objects["routing/a"].value == value
            assert 0 < relay.passed_bytes < len(json.dumps(value)) / 4
            nursery.cancel_scope.cancel()


class TestBorrow:
    """A loan is decided in trio by the callable that the budgets give."""

    async def test_a_known_run_gets_the_grant(self) -> None:
        """Guards against a loan to a run that has ended."""
        asked: list[LoanRequest] = []

        def lend(request: LoanRequest, now_s: float) -> LoanGrant:
            asked.append(request)
            return LoanGrant(5_000, 2.5, 7.25)

        async with serving(lender=lend) as (_, address):
            loop = loop_to(address)
            refused = await loop.client.borrow("b", LOAN, 1_000)
            assert refused.err_value.kind is PeerFailure.REFUSED
            await loop.exchange()
            assert await loop.client.borrow("b", LOAN, 1_000) == Ok(LoanGrant(5_000, 2.5, 7.25))
            returned = evolve(LOAN, share_ppm=0, term_ms=0, returned=9)
            await loop.client.borrow("b", returned, 1_000)
            assert asked == [LOAN, returned]

    async def test_a_silent_peer_costs_the_timeout_only(self) -> None:
        """Guards against a request that waits for a frozen lender."""
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.9"))[0]
        port = listener.socket.getsockname()[1]
        client = PeerClient(lambda vm: f"127.0.0.9:{port}", None)
        started_s = trio.current_time()
        answer = await client.borrow("b", LOAN, 200)
        assert answer.err_value.kind is PeerFailure.TIMEOUT
        assert trio.current_time() - started_s < 1.0
        client.close_all()


class TestMutualTls:
    """Only holders of a certificate of the authority are peers."""

    async def test_strangers_are_refused_and_replaced_files_are_used(self, tmp_path: Path) -> None:
        """Guards against an unknown process as a peer, and a restart to replace certificates."""
        folders = [tmp_path / name for name in ("own", "peer", "stranger")]
        for folder in folders:
            folder.mkdir()
        old, new = trustme.CA(), trustme.CA()
        own, peer = (write_certificates(old, folder) for folder in folders[:2])
        stranger = write_certificates(new, folders[2])
        # It trusts the peers, but their authority has not signed its certificate.
        unsigned = CertificateSource(stranger.certificate, stranger.key, own.authority)
        async with serving(peer) as (callee, address):
            loops = [loop_to(address, source) for source in (own, stranger, unsigned, None)]
            for loop in loops[1:]:
                await loop.exchange()
            assert "a" not in callee.roster.members
            await loops[0].exchange()
            assert [loop.error is None for loop in loops] == [True, False, False, False]
            write_certificates(new, folders[1])
            loops[1].client.close_all()
            with trio.fail_after(5):
                while loops[1].error is not None:
                    await loops[1].exchange()
            write_certificates(new, folders[0])
            with trio.fail_after(5):
                await loops[0].exchange()
            assert loops[0].error is None

    def test_unchanged_certificates_are_given_to_grpc_once(self, tmp_path: Path) -> None:
        """Guards against a change of certificates, which gRPC does unguarded, at each handshake."""
        authority = trustme.CA()
        reload = CertificateReload(write_certificates(authority, tmp_path))
        assert [reload() is None for _ in range(3)] == [False, True, True]
        write_certificates(authority, tmp_path)
        assert [reload() is None for _ in range(3)] == [False, True, True]
        (tmp_path / "key").unlink()
        assert reload() is None

    @pytest.mark.parametrize("address", ["10.0.0.1:1", "127.0.0.1:1"])
    def test_no_tls_is_for_loopback_only(self, address: str) -> None:
        """Guards against peer messages in clear between machines."""
        settings = PeerSettings(peer_listen_address=address, peer_insecure=True)
        assert isinstance(certificate_source(settings), Ok if "127" in address else Err)
        assert len(certificate_source(PeerSettings(peer_listen_address=address)).err_value) == 3

    def test_pem_text_is_taken_from_the_settings(self) -> None:
        """Guards against VMs without a disk that cannot hold a certificate."""
        authority = trustme.CA()
        issued = authority.issue_cert(CERTIFICATE_NAME)
        blobs = (issued.cert_chain_pems[0], issued.private_key_pem, authority.cert_pem)
        texts = [blob.bytes().decode() for blob in blobs]
        assert CertificateSource(*texts).load().ok_value.key == texts[1].encode()
        assert CertificateSource("/nowhere", *texts[1:]).load().is_err()
