"""Carry HTTP/1.1 messages over trio streams by means of h11."""

from wagtailbay.transport.accept import accept_connections, open_listener
from wagtailbay.transport.client import ClientConnection, open_connection
from wagtailbay.transport.models import (
    FailureKind,
    Headers,
    Request,
    Response,
    ResponseHead,
    TransportError,
)
from wagtailbay.transport.pool import ConnectionPool, fetch
from wagtailbay.transport.reply import AnswerSink, CallerGoneError, Reply
from wagtailbay.transport.server import HttpServer

__all__ = [
    "AnswerSink",
    "CallerGoneError",
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
    "accept_connections",
    "fetch",
    "open_connection",
    "open_listener",
]
