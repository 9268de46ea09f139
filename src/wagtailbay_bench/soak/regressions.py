"""Seeds that failed once, each with its cause; all are mended."""

from typing import Final

from attrs import evolve, frozen

from wagtailbay_bench.soak.models import SoakSize


@frozen
class Soak:
    """What one soak runs, and why it failed once, if it did.

    Attributes:
        faults: Faults of targets that were in use, empty for all.
    """

    seed: int
    duration_s: float
    cause: str = ""
    faults: tuple[str, ...] = ()
    size: SoakSize = SoakSize()


REPEATED_REFUSAL: Final = "a repeated refusal without an ID counted for the next request"
NO_PROOF: Final = "a status without proof was passed on"
LATE_BODY: Final = "a request that became complete late in the grace was passed on and cut"
BROKEN_STATUS_LINE: Final = "a status line that broke off was continued by the next answer"
NO_SEAL: Final = "a success without a seal was passed on"
SITE_SIZE: Final = SoakSize(vms=6, targets=24, callers=40, is_site=True)
COPY_OF_REFUSAL: Final = "a copy of the first try's refusal counted for the second try"
RESTART_SIZE: Final = SoakSize(
    vms=4,
    targets=8,
    callers=24,
    is_site=True,
    disturbances=("restart_targets",),
    conforming=True,
)
DRILL_SIZE: Final = SoakSize(
    vms=4,
    targets=12,
    callers=24,
    is_site=True,
    disturbances=("restore_store", "change_config", "drain_targets", "kill", "pause", "reload"),
)
CLEAN_END: Final = "a drained target of the soak ended a body without length cleanly"
RESTARTS_AND_DRILLS: Final = evolve(
    DRILL_SIZE, disturbances=(*DRILL_SIZE.disturbances, "cut_link", "stop")
)
REGRESSIONS: Final = (
    Soak(1, 15.0, f"{NO_PROOF}; {REPEATED_REFUSAL}"),
    Soak(2, 15.0, NO_PROOF),
    Soak(3, 15.0, "a second SIGTERM ended the process"),
    Soak(4, 15.0, f"{REPEATED_REFUSAL}; SIGHUP at the start", ("answer_in_pieces",)),
    Soak(5, 15.0, f"{REPEATED_REFUSAL}; SIGHUP at the start", ("answer_in_pieces",)),
    Soak(6, 20.0, LATE_BODY),
    Soak(7, 15.0, f"{NO_PROOF}; SIGHUP at the start", ("promise_without_proof",)),
    Soak(8, 15.0, NO_PROOF, ("promise_without_proof",)),
    Soak(12, 20.0, LATE_BODY),
    Soak(1000, 12.0, "a link of the soak ended a reset connection cleanly"),
    Soak(1001, 12.0, "a link of the soak ended a reset connection cleanly"),
    Soak(100, 15.0, f"{BROKEN_STATUS_LINE}, or {NO_SEAL}", size=SITE_SIZE),
    Soak(101, 15.0, f"{BROKEN_STATUS_LINE}, or {NO_SEAL}", size=SITE_SIZE),
    Soak(340, 15.0, COPY_OF_REFUSAL, ("answer_in_pieces",), RESTART_SIZE),
    Soak(341, 15.0, COPY_OF_REFUSAL, ("answer_in_pieces",), RESTART_SIZE),
    Soak(342, 15.0, COPY_OF_REFUSAL, ("answer_in_pieces",), RESTART_SIZE),
    Soak(40012, 12.0, CLEAN_END, size=RESTARTS_AND_DRILLS),
    Soak(40048, 12.0, CLEAN_END, size=RESTARTS_AND_DRILLS),
)
