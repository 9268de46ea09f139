"""Test-only switches that disable mechanisms of an entry VM.

A test run without a mechanism shows that the check of its property can fail.
"""

from collections.abc import Callable

from attrs import define

from wagtailbay.allotment import EqualShares
from wagtailbay.entry import RequestHandler
from wagtailbay.replica import Replica
from wagtailbay.shift import UncappedVersions
from wagtailbay.shift.controller import ShiftController
from wagtailbay.steer import Chooser, TwoChoiceChooser
from wagtailbay.steer.unlimited import UnlimitedBudgets


@define
class SwitchableComponents:
    """Components of an entry VM that have test-only switches."""

    handler: RequestHandler
    shift: ShiftController
    chooser: Chooser
    replica: Replica


def _disable_key_withdrawal(components: SwitchableComponents) -> None:
    components.handler.authorizer.keys.reject_withdrawn = False


def _disable_rate_division(components: SwitchableComponents) -> None:
    components.handler.limiter.shares = EqualShares(lambda: 1, components.handler.clock())


def _disable_run_state_reports(components: SwitchableComponents) -> None:
    components.handler.forwarder.reports_run_state = False


def _disable_claims(components: SwitchableComponents) -> None:
    components.handler.at_most_once_forwarder.idempotency_manager.skip_claim = True


def _disable_drains(components: SwitchableComponents) -> None:
    if isinstance(components.chooser, TwoChoiceChooser):
        components.chooser.finder.weights.enabled = False


def _disable_replica_updates(components: SwitchableComponents) -> None:
    components.replica.accepts_updates = False


def _disable_shift_cap(components: SwitchableComponents) -> None:
    components.shift.picker.round_down = False
    components.shift.picker.version_cap = UncappedVersions()


def _disable_region_budgets(components: SwitchableComponents) -> None:
    if isinstance(components.chooser, TwoChoiceChooser):
        components.chooser.budgets = UnlimitedBudgets()


def _disable_link_budgets(components: SwitchableComponents) -> None:
    if isinstance(components.chooser, TwoChoiceChooser):
        components.chooser.budgets.links.fleet = lambda: None


def _disable_judge(components: SwitchableComponents) -> None:
    components.shift.judge_enabled = components.shift.coordinator.judge_enabled = False


def _disable_quarantine(components: SwitchableComponents) -> None:
    components.handler.forwarder.crashes.refusal_enabled = False


DISABLERS: dict[str, Callable[[SwitchableComponents], None]] = {
    "shift-cap": _disable_shift_cap,
    "regions": _disable_region_budgets,
    "links": _disable_link_budgets,
    "keys": _disable_key_withdrawal,
    "limits": _disable_rate_division,
    "bad-versions": _disable_judge,
    "refusals": _disable_run_state_reports,
    "at-most-once": _disable_claims,
    "drains": _disable_drains,
    "revisions": _disable_replica_updates,
    "quarantine": _disable_quarantine,
}
# The entry program itself skips the graceful shutdown when it receives the signal.
GRACEFUL_STOPS = "stops"
MECHANISM_NAMES = (*DISABLERS, GRACEFUL_STOPS)


def parse_mechanisms(text: str) -> frozenset[str]:
    """Parse mechanism names separated by commas.

    Raises:
        ValueError: A name is not in MECHANISM_NAMES.
    """
    names = frozenset(filter(None, (part.strip() for part in text.split(","))))
    if unknown := names - set(MECHANISM_NAMES):
        raise ValueError(f"expected {', '.join(MECHANISM_NAMES)}, got {', '.join(sorted(unknown))}")
    return names


def disable_mechanisms(names: frozenset[str], components: SwitchableComponents) -> None:
    """Disable the named mechanisms."""
    for name in sorted(names & set(DISABLERS)):
        DISABLERS[name](components)
