"""Check a recorded history against a specification of each property."""

from collections.abc import Callable, Iterator

from wagtailbay_bench.prove.checks.crashes import check_quarantine
from wagtailbay_bench.prove.checks.fleet import check_drains, check_revisions, check_stops
from wagtailbay_bench.prove.checks.moves import check_bad_versions, check_shift_cap
from wagtailbay_bench.prove.checks.regions import check_regions
from wagtailbay_bench.prove.checks.requests import (
    check_answers,
    check_at_most_once,
    check_keys,
    check_limits,
    check_refusals,
)
from wagtailbay_bench.prove.models import History, Violation

# In the order P1 to P11; the quarantine of crashing requests follows.
CHECKS: dict[str, Callable[[History], Iterator[Violation]]] = {
    "shift-cap": check_shift_cap,
    "regions": check_regions,
    "keys": check_keys,
    "limits": check_limits,
    "bad-versions": check_bad_versions,
    "answers": check_answers,
    "refusals": check_refusals,
    "at-most-once": check_at_most_once,
    "drains": check_drains,
    "stops": check_stops,
    "revisions": check_revisions,
    "quarantine": check_quarantine,
}


def check_history(history: History) -> list[Violation]:
    """Return the violations of all properties in a history."""
    return [violation for check in CHECKS.values() for violation in check(history)]
