"""Test the counting of crashes per request."""

from wagtailbay.membership import FactTable
from wagtailbay.quarantine import CrashTable, request_fingerprint
from wagtailbay.quarantine.const import QUARANTINE_TERM_S, TIED_QUARANTINE_S


def create_table(vm: str = "vm-1") -> CrashTable:
    """Create a VM's crash table."""
    return CrashTable(FactTable(vm, 1))


def exchange(now_s: float, *tables: CrashTable) -> None:
    """Merge the facts of all tables into each table."""
    for one in tables:
        for other in tables:
            one.facts.merge(other.facts.own(now_s))


class TestCrashTable:
    """Two crashes quarantine a request in the whole fleet."""

    def test_two_crashes_refuse_for_the_term(self) -> None:
        """Guards against a third crash and a request that is refused forever."""
        crashes = create_table()
        crashes.record_crash("crashing", "t1", "unam GET /x", 10.0)
        assert not crashes.is_refused("crashing", 10.0)
        crashes.record_crash("crashing", "t2", "unam GET /x", 11.0)
        assert crashes.is_refused("crashing", 11.0 + QUARANTINE_TERM_S - 1)
        assert not crashes.is_refused("crashing", 11.0 + QUARANTINE_TERM_S + 1)
        assert not crashes.is_suspect("crashing", 11.0 + QUARANTINE_TERM_S + 1)

    def test_crashes_count_across_vms_and_are_listed(self) -> None:
        """Guards against allowing two crashes per VM and omitting crashes from the status."""
        first, second = create_table("vm-1"), create_table("vm-2")
        first.record_crash("crashing", "t1", "unam GET /x", 10.0)
        second.record_crash("crashing", "t2", "unam GET /x", 10.5)
        exchange(10.6, first, second)
        listed = [one.quarantined(11.0)[0] for one in (first, second)]
        assert {(q.fingerprint, q.crashes, q.description) for q in listed} == {
            ("crashing", 2, "unam GET /x")
        }

    def test_copies_on_one_crashing_target_count_once(self) -> None:
        """Guards against quarantining a popular request for copies on one crashing target."""
        first, second = create_table("vm-1"), create_table("vm-2")
        for crashes in (first, first, second):
            crashes.record_crash("popular", "t1", "", 10.0)
        exchange(10.1, first, second)
        assert not first.is_refused("popular", 10.2)

    def test_same_target_counts_again_after_its_restart(self) -> None:
        """Guards against a crashing request that always reaches the same target."""
        crashes = create_table()
        crashes.record_crash("crashing", "t1", "", 10.0)
        crashes.record_crash("crashing", "t1", "", 15.0)
        assert crashes.is_refused("crashing", 15.0)

    def test_answer_clears_a_bystander(self) -> None:
        """Guards against a bystander that stays suspect until it is near another crash."""
        crashes = create_table()
        for target, now_s in (("t1", 10.0), ("t2", 20.0)):
            crashes.record_crash("bystander", target, "", now_s)
            crashes.record_answer("bystander", now_s + 1)
        assert not crashes.is_suspect("bystander", 22.0)

    def test_bystander_is_refused_when_answers_do_not_clear_it(self) -> None:
        """Guards against the test above passing although answers do not clear a request."""
        crashes = create_table()
        crashes.clear_on_answer = False
        for target, now_s in (("t1", 10.0), ("t2", 20.0)):
            crashes.record_crash("bystander", target, "", now_s)
            crashes.record_answer("bystander", now_s + 1)
        assert crashes.is_refused("bystander", 22.0)

    def test_tied_requests_are_refused_briefly(self) -> None:
        """Guards against a harmless request that is refused for the whole term by coincidence."""
        crashes = create_table()
        for fingerprint in ("crashing", "bystander"):
            crashes.record_crash(fingerprint, "t1", "", 10.0)
            crashes.record_crash(fingerprint, "t2", "", 11.0)
        assert crashes.is_refused("bystander", 11.5)
        later_s = 11.0 + TIED_QUARANTINE_S + 1
        assert not crashes.is_refused("bystander", later_s)
        crashes.record_answer("bystander", later_s)
        assert crashes.is_refused("crashing", later_s), "the crashing request is no longer tied"

    def test_tied_requests_that_go_on_crashing_are_refused_for_longer(self) -> None:
        """Guards against two crashing requests that are let through again and again (KNOWN-RED 10).

        Each is repeated every second, and crashes the same target as the other one.
        """
        crashes = create_table()
        crashed_s = []
        for now_s in map(float, range(10, 310)):
            if crashes.is_refused("first", now_s):
                assert crashes.is_refused("second", now_s)
                continue
            crashed_s.append(now_s)
            for name in ("first", "second"):
                crashes.record_crash(name, f"t{len(crashed_s)}", "", now_s)
        assert len([at_s for at_s in crashed_s if at_s > crashed_s[2]]) <= 3

    def test_table_is_bounded(self) -> None:
        """Guards against unbounded memory use by crash counts."""
        crashes = create_table()
        for number in range(1_100):
            crashes.record_crash(f"request-{number}", "t1", "", 10.0)
        assert len(crashes.own_counts) == 1_000


class TestFingerprint:
    """Different requests have different fingerprints."""

    def test_each_part_counts(self) -> None:
        """Guards against a request that is refused because a different one crashed."""
        parts = [("a", "GET", "/x", b""), ("a", "GET", "/x", b"1"), ("a", "PUT", "/x", b"")]
        parts += [("b", "GET", "/x", b""), (None, "GET", "/x", b""), ("aG", "ET", "/x", b"")]
        assert len({request_fingerprint(*part) for part in parts}) == len(parts)
