"""Check the load on regions and on the links between them."""

from collections.abc import Iterator, Sequence
from itertools import accumulate

from wagtailbay_bench.prove.checks.const import REGION_BURST_S
from wagtailbay_bench.prove.checks.windows import DecisionInterval, max_amount_per_window
from wagtailbay_bench.prove.models import History, Violation


def check_regions(history: History) -> Iterator[Violation]:
    """Check that runs in each region and bytes on each link stay within their budgets.

    The decision for a run falls between the sending of its request and the start of the run.
    Requests from other regions count like the region's own, so spillover has to fit into the
    region's headroom.
    """
    sent = {request.trace: request.sent_unix_s for request in history.requests}
    for (service, region), capacity_per_s in history.region_capacities_per_s.items():
        intervals = [
            DecisionInterval(sent[run["trace"]], run["unix_s"])
            for run in history.runs
            if run["trace"] in sent
            and history.target_locations.get(run["target"]) == (service, region)
        ]
        for window_s, count in max_amount_per_window(intervals):
            if count > capacity_per_s * (window_s + REGION_BURST_S):
                message = f"{count:.0f} runs of {service} in region {region} in {window_s:g} s"
                yield Violation("P2", f"{message} exceed the capacity of {capacity_per_s:g}/s")
    yield from _check_links(history)


def _check_links(history: History) -> Iterator[Violation]:
    """Check the response bytes that crossed each link.

    Responses in flight are charged to the link's budget only afterwards, so the bound includes
    the largest amount in flight at one time.
    """
    for (origin, destination), bytes_per_s in history.link_bytes_per_s.items():
        intervals = []
        for request in history.requests:
            _, region = history.target_locations.get(
                str(request.response_body.get("target")), ("", "")
            )
            if region == origin and history.vm_regions.get(request.vm) == destination:
                intervals.append(
                    DecisionInterval(
                        request.sent_unix_s, request.ended_unix_s, request.response_bytes
                    )
                )
        max_in_flight_bytes = _max_overlapping_amount(intervals)
        for window_s, amount in max_amount_per_window(intervals):
            if amount > bytes_per_s * (window_s + REGION_BURST_S) + max_in_flight_bytes:
                message = f"{amount:.0f} bytes from {origin} to {destination} in {window_s:g} s"
                yield Violation("P2", f"{message} exceed the budget of {bytes_per_s:.0f}/s")


def _max_overlapping_amount(intervals: Sequence[DecisionInterval]) -> float:
    """Return the largest total amount of intervals that overlap at one time."""
    changes = [(interval.earliest_s, interval.amount) for interval in intervals]
    changes += [(interval.latest_s, -interval.amount) for interval in intervals]
    return max(accumulate(amount for _, amount in sorted(changes)), default=0.0)
