"""Check the load of regions and of the links between them."""

from collections.abc import Iterator, Sequence
from itertools import accumulate

from wagtailbay_bench.prove.checks.const import REGION_BURST_S
from wagtailbay_bench.prove.checks.windows import Span, fullest_windows
from wagtailbay_bench.prove.models import History, Violation


def check_regions(history: History) -> Iterator[Violation]:
    """Check that runs in each region and bytes on each link stay within their budgets.

    A run was decided on between its request's departure and its start. What callers sent from
    another region counts like the region's own, so requests spill only within headroom.
    """
    sent = {request.trace: request.sent_unix_s for request in history.requests}
    for (service, region), capacity_per_s in history.capacities.items():
        spans = [
            Span(sent[run["trace"]], run["unix_s"])
            for run in history.runs
            if run["trace"] in sent and history.places.get(run["target"]) == (service, region)
        ]
        for window_s, count in fullest_windows(spans):
            if count > capacity_per_s * (window_s + REGION_BURST_S):
                message = f"{count:.0f} runs of {service} in {region} in {window_s:g} s"
                yield Violation("P2", f"{message} with a capacity of {capacity_per_s:g}/s")
    yield from _check_links(history)


def _check_links(history: History) -> Iterator[Violation]:
    """Check the answers that crossed a link; those in flight are charged only afterwards."""
    for (origin, destination), bytes_per_s in history.links.items():
        spans = []
        for request in history.requests:
            _, region = history.places.get(str(request.answer.get("target")), ("", ""))
            if region == origin and history.vm_regions.get(request.vm) == destination:
                spans.append(Span(request.sent_unix_s, request.ended_unix_s, request.answer_bytes))
        in_flight_bytes = _most_in_flight(spans)
        for window_s, amount in fullest_windows(spans):
            if amount > bytes_per_s * (window_s + REGION_BURST_S) + in_flight_bytes:
                message = f"{amount:.0f} bytes from {origin} to {destination} in {window_s:g} s"
                yield Violation("P2", f"{message} with a budget of {bytes_per_s:.0f}/s")


def _most_in_flight(spans: Sequence[Span]) -> float:
    """Return the largest sum of the amounts of spans that overlap."""
    changes = [(span.from_s, span.amount) for span in spans]
    changes += [(span.until_s, -span.amount) for span in spans]
    return max(accumulate(amount for _, amount in sorted(changes)), default=0.0)
