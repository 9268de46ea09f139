"""Status of the entry VMs."""

from collections.abc import Mapping
from typing import Any

import trio
from attrs import asdict, frozen
from result import Err, Ok, Result

from wagtailbay.admin.const import ENTRY_STATUS_PATH, MAX_CONCURRENT_STATUS_READS
from wagtailbay.admin.models import (
    AdminError,
    ApiRequest,
    ApiResponse,
    ApiResult,
    store_unavailable,
)
from wagtailbay.admin.wire import decode_entry_status
from wagtailbay.config import FleetDocument, parse_fleet
from wagtailbay.config.const import FLEET_DOCUMENT_KEY
from wagtailbay.settings.checks import parse_address
from wagtailbay.store import ObjectStore, VmRecord
from wagtailbay.transport import Request, fetch


@frozen
class VmReport:
    """Combines a VM's entry in the platform's list with the status that the VM reports.

    Attributes:
        listed_state: ``live`` or ``leaving``; None for a VM that is only in the settings.
        state: The state that the VM reports, None if it reports none.
        revision: The VM has applied all store changes up to this one; None if it reports none.
        confirmed_age_ms: Age of the VM's last confirmation by the store; None if it reports none.
        fault: Why the status could not be read; None if it was read.
        status: The complete status, None if it could not be read.
    """

    vm: str
    address: str
    availability_zone: str
    listed_state: str | None
    state: str | None = None
    revision: int | None = None
    confirmed_age_ms: float | None = None
    fault: str | None = None
    status: Mapping[str, Any] | None = None

    def has_applied(self, revision: int) -> bool:
        """Return whether the VM has applied a revision; False for a joining VM."""
        return self.state != "joining" and self.revision is not None and self.revision >= revision


@frozen
class FleetView:
    """Combines the reports of all VMs with the fleet document.

    Attributes:
        document: The fleet document, None if there is none or it is invalid.
    """

    document: FleetDocument | None
    vms: tuple[VmReport, ...]

    @property
    def max_vms(self) -> int | None:
        """Return the maximum number of entry VMs that may run at the same time."""
        return None if self.document is None else self.document.max_vms

    @property
    def quorum(self) -> int | None:
        """Return the number of VMs that are a majority of the voters."""
        return None if self.document is None else self.document.voter_count // 2 + 1

    def is_voter(self, vm: str) -> bool:
        """Return whether a VM counts towards a quorum."""
        return self.document is not None and self.document.is_voter(vm)

    def as_json(self) -> dict[str, Any]:
        """Return the JSON value of the view, without the complete status of each VM."""
        vms = [asdict(report, filter=lambda a, _: a.name != "status") for report in self.vms]
        return {"max_vms": self.max_vms, "quorum": self.quorum, "vms": vms}


@frozen
class FleetReader:
    """Reads the status of every entry VM that the platform or the settings list.

    Attributes:
        addresses: Addresses by VM from the settings, for VMs that the platform may not list.
        timeout_ms: The timeout of one status request.
    """

    store: ObjectStore
    addresses: Mapping[str, str]
    timeout_ms: int

    async def get_fleet(self, request: ApiRequest) -> ApiResult:
        """Return the reports of all VMs with max_vms and the quorum."""
        view = await self.read()
        return view.map(lambda found: ApiResponse(200, found.as_json()))

    async def read(self) -> Result[FleetView, AdminError]:
        """Return the view; the report of a VM that does not respond has a fault and no status."""
        stored = await self.store.get(FLEET_DOCUMENT_KEY)
        if isinstance(stored, Err):
            return Err(store_unavailable(stored.err_value.message))
        listed = await self.store.vms()
        if isinstance(listed, Err):
            return Err(store_unavailable(listed.err_value.message))
        fleet: FleetDocument | None = None
        if stored.ok_value is not None:
            match parse_fleet(stored.ok_value.value):
                case Ok(FleetDocument() as document):
                    fleet = document
        return Ok(
            FleetView(fleet, await self._fetch_statuses(self._merge_vms(listed.ok_value.vms)))
        )

    def _merge_vms(self, records: tuple[VmRecord, ...]) -> list[VmReport]:
        known_vms = {r.vm: VmReport(r.vm, r.address, r.availability_zone, r.state) for r in records}
        for vm, address in self.addresses.items():
            known_vms.setdefault(vm, VmReport(vm, address, "", None))
        return [known_vms[vm] for vm in sorted(known_vms)]

    async def _fetch_statuses(self, known_vms: list[VmReport]) -> tuple[VmReport, ...]:
        reports = list(known_vms)
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_STATUS_READS)

        async def fetch_one(index: int) -> None:
            async with limiter:
                reports[index] = await self._fetch_status(known_vms[index])

        async with trio.open_nursery() as nursery:
            for index in range(len(known_vms)):
                nursery.start_soon(fetch_one, index)
        return tuple(reports)

    async def _fetch_status(self, known_vm: VmReport) -> VmReport:
        try:
            parse_address(known_vm.address)
        except ValueError as error:
            return _report_without_status(known_vm, f"address {known_vm.address!r}: {error}")
        response = await fetch(known_vm.address, Request("GET", ENTRY_STATUS_PATH), self.timeout_ms)
        if isinstance(response, Err):
            return _report_without_status(known_vm, str(response.err_value))
        if response.ok_value.status != 200:
            return _report_without_status(known_vm, f"status {response.ok_value.status}")
        status = decode_entry_status(response.ok_value.body)
        if isinstance(status, Err):
            return _report_without_status(known_vm, status.err_value)
        return _report_with_status(known_vm, status.ok_value)


def _report_without_status(known_vm: VmReport, fault: str) -> VmReport:
    return VmReport(
        known_vm.vm,
        known_vm.address,
        known_vm.availability_zone,
        known_vm.listed_state,
        fault=fault,
    )


def _report_with_status(known_vm: VmReport, status: Mapping[str, Any]) -> VmReport:
    """Return a VM's report with its status, or with a fault if another VM sent the status."""
    if status.get("vm") != known_vm.vm:
        return _report_without_status(known_vm, f"VM {status.get('vm')!r} answers at this address")
    revision, age_ms = status.get("revision"), status.get("confirmed_age_ms")
    return VmReport(
        known_vm.vm,
        known_vm.address,
        known_vm.availability_zone or str(status.get("availability_zone", "")),
        known_vm.listed_state,
        state=status["state"] if isinstance(status.get("state"), str) else None,
        revision=revision if type(revision) is int else None,
        confirmed_age_ms=round(age_ms, 1) if isinstance(age_ms, int | float) else None,
        status=status,
    )
