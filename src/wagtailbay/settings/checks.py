"""Parsers and validators for common types of settings."""

import ipaddress
from collections.abc import Callable


def at_least(minimum: int) -> Callable[[int], str | None]:
    """Return a check that rejects numbers below the minimum."""

    def check(value: int) -> str | None:
        return None if value >= minimum else f"must be at least {minimum}, got {value}"

    return check


def one_of(*choices: str) -> Callable[[str], str | None]:
    """Return a check that rejects values other than the choices."""

    def check(value: str) -> str | None:
        return None if value in choices else f"must be one of {', '.join(choices)}, got {value!r}"

    return check


def parse_address(text: str) -> str:
    """Validate ``<IP address>:<port>`` and return it unchanged.

    Raises:
        ValueError: The host is not an IP address or the port is not in 0 to 65535.
    """
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError(f"expected <ip number>:<port>, got {text!r}")
    ipaddress.ip_address(host)
    if not (port.isascii() and port.isdigit()) or len(port) > 5 or int(port) > 65535:
        raise ValueError(f"port must be 0 to 65535, got {port!r}")
    return text


def parse_optional_address(text: str) -> str:
    """Validate an address; allow an empty text."""
    return parse_address(text) if text else ""


def parse_named_addresses(text: str) -> dict[str, str]:
    """Parse comma-separated ``name=<IP address>:<port>`` pairs."""
    return {name: parse_address(value) for name, value in parse_pairs(text).items()}


def parse_address_list(text: str) -> tuple[str, ...]:
    """Parse comma-separated addresses; an empty text results in an empty tuple."""
    return tuple(parse_address(part.strip()) for part in text.split(",") if part.strip())


def parse_pairs(text: str) -> dict[str, str]:
    """Parse comma-separated ``name=value`` pairs.

    Raises:
        ValueError: A pair has no ``=``.
    """
    pairs = {}
    for part in filter(None, (item.strip() for item in text.split(","))):
        name, separator, value = part.partition("=")
        if not separator:
            raise ValueError(f"expected name=value, got {part!r}")
        pairs[name] = value
    return pairs


def parse_switch(text: str) -> bool:
    """Parse ``on`` or ``off``.

    Raises:
        ValueError: The text is neither.
    """
    if text not in ("on", "off"):
        raise ValueError(f"expected on or off, got {text!r}")
    return text == "on"


def split_address(address: str) -> tuple[str, int]:
    """Split ``<host>:<port>`` into host and port number."""
    host, _, port = address.rpartition(":")
    return host, int(port)
