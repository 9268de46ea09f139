"""Reproduce symptoms: ``python -m wagtailbay_bench.symptoms.program [--symptom NAME]``."""

import argparse
import sys

import trio

from wagtailbay_bench.processes import ProcessGroup
from wagtailbay_bench.symptoms.cases import CASES
from wagtailbay_bench.symptoms.environment import build_environment


def build_parser() -> argparse.ArgumentParser:
    """Build the command-line parser."""
    parser = argparse.ArgumentParser(prog="symptoms", description=__doc__)
    parser.add_argument(
        "--symptom",
        choices=list(CASES),
        action="append",
        help="reproduce only this symptom; can be repeated",
    )
    return parser


async def run(names: list[str]) -> int:
    """Reproduce the named symptoms and return the exit status."""
    with ProcessGroup() as group:
        env = build_environment(group, "acervo")
        await env.start()
        for name in names:
            await CASES[name](env)
        await env.run_wagtailctl("status")
    for failure in env.failures:
        print(f"not observed: {failure}")
    print("symptoms failed" if env.failures else f"symptoms ok: {len(names)}")
    return 1 if env.failures else 0


def main() -> int:
    """Parse the arguments and reproduce the symptoms."""
    return trio.run(run, build_parser().parse_args().symptom or list(CASES))


if __name__ == "__main__":
    sys.exit(main())
