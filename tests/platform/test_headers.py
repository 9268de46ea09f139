"""Test the translation of headers."""

import pytest
from result import Err

from wagtailbay.placement import LoadReport
from wagtailbay.platform import PlatformHeaderCodec
from wagtailbay.transport import Request, ResponseHead

CODEC = PlatformHeaderCodec()


class TestCallerHeaders:
    """Decode callers' headers."""

    def test_all_headers_are_decoded(self):
        """Guards against a request that is served for another key, object or time."""
        headers = (
            ("Host", "h.example"),
            ("Request-Id", "9c41"),
            ("Cookie", "a=b; Affinity-Key=17; c=d"),
            ("Deadline-Ms", "4000"),
            ("Authorization", "Token key-1"),
        )
        metadata = CODEC.decode_caller(Request("GET", "/a/", headers)).ok_value
        assert (metadata.request_id, metadata.host, metadata.key) == ("9c41", "h.example", "key-1")
        assert (metadata.affinity, metadata.deadline_ms) == ("17", 4000.0)

    def test_missing_headers_are_none(self):
        """Guards against a request without a key that gets one."""
        headers = (("Authorization", "Basic key-1"), ("Cookie", "XAffinity-Key=17"))
        metadata = CODEC.decode_caller(Request("GET", "/a/", headers)).ok_value
        assert (metadata.key, metadata.affinity, metadata.deadline_ms) == (None, None, None)

    def test_invalid_deadline_is_an_error(self):
        """Guards against a request that is served without an end."""
        request = Request("GET", "/a/", (("Deadline-Ms", "soon"),))
        assert isinstance(CODEC.decode_caller(request), Err)


class TestTargetHeaders:
    """Decode targets' headers."""

    def test_not_run_is_decoded_from_status_or_header(self):
        """Guards against a second run after a refusal that is taken for one, or the reverse."""
        assert CODEC.decode_target(ResponseHead(503, (("Not-Executed", "1"),))).not_run
        assert CODEC.decode_target(ResponseHead(421)).not_run
        assert not CODEC.decode_target(ResponseHead(503)).not_run
        assert not CODEC.decode_target(ResponseHead(500)).not_run

    @pytest.mark.parametrize(
        ("text", "load"),
        [("3,1,8", LoadReport(3, 1, 8)), (" 3, 1, 8", LoadReport(3, 1, 8))]
        + [(text, None) for text in ("3,1", "a,b,c", "", "3,1,8,9", "-1,0,8")],
    )
    def test_load_report_is_decoded(self, text, load):
        """Guards against a belief about load from an unreadable report."""
        head = ResponseHead(200, (("Server-Load", text),))
        assert CODEC.decode_target(head).load == load


class TestRefusalHeaders:
    """Name when to come back."""

    def test_retry_after_is_in_seconds(self):
        """Guards against milliseconds that are taken for seconds."""
        headers = dict(CODEC.refusal_headers("id", 250.0))
        assert headers == {"Request-Id": "id", "Retry-After": "0.250"}
