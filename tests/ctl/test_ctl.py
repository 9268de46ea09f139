"""Test wagtailctl against a running administration API."""

import json
import re
from pathlib import Path
from typing import Any

import pytest
import trio
from support.admin import TOKENS, AdminTestServer
from support.documents import fleet_document, service_document
from syrupy.assertion import SnapshotAssertion

from wagtailbay.admin import keys
from wagtailbay.ctl import run
from wagtailbay.ctl.tables import format_cell, format_table
from wagtailbay.shift.models import MovePhase, MovePlan, MoveState, Step
from wagtailbay.shift.wire import encode_move
from wagtailbay.transport import HttpServer, Reply, Request

KEY_ID = "4f1a7f5f9d6e0b3d0c2f8a6b5e4d3c2b1a0f9e8d7c6b5a493827160504030201"


class Terminal:
    """Runs commands and records their output, with ports and random ids replaced."""

    def __init__(self, server: AdminTestServer, folder: Path) -> None:
        self.server, self.folder, self.transcript = server, folder, []
        self.environ = {
            "WAGTAILBAY_ADMIN_ADDRESS": server.address,
            "WAGTAILBAY_TOKEN": TOKENS["ana"],
        }

    def write(self, name: str, document: Any) -> str:
        """Write a document file and return its path."""
        text = document if isinstance(document, str) else json.dumps(document)
        (self.folder / name).write_text(text)
        return name

    async def run(self, *argv: str) -> int:
        """Run a command, record its output and return its exit status."""
        out: list[str] = []
        status = await run(
            argv, self.environ, out.append, lambda text: out.append(f"stderr: {text}")
        )
        # Writing audit records increases the store version; flush them for reproducible versions.
        await self.server.writer.flush()
        text = "\n".join(out)
        text = re.sub(r"127\.0\.0\.1:\d+", "127.0.0.1:PORT", text)
        text = re.sub(r"\b[0-9a-f]{16}\b", "RANDOM", text)
        self.transcript.append(f"$ wagtailctl {' '.join(argv)}\n{text}\n[{status}]")
        return status

    @property
    def transcript_text(self) -> str:
        """Return the output of all commands so far."""
        return "\n".join(self.transcript)


@pytest.fixture
async def terminal(nursery, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Terminal:
    """Return a terminal connected to an admin server with two VMs."""
    monkeypatch.chdir(tmp_path)
    monkeypatch.setattr(keys, "new_key", lambda: "the-new-key")
    monkeypatch.setattr(keys, "hash_key", lambda key: KEY_ID)
    return Terminal(await AdminTestServer().start(nursery, vms=2), tmp_path)


async def submit_all(terminal: Terminal) -> tuple[str, str]:
    """Apply a fleet and a service document; return the paths of the service and fleet files."""
    files = terminal.write("records.json", service_document()), terminal.write(
        "fleet.json", fleet_document()
    )
    for path in reversed(files):
        assert await terminal.run("apply", path, "--reason", "first") == 0
    return files


class TestDocuments:
    """Documents are validated, applied, compared, shown and deleted."""

    async def test_document_commands(self, terminal: Terminal, snapshot: SnapshotAssertion) -> None:
        """Guards against changes to output and exit statuses that scripts rely on."""
        records, _ = await submit_all(terminal)
        assert await terminal.run("get") == 0
        assert await terminal.run("diff", records) == 0
        changed = terminal.write("records.json", service_document(owner="other"))
        assert await terminal.run("diff", changed) == 1
        assert await terminal.run("validate", changed) == 0
        stale = ("apply", changed, "--reason", "late", "--expected-version", "1")
        assert await terminal.run(*stale) == 3
        bad = terminal.write("bad.json", service_document(colour="red", owner=3))
        assert await terminal.run("apply", bad, "--reason", "bad") == 1
        assert await terminal.run("validate", "--offline", bad) == 1
        assert await terminal.run("get", "missing") == 1
        assert await terminal.run("--output", "json", "get") == 0
        version = str(terminal.server.store.version("documents/records"))
        delete = ("delete", "records", "--reason", "x", "--expected-version", version)
        assert await terminal.run(*delete) == 0
        assert await terminal.run("audit") == 0
        assert await terminal.run("--output", "json", "audit", "--limit", "1") == 0
        assert terminal.transcript_text == snapshot

    @pytest.mark.parametrize("text", ["x = 1\nservice = 2024-01-01", "service = nan", "x = ["])
    async def test_toml_values_without_json_form_are_rejected(
        self, terminal: Terminal, text: str
    ) -> None:
        """Guards against a traceback for TOML values without a JSON form."""
        path = terminal.write("odd.toml", text)
        assert await terminal.run("apply", path, "--reason", "x") in (1, 2)
        assert "stderr: wagtailctl: odd.toml" in terminal.transcript_text

    async def test_offline_validation_checks_references(self, terminal: Terminal) -> None:
        """Guards against invalid references that only the administration API would reject."""
        small = fleet_document(
            availability_zones=fleet_document()["availability_zones"][:1], links=[]
        )
        files = terminal.write("s.json", service_document()), terminal.write("f.json", small)
        assert await terminal.run("validate", "--offline", *files) == 1
        assert "'b1' does not exist" in terminal.transcript_text


class TestKeys:
    """Keys are granted, shown only once and withdrawn."""

    async def test_key_commands(self, terminal: Terminal, snapshot: SnapshotAssertion) -> None:
        """Guards against an exit status of success for a withdrawal that is still pending."""
        await submit_all(terminal)
        assert await terminal.run("keys", "grant", "unam", "--reason", "new team") == 0
        assert await terminal.run("keys") == 0
        terminal.server.statuses["vm-1"]["revision"] = 1
        assert await terminal.run("keys", "withdraw", KEY_ID, "--reason", "leaked") == 6
        terminal.server.statuses["vm-1"]["revision"] = 100
        assert await terminal.run("keys", "withdraw", KEY_ID, "--show") == 6
        terminal.server.store.objects["documents/fleet"].value["max_vms"] = 3
        assert await terminal.run("keys", "withdraw", KEY_ID, "--show") == 0
        assert await terminal.run("keys", "withdraw", "wrong", "--reason", "x") == 1
        assert await terminal.run("keys", "withdraw", KEY_ID) == 2
        assert terminal.transcript_text == snapshot


class TestStateCommands:
    """The state is shown as tables and as JSON."""

    async def test_state_commands(self, terminal: Terminal, snapshot: SnapshotAssertion) -> None:
        """Guards against a status that omits problems."""
        await submit_all(terminal)
        plan = MovePlan("m", "v1", "v2", 0.0, 600.0, 200_000, None, (Step(20_000, 0.0),))
        state = MoveState(plan, MovePhase.ROLLED_BACK, 0, 5.0, reason="slower than v1")
        await terminal.server.store.put("moves/records", encode_move(state), 0)
        terminal.server.statuses["vm-1"]["revision"] = 1
        region = {"used_per_s": 95.0, "usable_per_s": 100.0}
        terminal.server.statuses["vm-1"]["regions"] = {"records/mx-a": region}
        for command in ("status", "moves", "fleet"):
            assert await terminal.run(command) == 0
        assert await terminal.run("--output", "json", "fleet") == 0
        assert terminal.transcript_text == snapshot

    async def test_watch_continues_after_failure(self, terminal: Terminal) -> None:
        """Guards against ending ``--watch`` at the first failed request."""
        printed: list[str] = []
        terminal.server.store.down = True
        with trio.fail_after(20), trio.CancelScope() as scope:

            def write(text: str) -> None:
                printed.append(text)
                terminal.server.store.down = False
                if len(printed) == 3:
                    scope.cancel()

            argv = ("status", "--watch", "--interval-ms", "1")
            await run(argv, terminal.environ, write, write)
        assert "store_unavailable" in printed[0]
        assert "problems" in printed[2]

    async def test_locate_asks_only_the_entry_vm(self, terminal: Terminal, nursery) -> None:
        """Guards against a locate command that depends on the administration API."""
        seen = []

        async def handle(request: Request, reply: Reply) -> None:
            seen.append(request.path)
            vm = {"vm": "vm-1", "address": "10.0.0.1:80", "availability_zone": "a1"}
            await reply.send_json(200, {"vms": [vm], "ttl_ms": 10_000})

        _, port = await nursery.start(HttpServer(handle).serve, ("127.0.0.1", 0))
        terminal.environ = {"WAGTAILBAY_ENTRY_ADDRESS": f"127.0.0.1:{port}"}
        assert await terminal.run("locate", "--client", "a b", "--availability-zone", "a1") == 0
        assert seen == ["/-/locate?client=a+b&availability_zone=a1"]
        assert "valid for 10000 ms" in terminal.transcript_text


class TestFailures:
    """Each failure prints one line and has its own exit status."""

    async def test_each_failure_has_its_exit_status(self, terminal: Terminal) -> None:
        """Guards against failures that scripts cannot distinguish."""
        terminal.server.store.down = True
        assert await terminal.run("status") == 4
        terminal.environ["WAGTAILBAY_TOKEN"] = "wrong"
        assert await terminal.run("status") == 5
        terminal.environ["WAGTAILBAY_TOKEN"] = "line\nfeed"
        assert await terminal.run("status") == 2
        del terminal.environ["WAGTAILBAY_TOKEN"]
        assert await terminal.run("status") == 2
        terminal.environ |= {"WAGTAILBAY_TOKEN": "x", "WAGTAILBAY_ADMIN_ADDRESS": "127.0.0.1:1"}
        assert await terminal.run("status") == 4
        assert all(len(text.splitlines()) == 3 for text in terminal.transcript)

    @pytest.mark.parametrize(
        ("argv", "environ"),
        [
            (["bogus"], {}),
            (["apply", "f"], {}),
            (["--admin-address", "nowhere", "status"], {}),
            (["--output", "xml", "status"], {}),
            (["status"], {"WAGTAILBAY_OUTPUT": "xml"}),
            (["status"], {"WAGTAILBAY_TIMEOUT_MS": "soon"}),
            (["audit"], {"WAGTAILBAY_LIMIT": "0"}),
        ],
    )
    async def test_invalid_flag_or_variable_is_a_usage_error(
        self, argv: list[str], environ: dict[str, str], capsys
    ) -> None:
        """Guards against ignoring an invalid flag or environment variable."""
        with pytest.raises(SystemExit) as raised:
            await run(argv, environ)
        assert raised.value.code == 2
        assert "error: " in capsys.readouterr().err.splitlines()[-1]

    def test_control_characters_are_replaced(self) -> None:
        """Guards against stored text with control sequences that a terminal would execute."""
        assert format_cell("a\x1b[2Jb\nc") == "a?[2Jb?c"
        assert format_table(("x",), []) == "(none)"


class TestExplain:
    """The timeline of a request is built from log files, without any server."""

    async def explain(self, tmp_path: Path, *argv: str) -> tuple[int, str]:
        """Run ``wagtailctl explain`` and return its exit status and output."""
        out: list[str] = []
        return await run(["explain", *argv], {}, out.append, out.append), "\n".join(out)

    async def test_logs_of_two_vms_are_combined(self, tmp_path: Path) -> None:
        """Guards against missing a newer configuration that only another VM's log shows."""
        one, two = tmp_path / "vm-1.log", tmp_path / "vm-2.log"
        one.write_text("time=11.000 event=routing_in_force vm=vm-1 version=8\n")
        two.write_text(
            "time=5.000 event=routing_in_force vm=vm-2 version=7\n"
            "time=12.000 event=request_refused vm=vm-2 request_id=r status=404"
            " code=route_unknown version=7\n"
        )
        status, text = await self.explain(tmp_path, "r", str(one), str(two))
        assert status == 0
        assert "configuration: version 7, in force since 5.000" in text
        assert "version 8 was in force on vm-1 at 11.000" in text

    async def test_json_output_and_unknown_request(self, tmp_path: Path) -> None:
        """Guards against an exit status of success for an empty timeline."""
        log = tmp_path / "vm.log"
        log.write_text("time=5.000 event=request_finished vm=v request_id=r outcome=answered\n")
        out: list[str] = []
        argv = ["--output", "json", "explain", "r", str(log)]
        assert await run(argv, {}, out.append, out.append) == 0
        assert json.loads(out[0])["steps"][0]["values"]["outcome"] == "answered"
        status, text = await self.explain(tmp_path, "other", str(log))
        assert (status, text) == (1, "no log line about request other")
        status, text = await self.explain(tmp_path, "r", str(tmp_path / "missing"))
        assert status == 2
        assert "No such file" in text
