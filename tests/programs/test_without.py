"""Test the switches that leave mechanisms out."""

import pytest

from wagtailbay.programs.without import MECHANISMS, parse_mechanisms
from wagtailbay_bench.prove.checks import CHECKS

# Whole answers rest on h11, which the process cannot leave out; tests/transport has the mutations.
UNSWITCHED = {"answers"}


class TestMechanismNames:
    """A mechanism is named like the property that it keeps."""

    def test_each_property_has_a_switch(self) -> None:
        """Guards against a check that was never seen to fail."""
        assert set(CHECKS) - set(MECHANISMS) == UNSWITCHED

    def test_several_names(self) -> None:
        """Guards against a list of which only the first name counts."""
        assert parse_mechanisms("keys, limits") == {"keys", "limits"}
        assert parse_mechanisms("") == frozenset()

    def test_unknown_name(self) -> None:
        """Guards against a misspelt name that leaves everything on."""
        with pytest.raises(ValueError, match="keyz"):
            parse_mechanisms("keyz")
