"""Constants of the metrics slice."""

from typing import Final

METER_NAME: Final = "wagtailbay"
SCRAPE_PATH: Final = "/metrics"
# Bounds around the users' deadlines, from a status lookup of a few ms to a 60 s list.
LATENCY_BUCKETS_MS: Final = (
    1, 2, 5, 10, 20, 35, 50, 75, 100, 150, 250, 500, 1_000, 2_500, 5_000, 10_000, 30_000, 60_000,
)  # fmt: skip
