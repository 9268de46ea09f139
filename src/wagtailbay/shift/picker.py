"""Choice of the version of each request, within the share of the current step."""

from attrs import define, field

from wagtailbay.config import Route, ServiceDocument, VersionPlan
from wagtailbay.shift.const import MAX_CONTACT_AGE_S, MOVE_KEY_PREFIX, PPM
from wagtailbay.shift.evidence import EvidenceRecorder
from wagtailbay.shift.models import (
    FleetContact,
    MovePhase,
    MoveState,
    ValueLookup,
    VersionCap,
    VersionChoice,
)
from wagtailbay.shift.plan import move_id
from wagtailbay.shift.stops import StopRegistry
from wagtailbay.shift.wire import decode_move
from wagtailbay.steer import AttemptReport


@define
class MoveReader:
    """Read moves from the replica and cache the decoded objects."""

    lookup: ValueLookup
    decoded: dict[str, tuple[object, MoveState | None]] = field(factory=dict)

    def state(self, service: ServiceDocument) -> MoveState | None:
        """Return the state of the move in the service document, None if there is none."""
        plan = service.version_plan
        value = self.lookup.value(MOVE_KEY_PREFIX + service.service)
        if plan is None or value is None:
            return None
        cached = self.decoded.get(service.service)
        if cached is None or cached[0] is not value:
            cached = (value, decode_move(value).unwrap_or(None))
            self.decoded[service.service] = cached
        state = cached[1]
        return state if state is not None and state.plan.move == move_id(plan) else None


@define
class MoveVersionPicker:
    """Pick versions by error diffusion and record their outcomes.

    Each route of a service has its own credit, which is reset at each step. A request goes to the
    new version only if the new version's count then is at most share x total, so no sum over
    routes and VMs exceeds the step. Credit left unused because of a cap or lost contact isn't made
    up for later.

    Attributes:
        contact: Last contact with a peer or the store. After 10 s without contact, every request
            goes to the old version.
        round_down: Test-only switch; if False, the first request of each step goes to the new
            version.
        enforce_contact_age: Test-only switch; if False, the step applies without contact.
    """

    moves: MoveReader
    stops: StopRegistry
    contact: FleetContact
    version_cap: VersionCap
    round_down: bool = True
    enforce_contact_age: bool = True
    recorders: dict[str, EvidenceRecorder] = field(factory=dict)
    credit_ppm: dict[tuple[str, str], tuple[tuple[str, int], int]] = field(factory=dict)

    def pick(self, service: ServiceDocument, route: Route, now_s: float) -> VersionChoice:
        """Pick the version for a new request; any version if the document has no version plan."""
        plan = service.version_plan
        if plan is None:
            return VersionChoice(None)
        state = self.moves.state(service)
        if state is None or state.phase is MovePhase.ROLLED_BACK:
            return VersionChoice(plan.old_version)
        if state.phase is MovePhase.FINISHED:
            return VersionChoice(plan.new_version)
        if (
            not self._has_recent_contact(now_s)
            or self.stops.find(state.plan.move, now_s) is not None
        ):
            return VersionChoice(plan.old_version)
        if self._accrue_share(service.service, route.name, state) and self._acquire_cap(
            service, plan, now_s
        ):
            return VersionChoice(plan.new_version)
        return VersionChoice(plan.old_version)

    def _has_recent_contact(self, now_s: float) -> bool:
        if not self.enforce_contact_age:
            return True
        contact_s = self.contact.last_contact_s()
        return contact_s is not None and now_s - contact_s <= MAX_CONTACT_AGE_S

    def _accrue_share(self, service: str, route: str, state: MoveState) -> bool:
        """Add the share of one request; return whether the credit covers a whole request."""
        step = (state.plan.move, state.step)
        last_step, credit_ppm = self.credit_ppm.get((service, route), (None, 0))
        if last_step != step:
            credit_ppm = 0 if self.round_down else PPM
        credit_ppm += state.share_ppm
        self.credit_ppm[(service, route)] = (step, credit_ppm % PPM)
        return credit_ppm >= PPM

    def _acquire_cap(self, service: ServiceDocument, plan: VersionPlan, now_s: float) -> bool:
        if plan.cap_per_s is None:
            return True
        return self.version_cap.try_acquire(service, plan.new_version, plan.cap_per_s, now_s)

    def record(
        self,
        service: ServiceDocument,
        route: Route,
        version: str,
        report: AttemptReport,
        now_s: float,
    ) -> None:
        """Count one attempt for the move in the service document."""
        recorder = self.recorder(service)
        if recorder is not None:
            recorder.record(route.name, version, report)

    def recorder(self, service: ServiceDocument) -> EvidenceRecorder | None:
        """Return the recorder of the planned move; a changed plan gets a new one."""
        plan = service.version_plan
        if plan is None:
            self.recorders.pop(service.service, None)
            return None
        move = move_id(plan)
        recorder = self.recorders.get(service.service)
        if recorder is None or recorder.move != move:
            recorder = EvidenceRecorder(service.service, move, plan.old_version, plan.new_version)
            self.recorders[service.service] = recorder
        return recorder
