"""Protobuf encoding of token requests and their answers."""

from google.protobuf.message import DecodeError
from result import Err, Ok, Result

from wagtailbay.membership.const import (
    MAX_GRANT_WAIT_MS,
    MAX_TOKEN_DEMANDS,
    MAX_TOKENS_REQUESTED,
)
from wagtailbay.membership.generated import peer_pb2
from wagtailbay.membership.tokens import TokenDemand, TokenGrant, TokenGrants, TokenRequests


def encode_token_requests(requests: TokenRequests) -> bytes:
    """Encode the token requests of one call."""
    encoded = peer_pb2.TokenRequests(borrower=requests.borrower, incarnation=requests.incarnation)
    for demand in requests.demands:
        encoded.demands.add(
            workspace=demand.workspace,
            tokens=max(0, demand.tokens),
            spare=max(0, demand.spare),
            held=max(0, demand.held),
            waiting=max(0, demand.waiting),
        )
    return encoded.SerializeToString()


def decode_token_requests(data: bytes) -> Result[TokenRequests, str]:
    """Decode token requests, or return why they are malformed."""
    encoded = peer_pb2.TokenRequests()
    try:
        encoded.ParseFromString(data)
    except DecodeError as error:
        return Err(str(error))
    if len(encoded.demands) > MAX_TOKEN_DEMANDS:
        return Err(f"more than {MAX_TOKEN_DEMANDS} workspaces")
    names = {demand.workspace for demand in encoded.demands}
    if not encoded.borrower or "" in names or len(names) != len(encoded.demands):
        return Err("token requests need a borrower, and each demand its own workspace")
    demands = tuple(
        TokenDemand(
            demand.workspace,
            min(demand.tokens, MAX_TOKENS_REQUESTED),
            min(demand.spare, MAX_TOKENS_REQUESTED),
            min(demand.held, MAX_TOKENS_REQUESTED),
            min(demand.waiting, MAX_TOKENS_REQUESTED),
        )
        for demand in encoded.demands
    )
    return Ok(TokenRequests(encoded.borrower, encoded.incarnation, demands))


def encode_token_grants(grants: TokenGrants) -> bytes:
    """Encode the answers to token requests."""
    encoded = peer_pb2.TokenGrants()
    for grant in grants.grants:
        encoded.grants.add(
            tokens=grant.tokens,
            wait_ms=max(0, round(grant.wait_ms)),
            is_owner=grant.is_owner,
            spare=grant.spare,
        )
    return encoded.SerializeToString()


def decode_token_grants(data: bytes, requests: TokenRequests) -> Result[TokenGrants, str]:
    """Decode the answers to token requests, or return why they are malformed."""
    encoded = peer_pb2.TokenGrants()
    try:
        encoded.ParseFromString(data)
    except DecodeError as error:
        return Err(str(error))
    if len(encoded.grants) != len(requests.demands):
        return Err(f"{len(encoded.grants)} grants for {len(requests.demands)} demands")
    pairs = zip(encoded.grants, requests.demands, strict=True)
    if any(grant.tokens > demand.tokens or grant.spare > demand.spare for grant, demand in pairs):
        return Err("more tokens than requested")
    grants = tuple(
        TokenGrant(grant.tokens, min(grant.wait_ms, MAX_GRANT_WAIT_MS), grant.is_owner, grant.spare)
        for grant in encoded.grants
    )
    return Ok(TokenGrants(grants))
