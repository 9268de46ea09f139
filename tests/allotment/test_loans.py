"""Test the lender's side of loans."""

import pytest
from attrs import evolve
from support.world import BUDGET, settled_world

from wagtailbay.membership import LoanRequest

GOOD = LoanRequest("vm-0", 1, BUDGET, 100_000, 500)


class TestLending:
    """A lender gives only its own share, and nothing for a bad request."""

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
    def test_bad_requests_get_nothing(self, changes) -> None:
        """Guards against a message that raises or keeps a share lent for hours."""
        lender = settled_world().vms["vm-1"]
        grant = lender.allotment.lend(evolve(GOOD, **changes), lender.clock())
        assert (grant.share_ppm, grant.tokens) == (0, 0.0)

    def test_share_and_tokens_leave_the_lender_at_once(self) -> None:
        """Guards against a share that both sides use."""
        world = settled_world(skewed=False)
        world.advance(5.0)
        lender = world.vms["vm-1"]
        before = lender.account.level(lender.clock())
        usable_ppm = lender.account.usable_ppm(lender.clock())
        grant = lender.allotment.lend(GOOD, lender.clock())
        assert grant.share_ppm == 100_000
        assert lender.account.usable_ppm(lender.clock()) == usable_ppm - 100_000
        assert lender.account.level(lender.clock()) <= before - grant.tokens

    def test_loans_of_tokens_add_up(self) -> None:
        """Guards against a second loan that frees the room of the first."""
        lender = settled_world(skewed=False).vms["vm-1"]
        request = evolve(GOOD, share_ppm=20_000, term_ms=200)
        for number in (1, 2):
            grant = lender.allotment.lend(evolve(request, number=number), lender.clock())
            assert grant.tokens > 0
        assert lender.account.lent_ppm(lender.clock()) == 40_000

    def test_a_returned_loan_ends_once(self) -> None:
        """Guards against a return that comes twice or late and frees the room of another loan."""
        lender = settled_world(skewed=False).vms["vm-1"]
        request = evolve(GOOD, share_ppm=20_000, term_ms=200)
        returned = evolve(GOOD, share_ppm=0, term_ms=0, returned=1)
        lender.allotment.lend(evolve(request, number=1), lender.clock())
        lender.allotment.lend(returned, lender.clock())
        assert lender.account.lent_ppm(lender.clock()) == 0
        lender.allotment.lend(evolve(request, number=2), lender.clock())
        other_run = evolve(returned, returned=2, incarnation=2)
        for again in (returned, other_run, evolve(returned, borrower="vm-2", returned=2)):
            assert lender.allotment.lend(again, lender.clock()).tokens == 0
        assert lender.account.lent_ppm(lender.clock()) == 20_000

    def test_the_answer_tells_what_is_left(self) -> None:
        """Guards against borrowers that ask a lender again in vain."""
        lender = settled_world(skewed=False).vms["vm-1"]
        held = lender.account.level(lender.clock())
        grant = lender.allotment.lend(evolve(GOOD, share_ppm=20_000, term_ms=200), lender.clock())
        assert grant.left_tokens == pytest.approx(held - grant.tokens)

    def test_borrowed_share_is_not_lent_on(self) -> None:
        """Guards against a chain of loans whose terms add up."""
        world = settled_world()
        middle = world.vms["vm-2"]
        world.ask(middle, 100)
        world.borrow(middle)
        world.deliver_all()
        own_ppm = middle.account.ledger_ppm
        world.now_s += 0.3
        grant = middle.allotment.lend(evolve(GOOD, share_ppm=1_000_000), middle.clock())
        assert grant.share_ppm <= own_ppm
