"""Constants of the metrics slice."""

from typing import Final

METER_NAME: Final = "wagtailbay"
SCRAPE_PATH: Final = "/metrics"
# Cover the deadlines of callers, from status lookups of a few ms to lists that take 60 s.
LATENCY_BUCKETS_MS: Final = (
    1.0,
    2.0,
    5.0,
    10.0,
    20.0,
    35.0,
    50.0,
    75.0,
    100.0,
    150.0,
    250.0,
    500.0,
    1_000.0,
    2_500.0,
    5_000.0,
    10_000.0,
    30_000.0,
    60_000.0,
)
# Pace at which a target works as usual; a histogram costs too much to record it for each request.
USUAL_PACE_PERCENT: Final = 100.0
PACE_BUCKETS_PERCENT: Final = (50.0, 90.0, 110.0, 150.0, 200.0, 300.0, 500.0, 1_000.0)
