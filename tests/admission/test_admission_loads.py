"""Tests of the admission queue under loads, with first come, first served as the baseline."""

import random
from collections import Counter

import pytest
from admission.load import (
    STEP_S,
    WAIT_S,
    Caller,
    FirstComeQueue,
    LoadRun,
    poisson,
    share,
)

from wagtailbay.admission import AdmissionQueue

RUN_S = 20.0
CAPACITY = 800  # 40 requests/s for RUN_S


def run_load(arrivals, queue=AdmissionQueue, **options) -> Counter:
    """Return the counts of a load on a new queue."""
    return LoadRun(queue()).run(arrivals, RUN_S, **options)


def kind(name: str, per_s: float, seed: int, **fields):
    """Return callers of one kind for the whole run."""
    return poisson(random.Random(seed), per_s, RUN_S, name, **fields)


class TestDemandAboveCapacity:
    """Load: demand at 1.5, 2 and 4 times the capacity."""

    @pytest.mark.parametrize("factor", [1.5, 2, 4])
    def test_capacity_is_used_and_few_are_held_in_vain(self, factor):
        """Guards against idle slots, long waits, and many requests that wait and are refused."""
        run = LoadRun(AdmissionQueue())
        counts = run.run(kind("k", 40 * factor, 1), RUN_S)
        assert counts["k", "served"] >= 0.97 * CAPACITY
        assert share(counts, "k", "timed_out", of="queued") < 0.1
        assert run.held_s <= WAIT_S + 2 * STEP_S
        baseline = run_load(kind("k", 40 * factor, 1), FirstComeQueue)
        assert counts["k", "timed_out"] < baseline["k", "timed_out"]


class TestFloodingWorkspace:
    """Load: one workspace sends five times the capacity."""

    def test_others_are_served(self):
        """Guards against a workspace that takes the capacity of those within their part."""
        load = kind("flood", 200, 9, workspace="flood")
        for number in range(4):
            load += kind(f"light{number}", 4, number, workspace=f"light{number}")
        counts, baseline = run_load(load), run_load(load, FirstComeQueue)
        for number in range(4):
            assert share(counts, f"light{number}") > 0.9
            assert share(baseline, f"light{number}") < 0.4
        assert sum(n for (_, outcome), n in counts.items() if outcome == "served") > 0.97 * CAPACITY

    def test_floods_get_even_parts(self):
        """Guards against capacity in proportion to demand among workspaces that all flood."""
        load = [
            caller
            for name, per_s in (("a", 300), ("b", 100), ("c", 100))
            for caller in kind(name, per_s, per_s + ord(name), workspace=name)
        ]
        counts, baseline = run_load(load), run_load(load, FirstComeQueue)
        for name in "abc":
            assert counts[name, "served"] == pytest.approx(CAPACITY / 3, rel=0.1)
        assert baseline["a", "served"] > 1.5 * CAPACITY / 3


class TestSurgeOfOnePriority:
    """Load: an urgent kind surges over a less urgent one, and the other way round."""

    def test_less_urgent_requests_keep_a_fifth(self):
        """Guards against starving a priority while a more urgent one has endless demand."""
        load = kind("urgent", 160, 8, priority=0) + kind("late", 40, 9, priority=2)
        counts = run_load(load)
        total = counts["urgent", "served"] + counts["late", "served"]
        assert 0.2 * total <= counts["late", "served"] + 1
        assert counts["urgent", "served"] > 0.7 * total

    def test_three_priorities_each_keep_a_fifth(self):
        """Guards against a bound that holds for one less urgent priority only."""
        load = [c for p in range(3) for c in kind(f"p{p}", 100, p, priority=p)]
        counts = run_load(load)
        for name in ("p1", "p2"):
            assert counts[name, "served"] >= 0.19 * CAPACITY
        assert counts["p0", "served"] > 0.5 * CAPACITY

    def test_urgent_requests_pass_a_surge_of_less_urgent_ones(self):
        """Guards against an order by arrival, in which the surge takes the capacity."""
        load = kind("urgent", 20, 8, priority=0) + kind("late", 160, 9, priority=2)
        assert share(run_load(load), "urgent") > 0.85
        assert share(run_load(load, FirstComeQueue), "urgent") < 0.4


class TestLostTargets:
    """Load: half of the targets are gone within a second."""

    def test_requests_are_refused_at_once_instead_of_held(self):
        """Guards against waits by the rate of completions from before the loss."""
        load = kind("k", 38, 8)
        run = LoadRun(AdmissionQueue())
        counts = run.run(load, RUN_S, change=(8.0, 10))
        baseline = run_load(load, FirstComeQueue, change=(8.0, 10))
        assert share(counts, "k", "timed_out", of="queued") < 0.1
        assert counts["k", "timed_out"] < baseline["k", "timed_out"]
        # 8 s at 38 requests/s and 12 s at 20 requests/s.
        assert counts["k", "served"] > 0.85 * (8 * 38 + 12 * 20)
        assert run.held_s <= WAIT_S + 2 * STEP_S


class TestThunderingHerd:
    """Load: 200 callers are refused at once and come back as they are told."""

    def test_returns_are_spread_and_served(self):
        """Guards against callers that all come back, and are refused again, at the same time."""
        new = poisson(random.Random(3), 20, 15, "new")

        def run(return_after) -> tuple[LoadRun, int]:
            herd = [
                (1 + n * 1e-4, Caller(f"h{n}", "herd", return_after=return_after))
                for n in range(200)
            ]
            load = LoadRun(AdmissionQueue())
            load.run(herd + new, RUN_S)
            return load, max(Counter(int(t / 0.1) for t in load.returns_s).values())

        rng = random.Random(4)
        spread, peak = run(lambda retry_after_s: retry_after_s)
        # The rule without the queue: 500 ms of work, times 0.5 to 1.5.
        fixed, fixed_peak = run(lambda _: 0.5 * rng.uniform(0.5, 1.5))
        assert spread.counts["herd", "served"] == 200
        assert peak <= 24 < fixed_peak
        assert len(spread.returns_s) < 0.6 * len(fixed.returns_s)


class TestRepeatingCallers:
    """Load: 30% of the callers repeat without a pause, whatever they are told."""

    def test_callers_that_wait_are_preferred(self):
        """Guards against a gain for callers that ignore Retry-After."""
        load = kind("patient", 42, 8, return_after=lambda retry_after_s: retry_after_s)
        load += kind("impatient", 18, 9, return_after=lambda _: 0.03)

        def served(queue) -> tuple[float, float]:
            counts = run_load(load, queue)
            return tuple(counts[k, "served"] / n for k, n in (("patient", 840), ("impatient", 360)))

        patient, impatient = served(AdmissionQueue)
        assert patient > 0.75
        assert impatient < 0.5
        baseline_patient, baseline_impatient = served(FirstComeQueue)
        assert baseline_patient < 0.75 < baseline_impatient
