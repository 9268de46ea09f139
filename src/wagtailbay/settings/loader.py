"""Load an attrs settings class from flags and environment variables."""

import argparse
import sys
from collections.abc import Mapping, Sequence
from typing import Any, NoReturn, TypeVar

from attrs import NOTHING, Attribute, fields
from result import Err, Ok, Result

from wagtailbay import __version__
from wagtailbay.settings.const import ENVIRONMENT_PREFIX, EXIT_STATUS_INVALID_SETTING
from wagtailbay.settings.models import SettingError

T = TypeVar("T")


def flag_name(attribute: Attribute) -> str:
    """Return the flag of a settings field."""
    return "--" + attribute.name.replace("_", "-")


def environment_variable_name(attribute: Attribute) -> str:
    """Return the environment variable of a settings field."""
    return ENVIRONMENT_PREFIX + attribute.name.upper()


def build_parser(program: str, cls: type) -> argparse.ArgumentParser:
    """Build the argument parser for a settings class."""
    parser = argparse.ArgumentParser(prog=program, description=(cls.__doc__ or "").split("\n")[0])
    parser.add_argument("--version", action="version", version=f"{program} {__version__}")
    for attribute in fields(cls):
        default = "required" if attribute.default is NOTHING else f"default {attribute.default!r}"
        text = f"{attribute.metadata['help']} ({environment_variable_name(attribute)}; {default})"
        parser.add_argument(flag_name(attribute), help=text.replace("%", "%%"), metavar="VALUE")
    return parser


def load_settings(
    program: str, cls: type[T], argv: Sequence[str], environ: Mapping[str, str]
) -> Result[T, tuple[SettingError, ...]]:
    """Load settings; a flag overrides its environment variable.

    Returns:
        The settings, or all errors found.
    """
    namespace = build_parser(program, cls).parse_args(argv)
    values: dict[str, Any] = {}
    errors: list[SettingError] = []
    for attribute in fields(cls):
        text = getattr(namespace, attribute.name)
        if text is None:
            text = environ.get(environment_variable_name(attribute))
        if text is None:
            if attribute.default is NOTHING:
                errors.append(SettingError(flag_name(attribute), "is required"))
            continue
        match parse_value(attribute, text):
            case Ok(value):
                values[attribute.name] = value
            case Err(error):
                errors.append(error)
    if errors:
        return Err(tuple(errors))
    return Ok(cls(**values))


def parse_value(attribute: Attribute, text: str) -> Result[Any, SettingError]:
    """Parse and validate the text of one setting."""
    name = flag_name(attribute)
    try:
        value = attribute.metadata["parse"](text)
    except ValueError as error:
        return Err(SettingError(name, str(error)))
    check = attribute.metadata["check"]
    message = check(value) if check else None
    return Err(SettingError(name, message)) if message else Ok(value)


def load_settings_or_exit(program: str, cls: type[T], environ: Mapping[str, str]) -> T:
    """Load settings from the command line, or print all errors and exit."""
    loaded = load_settings(program, cls, sys.argv[1:], environ)
    if isinstance(loaded, Err):
        exit_with_errors(program, loaded.err_value)
    return loaded.ok_value


def exit_with_errors(program: str, errors: Sequence[SettingError]) -> NoReturn:
    """Print all errors on one line and exit."""
    print(f"{program}: {'; '.join(map(str, errors))}", file=sys.stderr)
    sys.exit(EXIT_STATUS_INVALID_SETTING)
