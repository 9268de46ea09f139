"""Builder of synthetic histories for the tests of the checks."""

from typing import Any

from wagtailbay_bench.prove.models import History, ObservedStep, PlannedMove, SentRequest

MOVE = PlannedMove("catalog", "good", frozenset({"new"}), 1_000.0, 250_000, None, 1)


class HistoryBuilder:
    """Builder that adds requests, runs and move steps to a history."""

    def __init__(self, **history_fields: Any) -> None:
        """Start a history with one VM in the north region."""
        self.history = History(1, vm_regions={"vm-1": "north"}, max_vms=1, **history_fields)

    def add_request(
        self,
        sent_s: float,
        target: str = "",
        *,
        response_time_s: float = 0.01,
        run_delay_s: float = 0.005,
        **changes: Any,
    ) -> SentRequest:
        """Add a request, and its run if a target is given."""
        trace = f"t{len(self.history.requests)}"
        values = {
            "trace": trace,
            "vm": "vm-1",
            "path": "/item",
            "workspace": "w",
            "key_name": "w",
            "idempotency_key": "",
            "sent_unix_s": sent_s,
            "ended_unix_s": sent_s + response_time_s,
            "status": 200,
            "code": "",
            "run_state": "",
            "response_body": {"target": target},
            "service": "catalog",
        }
        request = SentRequest(**(values | changes))
        self.history.requests.append(request)
        if target:
            self.add_run(sent_s + run_delay_s, target, trace)
        return request

    def add_run(self, unix_s: float, target: str, trace: str) -> None:
        """Add the run of a request at a target."""
        run = {"unix_s": unix_s, "trace": trace, "workspace": "w", "target": target}
        self.history.runs.append(run | {"version": target})

    def add_step(self, unix_s: float, share_ppm: int, phase: str = "running") -> None:
        """Add an observed state of the move."""
        self.history.observed_steps.append(ObservedStep(share_ppm, unix_s, phase, ""))
