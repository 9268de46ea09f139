"""HTTP endpoint that the platform's clients call for VM lookups."""

from collections.abc import Callable
from urllib.parse import parse_qs

from attrs import frozen

from wagtailbay.locate import RankedVm
from wagtailbay.platform.durations import format_duration_ms
from wagtailbay.transport import Reply, Request

RESOLVE_PATH = "/resolve"


@frozen
class LookupEndpoint:
    """Serves lookups of VMs by availability zone.

    Attributes:
        find_vms: Returns the VMs for a client in an availability zone.
        ttl_ms: Time for which a client may cache a response.
    """

    find_vms: Callable[[str], tuple[RankedVm, ...]]
    ttl_ms: float

    async def handle(self, request: Request, reply: Reply) -> None:
        """Respond with the addresses for the client's zone, or with 503 if no VM is ready."""
        path, _, query = request.path.partition("?")
        if path != RESOLVE_PATH:
            await reply.send_json(404, {"error": "there is nothing here"})
            return
        zone = parse_qs(query).get("zone", [""])[0]
        addresses = [vm.address for vm in self.find_vms(zone)]
        if not addresses:
            await reply.send_json(503, {"error": "no VM is ready"})
            return
        response = {"addresses": addresses, "ttl": format_duration_ms(self.ttl_ms)}
        await reply.send_json(200, response)
