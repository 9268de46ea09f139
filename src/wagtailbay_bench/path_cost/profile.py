"""Print where the entry process spends its time: ``python -m wagtailbay_bench.path_cost.profile``.

The profiler makes short functions look dearer than they are; processor times come from the
measurement without it.
"""

import argparse
import os
import pstats
import signal
import tempfile
from functools import partial
from pathlib import Path

import trio

from wagtailbay_bench.path_cost.caller import Callers, build_request, connect
from wagtailbay_bench.path_cost.const import ANSWER_BYTES, CONNECTIONS, ROUND_S, WARM_UP_S
from wagtailbay_bench.path_cost.profiled_entry import FILE_VARIABLE
from wagtailbay_bench.path_cost.scene import KEY, PROFILED_MODULE, SERVICE, start_deployment
from wagtailbay_bench.processes import ProcessGroup

WRITE_TIMEOUT_S = 5.0


async def record(path: Path, answer_bytes: int) -> int:
    """Record a profile of a VM at full load; returns the number of answers."""
    os.environ[FILE_VARIABLE] = str(path)
    with ProcessGroup() as group:
        deployment = await start_deployment(group, answer_bytes, PROFILED_MODULE)
        process = deployment.vms["vm-1"].process
        callers = Callers(build_request(f"/{SERVICE}/item/1", KEY))
        connections = await connect((deployment.vm_addresses["vm-1"],), CONNECTIONS)
        await callers.saturate(connections, WARM_UP_S)
        process.send_signal(signal.SIGUSR1)
        callers.answered = 0
        await callers.saturate(connections, ROUND_S)
        process.send_signal(signal.SIGUSR2)
        with trio.fail_after(WRITE_TIMEOUT_S):
            while not path.exists() or not path.stat().st_size:
                await trio.sleep(0.1)
        await trio.sleep(0.5)
        return callers.answered


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser(prog="profile", description=__doc__)
    parser.add_argument("--size", choices=list(ANSWER_BYTES), default="small")
    parser.add_argument("--lines", type=int, default=45)
    parser.add_argument("--sort", choices=("tottime", "cumtime"), default="tottime")
    parser.add_argument("--callers", action="append", default=[], help="show who calls a function")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "profile"
        answers = trio.run(partial(record, path, ANSWER_BYTES[arguments.size]))
        print(f"size={arguments.size} answers={answers}")
        stats = pstats.Stats(str(path)).sort_stats(arguments.sort)
        stats.print_stats(arguments.lines)
        for name in arguments.callers:
            stats.print_callers(name)


if __name__ == "__main__":
    main()
