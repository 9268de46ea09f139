"""Fixtures of the tests of pipelined requests."""

import pytest
import trio
from support.pipelining import WAIT_S, Caller, Service

from wagtailbay.settings.checks import split_address
from wagtailbay.transport import BodyBudget, HttpServer, RunAhead


@pytest.fixture
async def service(nursery):
    """Return a running service that lets requests run ahead."""
    service = Service()
    budget = BodyBudget(1_000_000)
    run_ahead = RunAhead(service)
    service.server = HttpServer(service.handle, body_budget=budget, run_ahead=run_ahead)
    return service


@pytest.fixture
async def caller(nursery, service):
    """Return a connection to the service; at its end, nothing must be left of its requests."""
    host, port = await nursery.start(service.server.serve, ("127.0.0.1", 0))
    async with await trio.open_tcp_stream(*split_address(f"{host}:{port}")) as stream:
        yield Caller(stream)
    server = service.server
    with trio.fail_after(WAIT_S):
        while server.connections or server.open_requests or server.run_ahead.running:
            await trio.sleep(0.01)
    assert server.body_budget.held_bytes == 0
