"""Parse and check the requirements of a deployment."""

import json
from collections.abc import Callable
from typing import Any

from attrs import Attribute, fields

from wagtailbay.decoding import DECODE_ERRORS
from wagtailbay.requirements.const import LIMITS_BY_NAME
from wagtailbay.requirements.models import FleetRequirements


def parse_requirements(
    text: str, parse_duration_ms: Callable[[str], float] = float
) -> FleetRequirements:
    """Parse a JSON object of requirements by name; an empty value leaves the default in place.

    Args:
        parse_duration_ms: Parses the text of a duration into milliseconds.

    Raises:
        ValueError: The text is not such an object; the message names all faults.
    """
    values = json.loads(text)
    if not isinstance(values, dict):
        raise ValueError("expected a JSON object of requirements")
    known = {attribute.name: attribute for attribute in fields(FleetRequirements)}
    errors = [f"{name} is unknown" for name in values.keys() - known.keys()]
    parsed: dict[str, float] = {}
    for name, attribute in known.items():
        value = values.get(name)
        if value in (None, ""):
            continue
        try:
            parsed[name] = _parse_value(attribute, value, parse_duration_ms)
        except DECODE_ERRORS as error:
            errors.append(f"{name}: {error}")
    if errors:
        raise ValueError("; ".join(sorted(errors)))
    return FleetRequirements(**parsed)


def _parse_value(
    attribute: Attribute, value: Any, parse_duration_ms: Callable[[str], float]
) -> float:
    is_duration = attribute.name.endswith("_ms") and isinstance(value, str)
    number = parse_duration_ms(value) if is_duration else float(value)
    minimum, maximum = LIMITS_BY_NAME[attribute.name]
    if not minimum <= number <= maximum:
        raise ValueError(f"must be {minimum:g} to {maximum:g}, got {number:g}")
    return number
