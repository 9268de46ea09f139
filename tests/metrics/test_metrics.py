"""Test the metrics against their table in docs/operators.md."""

import ast
import copy
import re
from pathlib import Path

import trio

from wagtailbay.metrics import Exporter, Metrics, build_exporter
from wagtailbay.transport import HttpServer, Request, fetch
from wagtailbay_bench.deployment import Deployment
from wagtailbay_bench.processes import ProcessGroup, free_address
from wagtailbay_bench.small_fleet import FLEET, RECORDS_SERVICE

ROOT = Path(__file__).parents[2]
DOCUMENTED_METRIC = re.compile(
    r"^\| `(wagtailbay_\w+)` \| (\w[\w/ ]*) \| ([\w, ]*) \|", re.MULTILINE
)
EXPOSED_SERIES = re.compile(
    r"^(wagtailbay_\w+?)(?:_bucket|_count|_sum)?(?:\{(.*)\})? ", re.MULTILINE
)


def record_all_metrics(metrics: Metrics) -> None:
    """Call every recording method once."""
    metrics.record_finished_request("records", "read", 200, "answered", 12.5)
    metrics.record_refusal("rate_exceeded")
    metrics.record_run_ahead("started")
    metrics.record_attempt("records", "shed")
    metrics.record_token_call("late", 7)
    metrics.record_token_wait(70.0)
    metrics.record_spare_token()
    metrics.record_queue("records", 1, "admitted")
    metrics.record_queue_wait("records", 40.0)
    metrics.record_hedge("records", "won")
    metrics.record_hedge_denial("records", "share")
    metrics.record_placement("records", "cached")
    metrics.record_target_pace("records", 250.0)
    metrics.record_store_call("put", "conflict")
    metrics.record_peer_exchange("ok")
    metrics.set_budget_share("rate/records/unam", 250_000)
    metrics.set_region_share("records", "mx-b", 0.2, 0.1)
    metrics.set_move_share("records", 20_000)
    metrics.set_confirmed_age(120.0)
    metrics.record_lost_audit_record()


def labels_by_metric(exporter: Exporter) -> dict[str, set[str]]:
    """Return the labels of each metric that a scrape exposes."""
    found: dict[str, set[str]] = {}
    for name, labels in EXPOSED_SERIES.findall(exporter.render_text().decode()):
        names = set(re.findall(r'(\w+)="', labels)) - {"le"}
        found.setdefault(name, set()).update(names)
    return found


def attributes_used_outside_metrics() -> set[str]:
    """Return the names of all attributes used in modules outside the metrics slice."""
    modules = (ROOT / "src/wagtailbay").rglob("*.py")
    trees = (ast.parse(path.read_text()) for path in modules if "metrics" not in path.parts)
    nodes = (node for tree in trees for node in ast.walk(tree))
    return {node.attr for node in nodes if isinstance(node, ast.Attribute)}


class TestCallers:
    """The programs record all declared metrics."""

    def test_every_declared_metric_has_a_caller(self) -> None:
        """Guards against a documented metric that is never recorded."""
        declared = {name for name in vars(Metrics) if not name.startswith("_")} - {"meter"}
        assert declared - attributes_used_outside_metrics() == set()
        assert "never_counted" not in attributes_used_outside_metrics()

    async def test_entry_process_counts_store_calls_and_exchanges(self) -> None:
        """Guards against counters that are declared but not connected in the entry program."""
        with ProcessGroup() as group:
            zones = {"vm-1": "mx-a1", "vm-2": "mx-a2"}
            fleet = Deployment(group, [copy.deepcopy(RECORDS_SERVICE)], FLEET, {"unam": "k"}, zones)
            await fleet.start()
            address = free_address("127.0.0.3")
            fleet.vm_flags = {"--metrics-address": address}
            fleet.add_vm("vm-3", "mx-b1")
            await fleet.start_vm("vm-3").wait_for_event("ready")
            await trio.sleep(1)
            answer = (await fetch(address, Request("GET", "/metrics"), 5_000)).unwrap()
        text = answer.body.decode()
        assert re.search(r'store_calls_total{call="list",outcome="ok"} [1-9]', text)
        assert re.search(r'peer_exchanges_total{outcome="ok"} [1-9]', text)


class TestMetrics:
    """Documented and exposed metrics are the same, with the expected values."""

    def test_documented_metrics_match_exposed_metrics(self) -> None:
        """Guards against undocumented metrics and documented metrics that do not exist."""
        exporter = build_exporter("program", "vm-1")
        record_all_metrics(exporter.metrics)
        rows = DOCUMENTED_METRIC.findall((ROOT / "docs/operators.md").read_text())
        documented = {
            name: {label.strip() for label in labels.split(",")} - {"", "none"}
            for name, _, labels in rows
        }
        assert labels_by_metric(exporter) == documented
        for name, unit, _ in rows:
            suffix = name.removesuffix("_total").rpartition("_")[2]
            assert unit == {"milliseconds": "ms", "ppm": "ppm"}.get(suffix, unit)
            assert (unit in ("ms", "ppm")) == (suffix in ("milliseconds", "ppm"))

    def test_recorded_values_are_exposed(self) -> None:
        """Guards against instruments that record wrong values or labels."""
        exporter = build_exporter("program")
        record_all_metrics(exporter.metrics)
        record_all_metrics(exporter.metrics)
        text = exporter.render_text().decode()
        labels = 'outcome="answered",route="read",service="records",status="200"'
        assert f"wagtailbay_requests_total{{{labels}}} 2.0" in text
        assert 'wagtailbay_budget_share_ppm{budget="rate/records/unam"} 250000.0' in text
        assert 'latency_milliseconds_bucket{le="20.0",route="read",service="records"} 2.0' in text

    def test_default_meter_accepts_all_calls(self) -> None:
        """Guards against methods that fail with the default meter, which discards everything."""
        record_all_metrics(Metrics())

    async def test_scrape_endpoint_serves_text_format(self, nursery) -> None:
        """Guards against a scrape endpoint that differs from the exported text."""
        exporter = build_exporter("program")
        record_all_metrics(exporter.metrics)
        _, port = await nursery.start(HttpServer(exporter.handle).serve, ("127.0.0.1", 0))
        address = f"127.0.0.1:{port}"
        answer = (await fetch(address, Request("GET", "/metrics"), 5_000)).unwrap()
        assert (answer.status, answer.body) == (200, exporter.render_text())
        assert (await fetch(address, Request("GET", "/other"), 5_000)).unwrap().status == 404
