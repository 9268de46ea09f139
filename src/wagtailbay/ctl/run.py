"""Run a command and print its result."""

import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import trio
from result import Err, Ok

from wagtailbay.ctl.arguments import build_parser
from wagtailbay.ctl.client import AdminClient
from wagtailbay.ctl.const import PROGRAM
from wagtailbay.ctl.models import Failure, View
from wagtailbay.ctl.tables import format_cell, format_json

PrintFunction = Callable[[str], Any]


async def run(
    argv: Sequence[str],
    environ: Mapping[str, str],
    print_result: PrintFunction = print,
    print_error: PrintFunction = lambda text: print(text, file=sys.stderr),
) -> int:
    """Run a command, repeatedly with ``--watch``, and return its exit status.

    Raises:
        SystemExit: On a usage error, ``--help`` or ``--version``.
    """
    arguments = build_parser(environ).parse_args(argv)
    client = AdminClient(arguments.admin_address, arguments.token, arguments.timeout_ms)
    while True:
        status = await _run_once(client, arguments, print_result, print_error)
        if not arguments.watch:
            return status
        await trio.sleep(arguments.interval_ms / 1000)


async def _run_once(
    client: AdminClient, arguments: Any, print_result: PrintFunction, print_error: PrintFunction
) -> int:
    match await arguments.run(client, arguments):
        case Ok(View(value=value, text=text, exit_status=status)):
            print_result(format_json(value) if arguments.output == "json" else text)
            return status
        case Err(Failure(exit_status=status, message=message)):
            print_error(f"{PROGRAM}: {format_cell(message)}")
            return status
