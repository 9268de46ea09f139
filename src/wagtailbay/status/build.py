"""Build the status of an entry VM."""

from collections.abc import Callable, Mapping
from typing import Any

from attrs import frozen

from wagtailbay.config import ConfigView
from wagtailbay.config.const import SCHEMA_VERSION
from wagtailbay.status.models import StatusSource


def build_status(
    vm_source: StatusSource, sections: Mapping[str, StatusSource], now_s: float
) -> dict[str, Any]:
    """Return the JSON value of ``GET /-/status``.

    Args:
        vm_source: Source of the top-level fields: vm, state, incarnation, revision and others.
        sections: Sources of one object each, by name; top-level fields take precedence.
    """
    section_values = {name: dict(source.status(now_s)) for name, source in sections.items()}
    return {**section_values, **vm_source.status(now_s)}


@frozen
class ConfigStatus:
    """Reports which documents are in force and which are invalid."""

    get_view: Callable[[], ConfigView]

    def status(self, now_s: float) -> Mapping[str, Any]:
        """Return the versions and errors of documents by key."""
        view = self.get_view()
        errors = {
            key: [str(error) for error in document_errors]
            for key, document_errors in view.errors.items()
        }
        return {
            "schema_versions": [SCHEMA_VERSION],
            "versions": dict(view.versions),
            "faults": errors,
        }
