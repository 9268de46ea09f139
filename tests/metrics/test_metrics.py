"""Test the metrics against their table in docs/operators.md."""

import re
from pathlib import Path

from wagtailbay.metrics import Exporter, Metrics, build_exporter
from wagtailbay.transport import HttpServer, Request, fetch

ROOT = Path(__file__).parents[2]
ROW = re.compile(r"^\| `(wagtailbay_\w+)` \| (\w[\w/ ]*) \| ([\w, ]*) \|", re.MULTILINE)
SERIES = re.compile(r"^(wagtailbay_\w+?)(?:_bucket|_count|_sum)?(?:\{(.*)\})? ", re.MULTILINE)


def use_all(metrics: Metrics) -> None:
    """Call every method once."""
    metrics.request_finished("records", "read", 200, "answered", 12.5)
    metrics.refused("rate_exceeded")
    metrics.attempt_finished("records", "shed")
    metrics.store_called("put", "conflict")
    metrics.peer_exchanged("ok")
    metrics.share_changed("rate/records/unam", 250_000)
    metrics.move_stepped("records", 20_000)
    metrics.confirmed_age_changed(120.0)
    metrics.audit_record_lost()


def emitted(exporter: Exporter) -> dict[str, set[str]]:
    """Return the labels of each metric that a scrape shows."""
    found: dict[str, set[str]] = {}
    for name, labels in SERIES.findall(exporter.text().decode()):
        names = set(re.findall(r'(\w+)="', labels)) - {"le"}
        found.setdefault(name, set()).update(names)
    return found


class TestMetrics:
    """Every metric is documented, and every documented one exists."""

    def test_table_equals_what_is_emitted(self) -> None:
        """Guards against a metric without a meaning and a meaning without a metric."""
        exporter = build_exporter("program", "vm-1")
        use_all(exporter.metrics)
        rows = ROW.findall((ROOT / "docs/operators.md").read_text())
        documented = {
            name: {label.strip() for label in labels.split(",")} - {"", "none"}
            for name, _, labels in rows
        }
        assert emitted(exporter) == documented
        for name, unit, _ in rows:
            suffix = name.removesuffix("_total").rpartition("_")[2]
            assert unit == {"milliseconds": "ms", "ppm": "ppm"}.get(suffix, unit)
            assert (unit in ("ms", "ppm")) == (suffix in ("milliseconds", "ppm"))

    def test_values(self) -> None:
        """Guards against instruments that count something else than they name."""
        exporter = build_exporter("program")
        use_all(exporter.metrics)
        use_all(exporter.metrics)
        text = exporter.text().decode()
        labels = 'outcome="answered",route="read",service="records",status="200"'
        assert f"wagtailbay_requests_total{{{labels}}} 2.0" in text
        assert 'wagtailbay_budget_share_ppm{budget="rate/records/unam"} 250000.0' in text
        assert 'latency_milliseconds_bucket{le="20.0",route="read",service="records"} 2.0' in text

    def test_without_scrape_nothing_is_kept(self) -> None:
        """Guards against a cost where no one reads the metrics."""
        use_all(Metrics())

    async def test_scrape_address(self, nursery) -> None:
        """Guards against a scrape that the text format's readers cannot use."""
        exporter = build_exporter("program")
        use_all(exporter.metrics)
        _, port = await nursery.start(HttpServer(exporter.handle).serve, ("127.0.0.1", 0))
        address = f"127.0.0.1:{port}"
        answer = (await fetch(address, Request("GET", "/metrics"), 5_000)).unwrap()
        assert (answer.status, answer.body) == (200, exporter.text())
        assert (await fetch(address, Request("GET", "/other"), 5_000)).unwrap().status == 404
