"""Test the status of an entry VM."""

from collections.abc import Mapping
from typing import Any

from attrs import frozen

from wagtailbay.config import ConfigView, DocumentError
from wagtailbay.status import ConfigStatus, build_status


@frozen
class FixedSource:
    """Status source with fixed fields."""

    fields: Mapping[str, Any]

    def status(self, now_s: float) -> Mapping[str, Any]:
        """Return the fixed fields and the given time."""
        return {**self.fields, "now_s": now_s}


class TestBuildStatus:
    """Sections are added under their names, next to the VM's top-level fields."""

    def test_section_does_not_replace_vm_fields(self) -> None:
        """Guards against a section that overwrites the VM's name."""
        sections = {"vm": FixedSource({}), "quarantine": FixedSource({"listed": 1})}
        status = build_status(FixedSource({"vm": "vm-1", "revision": 3}), sections, 5.0)
        assert status == {
            "vm": "vm-1",
            "revision": 3,
            "now_s": 5.0,
            "quarantine": {"listed": 1, "now_s": 5.0},
        }

    def test_config_section_lists_document_errors(self) -> None:
        """Guards against silently keeping an older version of an invalid document."""
        error = DocumentError("owner", "is required")
        view = ConfigView(versions={"documents/a": 4}, errors={"documents/a": (error,)})
        assert ConfigStatus(lambda: view).status(0.0) == {
            "schema_versions": [1],
            "versions": {"documents/a": 4},
            "faults": {"documents/a": ["owner: is required"]},
        }
