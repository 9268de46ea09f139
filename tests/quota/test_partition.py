"""Tests of the part of a rate that an owner may grant while VMs are out of contact."""

import pytest

from wagtailbay.quota import grant_fraction
from wagtailbay.quota.const import KNOWN_LATELY_S, SPLIT_GRACE_S

ALONE = 1 / 6


def part_fractions(sizes: list[int], lost_for_s: float) -> list[float]:
    """Return the fraction of each part of a fleet that split some time ago."""
    return [grant_fraction(size - 1, [lost_for_s] * (sum(sizes) - size), ALONE) for size in sizes]


class TestGrantFraction:
    """The parts of a split fleet together grant the rate and hardly more."""

    def test_whole_fleet_grants_the_whole_rate(self):
        """Guards against refusals while all VMs are in contact."""
        assert grant_fraction(9, [], ALONE) == 1.0

    @pytest.mark.parametrize("sizes", [[9, 1], [7, 3], [5, 5], [4, 3, 3], [130, 65]])
    def test_parts_add_up_to_the_rate_at_first(self, sizes):
        """Guards against two owners that both grant the whole rate."""
        assert sum(part_fractions(sizes, SPLIT_GRACE_S - 1)) <= 1.0 + 1e-9

    @pytest.mark.parametrize("sizes", [[9, 1], [7, 3], [5, 5], [4, 3, 3], [130, 65]])
    def test_parts_stay_within_the_tolerance_later(self, sizes):
        """Guards against a smaller part that goes on as if it were all."""
        assert sum(part_fractions(sizes, SPLIT_GRACE_S + 1)) <= 1.1

    @pytest.mark.parametrize("crashed", [1, 3, 6])
    def test_survivors_of_a_crash_serve_their_part_at_once(self, crashed):
        """Guards against refusing everything after the loss of most VMs."""
        survivors = 10 - crashed
        fraction = grant_fraction(survivors - 1, [7.0] * crashed, ALONE)
        assert fraction >= survivors / 10 - 1e-9

    def test_survivors_of_a_lost_region_serve_all_after_a_while(self):
        """Guards against a rate that stays reduced although the region has ended."""
        assert grant_fraction(6, [SPLIT_GRACE_S] * 3, ALONE) == 1.0

    def test_survivors_of_most_vms_serve_all_in_the_end(self):
        """Guards against a fleet that stays in a minority of VMs that no longer exist."""
        assert grant_fraction(2, [KNOWN_LATELY_S] * 7, ALONE) == 1.0

    def test_vm_that_knows_no_other_serves_a_part(self):
        """Guards against the whole rate at each VM of a fleet that starts in pieces."""
        assert grant_fraction(0, [], ALONE) == ALONE
