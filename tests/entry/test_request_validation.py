"""Tests of request validation and of the headers forwarded to targets."""

import pytest

from wagtailbay.config import ConfigView, Route, ServiceDocument
from wagtailbay.entry import RequestContext
from wagtailbay.entry.routing import (
    check_key_not_exposed,
    find_route,
    request_timeout_ms,
    validate_request,
)
from wagtailbay.entry.wire import build_target_request
from wagtailbay.transport import Request
from wagtailbay_bench.rig import KEY

OPEN = Route("open", "/open/", open=True)
READ = Route("read", "/")
SERVICE = ServiceDocument("records", "team", (OPEN, READ), (), (), ())
VIEW = ConfigView(services={"records": SERVICE})
AUTH = ("Authorization", f"Bearer {KEY}")


class TestRequestTarget:
    """Request targets and headers that servers could interpret differently are refused."""

    @pytest.mark.parametrize(
        "path",
        [
            "http://records/x",
            "//records/x",
            "*",
            "records",
            "/records/../keys",
            "/records/open/%2e%2e/thesis",
            "/records/open/..%2fthesis",
            "/records/open/..%5cthesis",
            "/records/open/..;/thesis",
            "/records/./x",
            "/records/x#y",
            "/records/%zz",
            "/records/%0d%0aX:1",
            "/records/%00",
            "//[",
        ],
    )
    def test_ambiguous_target_is_refused(self, path: str) -> None:
        """Guards against a request that is checked for one path and run for another."""
        assert validate_request(Request("GET", path)).err_value.status == 400

    @pytest.mark.parametrize("path", ["/records/tesis/%C3%B1", "/records/a%20b?x=%2F..", "/x"])
    def test_plain_target_is_accepted(self, path: str) -> None:
        """Guards against refusing valid paths."""
        assert validate_request(Request("GET", path)).is_ok()

    @pytest.mark.parametrize(
        "path", ["/records/%6fpen/x", "/records//open/x", "/records/open%2Fx", "/records/open\\x"]
    )
    def test_path_with_ambiguous_route_is_refused(self, path: str) -> None:
        """Guards against applying the checks of an open route to a path that needs a key."""
        assert find_route(Request("GET", path), VIEW).err_value.status == 400

    @pytest.mark.parametrize("name", ["Authorization", "idempotency-KEY", "Request-Timeout-Ms"])
    def test_repeated_header_is_refused(self, name: str) -> None:
        """Guards against checking one value of a header while the target uses another."""
        request = Request("GET", "/records/x", ((name, "1"), (name.upper(), "2")))
        assert validate_request(request).err_value.status == 400

    @pytest.mark.parametrize("text", ["0", "-1", "1.5", "", "²", "9" * 5_000, "600001"])
    def test_bad_timeout_is_refused(self, text: str) -> None:
        """Guards against a header value that raises an error or sets an unbounded deadline."""
        request = Request("GET", "/records/x", (("Request-Timeout-Ms", text),))
        assert request_timeout_ms(request, READ).err_value.status == 400


class TestKeyExposure:
    """The caller's key is never forwarded to a target."""

    @pytest.mark.parametrize(
        ("path", "header", "body"),
        [
            (f"/records/x?key={KEY}", (), b""),
            (f"/records/{KEY}", (), b""),
            (f"/records/x?key={KEY.upper()}", (), b""),
            ("/records/x?key=" + "".join(f"%{ord(c):02x}" for c in KEY), (), b""),
            ("/records/x", (("X-Api-Key", KEY),), b""),
            ("/records/x", (("Cookie", f"k={KEY}"),), b""),
            ("/records/x", (), f"key={KEY}".encode()),
        ],
    )
    def test_key_outside_its_header_is_refused(self, path: str, header, body: bytes) -> None:
        """Guards against a key that reaches a target in the path, a header or the body."""
        request = Request("POST", path, (AUTH, *header), body)
        assert check_key_not_exposed(request).err_value.code == "key_exposed"

    def test_private_and_connection_headers_are_dropped(self) -> None:
        """Guards against forwarding keys, forged reserved headers and connection headers."""
        dropped = ["AUTHORIZATION", "authorization_", "Proxy-Authorization", "Wagtailbay-Workspace"]
        dropped[1:2] = ["Wagtailbay_Workspace", "wagtailbay-request-id", "Request_Timeout_Ms"]
        dropped += ["Connection", "Keep-Alive", "TE", "Trailer", "Upgrade", "X-Named", "Expect"]
        headers = tuple((n, "X-Named" if n == "Connection" else f"Bearer {KEY}") for n in dropped)
        request = Request("GET", "/records/x", (*headers, ("X-Kept", "1")))
        context = RequestContext("id", request, SERVICE, READ, "/x", "unam", "f", 0.0, 1.0)
        sent = build_target_request(context, 0.0)
        assert sent.headers == (
            ("X-Kept", "1"),
            ("Wagtailbay-Request-Id", "id"),
            ("Wagtailbay-Workspace", "unam"),
            ("Request-Timeout-Ms", "1000"),
        )
