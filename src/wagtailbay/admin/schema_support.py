"""Refuse documents that a running release of the entry VMs cannot use."""

from collections.abc import Iterable

from wagtailbay.admin.fleet import VmReport
from wagtailbay.config import DocumentFault


def schema_version_errors(
    reports: Iterable[VmReport], schema_version: int
) -> tuple[DocumentFault, ...]:
    """Return one fault for each VM that answers and does not support the schema version.

    A VM that gives no status does not count: one dead VM would otherwise stop every change. It
    keeps its previous document and reports the fault when it is back.
    """
    return tuple(
        DocumentFault(
            "schema_version",
            f"{schema_version} is not supported by {report.vm}, which supports"
            f" {', '.join(map(str, supported))}",
        )
        for report in reports
        if (supported := _supported_schema_versions(report)) and schema_version not in supported
    )


def _supported_schema_versions(report: VmReport) -> tuple[int, ...]:
    """Return the schema versions that a VM names; empty where it names none."""
    config = (report.status or {}).get("config")
    versions = config.get("schema_versions") if isinstance(config, dict) else None
    if not isinstance(versions, list):
        return ()
    return tuple(version for version in versions if type(version) is int)
