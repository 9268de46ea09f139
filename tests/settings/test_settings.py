"""Test the loading of settings."""

from contextlib import suppress

import pytest
from attrs import frozen
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok
from support.properties import PROPERTY

from wagtailbay.programs.admin import AdminSettings
from wagtailbay.programs.entry import EntrySettings
from wagtailbay.settings import load_settings, setting
from wagtailbay.settings.checks import (
    at_least,
    one_of,
    parse_address,
    parse_address_list,
    parse_named_addresses,
    parse_optional_address,
    parse_pairs,
)


@frozen
class SampleSettings:
    """Settings of an example program."""

    address: str = setting(help_text="where", parse=parse_address)
    count: int = setting(help_text="how many", default=1, parse=int, check=at_least(1))
    mode: str = setting(help_text="which", default="a", check=one_of("a", "b"))


class TestLoadSettings:
    """Flags override environment variables, and all errors are reported together."""

    def test_flag_overrides_environment_variable(self) -> None:
        """Guards against an environment variable that overrides the command line."""
        environ = {"WAGTAILBAY_ADDRESS": "127.0.0.1:1", "WAGTAILBAY_COUNT": "5"}
        loaded = load_settings("p", SampleSettings, ["--address=127.0.0.2:2"], environ)
        assert loaded == Ok(SampleSettings(address="127.0.0.2:2", count=5))

    def test_all_errors_are_reported_together(self) -> None:
        """Guards against reporting only the first of several errors."""
        loaded = load_settings("p", SampleSettings, ["--count=0", "--mode=c"], {})
        assert [error.name for error in loaded.err_value] == ["--address", "--count", "--mode"]

    @pytest.mark.parametrize("argv", [["--bogus"], ["--version"], ["--help"]])
    def test_argparse_exits_with_its_status(self, argv: list[str], capsys) -> None:
        """Guards against ignoring an unknown flag."""
        with pytest.raises(SystemExit) as raised:
            load_settings("p", SampleSettings, argv, {})
        assert raised.value.code == (2 if argv == ["--bogus"] else 0)

    @pytest.mark.parametrize("cls", [AdminSettings, EntrySettings])
    def test_missing_required_settings_are_reported(self, cls: type) -> None:
        """Guards against a program that starts without a required setting."""
        assert isinstance(load_settings("p", cls, [], {}), Err)

    def test_admin_entry_addresses_default_to_empty(self) -> None:
        """Guards against default values of AdminSettings that cannot be used."""
        argv = ["--listen-address=127.0.0.1:1", "--platform-address=127.0.0.1:2"]
        loaded = load_settings("p", AdminSettings, [*argv, f"--admin-tokens=ana={'0' * 64}"], {})
        assert loaded.unwrap().entry_addresses == {}


class TestParsers:
    """Parsers raise only ValueError, which the loader reports as a setting error."""

    @PROPERTY
    @given(st.text())
    def test_arbitrary_text_raises_only_value_error(self, text: str) -> None:
        """Guards against a traceback for an invalid setting."""
        for parse in (
            parse_address,
            parse_address_list,
            parse_named_addresses,
            parse_optional_address,
            parse_pairs,
        ):
            with suppress(ValueError):
                parse(text)
