"""HTTP endpoint for readiness checks."""

from collections.abc import Callable

from attrs import frozen

from wagtailbay.transport import Reply, Request


@frozen
class ReadinessEndpoint:
    """Reports to the platform whether this VM is ready."""

    is_ready: Callable[[], bool]

    async def handle(self, request: Request, reply: Reply) -> None:
        """Respond with status 200 if this VM is ready, else 503."""
        ready = self.is_ready()
        await reply.send_json(200 if ready else 503, {"ready": ready})
