"""HTTP/1.1 client and server on trio streams, built on h11."""

from wagtailbay.transport.accept import accept_connections, open_listener
from wagtailbay.transport.body_budget import BodyBudget
from wagtailbay.transport.client import ClientConnection, open_connection
from wagtailbay.transport.models import (
    FailureKind,
    Headers,
    Request,
    Response,
    ResponseHead,
    ResponseOwner,
    TransportError,
)
from wagtailbay.transport.pipeline import RunAhead, RunAheadPolicy
from wagtailbay.transport.pool import ConnectionPool, fetch
from wagtailbay.transport.reply import CallerDisconnectedError, Reply, ResponseSink
from wagtailbay.transport.server import HttpServer

__all__ = [
    "BodyBudget",
    "CallerDisconnectedError",
    "ClientConnection",
    "ConnectionPool",
    "FailureKind",
    "Headers",
    "HttpServer",
    "Reply",
    "Request",
    "Response",
    "ResponseHead",
    "ResponseOwner",
    "ResponseSink",
    "RunAhead",
    "RunAheadPolicy",
    "TransportError",
    "accept_connections",
    "fetch",
    "open_connection",
    "open_listener",
]
