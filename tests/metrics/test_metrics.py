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
from wagtailbay_bench.small import FLEET, RECORDS

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


def used_names() -> set[str]:
    """Return the attributes that any module outside the slice reads."""
    modules = (ROOT / "src/wagtailbay").rglob("*.py")
    trees = (ast.parse(path.read_text()) for path in modules if "metrics" not in path.parts)
    nodes = (node for tree in trees for node in ast.walk(tree))
    return {node.attr for node in nodes if isinstance(node, ast.Attribute)}


class TestEmission:
    """What is declared is also counted by the programs."""

    def test_every_declared_metric_has_a_caller(self) -> None:
        """Guards against a metric that operators watch and nothing ever counts."""
        declared = {name for name in vars(Metrics) if not name.startswith("_")} - {"meter"}
        assert declared - used_names() == set()
        assert "never_counted" not in used_names()

    async def test_an_entry_process_counts_store_calls_and_exchanges(self) -> None:
        """Guards against counters that are declared and stay empty in the real program."""
        with ProcessGroup() as group:
            zones = {"vm-1": "mx-a1", "vm-2": "mx-a2"}
            fleet = Deployment(group, [copy.deepcopy(RECORDS)], FLEET, {"unam": "k"}, zones)
            await fleet.start()
            address = free_address("127.0.0.3")
            fleet.vm_flags = {"--metrics-address": address}
            fleet.place_vm("vm-3", "mx-b1")
            await fleet.start_vm("vm-3").wait_for_event("ready")
            await trio.sleep(1)
            answer = (await fetch(address, Request("GET", "/metrics"), 5_000)).unwrap()
        text = answer.body.decode()
        assert re.search(r'store_calls_total{call="list",outcome="ok"} [1-9]', text)
        assert re.search(r'peer_exchanges_total{outcome="ok"} [1-9]', text)


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
