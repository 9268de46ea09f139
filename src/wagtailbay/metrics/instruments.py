"""Metric instruments of the programs."""

from collections.abc import Iterable

from attrs import define, field
from opentelemetry.metrics import (
    CallbackOptions,
    Counter,
    Histogram,
    Meter,
    NoOpMeter,
    Observation,
)
from opentelemetry.metrics import _Gauge as Gauge

from wagtailbay.metrics.const import (
    LATENCY_BUCKETS_MS,
    METER_NAME,
    PACE_BUCKETS_PERCENT,
    USUAL_PACE_PERCENT,
)


@define
class Metrics:
    """Records the metrics that docs/operators.md describes with names, units and meanings.

    No label contains a key, a path or a request id, so the number of time series is bounded by
    the documents and the fixed codes. The default meter discards all measurements.
    """

    meter: Meter = field(factory=lambda: NoOpMeter(METER_NAME))
    _latency_ms: Histogram = field(init=False)
    _token_wait_ms: Histogram = field(init=False)
    _queue_wait_ms: Histogram = field(init=False)
    _counts: dict[str, dict[tuple[str, ...], int]] = field(factory=dict)
    _store_calls: Counter = field(init=False)
    _store_restores: Counter = field(init=False)
    _peer_exchanges: Counter = field(init=False)
    _budget_share: Gauge = field(init=False)
    _last_budget_shares: dict[str, int] = field(factory=dict, init=False)
    _move_share: Gauge = field(init=False)
    _confirmed_age_ms: Gauge = field(init=False)
    _region_share: Gauge = field(init=False)
    _lost_audit_records: Counter = field(init=False)
    _usage_windows: Counter = field(init=False)
    _usage_holder: Gauge = field(init=False)
    _target_pace: Histogram = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create all instruments."""
        meter = self.meter
        self._create_observable_counter(
            "requests",
            ("service", "route", "status", "outcome"),
            "Requests that passed admission",
        )
        self._latency_ms = meter.create_histogram(
            "wagtailbay.request.latency",
            unit="ms",
            description="Time from the request's arrival to the end of its answer",
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_MS,
        )
        self._create_observable_counter("refusals", ("code",), "Refused requests by code")
        self._create_observable_counter(
            "attempts", ("service", "outcome"), "Tries at targets by outcome"
        )
        self._create_observable_counter(
            "run_ahead", ("outcome",), "Pipelined requests that ran ahead, or met the VM's limit"
        )
        self._create_token_instruments()
        self._create_queue_instruments()
        self._create_placement_instruments()
        self._create_control_instruments(meter)

    def _create_observable_counter(
        self, name: str, labels: tuple[str, ...], description: str
    ) -> None:
        """Create a counter that is read on scrape; a synchronous one took 15 us per request."""
        counts = self._counts[name] = {}

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return [
                Observation(count, dict(zip(labels, values, strict=True)))
                for values, count in tuple(counts.items())
            ]

        self.meter.create_observable_counter(
            f"wagtailbay.{name}", callbacks=[observe], description=description
        )

    def _increment(self, name: str, *values: str, amount: int = 1) -> None:
        counts = self._counts[name]
        counts[values] = counts.get(values, 0) + amount

    def _create_placement_instruments(self) -> None:
        self._create_observable_counter(
            "hedges", ("service", "outcome"), "Second attempts beside first ones, by outcome"
        )
        self._create_observable_counter(
            "hedges.denied", ("service", "reason"), "Second attempts that the limits did not allow"
        )
        self._create_observable_counter(
            "placements", ("service", "reason"), "Requests sent to targets by reason of the choice"
        )
        self._target_pace = self.meter.create_histogram(
            "wagtailbay.target.pace",
            unit="%",
            description="Pace other than the usual one that targets reported with answers",
            explicit_bucket_boundaries_advisory=PACE_BUCKETS_PERCENT,
        )

    def _create_queue_instruments(self) -> None:
        self._create_observable_counter(
            "queue.requests",
            ("service", "priority", "outcome"),
            "Requests that found no capacity at once, by what became of them",
        )
        self._queue_wait_ms = self.meter.create_histogram(
            "wagtailbay.queue.wait",
            unit="ms",
            description="Time for which a request waited for capacity",
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_MS,
        )

    def _create_token_instruments(self) -> None:
        self._create_observable_counter(
            "token_calls", ("outcome",), "Calls for tokens to owners of rates"
        )
        self._create_observable_counter(
            "tokens_requested", ("outcome",), "Tokens that these calls requested"
        )
        self._create_observable_counter(
            "spare_tokens_used", (), "Requests admitted with a spare token"
        )
        self._token_wait_ms = self.meter.create_histogram(
            "wagtailbay.token.wait",
            unit="ms",
            description="Time for which requests waited for a token of their workspace's rate",
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_MS,
        )

    def _create_control_instruments(self, meter: Meter) -> None:
        self._store_calls = meter.create_counter(
            "wagtailbay.store.calls", description="Calls of the object API"
        )
        self._store_restores = meter.create_counter(
            "wagtailbay.store.restores", description="Returns of the store from an older copy"
        )
        self._peer_exchanges = meter.create_counter(
            "wagtailbay.peer.exchanges", description="Exchanges with other entry VMs"
        )
        self._budget_share = meter.create_gauge(
            "wagtailbay.budget.share", unit="ppm", description="This VM's share of a budget"
        )
        self._move_share = meter.create_gauge(
            "wagtailbay.move.share", unit="ppm", description="The new version's share in a move"
        )
        self._confirmed_age_ms = meter.create_gauge(
            "wagtailbay.confirmed.age",
            unit="ms",
            description="Age of this VM's knowledge of the store",
        )
        self._region_share = meter.create_gauge(
            "wagtailbay.region.share",
            unit="ppm",
            description="Share of this VM's requests that runs in another region",
        )
        self._lost_audit_records = meter.create_counter(
            "wagtailbay.audit.lost", description="Audit records that did not reach the store"
        )
        self._usage_windows = meter.create_counter(
            "wagtailbay.usage.reports", description="Usage reports and windows without one"
        )
        self._usage_holder = meter.create_gauge(
            "wagtailbay.usage.holder", description="Whether this VM sends the usage reports"
        )

    def record_finished_request(
        self, service: str, route: str, status: int, outcome: str, latency_ms: float
    ) -> None:
        """Record a request that passed admission; outcome is answered, refused or cut."""
        self._increment("requests", service, route, str(status), outcome)
        self._latency_ms.record(latency_ms, {"service": service, "route": route})

    def record_refusal(self, code: str) -> None:
        """Count a refused request by code."""
        self._increment("refusals", code)

    def record_attempt(self, service: str, outcome: str) -> None:
        """Count an attempt at a target by the value of its AttemptOutcome."""
        self._increment("attempts", service, outcome)

    def record_placement(self, service: str, reason: str) -> None:
        """Count a request sent to a target by the value of its PlacementReason."""
        self._increment("placements", service, reason)

    def record_target_pace(self, service: str, pace_percent: float) -> None:
        """Record a pace that a target reported, unless it is the usual one."""
        if pace_percent != USUAL_PACE_PERCENT:
            self._target_pace.record(pace_percent, {"service": service})

    def record_run_ahead(self, outcome: str) -> None:
        """Count a pipelined request that ran ahead (started), or met the VM's limit (limited)."""
        self._increment("run_ahead", outcome)

    def record_token_call(self, outcome: str, tokens: int) -> None:
        """Count a call for tokens and the tokens it requested; outcome is ok, late or failed."""
        self._increment("token_calls", outcome)
        self._increment("tokens_requested", outcome, amount=tokens)

    def record_token_wait(self, wait_ms: float) -> None:
        """Record for how long a request waited for a token."""
        self._token_wait_ms.record(wait_ms)

    def record_spare_token(self) -> None:
        """Count a request that was admitted with a spare token."""
        self._increment("spare_tokens_used")

    def record_queue(self, service: str, priority: int, outcome: str) -> None:
        """Count a request that found no capacity at once by the value of its QueueOutcome."""
        self._increment("queue.requests", service, str(priority), outcome)

    def record_queue_wait(self, service: str, wait_ms: float) -> None:
        """Record how long a request waited for capacity, whether it got any or not."""
        self._queue_wait_ms.record(wait_ms, {"service": service})

    def record_hedge(self, service: str, outcome: str) -> None:
        """Count a second attempt by the value of its HedgeOutcome."""
        self._increment("hedges", service, outcome)

    def record_hedge_denial(self, service: str, reason: str) -> None:
        """Count a second attempt that was due and not sent by the value of its HedgeDenial."""
        self._increment("hedges.denied", service, reason)

    def record_store_call(self, call: str, outcome: str) -> None:
        """Count a call of the object API; outcome is ok, conflict, unavailable or unknown."""
        self._store_calls.add(1, {"call": call, "outcome": outcome})

    def record_store_restore(self) -> None:
        """Count a return of the store from an older copy that this VM has seen."""
        self._store_restores.add(1)

    def record_peer_exchange(self, outcome: str) -> None:
        """Count an exchange that this VM started with a peer; outcome is ok or failed."""
        self._peer_exchanges.add(1, {"outcome": outcome})

    def set_budget_share(self, budget: str, share_ppm: int) -> None:
        """Set this VM's share of a budget; an unchanged share is not set again."""
        if self._last_budget_shares.get(budget) != share_ppm:
            self._last_budget_shares[budget] = share_ppm
            self._budget_share.set(share_ppm, {"budget": budget})

    def set_move_share(self, service: str, share_ppm: int) -> None:
        """Set the share of a service's new version that this VM applies."""
        self._move_share.set(share_ppm, {"service": service})

    def set_region_share(
        self, service: str, region: str, planned_ppm: int, executed_ppm: int
    ) -> None:
        """Set the shares of a service's requests planned for another region, and sent there."""
        for kind, share_ppm in (("planned", planned_ppm), ("executed", executed_ppm)):
            labels = {"service": service, "region": region, "kind": kind}
            self._region_share.set(share_ppm, labels)

    def set_confirmed_age(self, age_ms: float) -> None:
        """Set the time since this VM's copy of the store was last confirmed."""
        self._confirmed_age_ms.set(age_ms)

    def record_lost_audit_record(self) -> None:
        """Count an audit record that did not reach the store."""
        self._lost_audit_records.add(1)

    def record_usage(self, outcome: str) -> None:
        """Count a call that sent a usage report, or a window that is not reported as usual."""
        self._usage_windows.add(1, {"outcome": outcome})

    def set_usage_holder(self, is_holder: bool) -> None:
        """Set whether this VM holds the duty to report usage."""
        self._usage_holder.set(int(is_holder))
