"""Tests of the order of an admission queue, and of the memory of refused callers."""

import random

import pytest
from attrs import evolve

from wagtailbay.admission import (
    AdmissionQueue,
    AdmissionRequest,
    QueuedRequest,
    RefusedCallers,
    RetryPlanner,
    Standing,
)
from wagtailbay.admission.const import MAX_REFUSED_CALLERS, MAX_TRIES_PER_EPOCH


def make_request(priority=1, standing=Standing.NEW, goal_s=1.0, workspace="w") -> QueuedRequest:
    """Return a request that may wait for a second."""
    return QueuedRequest(priority, workspace, standing, goal_s, 1.0)


class TestOrder:
    """Requests select by priority, then return after a refusal, then latency goal."""

    def test_order(self):
        """Guards against another sequence of the rules than the documented one."""
        expected = [
            make_request(0, goal_s=9.0),
            make_request(1, Standing.RETURNING, goal_s=5.0),
            make_request(1, goal_s=2.0),
            make_request(1, goal_s=3.0),
            make_request(1, goal_s=0.1, workspace="flood"),
            make_request(1, Standing.EARLY, goal_s=0.1),
            make_request(2, Standing.RETURNING, goal_s=0.5),
        ]
        queue = AdmissionQueue()
        for workspace in ("flood",) * 8 + ("w",):
            queue.shares.record_admitted(1, workspace, 0.0)
        for request in random.Random(1).sample(expected, len(expected)):
            queue.enter(request, 0.0)
        assert queue.ordered(0.0) == expected

    def test_request_that_found_nothing_lets_the_next_try_once(self):
        """Guards against selecting twice for one completion."""
        queue, requests = AdmissionQueue(), [make_request(goal_s=n) for n in range(2)]
        for request in requests:
            queue.enter(request, 0.0)
        for request in requests:
            assert queue.next_to_try(0.0) is request
            queue.record_failed_try(request)
        assert queue.next_to_try(0.0) is None
        queue.start_epoch(0.0)
        assert queue.next_to_try(0.0) is requests[0]

    def test_requests_for_one_full_target_do_not_bar_others(self):
        """Guards against eight requests for one full object that use up the tries of each epoch."""
        queue, requests = AdmissionQueue(), [make_request(goal_s=n) for n in range(30)]
        for request in requests:
            queue.enter(request, 0.0)
        tried = set()
        for _ in range(6):
            queue.start_epoch(0.0)
            assert queue.next_to_try(0.0) is requests[0]
            for _ in range(MAX_TRIES_PER_EPOCH):
                request = queue.next_to_try(0.0)
                tried.add(requests.index(request))
                queue.record_failed_try(request)
            assert queue.next_to_try(0.0) is None
        assert len(tried) >= 25

    def test_arrivals_leave_the_tries_to_those_who_wait(self):
        """Guards against a burst of arrivals after which a freed slot wakes nobody."""
        queue, waiting = AdmissionQueue(), make_request()
        queue.enter(waiting, 0.0)
        for _ in range(2 * MAX_TRIES_PER_EPOCH):
            queue.record_failed_try(make_request(), on_arrival=True)
        assert queue.next_to_try(0.0) is waiting

    def test_priority_that_waits_for_long_keeps_its_turn(self):
        """Guards against starving requests that wait for longer than demand is remembered."""
        queue, waiting = AdmissionQueue(), make_request(priority=2)
        queue.enter(waiting, 0.0)
        for second in range(3, 9):
            urgent = make_request(priority=0)
            queue.enter(urgent, second)
            if queue.next_to_try(second) is waiting:
                break
            queue.leave(urgent, True, second)
        assert second == 7

    def test_request_gives_up_when_it_is_no_longer_sent(self):
        """Guards against waiting beyond the caller's deadline or the stop of the VM."""
        request = AdmissionRequest("records", 1, "w", "f", 10.0, 2_000.0, last_send_s=10.1)
        assert request.give_up_s(0.5) == 10.1
        assert evolve(request, last_send_s=20.0).give_up_s(0.5) == 11.0

    def test_expected_wait_counts_more_urgent_traffic(self):
        """Guards against holding a request for capacity that urgent ones take."""
        queue = AdmissionQueue()
        for number in range(200):
            now_s = number * 0.05
            queue.record_completion(now_s)
            urgent = make_request(0)
            queue.enter(urgent, now_s)
            queue.leave(urgent, True, now_s)
        urgent, late = make_request(0), make_request(2)
        queue.enter(late, now_s)
        assert queue.expected_wait_s(late, now_s) > 0.15
        queue.enter(urgent, now_s)
        assert queue.expected_wait_s(urgent, now_s) == pytest.approx(0.05, rel=0.1)


class TestRefusedCallers:
    """Refused callers are recognized when they come back."""

    def test_standing(self):
        """Guards against a preference for callers that are early, late or were served since."""
        callers = RefusedCallers()
        for name in ("on-time", "early", "late"):
            callers.record(name, 2.0, 0.0)
        assert callers.recognize("early", 0.5) is Standing.EARLY
        assert callers.recognize("on-time", 2.0) is Standing.RETURNING
        assert callers.recognize("on-time", 2.1) is Standing.NEW
        assert callers.recognize("late", 10.5) is Standing.NEW
        assert callers.recognize("unknown", 1.0) is Standing.NEW

    def test_lookups_of_one_object_are_not_early(self):
        """Guards against putting a caller last because another one was refused the same lookup."""
        callers = RefusedCallers()
        callers.record("lookup", 2.0, 0.0)
        assert callers.recognize("lookup", 0.5, is_idempotent=True) is Standing.NEW
        # The caller that was refused is still known.
        assert callers.recognize("lookup", 2.0, is_idempotent=True) is Standing.RETURNING

    def test_memory_is_bounded(self):
        """Guards against memory that grows with the refused callers."""
        callers = RefusedCallers()
        for number in range(MAX_REFUSED_CALLERS + 10):
            callers.record(str(number), 1.0, 0.0)
        assert len(callers.callers) == MAX_REFUSED_CALLERS
        callers.record("new", 21.0, 20.0)
        assert list(callers.callers) == ["new"]

    def test_unknown_rate_uses_the_default(self):
        """Guards against a refusal without a time to come back before the first completion."""
        planner = RetryPlanner(random.Random(1))
        assert planner.retry_after_ms(3, 0.0, 9_000.0, 500.0, 0.0) == 500
