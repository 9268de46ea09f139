"""Format a load report as a text table and as a self-contained HTML page with charts."""

import html
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any

import pygal

from wagtailbay_bench.load.models import Sample
from wagtailbay_bench.load.summary import LoadReport

PAGE_TEMPLATE = """<!doctype html><html lang="en"><meta charset="utf-8"><title>{title}</title>
<style>body{{font-family:sans-serif;max-width:70em;margin:2em auto}}svg{{height:24em}}
table{{border-collapse:collapse}}td,th{{padding:.2em .8em;border-bottom:1px solid #ccc;
text-align:right}}td:first-child,th:first-child{{text-align:left}}</style>
<h1>{title}</h1>{body}</html>
"""
COLUMNS = ("class", "workspace", "sent", "answered", "p50 ms", "p99 ms", "p99.9 ms", "refused")


def format_text(report: LoadReport) -> str:
    """Format one row for each traffic class as an aligned table."""
    rows = [COLUMNS, *_build_rows(report)]
    widths = [max(len(row[i]) for row in rows) for i in range(len(COLUMNS))]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    )
    return "\n".join(line.rstrip() for line in lines)


def _build_rows(report: LoadReport) -> list[tuple[str, ...]]:
    return [
        (
            c.name,
            c.workspace,
            str(c.sent),
            str(c.answered),
            f"{c.p50_ms:.1f}",
            f"{c.p99_ms:.1f}",
            f"{c.p999_ms:.1f}",
            ", ".join(f"{code} {count}" for code, count in c.refused_by_code.items()) or "-",
        )
        for c in report.classes
    ]


def format_page(
    title: str,
    report: LoadReport,
    samples: Sequence[Sample],
    regions: Mapping[str, str],
    capacity_per_s: Mapping[str, float],
) -> str:
    """Format an HTML page with the table and the charts.

    Args:
        regions: Region of each target.
        capacity_per_s: Configured capacity of each region in requests per second.
    """
    table = "".join(
        f"<tr>{''.join(f'<td>{html.escape(cell)}</td>' for cell in row)}</tr>"
        for row in _build_rows(report)
    )
    header_cells = "".join(f"<th>{name}</th>" for name in COLUMNS)
    charts = (
        _latency_chart(report),
        _headroom_chart(samples, regions, capacity_per_s),
        _per_second_chart("Requests per second by workspace", samples, lambda s: s.workspace),
        _per_second_chart("Responses per second by version", samples, lambda s: s.version),
        _per_second_chart("Failures per second by reason", samples, _failure_reason),
    )
    charts_svg = "".join(
        chart.render(is_unicode=True, disable_xml_declaration=True) for chart in charts
    )
    body = f"<table><tr>{header_cells}</tr>{table}</table>{charts_svg}"
    return PAGE_TEMPLATE.format(title=html.escape(title), body=body)


def _failure_reason(sample: Sample) -> str:
    return "" if sample.answered else sample.code or str(sample.status)


def _latency_chart(report: LoadReport) -> pygal.Bar:
    chart = pygal.Bar(title="Latency by class in ms", js=(), logarithmic=True)
    chart.x_labels = [c.name for c in report.classes]
    for name in ("p50_ms", "p99_ms", "p999_ms"):
        chart.add(name.removesuffix("_ms"), [max(getattr(c, name), 0.01) for c in report.classes])
    return chart


def _count_seconds(samples: Sequence[Sample]) -> int:
    return int(max((s.due_s for s in samples), default=0.0)) + 1


def _per_second_chart(title: str, samples: Sequence[Sample], series_name: Any) -> pygal.Line:
    counts: dict[str, Counter] = {}
    for sample in samples:
        if name := series_name(sample):
            counts.setdefault(name, Counter())[int(sample.due_s)] += 1
    return _line_chart(title, counts, _count_seconds(samples))


def _headroom_chart(
    samples: Sequence[Sample], regions: Mapping[str, str], capacity_per_s: Mapping[str, float]
) -> pygal.Line:
    requests_by_region: dict[str, Counter] = {region: Counter() for region in capacity_per_s}
    for sample in samples:
        if (region := regions.get(sample.target)) in requests_by_region:
            requests_by_region[region][int(sample.due_s)] += 1
    seconds = _count_seconds(samples)
    headroom = {
        region: Counter(
            {s: round(100 - 100 * counts[s] / capacity_per_s[region], 1) for s in range(seconds)}
        )
        for region, counts in requests_by_region.items()
    }
    return _line_chart("Headroom by region in % of its capacity", headroom, seconds)


def _line_chart(title: str, series: Mapping[str, Counter], seconds: int) -> pygal.Line:
    chart = pygal.Line(title=title, js=(), show_dots=False, x_title="s")
    chart.x_labels = [str(s) if s % 5 == 0 else "" for s in range(seconds)]
    for name in sorted(series):
        chart.add(name, [series[name][s] for s in range(seconds)])
    return chart
