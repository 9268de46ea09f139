"""Start and stop programs as processes on loopback addresses."""

import os
import shutil
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


# A port is free again between the probe and the start of the program. Without this set, two
# deployments in one process could be given the same port.
_allocated_addresses: set[str] = set()


def free_address(host: str) -> str:
    """Return an address on a loopback host with a free port that was not returned before."""
    while True:
        with socket.socket() as probe:
            probe.bind((host, 0))
            address = f"{host}:{probe.getsockname()[1]}"
        if address not in _allocated_addresses:
            _allocated_addresses.add(address)
            return address


@define
class ProgramProcess:
    """Process of a program and its log file."""

    name: str
    process: subprocess.Popen
    log_path: Path
    log_file: IO[bytes]

    def events(self) -> list[dict[str, str]]:
        """Return the events in the log so far."""
        lines = self.log_path.read_text().splitlines()
        return [parse_line(line) for line in lines if line.startswith("time=")]

    async def wait_for_event(self, event: str) -> None:
        """Wait until the program has logged an event.

        Raises:
            RuntimeError: The program ended or did not log the event within the timeout.
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
        raise RuntimeError(f"{self.name}: did not log event {event!r}; {ended}; log: {log}")

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.process.kill()
        self.process.wait()

    def suspend(self) -> None:
        """Suspend the process until it is resumed."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful shutdown of the process."""
        self.process.terminate()


@define
class ProcessGroup:
    """Context manager that starts processes and kills all of them on exit."""

    temp_dir: tempfile.TemporaryDirectory = field(factory=tempfile.TemporaryDirectory)
    processes: list[ProgramProcess] = field(factory=list)

    def __enter__(self) -> "ProcessGroup":
        """Return the group."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Kill all processes and print the end of each log that contains a traceback."""
        if exc_info[0] is not None:
            time.sleep(0.5)  # Gives a failing program time to write its traceback.
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
        """Start a program by its module name and capture its output in a log file."""
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

    def copy_logs(self, folder: str) -> None:
        """Copy all logs to a folder, which is created if needed."""
        Path(folder).mkdir(parents=True, exist_ok=True)
        for program in self.processes:
            shutil.copy(program.log_path, folder)
