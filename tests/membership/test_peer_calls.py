"""Test calls between two VMs over gRPC connections on loopback."""

import json
import os
from pathlib import Path

import grpc
import pytest
import trio
import trustme
from attrs import evolve
from membership.factories import CODEC, VALUE, exchanger, member
from membership.served_peers import running_server, serve_loans, serve_methods
from result import Err, Ok

from wagtailbay.clock import boottime_s
from wagtailbay.membership import (
    Exchanger,
    PeerClient,
    PeerFailure,
    PeerLoop,
    VmState,
)
from wagtailbay.membership.const import (
    CERTIFICATE_NAME,
    EXCHANGE_METHOD,
    KNOWN_INCARNATION_KEY,
    RENUMBER_WINDOW_S,
)
from wagtailbay.membership.credentials import CertificateReloader, CertificateSource
from wagtailbay.membership.loans import LoanGrant, LoanRequest
from wagtailbay.membership.settings import PeerSettings, certificate_source
from wagtailbay.settings.checks import split_address
from wagtailbay.store import StoredObject

LOAN = LoanRequest("a", 1, "workspace:records/unam", 10_000, 2_000)


def write_certificates(authority: trustme.CA, folder: Path) -> CertificateSource:
    """Write a VM's certificate files by atomic replacement."""
    issued = authority.issue_cert(CERTIFICATE_NAME)
    paths = [folder / name for name in ("certificate", "key", "authority")]
    for path, blob in zip(
        paths, (issued.cert_chain_pems[0], issued.private_key_pem, authority.cert_pem), strict=True
    ):
        path.with_suffix(".new").write_bytes(blob.bytes())
        os.replace(path.with_suffix(".new"), path)
    return CertificateSource(*map(str, paths))


def make_peer_loop(address: str, source: CertificateSource | None = None) -> PeerLoop:
    """Return VM a's peer loop to VM b."""
    client = PeerClient(lambda vm: address, source)
    return PeerLoop("b", exchanger("a"), client, CODEC, boottime_s)


class TestPeerLoop:
    """Peers exchange messages at once after an urgent change, otherwise once per second."""

    async def test_urgent_change_is_sent_before_the_next_heartbeat(self) -> None:
        """Guards against a stop that reaches peers only with the next heartbeat."""
        async with running_server() as (callee, address), trio.open_nursery() as nursery:
            loop = make_peer_loop(address)
            nursery.start_soon(loop.run)
            with trio.fail_after(5):
                while "a" not in callee.roster.members:
                    await trio.sleep(0.01)
            started_s, calls = trio.current_time(), 0
            while trio.current_time() < started_s + 0.5:
                loop.urgent.set()
                direct_contact_s = callee.roster.members["a"].direct_contact_s
                await trio.sleep(0.01)
                calls += callee.roster.members["a"].direct_contact_s != direct_contact_s
            assert 2 <= calls <= 6
            nursery.cancel_scope.cancel()

    async def test_malformed_calls_are_rejected_and_later_calls_served(self) -> None:
        """Guards against a peer message that crashes the process or blocks the server."""
        async with running_server() as (callee, address):
            loop = make_peer_loop(address)
            for data in (b"", b"\xff" * 50, os.urandom(10_000)):
                answer = await loop.client.exchange("b", data)
                assert answer.err_value.kind is PeerFailure.REFUSED
            await loop.exchange()
            assert loop.last_error is None
            assert "a" in callee.roster.members

    async def test_answer_from_another_vm_is_rejected(self) -> None:
        """Guards against mistaking another VM that reuses an address for the peer."""
        async with running_server() as (_, address):
            loop = evolve(make_peer_loop(address), vm="c")
            await loop.exchange()
            assert loop.last_error.kind is PeerFailure.MALFORMED
            assert "b" not in loop.exchanger.roster.members


class TestRestartWithAnEarlierClock:
    """A process that started after the clock went back is the newest run of its VM."""

    @staticmethod
    def knows_later_run(callee: Exchanger) -> None:
        """Let VM b know a run of VM a that started at a later time of day."""
        callee.roster.record_message(member("a", incarnation=5), boottime_s())

    async def test_refused_run_continues_as_the_newest_one(self) -> None:
        """Guards against a VM that all others refuse and that owns rates beside their owners.

        Its facts and its requests for tokens must count as those of the newest run as well.
        """
        async with running_server(lender=lambda request, now_s: LoanGrant(1, 1.0)) as (
            callee,
            address,
        ):
            self.knows_later_run(callee)
            loop = make_peer_loop(address)
            own = loop.exchanger
            own.may_renumber = True
            own.facts.publish("stop", "x", VALUE, ttl_ms=60_000, now_s=boottime_s())
            await loop.exchange()
            await loop.exchange()
            assert loop.last_error is None
            assert callee.roster.members["a"].identity.incarnation == 6
            assert callee.roster.members["a"].state is VmState.LIVE
            assert [fact.incarnation for fact in callee.facts.of_kind("stop", boottime_s())] == [6]
            loan = evolve(LOAN, incarnation=own.roster.own.incarnation)
            assert (await loop.client.borrow("b", loan, 1_000)).is_ok()

    async def test_replaced_process_stays_refused(self) -> None:
        """Guards against a process that was suspended while another one took its name."""
        async with running_server() as (callee, address):
            loop = make_peer_loop(address)
            loop.exchanger.may_renumber = True
            await loop.exchange()
            loop.exchanger.accepted_since_s -= RENUMBER_WINDOW_S
            self.knows_later_run(callee)
            await loop.exchange()
            await loop.exchange()
            assert loop.last_error.kind is PeerFailure.REFUSED
            assert callee.roster.members["a"].identity.incarnation == 5

    @pytest.mark.parametrize("known", ["", "x", "-3", "9" * 30])
    async def test_odd_number_changes_nothing(self, known: str) -> None:
        """Guards against a refusal whose number is unusable."""

        def refuse(data: bytes, context: grpc.ServicerContext) -> bytes:
            context.set_trailing_metadata(((KNOWN_INCARNATION_KEY, known),))
            context.abort(grpc.StatusCode.FAILED_PRECONDITION, "refused")

        methods = {EXCHANGE_METHOD: grpc.unary_unary_rpc_method_handler(refuse)}
        with serve_methods(methods, threads=1) as address:
            loop = make_peer_loop(address)
            loop.exchanger.may_renumber = True
            await loop.exchange()
            assert loop.last_error.kind is PeerFailure.REFUSED
            assert loop.exchanger.roster.own.incarnation == 1


class CountingProxy:
    """Proxy to an address that counts the bytes of requests."""

    def __init__(self, address: str) -> None:
        self.address, self.request_bytes = split_address(address), 0

    async def serve(self, client_stream: trio.SocketStream) -> None:
        """Relay one connection."""
        server_stream = await trio.open_tcp_stream(*self.address)
        async with server_stream, trio.open_nursery() as nursery:
            nursery.start_soon(self._relay_responses, server_stream, client_stream)
            async for data in client_stream:
                self.request_bytes += len(data)
                await server_stream.send_all(data)
            nursery.cancel_scope.cancel()

    @staticmethod
    async def _relay_responses(
        server_stream: trio.SocketStream, client_stream: trio.SocketStream
    ) -> None:
        async for data in server_stream:
            await client_stream.send_all(data)


class TestCompression:
    """Messages are compressed, since traffic between availability zones is billed."""

    async def test_configuration_is_compressed(self) -> None:
        """Guards against sending configuration documents uncompressed to every VM."""
        routes = [{"name": f"route-{n}", "timeout": "1500ms", "kind": "safe"} for n in range(200)]
        value = {"routes": routes}
        async with running_server() as (callee, address), trio.open_nursery() as nursery:
            proxy = CountingProxy(address)
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.9")
            nursery.start_soon(trio.serve_listeners, proxy.serve, [listener])
            host, port = listener.socket.getsockname()[:2]
            loop = make_peer_loop(f"{host}:{port}")
            loop.exchanger.replica.apply((StoredObject("routing/a", 3, value),), 3)
            await loop.exchange()
            assert callee.replica.objects["routing/a"].value == value
            assert 0 < proxy.request_bytes < len(json.dumps(value)) / 4
            nursery.cancel_scope.cancel()


class TestBorrow:
    """The lender decides on a loan in the trio thread."""

    async def test_known_incarnation_receives_grant(self) -> None:
        """Guards against a loan to an incarnation that is not in the roster."""
        requests: list[LoanRequest] = []

        def lend(request: LoanRequest, now_s: float) -> LoanGrant:
            requests.append(request)
            return LoanGrant(5_000, 2.5, 7.25)

        async with running_server(lender=lend) as (_, address):
            loop = make_peer_loop(address)
            refused = await loop.client.borrow("b", LOAN, 1_000)
            assert refused.err_value.kind is PeerFailure.REFUSED
            await loop.exchange()
            assert await loop.client.borrow("b", LOAN, 1_000) == Ok(LoanGrant(5_000, 2.5, 7.25))
            returned = evolve(LOAN, share_ppm=0, term_ms=0, returned=9)
            await loop.client.borrow("b", returned, 1_000)
            assert requests == [LOAN, returned]

    async def test_unresponsive_lender_delays_borrower_by_the_timeout_only(self) -> None:
        """Guards against a request that waits for an unresponsive lender."""
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.9"))[0]
        port = listener.socket.getsockname()[1]
        client = PeerClient(lambda vm: f"127.0.0.9:{port}", None)
        started_s = trio.current_time()
        answer = await client.borrow("b", LOAN, 200)
        assert answer.err_value.kind is PeerFailure.TIMEOUT
        assert trio.current_time() - started_s < 1.0
        client.close_all()


class TestAnswersInAnotherOrder:
    """gRPC gives each call a stream of its own, whose number a connection never uses again."""

    # Guards against issue 34 between VMs: loan requests and grants carry no ID of the call.
    async def test_late_grant_is_not_the_answer_to_the_next_call(self) -> None:
        """Guards against a grant of an earlier call that the borrower has given up."""
        with serve_loans([0.3, 0.6]) as address:
            client = PeerClient(lambda vm: address, None)
            first = await client.borrow("b", evolve(LOAN, share_ppm=1_000), 100)
            assert first.err_value.kind is PeerFailure.TIMEOUT
            second = await client.borrow("b", evolve(LOAN, share_ppm=2_000), 10_000)
            assert second.unwrap().share_ppm == 2_000
            client.close_all()

    async def test_grants_in_reverse_order_reach_their_calls(self) -> None:
        """Guards against matching answers to calls by their order."""
        grants: dict[int, int] = {}
        with serve_loans([1.5, 1.0, 0.5]) as address:
            client = PeerClient(lambda vm: address, None)

            async def borrow(share_ppm: int) -> None:
                request = evolve(LOAN, share_ppm=share_ppm)
                grants[share_ppm] = (await client.borrow("b", request, 10_000)).unwrap().share_ppm

            async with trio.open_nursery() as nursery:
                for share_ppm in (1_000, 2_000, 3_000):
                    nursery.start_soon(borrow, share_ppm)
                    await trio.sleep(0.05)
            client.close_all()
        assert grants == {1_000: 1_000, 2_000: 2_000, 3_000: 3_000}
        assert list(grants) != sorted(grants)


class TestMutualTls:
    """Only processes with a certificate of the CA are accepted as peers."""

    async def test_untrusted_peers_are_rejected_and_replaced_files_are_loaded(
        self, tmp_path: Path
    ) -> None:
        """Guards against untrusted peers, and against certificates replaced only on restart."""
        folders = [tmp_path / name for name in ("own", "peer", "untrusted")]
        for folder in folders:
            folder.mkdir()
        old, new = trustme.CA(), trustme.CA()
        own, peer = (write_certificates(old, folder) for folder in folders[:2])
        untrusted = write_certificates(new, folders[2])
        # It trusts the CA of the peers, but its own certificate is from another CA.
        untrusted_with_peer_authority = CertificateSource(
            untrusted.certificate, untrusted.key, own.authority
        )
        async with running_server(peer) as (callee, address):
            loops = [
                make_peer_loop(address, source)
                for source in (own, untrusted, untrusted_with_peer_authority, None)
            ]
            for loop in loops[1:]:
                await loop.exchange()
            assert "a" not in callee.roster.members
            await loops[0].exchange()
            assert [loop.last_error is None for loop in loops] == [True, False, False, False]
            write_certificates(new, folders[1])
            loops[1].client.close_all()
            with trio.fail_after(5):
                while loops[1].last_error is not None:
                    await loops[1].exchange()
            write_certificates(new, folders[0])
            with trio.fail_after(5):
                await loops[0].exchange()
            assert loops[0].last_error is None

    def test_unchanged_certificates_are_passed_to_grpc_once(self, tmp_path: Path) -> None:
        """Guards against a new configuration, which gRPC swaps unsafely, at each handshake."""
        authority = trustme.CA()
        reloader = CertificateReloader(write_certificates(authority, tmp_path))
        assert [reloader() is None for _ in range(3)] == [False, True, True]
        write_certificates(authority, tmp_path)
        assert [reloader() is None for _ in range(3)] == [False, True, True]
        (tmp_path / "key").unlink()
        assert reloader() is None

    @pytest.mark.parametrize("address", ["10.0.0.1:1", "127.0.0.1:1"])
    def test_insecure_mode_requires_loopback_addresses(self, address: str) -> None:
        """Guards against unencrypted peer messages between machines."""
        settings = PeerSettings(peer_listen_address=address, peer_insecure=True)
        assert isinstance(certificate_source(settings), Ok if "127" in address else Err)
        assert len(certificate_source(PeerSettings(peer_listen_address=address)).err_value) == 3

    def test_settings_accept_pem_text(self) -> None:
        """Guards against settings that require certificate files on VMs without a disk."""
        authority = trustme.CA()
        issued = authority.issue_cert(CERTIFICATE_NAME)
        blobs = (issued.cert_chain_pems[0], issued.private_key_pem, authority.cert_pem)
        texts = [blob.bytes().decode() for blob in blobs]
        assert CertificateSource(*texts).load().ok_value.key == texts[1].encode()
        assert CertificateSource("/nowhere", *texts[1:]).load().is_err()
