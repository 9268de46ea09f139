"""Tests of the platform's header codec."""

import pytest
from result import Err

from wagtailbay.placement import LoadReport
from wagtailbay.platform import PlatformHeaderCodec
from wagtailbay.transport import Request, ResponseHead

CODEC = PlatformHeaderCodec()


class TestCallerHeaders:
    """Metadata is decoded from the headers of a caller."""

    def test_all_headers_are_decoded(self):
        """Guards against serving a request with the wrong key, affinity or deadline."""
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
        """Guards against taking a key or affinity from similar headers."""
        headers = (("Authorization", "Basic key-1"), ("Cookie", "XAffinity-Key=17"))
        metadata = CODEC.decode_caller(Request("GET", "/a/", headers)).ok_value
        assert (metadata.key, metadata.affinity, metadata.deadline_ms) == (None, None, None)

    def test_invalid_deadline_is_an_error(self):
        """Guards against serving a request without a deadline if the header is malformed."""
        request = Request("GET", "/a/", (("Deadline-Ms", "soon"),))
        assert isinstance(CODEC.decode_caller(request), Err)


class TestTargetHeaders:
    """Metadata is decoded from the response of a target."""

    @pytest.mark.parametrize("status", [400, 408, 421, 429, 503])
    def test_only_the_header_states_that_a_request_has_not_run(self, status):
        """Guards against running a request twice, and not retrying one that has not run."""
        assert CODEC.decode_target(ResponseHead(status, (("Not-Executed", "1"),))).not_run
        assert not CODEC.decode_target(ResponseHead(status)).not_run

    def test_statuses_that_callers_take_as_a_promise_are_marked(self):
        """Guards against passing on a promise that no target has made."""
        promising = [
            status
            for status in range(200, 600)
            if CODEC.decode_target(ResponseHead(status)).promises_not_run
        ]
        assert promising == [408, 421, 429, 503]
        assert CODEC.decode_target(ResponseHead(421)).misdirected
        assert not CODEC.decode_target(ResponseHead(503)).misdirected

    @pytest.mark.parametrize(
        ("text", "load"),
        [("3,1,8", LoadReport(3, 1, 8)), (" 3, 1, 8", LoadReport(3, 1, 8))]
        + [("3,1,8,250", LoadReport(3, 1, 8, 250.0)), ("3,1,8, 62.5 ", LoadReport(3, 1, 8, 62.5))]
        + [("3,1,8,999999", LoadReport(3, 1, 8, 10_000.0))]
        + [("3,1,8,250,7", LoadReport(3, 1, 8, 250.0))]
        + [
            (f"3,1,8,{pace}", LoadReport(3, 1, 8, 100.0))
            for pace in ("", "fast", "-250", "0", "9", "nan", "inf", "1e3", "9999999")
        ]
        + [(text, None) for text in ("3,1", "a,b,c", "", "-1,0,8", "3,1,,250", "a,1,8,250")],
    )
    def test_load_report_is_decoded(self, text, load):
        """Guards against load from malformed reports, and against losing valid ones."""
        head = ResponseHead(200, (("Server-Load", text),))
        assert CODEC.decode_target(head).load == load


class TestRefusalHeaders:
    """Refusals carry the request ID and the time after which to retry."""

    def test_retry_after_is_in_seconds(self):
        """Guards against sending milliseconds where callers expect seconds."""
        headers = dict(CODEC.refusal_headers("id", 250.0))
        assert headers == {"Request-Id": "id", "Retry-After": "0.250"}
