"""Model refusals."""

from enum import Enum

from attrs import frozen


class RunState(Enum):
    """Tell what is known about whether a request ran at a target."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@frozen
class Refusal:
    """Describe a refusal; code is stable and documented in docs/api.md."""

    status: int
    code: str
    message: str
    run: RunState
    retry_after_ms: int | None = None


def not_run(status: int, code: str, message: str, retry_after_ms: int | None = None) -> Refusal:
    """Build a refusal of a request of which no byte reached a target that ran it."""
    return Refusal(status, code, message, RunState.NOT_RUN, retry_after_ms)


def outcome_unknown(status: int, code: str, message: str) -> Refusal:
    """Build the answer to a request that may have run."""
    return Refusal(status, code, message, RunState.UNKNOWN)
