"""Command-line program that runs a load plan against entry VMs and prints a report."""

import json
import os
import sys
import tomllib
from pathlib import Path
from typing import Any

import trio
from attrs import frozen
from cattrs import Converter
from cattrs.errors import BaseValidationError
from result import Err, Ok, Result

from wagtailbay.settings import load_settings_or_exit, setting
from wagtailbay.settings.checks import parse_switch
from wagtailbay_bench.load.models import LoadPlan, TrafficClass
from wagtailbay_bench.load.report import format_page, format_text
from wagtailbay_bench.load.runner import run_load
from wagtailbay_bench.load.summary import summarize

PROGRAM = "wagtailbay-load"
MAX_DURATION_S = 3_600.0
EXIT_INVALID_PLAN = 2


@frozen
class LoadSettings:
    """Run a load plan against entry VMs, bounded in duration and number of requests."""

    plan: Path = setting(help_text="TOML file with the load plan", parse=Path)
    report: str = setting(help_text="folder for the HTML and JSON reports", default="")
    progress: bool = setting(help_text="on: show a progress bar", default=True, parse=parse_switch)


@frozen
class PlanFile:
    """Content of a plan file.

    Attributes:
        keys: API key of each workspace.
        seeds: Addresses of the entry VMs that new clients contact first, by availability zone.
    """

    duration_s: float
    seed: int
    keys: dict[str, str]
    seeds: dict[str, tuple[str, ...]]
    classes: tuple[TrafficClass, ...]


def read_plan(path: Path) -> Result[PlanFile, str]:
    """Read and validate a plan file; return a message that names the file on an error."""
    try:
        data: dict[str, Any] = tomllib.loads(path.read_text())
        plan = Converter(forbid_extra_keys=True).structure(data, PlanFile)
    except (OSError, ValueError, BaseValidationError) as error:
        return Err(f"{path}: {type(error).__name__}: {error}")
    if not 0 < plan.duration_s <= MAX_DURATION_S:
        return Err(f"{path}: duration_s must be above 0 and at most {MAX_DURATION_S:g}")
    for traffic_class in plan.classes:
        if traffic_class.workspace not in plan.keys:
            return Err(
                f"{path}: class {traffic_class.name!r}: "
                f"no key for workspace {traffic_class.workspace!r}"
            )
        missing = [zone for zone in traffic_class.availability_zones if zone not in plan.seeds]
        if missing or not traffic_class.availability_zones:
            return Err(f"{path}: class {traffic_class.name!r}: no seeds for zones {missing}")
        if traffic_class.rate_per_s <= 0:
            return Err(f"{path}: class {traffic_class.name!r}: rate_per_s must be above 0")
    return Ok(plan)


def main() -> None:
    """Run the load plan given by the settings and write its reports."""
    settings = load_settings_or_exit(PROGRAM, LoadSettings, os.environ)
    match read_plan(settings.plan):
        case Err(message):
            print(f"{PROGRAM}: {message}", file=sys.stderr)
            sys.exit(EXIT_INVALID_PLAN)
        case Ok(plan_file):
            plan = LoadPlan(plan_file.classes, plan_file.duration_s, plan_file.seed)
    samples = trio.run(run_load, plan, plan_file.keys, plan_file.seeds, settings.progress)
    report = summarize(plan, samples, {})
    print(f"\nseed={plan.seed} sent={report.sent} answered={report.answered}")
    print(format_text(report))
    if settings.report:
        folder = Path(settings.report)
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "load.html").write_text(format_page("load", report, samples, {}, {}))
        (folder / "load.json").write_text(json.dumps(report.as_json(), indent=1))


if __name__ == "__main__":
    main()
