"""Encode and decode claims as JSON values of stored objects."""

import base64
import binascii
from typing import Any

from attrs import frozen
from result import Err, Ok, Result

from wagtailbay.once.models import ClaimRecord, ClaimState, Outcome


@frozen
class ClaimDecodeError:
    """Error for a stored value that this release cannot decode as a claim."""

    message: str


def encode_claim(record: ClaimRecord) -> dict[str, Any]:
    """Encode a claim as a JSON object."""
    value: dict[str, Any] = {
        "digest": record.digest,
        "vm": record.vm,
        "incarnation": record.incarnation,
        "mark": record.mark,
        "claimed_unix_s": record.claimed_unix_s,
        "state": record.state.value,
    }
    if record.outcome is not None:
        value["outcome"] = encode_outcome(record.outcome)
    return value


def encode_outcome(outcome: Outcome) -> dict[str, Any]:
    """Encode an outcome; its body is base64, or null if only its digest is recorded."""
    body = None if outcome.body is None else base64.b64encode(outcome.body).decode("ascii")
    return {
        "status": outcome.status,
        "headers": [list(pair) for pair in outcome.headers],
        "body": body,
        "body_bytes": outcome.body_bytes,
        "body_sha256": outcome.body_sha256,
    }


def decode_claim(value: Any) -> Result[ClaimRecord, ClaimDecodeError]:
    """Decode a claim from a JSON object."""
    try:
        stored = value.get("outcome")
        state = ClaimState(value["state"])
        outcome = None if stored is None else _decode_outcome(stored)
        if (state is ClaimState.ANSWERED) != (outcome is not None):
            return Err(ClaimDecodeError(f"state {state.value!r} is inconsistent with its outcome"))
        return Ok(
            ClaimRecord(
                str(value["digest"]),
                str(value["vm"]),
                int(value["incarnation"]),
                str(value["mark"]),
                float(value["claimed_unix_s"]),
                state,
                outcome,
            )
        )
    except (AttributeError, KeyError, TypeError, ValueError, binascii.Error) as error:
        return Err(ClaimDecodeError(f"{type(error).__name__}: {error}"))


def _decode_outcome(stored: dict[str, Any]) -> Outcome:
    body = stored["body"]
    return Outcome(
        int(stored["status"]),
        tuple((str(name), str(value)) for name, value in stored["headers"]),
        None if body is None else base64.b64decode(body, validate=True),
        int(stored["body_bytes"]),
        str(stored["body_sha256"]),
    )
