"""Tests of the switches that disable mechanisms."""

import pytest

from wagtailbay.programs.mechanisms import MECHANISM_NAMES, parse_mechanisms
from wagtailbay_bench.prove.checks import CHECKS

# Complete responses depend on h11, which cannot be disabled; tests/transport mutates it instead.
PROPERTIES_WITHOUT_SWITCH = {"answers"}


class TestMechanismNames:
    """Each mechanism has the name of the property that it ensures."""

    def test_every_property_has_a_mechanism(self) -> None:
        """Guards against a property whose check cannot be shown to fail."""
        assert set(CHECKS) - set(MECHANISM_NAMES) == PROPERTIES_WITHOUT_SWITCH

    def test_multiple_names_are_parsed(self) -> None:
        """Guards against ignoring all but the first name of a list."""
        assert parse_mechanisms("keys, limits") == {"keys", "limits"}
        assert parse_mechanisms("") == frozenset()

    def test_unknown_name_is_rejected(self) -> None:
        """Guards against a misspelt name that silently disables nothing."""
        with pytest.raises(ValueError, match="keyz"):
            parse_mechanisms("keyz")
