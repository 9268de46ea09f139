"""Start programs as processes on loopback and stop them again."""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import IO

import trio
from attrs import define, field

from wagtailbay.logs import parse_line

EVENT_TIMEOUT_S = 30.0
LOG_TAIL_CHARACTERS = 1_500


# A port is free again between the probe and the program's start, so that two deployments of one
# process could be given the same one.
_allocated_addresses: set[str] = set()


def free_address(host: str) -> str:
    """Return an address on a loopback host with a port that is free and not given out before."""
    while True:
        with socket.socket() as probe:
            probe.bind((host, 0))
            address = f"{host}:{probe.getsockname()[1]}"
        if address not in _allocated_addresses:
            _allocated_addresses.add(address)
            return address


@define
class ProgramProcess:
    """Hold one running program and its log."""

    name: str
    process: subprocess.Popen
    log_path: Path
    log_file: IO[bytes]

    def events(self) -> list[dict[str, str]]:
        """Return the events that the program has logged so far."""
        lines = self.log_path.read_text().splitlines()
        return [parse_line(line) for line in lines if line.startswith("time=")]

    async def wait_for_event(self, event: str) -> None:
        """Wait until the program has logged an event.

        Raises:
            RuntimeError: The program ended or the event did not come in time.
        """
        with trio.move_on_after(EVENT_TIMEOUT_S):
            while not any(logged["event"] == event for logged in self.events()):
                if self.process.poll() is not None:
                    break
                await trio.sleep(0.02)
            else:
                return
        ended = f"exit status {self.process.poll()}"
        log = self.log_path.read_text()
        raise RuntimeError(f"{self.name}: no event {event!r}; {ended}; log: {log}")

    def kill(self) -> None:
        """End the process at once."""
        self.process.kill()
        self.process.wait()

    def suspend(self) -> None:
        """Stop the process until it is thawed."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a frozen process."""
        self.process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process for a graceful shutdown."""
        self.process.terminate()


@define
class ProcessGroup:
    """Start processes and end all of them on leaving the context."""

    temp_dir: tempfile.TemporaryDirectory = field(factory=tempfile.TemporaryDirectory)
    processes: list[ProgramProcess] = field(factory=list)

    def __enter__(self) -> "ProcessGroup":
        """Return the group."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """End all processes; print the logs of those that had already failed."""
        if exc_info[0] is not None:
            time.sleep(0.5)  # A failing program needs a moment to write its traceback.
        for program in self.processes:
            if b"Traceback" in program.log_path.read_bytes():
                print(f"{program.name} failed", file=sys.stderr)
                print(program.log_path.read_text()[-LOG_TAIL_CHARACTERS:], file=sys.stderr)
        for program in self.processes:
            if program.process.poll() is None:
                program.process.kill()
        for program in self.processes:
            program.process.wait()
            program.log_file.close()
        self.temp_dir.cleanup()

    def start(self, name: str, module: str, arguments: Sequence[str]) -> ProgramProcess:
        """Start a program given by its module."""
        path = Path(self.temp_dir.name) / f"{len(self.processes)}-{name}.log"
        log_file = path.open("wb")
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=log_file,
            stderr=subprocess.STDOUT,
            env=os.environ,
        )
        program = ProgramProcess(name, process, path, log_file)
        self.processes.append(program)
        return program
