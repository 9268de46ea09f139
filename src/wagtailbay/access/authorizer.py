"""Authorize requests and determine their workspace."""

from collections.abc import Callable

from attrs import define
from result import Err, Ok, Result

from wagtailbay.access.const import MAX_CONFIRMED_AGE_MS
from wagtailbay.access.keys import KeyRing
from wagtailbay.config import Route, ServiceDocument
from wagtailbay.refusals import Refusal, not_run


@define
class Authorizer:
    """Checks API keys and whether this VM's replica of them is fresh enough.

    Attributes:
        confirmed_age_ms: Returns the age of the last confirmed replica state, or None.
        has_quorum: Returns whether this VM has recently exchanged messages with a quorum.
    """

    keys: KeyRing
    confirmed_age_ms: Callable[[float], float | None]
    has_quorum: Callable[[float], bool]

    def authorize(
        self, service: ServiceDocument, route: Route, authorization: str | None, now_s: float
    ) -> Result[str | None, Refusal]:
        """Return the workspace of a request, None on an open route, or a refusal."""
        if route.open:
            return Ok(None)
        scheme, _, key = (authorization or "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            message = "send the header Authorization: Bearer <key>"
            return Err(not_run(401, "key_missing", message))
        if not self.has_fresh_keys(now_s):
            message = "this VM cannot rule out that the key was withdrawn; use another VM"
            return Err(not_run(503, "keys_unconfirmed", message, retry_after_ms=1_000))
        record = self.keys.lookup(key.strip())
        if record is None:
            return Err(not_run(401, "key_unknown", "the key is unknown or withdrawn"))
        if service.limit_for(record.workspace) is None:
            message = f"workspace {record.workspace!r} may not call service {service.service!r}"
            return Err(not_run(403, "workspace_not_allowed", message))
        return Ok(record.workspace)

    def has_fresh_keys(self, now_s: float) -> bool:
        """Return whether this VM is guaranteed to know every key withdrawal in force."""
        age_ms = self.confirmed_age_ms(now_s)
        if age_ms is not None and age_ms <= MAX_CONFIRMED_AGE_MS:
            return True
        return self.has_quorum(now_s)
