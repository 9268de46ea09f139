"""Test the documentation pages against the code."""

import argparse
import re
from pathlib import Path

from attrs import fields

from wagtailbay.admin.wire import load_openapi
from wagtailbay.ctl.arguments import build_parser
from wagtailbay.programs.admin import AdminSettings
from wagtailbay.settings.loader import flag_name

ROOT = Path(__file__).parents[2]
API_PAGE = (ROOT / "docs/api.md").read_text()
OPERATORS_PAGE = (ROOT / "docs/operators.md").read_text()
REFUSAL_CALL = re.compile(r'\b(not_run|outcome_unknown)\(\s*(\d{3}),\s*"(\w+)"')
REFUSAL_ROW = re.compile(r"^\| `(\w+)` \| (\d{3}) \| (not_run|unknown) \|", re.MULTILINE)
ADMIN_ERROR_CALL = re.compile(r'(?:AdminError|return AdminError)\((\d{3}), "(\w+)"')
ADMIN_ERROR_ROW = re.compile(r"^\| `(\w+)` \| (\d{3}) \| [A-Z]", re.MULTILINE)


def parser_flags(parser: argparse.ArgumentParser) -> set[str]:
    """Return the flags of a parser and of its subcommands."""
    found = set()
    for action in parser._actions:
        found |= {flag for flag in action.option_strings if flag.startswith("--")}
        if isinstance(action, argparse._SubParsersAction):
            for child in action.choices.values():
                found |= parser_flags(child)
    return found - {"--help", "--version"}


def operators_section(heading: str) -> str:
    """Return the text of a section of docs/operators.md."""
    return OPERATORS_PAGE.split(f"### {heading}\n")[1].split("\n##")[0]


class TestApiPage:
    """docs/api.md lists all error codes and administration requests."""

    def test_refusal_codes_are_documented(self) -> None:
        """Guards against refusals that are undocumented or have another run state or status."""
        described = {(code, status, run) for code, status, run in REFUSAL_ROW.findall(API_PAGE)}
        found = set()
        for path in (ROOT / "src/wagtailbay").rglob("*.py"):
            for kind, status, code in REFUSAL_CALL.findall(path.read_text()):
                run = "not_run" if kind == "not_run" else "unknown"
                found.add((code, status, run))
        assert found
        assert found <= described

    def test_administration_codes_are_documented(self) -> None:
        """Guards against undocumented error codes of the administration API."""
        sources = (ROOT / "src/wagtailbay/admin").glob("*.py")
        text = "".join(path.read_text() for path in sources)
        assert {(c, s) for s, c in ADMIN_ERROR_CALL.findall(text)} == set(
            ADMIN_ERROR_ROW.findall(API_PAGE)
        )

    def test_administration_paths_are_documented(self) -> None:
        """Guards against undocumented requests of the administration API."""
        for template, operations in load_openapi()["paths"].items():
            for method in operations:
                assert template.startswith("/-/") or f"`{method.upper()} {template}" in API_PAGE


class TestOperatorsPage:
    """docs/operators.md lists every setting of wagtailbay-admin and wagtailctl."""

    def test_admin_settings_are_documented(self) -> None:
        """Guards against undocumented settings."""
        rows = set(
            re.findall(r"^\| `(--[\w-]+)`", operators_section("2.2 wagtailbay-admin"), re.MULTILINE)
        )
        assert rows == {flag_name(attribute) for attribute in fields(AdminSettings)}

    def test_wagtailctl_flags_are_documented(self) -> None:
        """Guards against undocumented flags."""
        rows = set(
            re.findall(r"^\| `(--[\w-]+)`", operators_section("2.3 wagtailctl"), re.MULTILINE)
        )
        assert rows == parser_flags(build_parser({}))
