"""Switch mechanisms of an entry VM off; for tests only, whose checks must then fail."""

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
class Mechanisms:
    """Hold the parts of one VM that have test-only switches."""

    handler: RequestHandler
    shift: ShiftController
    chooser: Chooser
    replica: Replica


def _keep_withdrawn_keys(parts: Mechanisms) -> None:
    parts.handler.authorizer.keys.reject_withdrawn = False


def _use_whole_rates(parts: Mechanisms) -> None:
    parts.handler.limiter.shares = EqualShares(lambda: 1, parts.handler.clock())


def _say_not_run(parts: Mechanisms) -> None:
    parts.handler.forwarder.reports_run_state = False


def _skip_claims(parts: Mechanisms) -> None:
    parts.handler.at_most_once_forwarder.idempotency_manager.skip_claim = True


def _ignore_drains(parts: Mechanisms) -> None:
    if isinstance(parts.chooser, TwoChoiceChooser):
        parts.chooser.finder.weights.enabled = False


def _keep_first_documents(parts: Mechanisms) -> None:
    parts.replica.accepts_updates = False


def _exceed_steps(parts: Mechanisms) -> None:
    parts.shift.picker.round_down = False
    parts.shift.picker.version_cap = UncappedVersions()


def _exceed_regions(parts: Mechanisms) -> None:
    if isinstance(parts.chooser, TwoChoiceChooser):
        parts.chooser.budgets = UnlimitedBudgets()


def _exceed_links(parts: Mechanisms) -> None:
    if isinstance(parts.chooser, TwoChoiceChooser):
        parts.chooser.budgets.links.fleet = lambda: None


def _judge_nothing(parts: Mechanisms) -> None:
    parts.shift.judge_enabled = parts.shift.coordinator.judge_enabled = False


def _refuse_no_crashing_request(parts: Mechanisms) -> None:
    parts.handler.forwarder.crashes.refusal_enabled = False


SWITCHES: dict[str, Callable[[Mechanisms], None]] = {
    "shift-cap": _exceed_steps,
    "regions": _exceed_regions,
    "links": _exceed_links,
    "keys": _keep_withdrawn_keys,
    "limits": _use_whole_rates,
    "bad-versions": _judge_nothing,
    "refusals": _say_not_run,
    "at-most-once": _skip_claims,
    "drains": _ignore_drains,
    "revisions": _keep_first_documents,
    "quarantine": _refuse_no_crashing_request,
}
# The wait of a planned stop is left out where the signal is received.
STOPS = "stops"
MECHANISMS = (*SWITCHES, STOPS)


def parse_mechanisms(text: str) -> frozenset[str]:
    """Parse names separated by commas.

    Raises:
        ValueError: A name is none of MECHANISMS.
    """
    names = frozenset(filter(None, (part.strip() for part in text.split(","))))
    if unknown := names - set(MECHANISMS):
        raise ValueError(f"expected {', '.join(MECHANISMS)}, got {', '.join(sorted(unknown))}")
    return names


def switch_off(names: frozenset[str], parts: Mechanisms) -> None:
    """Switch the named mechanisms off."""
    for name in sorted(names & set(SWITCHES)):
        SWITCHES[name](parts)
