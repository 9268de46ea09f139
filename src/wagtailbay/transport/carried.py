"""IDs of the requests that a connection has carried."""

from array import array

from attrs import define, field

from wagtailbay.transport.const import MAX_REQUESTS_PER_CONNECTION


@define
class CarriedRequests:
    """IDs of the requests that a connection has carried, so that it carries none of them twice.

    A server may send a copy of any earlier response at any time. The copy has the ID of its
    request, so the ID identifies a response only if the connection has carried it once. Nothing is
    forgotten; a connection whose record is full must not be used again.

    Attributes:
        hashes: Hash of each ID. Two IDs with the same hash only cost a new connection.
    """

    hashes: array = field(factory=lambda: array("q"))

    @property
    def is_full(self) -> bool:
        """Return whether the connection must carry no further request."""
        return len(self.hashes) >= MAX_REQUESTS_PER_CONNECTION

    def __contains__(self, request_id: str) -> bool:
        """Return whether the connection has carried a request with this ID."""
        return hash(request_id) in self.hashes

    def add(self, request_id: str) -> None:
        """Record that the connection carries a request."""
        self.hashes.append(hash(request_id))
