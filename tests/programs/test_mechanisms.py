"""Test the switches that leave mechanisms out."""

import pytest

from wagtailbay.programs.mechanisms import MECHANISM_NAMES, parse_mechanisms
from wagtailbay_bench.prove.checks import CHECKS

# Whole answers rest on h11, which the process cannot leave out; tests/transport has the mutations.
PROPERTIES_WITHOUT_SWITCH = {"answers"}


class TestMechanismNames:
    """A mechanism is named like the property that it keeps."""

    def test_every_property_has_a_mechanism(self) -> None:
        """Guards against a check that was never seen to fail."""
        assert set(CHECKS) - set(MECHANISM_NAMES) == PROPERTIES_WITHOUT_SWITCH

    def test_multiple_names_are_parsed(self) -> None:
        """Guards against a list of which only the first name counts."""
        assert parse_mechanisms("keys, limits") == {"keys", "limits"}
        assert parse_mechanisms("") == frozenset()

    def test_unknown_name_is_rejected(self) -> None:
        """Guards against a misspelt name that leaves everything on."""
        with pytest.raises(ValueError, match="keyz"):
            parse_mechanisms("keyz")
