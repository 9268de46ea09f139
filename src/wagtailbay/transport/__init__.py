"""Carry HTTP/1.1 messages over trio streams by means of h11."""

from wagtailbay.transport.client import ClientConnection, fetch, open_connection
from wagtailbay.transport.models import (
    FailureKind,
    Headers,
    Request,
    Response,
    ResponseHead,
    TransportError,
)
from wagtailbay.transport.pool import ConnectionPool
from wagtailbay.transport.server import HttpServer, Reply

__all__ = [
    "ClientConnection",
    "ConnectionPool",
    "FailureKind",
    "Headers",
    "HttpServer",
    "Reply",
    "Request",
    "Response",
    "ResponseHead",
    "TransportError",
    "fetch",
    "open_connection",
]
