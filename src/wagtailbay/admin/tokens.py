"""Authentication of operators by admin token."""

import hashlib
import hmac
import re
from collections.abc import Mapping

from attrs import frozen
from result import Err, Ok, Result

from wagtailbay.admin.models import AdminError
from wagtailbay.config import DocumentError
from wagtailbay.settings.checks import parse_pairs

SHA256_HEX_PATTERN = re.compile(r"[0-9a-f]{64}")


def parse_token_digests(text: str) -> dict[str, str]:
    """Parse comma-separated ``operator=<sha256>`` pairs.

    Raises:
        ValueError: An operator name is empty or not printable, a digest is not 64 hexadecimal
            digits, or there is no pair.
    """
    pairs = parse_pairs(text)
    for operator, digest in pairs.items():
        if not operator or not operator.isprintable():
            raise ValueError("an operator's name is empty or not printable")
        if not SHA256_HEX_PATTERN.fullmatch(digest):
            raise ValueError(f"expected 64 hexadecimal digits for operator {operator!r}")
    if not pairs:
        raise ValueError("names no operator")
    return pairs


@frozen
class TokenAuthenticator:
    """Authenticates operators by the SHA-256 of their tokens; the tokens are not stored."""

    digests: Mapping[str, str]

    def authenticate(self, authorization: str | None) -> Result[str, AdminError]:
        """Return the operator whose bearer token is in an Authorization header.

        Digests are compared in constant time, and all of them are compared.
        """
        scheme, _, token = (authorization or "").partition(" ")
        if scheme.lower() != "bearer" or not token:
            return Err(_unauthorized("send the header Authorization: Bearer <admin token>"))
        presented = hashlib.sha256(token.strip().encode("utf-8", "surrogateescape")).hexdigest()
        match = None
        for operator, digest in self.digests.items():
            if hmac.compare_digest(digest, presented):
                match = operator
        return Ok(match) if match else Err(_unauthorized("the admin token is unknown"))


def _unauthorized(message: str) -> AdminError:
    return AdminError(401, "unauthorized", message, (DocumentError("Authorization", message),))
