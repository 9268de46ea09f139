"""Check that all running releases of the entry VMs support a schema version."""

from collections.abc import Iterable

from wagtailbay.admin.fleet import VmReport
from wagtailbay.config import DocumentError


def schema_version_errors(
    reports: Iterable[VmReport], schema_version: int
) -> tuple[DocumentError, ...]:
    """Return an error for each VM whose status does not list the schema version.

    VMs without a status are skipped, as one unreachable VM would otherwise block every change. Such
    a VM keeps its previous document and reports the error once it is reachable again.
    """
    return tuple(
        DocumentError(
            "schema_version",
            f"{schema_version} is not supported by {report.vm}, which supports"
            f" {', '.join(map(str, supported))}",
        )
        for report in reports
        if (supported := _supported_schema_versions(report)) and schema_version not in supported
    )


def _supported_schema_versions(report: VmReport) -> tuple[int, ...]:
    """Return the schema versions that a VM reports; empty if it reports none."""
    config = (report.status or {}).get("config")
    versions = config.get("schema_versions") if isinstance(config, dict) else None
    if not isinstance(versions, list):
        return ()
    return tuple(version for version in versions if type(version) is int)
