"""Test the translation of headers."""

import pytest
from result import Err

from wagtailbay.placement import LoadReport
from wagtailbay.platform import PlatformVocabulary
from wagtailbay.transport import Request, ResponseHead

VOCABULARY = PlatformVocabulary()


class TestCallers:
    """Decode callers' headers."""

    def test_all_fields(self):
        """Guards against a request that is served for another key, object or time."""
        headers = (
            ("Host", "h.example"),
            ("Request-Id", "9c41"),
            ("Cookie", "a=b; Affinity-Key=17; c=d"),
            ("Deadline-Ms", "4000"),
            ("Authorization", "Token key-1"),
        )
        head = VOCABULARY.decode_caller(Request("GET", "/a/", headers)).ok_value
        assert (head.request_id, head.host, head.key) == ("9c41", "h.example", "key-1")
        assert (head.affinity, head.deadline_ms) == ("17", 4000.0)

    def test_missing_fields(self):
        """Guards against a request without a key that gets one."""
        headers = (("Authorization", "Basic key-1"), ("Cookie", "XAffinity-Key=17"))
        head = VOCABULARY.decode_caller(Request("GET", "/a/", headers)).ok_value
        assert (head.key, head.affinity, head.deadline_ms) == (None, None, None)

    def test_unreadable_deadline_is_an_error(self):
        """Guards against a request that is served without an end."""
        request = Request("GET", "/a/", (("Deadline-Ms", "soon"),))
        assert isinstance(VOCABULARY.decode_caller(request), Err)


class TestTargets:
    """Decode targets' headers."""

    def test_refusals_say_that_nothing_ran(self):
        """Guards against a second run after a refusal that is taken for one, or the reverse."""
        assert VOCABULARY.decode_target(ResponseHead(503, (("Not-Executed", "1"),))).not_run
        assert VOCABULARY.decode_target(ResponseHead(421)).not_run
        assert not VOCABULARY.decode_target(ResponseHead(503)).not_run
        assert not VOCABULARY.decode_target(ResponseHead(500)).not_run

    @pytest.mark.parametrize(
        ("text", "load"),
        [("3,1,8", LoadReport(3, 1, 8)), (" 3, 1, 8", LoadReport(3, 1, 8))]
        + [(text, None) for text in ("3,1", "a,b,c", "", "3,1,8,9", "-1,0,8")],
    )
    def test_load(self, text, load):
        """Guards against a belief about load from an unreadable report."""
        head = ResponseHead(200, (("Server-Load", text),))
        assert VOCABULARY.decode_target(head).load == load


class TestRefusals:
    """Name when to come back."""

    def test_retry_after_in_seconds(self):
        """Guards against milliseconds that are taken for seconds."""
        headers = dict(VOCABULARY.refusal_headers("id", 250.0))
        assert headers == {"Request-Id": "id", "Retry-After": "0.250"}
