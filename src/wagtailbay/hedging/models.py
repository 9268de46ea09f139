"""Data models of hedging: settings, conditions, and why a second attempt is not sent."""

from enum import Enum

from attrs import frozen

from wagtailbay.hedging.const import DEFAULT_QUANTILE


@frozen
class HedgeSettings:
    """Settings of hedging.

    Attributes:
        share: Part of a service's requests that may get a second attempt; 0 disables hedging.
        quantile: Part of a route's recent latencies below the delay of a second attempt.
    """

    share: float = 0.0
    quantile: float = DEFAULT_QUANTILE


class HedgeDenial(Enum):
    """Why a second attempt that was due is not sent, as a metric label."""

    TOO_LATE = "too_late"
    QUEUE = "queue"
    REFUSALS = "refusals"
    UTILIZATION = "utilization"
    SHARE = "share"
    RETRY_BUDGET = "retry_budget"
    NO_TARGET = "no_target"


class HedgeOutcome(Enum):
    """What became of a second attempt, as a metric label and in the request's log line."""

    SENT = "sent"
    WON = "won"
    CANCELLED = "cancelled"
    FAILED = "failed"


@frozen
class HedgeConditions:
    """State of a service when a second attempt is due.

    Attributes:
        priority: Priority of the request; 0 is the most urgent.
        may_send: Whether the request may still be sent to a target at all.
        has_queue: Whether requests of the service wait for capacity.
        utilization: Mean utilization of the targets that the selector would use.
    """

    priority: int
    may_send: bool
    has_queue: bool
    utilization: float
