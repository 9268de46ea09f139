"""Models of refusals."""

from enum import Enum

from attrs import frozen


class RunState(Enum):
    """Whether a refused request is known not to have run at a target."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@frozen
class Refusal:
    """Error response sent by the system itself.

    Attributes:
        code: Stable, machine-readable reason, documented in docs/api.md.
        run: Whether the request may have run at a target.
        retry_after_ms: Time after which the caller should retry, None if not given.
    """

    status: int
    code: str
    message: str
    run: RunState
    retry_after_ms: int | None = None


def not_run(status: int, code: str, message: str, retry_after_ms: int | None = None) -> Refusal:
    """Build a refusal of a request that no target has run."""
    return Refusal(status, code, message, RunState.NOT_RUN, retry_after_ms)


def outcome_unknown(status: int, code: str, message: str) -> Refusal:
    """Build a refusal of a request that may have run at a target."""
    return Refusal(status, code, message, RunState.UNKNOWN)
