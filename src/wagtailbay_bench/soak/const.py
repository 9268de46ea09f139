"""Figures of the soak."""

from typing import Final

HOST: Final = "soak.example"
REGION_COUNT: Final = 3
ZONES_PER_REGION: Final = 2
SERVICE: Final = "records"
READ_PREFIX: Final = "/read/"
DEPOSIT_PREFIX: Final = "/deposit/"
DEADLINE_MS: Final = 6_000
GRACE_S: Final = 6.0
# Within this time after the end of the grace, the platform has killed the process.
GRACE_END_SLACK_S: Final = 0.1
# A gateway may cut what a target still works on in this last part of the grace.
GRACE_LAST_FRACTION: Final = 1 / 6
# From SIGTERM until the process is certainly gone.
STOP_S: Final = GRACE_S + 1.0
# Requests sent later than this after SIGTERM must not be passed on and cut.
LATE_REQUEST_S: Final = 3.0
TARGET_SLOTS: Final = 9
TARGET_QUEUE: Final = 6
# Share of requests that a sound target turns away.
REFUSAL_SHARE: Final = 0.08
WORK_RANGE_S: Final = (0.02, 0.9)
THINK_RANGE_S: Final = (0.0, 0.15)
# Share of deposits whose body follows its head after a while; some take longer than allowed.
SLOW_BODY_SHARE: Final = 0.1
SLOW_BODY_RANGE_S: Final = (0.2, 3.5)
# Responses without end are written for at most this long.
ENDLESS_S: Final = 4.0
CLIENT_TIMEOUT_S: Final = 20.0
# Memory of the smallest machines of a deployment.
MAX_RESIDENT_MB: Final = 200.0
PROMISE_STATUSES: Final = (408, 421, 429, 503)
CONFIG_VERSION: Final = "00000007"
START_TIMEOUT_S: Final = 60.0
# Pooled connections to targets are older than this when faults begin.
WARM_UP_S: Final = 2.0
SETTLE_S: Final = 2.0
# A change of the configuration must take effect within this time.
CONFIG_APPLY_S: Final = 2.5
# Requests must not reach a target later than this after its removal.
TARGET_DRAIN_S: Final = 2.5
# Callers that leave do so this long after sending a request.
LEAVE_RANGE_S: Final = (0.0, 0.6)
