"""Parse and check the settings of usage reports."""

import json
from collections.abc import Callable

from attrs import fields

from wagtailbay.decoding import DECODE_ERRORS
from wagtailbay.usage.models import UsageSettings

LIMITS_BY_NAME = {
    "report_window_ms": (500.0, 3_600_000.0),
    "due_after_ms": (1_000.0, 3_600_000.0),
    "tolerance": (0.0, 1.0),
    "lease_ms": (500.0, 600_000.0),
    "thaw_slack_ms": (0.0, 60_000.0),
    "calls_per_s": (0.1, 10_000.0),
}


def parse_usage_settings(text: str, parse_duration_ms: Callable[[str], float]) -> UsageSettings:
    """Parse a JSON object of settings by name; an empty value leaves the default in place.

    Without a window there are no reports, and what the other values say does not matter.

    Raises:
        ValueError: The text is not such an object; the message names all faults.
    """
    values = json.loads(text)
    if not isinstance(values, dict):
        raise ValueError("expected a JSON object of settings")
    if values.get("report_window_ms") in (None, ""):
        return UsageSettings()
    names = {attribute.name for attribute in fields(UsageSettings)}
    errors = [f"{name} is unknown" for name in values.keys() - names]
    parsed: dict[str, float] = {}
    for name in names:
        value = values.get(name)
        if value in (None, ""):
            continue
        try:
            is_duration = name.endswith("_ms") and isinstance(value, str)
            number = parse_duration_ms(value) if is_duration else float(value)
            minimum, maximum = LIMITS_BY_NAME[name]
            if not minimum <= number <= maximum:
                raise ValueError(f"must be {minimum:g} to {maximum:g}, got {number:g}")
            parsed[name] = number
        except DECODE_ERRORS as error:
            errors.append(f"{name}: {error}")
    settings = UsageSettings(**parsed)
    if settings.thaw_slack_ms > settings.lease_ms / 2:
        errors.append("thaw_slack_ms: must be at most half of lease_ms")
    if errors:
        raise ValueError("; ".join(sorted(errors)))
    return settings
