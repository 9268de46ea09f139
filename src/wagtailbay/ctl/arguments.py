"""Define the command line; every flag also has an environment variable."""

import argparse
from collections.abc import Callable, Mapping
from typing import Any

from attrs import frozen

from wagtailbay import __version__
from wagtailbay.ctl import commands
from wagtailbay.ctl.const import EXIT_STATUS_HELP, PROGRAM
from wagtailbay.settings.checks import parse_optional_address
from wagtailbay.settings.const import ENVIRONMENT_PREFIX

FALSE_VALUES = frozenset({"", "0", "false", "no"})


def parse_address_argument(text: str) -> str:
    """Parse an address; argparse shows the text of an ArgumentTypeError, not of a ValueError."""
    try:
        return parse_optional_address(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(str(error)) from error


def parse_positive_integer(text: str) -> int:
    """Parse an integer of at least 1."""
    if not text.isascii() or not text.isdigit() or not 1 <= int(text[:19]) < 10**18:
        raise argparse.ArgumentTypeError(f"must be an integer of at least 1, got {text!r}")
    return int(text)


def parse_version(text: str) -> int:
    """Parse a document version; 0 means that the document must not exist yet."""
    return 0 if text == "0" else parse_positive_integer(text)


@frozen
class FlagBuilder:
    """Adds flags whose defaults come from environment variables."""

    environ: Mapping[str, str]

    def add(
        self, parser: argparse.ArgumentParser, name: str, help_text: str, **options: Any
    ) -> None:
        """Add a flag with a value; the environment variable is checked in the same way."""
        variable = ENVIRONMENT_PREFIX + name.upper().replace("-", "_")
        default = options.pop("default", None)
        options.setdefault("metavar", "VALUE")
        if variable in self.environ:
            default = self.environ[variable]
            options.pop("required", None)
            choices = options.get("choices")
            if choices and default not in choices:
                parser.error(f"{variable} must be one of {', '.join(choices)}, got {default!r}")
        parser.add_argument(
            f"--{name}", help=f"{help_text} ({variable})", default=default, **options
        )

    def add_switch(self, parser: argparse.ArgumentParser, name: str, help_text: str) -> None:
        """Add a boolean flag; the environment variable sets it unless empty, 0, false or no."""
        variable = ENVIRONMENT_PREFIX + name.upper().replace("-", "_")
        default = self.environ.get(variable, "").lower() not in FALSE_VALUES
        text = f"{help_text} ({variable})"
        parser.add_argument(f"--{name}", help=text, action="store_true", default=default)


def build_parser(environ: Mapping[str, str]) -> argparse.ArgumentParser:
    """Build the parser with all subcommands."""
    parser = argparse.ArgumentParser(
        prog=PROGRAM,
        description="Manage documents and keys, show the state of the fleet and explain requests.",
        epilog=EXIT_STATUS_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=f"{PROGRAM} {__version__}")
    flags = FlagBuilder(environ)
    flags.add(
        parser,
        "admin-address",
        "address of wagtailbay-admin",
        type=parse_address_argument,
        default="",
    )
    flags.add(
        parser, "token", "admin token; the variable keeps it out of process lists", default=""
    )
    flags.add(
        parser,
        "timeout-ms",
        "time limit of a request in milliseconds",
        type=parse_positive_integer,
        default=10_000,
    )
    flags.add(parser, "output", "json or table", choices=("json", "table"), default="table")
    subparsers = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_document_commands(subparsers, flags)
    _add_view_commands(subparsers, flags)
    _add_key_commands(subparsers, flags)
    return parser


def _add_command(
    subparsers: Any, name: str, help_text: str, run: Callable
) -> argparse.ArgumentParser:
    parser = subparsers.add_parser(name, help=help_text, description=help_text)
    parser.set_defaults(run=run, watch=False)
    return parser


def _add_document_commands(subparsers: Any, flags: FlagBuilder) -> None:
    validate = _add_command(
        subparsers, "validate", "check documents without storing them", commands.validate
    )
    validate.add_argument("files", nargs="+", metavar="FILE")
    flags.add_switch(validate, "offline", "check without the administration API")
    apply = _add_command(
        subparsers, "apply", "submit documents, the fleet document first", commands.apply
    )
    apply.add_argument("files", nargs="+", metavar="FILE")
    flags.add(apply, "reason", "reason, recorded in the audit trail", required=True)
    flags.add(apply, "expected-version", "version that the change is based on", type=parse_version)
    diff = _add_command(
        subparsers, "diff", "compare a file with the document in force", commands.diff
    )
    diff.add_argument("file", metavar="FILE")
    get = _add_command(subparsers, "get", "show one document, or list all", commands.get)
    get.add_argument("name", nargs="?", metavar="NAME")
    delete = _add_command(subparsers, "delete", "delete a service's document", commands.delete)
    delete.add_argument("name", metavar="NAME")
    flags.add(delete, "reason", "reason, recorded in the audit trail", required=True)
    help_text = "version that the deletion is based on"
    flags.add(delete, "expected-version", help_text, type=parse_positive_integer, required=True)


def _add_view_commands(subparsers: Any, flags: FlagBuilder) -> None:
    status = _add_command(subparsers, "status", "show the state of the deployment", commands.status)
    flags.add_switch(status, "watch", "repeat until interrupted")
    help_text = "interval between updates with --watch, in milliseconds"
    flags.add(status, "interval-ms", help_text, type=parse_positive_integer, default=2_000)
    _add_command(subparsers, "moves", "list the moves", commands.moves)
    _add_command(subparsers, "fleet", "list the entry VMs", commands.fleet)
    audit = _add_command(subparsers, "audit", "show the audit trail, newest first", commands.audit)
    flags.add(
        audit,
        "limit",
        "maximum number of records, up to 200",
        type=parse_positive_integer,
        default=50,
    )
    flags.add(audit, "before", "position printed below an earlier page", default="")
    locate = _add_command(
        subparsers, "locate", "show which entry VMs a client should use", commands.locate
    )
    flags.add(
        locate, "entry-address", "address of any entry VM", type=parse_address_argument, default=""
    )
    flags.add(locate, "client", "text that identifies the client", default="")
    flags.add(locate, "availability-zone", "the client's availability zone", default="")
    help_text = "show the timeline of a request, built from VM logs"
    explain = _add_command(subparsers, "explain", help_text, commands.explain)
    explain.add_argument("request_id", metavar="REQUEST_ID")
    explain.add_argument(
        "files",
        nargs="*",
        metavar="FILE",
        help="log files, with the lines of each VM in order; - or none for stdin",
    )


def _add_key_commands(subparsers: Any, flags: FlagBuilder) -> None:
    keys = subparsers.add_parser("keys", help="list, grant and withdraw keys")
    keys.set_defaults(run=commands.list_keys, watch=False)
    actions = keys.add_subparsers(dest="action", metavar="ACTION")
    _add_command(actions, "list", "list the keys by id", commands.list_keys)
    grant = _add_command(actions, "grant", "grant a key to a workspace", commands.grant_key)
    grant.add_argument("workspace", metavar="WORKSPACE")
    flags.add(grant, "reason", "reason, recorded in the audit trail", required=True)
    withdraw = _add_command(actions, "withdraw", "withdraw a key", commands.withdraw_key)
    withdraw.add_argument("key_id", metavar="KEY_ID", help="the key's SHA-256")
    flags.add(withdraw, "reason", "reason, recorded in the audit trail", default="")
    flags.add_switch(withdraw, "show", "only show whether the withdrawal is in force")
