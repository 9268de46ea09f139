"""Tests of how a lender handles loan requests."""

import pytest
from attrs import evolve
from support.allotment_simulation import BUDGET, settled_simulation

from wagtailbay.membership import LoanRequest

VALID_REQUEST = LoanRequest("vm-0", 1, BUDGET, 100_000, 500)


class TestLending:
    """A lender lends only its own share and nothing for invalid requests."""

    @pytest.mark.parametrize(
        "changes",
        [
            {"share_ppm": 0},
            {"share_ppm": -5},
            {"share_ppm": 2_000_000},
            {"share_ppm": "all"},
            {"share_ppm": 0.5},
            {"term_ms": 0},
            {"term_ms": 3_600_000},
            {"budget": "workspace:none/none"},
            {"borrower": "vm-1"},
            {"borrower": None},
            {"incarnation": None},
        ],
    )
    def test_invalid_requests_get_empty_grant(self, changes) -> None:
        """Guards against a malformed request that raises or lends a share for hours."""
        lender = settled_simulation().vms["vm-1"]
        grant = lender.allotment.lend(evolve(VALID_REQUEST, **changes), lender.clock())
        assert (grant.share_ppm, grant.tokens) == (0, 0.0)

    def test_lending_immediately_reduces_share_and_tokens_of_lender(self) -> None:
        """Guards against a share that lender and borrower use at the same time."""
        simulation = settled_simulation(clock_skew=False)
        simulation.advance(5.0)
        lender = simulation.vms["vm-1"]
        before = lender.account.level(lender.clock())
        usable_ppm = lender.account.usable_ppm(lender.clock())
        grant = lender.allotment.lend(VALID_REQUEST, lender.clock())
        assert grant.share_ppm == 100_000
        assert lender.account.usable_ppm(lender.clock()) == usable_ppm - 100_000
        assert lender.account.level(lender.clock()) <= before - grant.tokens

    def test_token_loans_are_cumulative(self) -> None:
        """Guards against a second token loan that frees the capacity lent with the first."""
        lender = settled_simulation(clock_skew=False).vms["vm-1"]
        request = evolve(VALID_REQUEST, share_ppm=20_000, term_ms=200)
        for number in (1, 2):
            grant = lender.allotment.lend(evolve(request, number=number), lender.clock())
            assert grant.tokens > 0
        assert lender.account.lent_ppm(lender.clock()) == 40_000

    def test_returned_loan_is_released_once(self) -> None:
        """Guards against a duplicate or late return that frees the capacity of another loan."""
        lender = settled_simulation(clock_skew=False).vms["vm-1"]
        request = evolve(VALID_REQUEST, share_ppm=20_000, term_ms=200)
        returned = evolve(VALID_REQUEST, share_ppm=0, term_ms=0, returned=1)
        lender.allotment.lend(evolve(request, number=1), lender.clock())
        lender.allotment.lend(returned, lender.clock())
        assert lender.account.lent_ppm(lender.clock()) == 0
        lender.allotment.lend(evolve(request, number=2), lender.clock())
        other_incarnation = evolve(returned, returned=2, incarnation=2)
        for stale_return in (
            returned,
            other_incarnation,
            evolve(returned, borrower="vm-2", returned=2),
        ):
            assert lender.allotment.lend(stale_return, lender.clock()).tokens == 0
        assert lender.account.lent_ppm(lender.clock()) == 20_000

    def test_grant_reports_remaining_tokens(self) -> None:
        """Guards against borrowers that keep asking a lender without spare tokens."""
        lender = settled_simulation(clock_skew=False).vms["vm-1"]
        held = lender.account.level(lender.clock())
        grant = lender.allotment.lend(
            evolve(VALID_REQUEST, share_ppm=20_000, term_ms=200), lender.clock()
        )
        assert grant.left_tokens == pytest.approx(held - grant.tokens)

    def test_borrowed_share_is_not_lent(self) -> None:
        """Guards against lending a borrowed share beyond the original term."""
        simulation = settled_simulation()
        intermediary = simulation.vms["vm-2"]
        simulation.send_requests(intermediary, 100)
        simulation.borrow(intermediary)
        simulation.deliver_all()
        own_ppm = intermediary.account.ledger_ppm
        simulation.now_s += 0.3
        grant = intermediary.allotment.lend(
            evolve(VALID_REQUEST, share_ppm=1_000_000), intermediary.clock()
        )
        assert grant.share_ppm <= own_ppm
