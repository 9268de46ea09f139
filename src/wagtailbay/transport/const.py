"""Limits and timeouts of the HTTP transport."""

from typing import Final

RECEIVE_CHUNK_BYTES: Final = 65_536
MAX_REQUEST_BODY_BYTES: Final = 1_048_576
MAX_RESPONSE_BODY_BYTES: Final = 64 * 1_048_576
# A response that nobody waits for is read up to this size, so that its connection can be reused.
MAX_DISCARDED_BYTES: Final = 262_144
MAX_HEADER_BYTES: Final = 32_768
# The body must arrive within this time after the head of the request.
REQUEST_RECEIVE_TIMEOUT_S: Final = 30.0
IDLE_CONNECTION_TIMEOUT_S: Final = 75.0
MAX_HEADER_FIELDS: Final = 100
# RFC 9110 defines no status above this one; h11 accepts them up to 999.
MAX_STATUS: Final = 599
MAX_INFORMATIONAL_RESPONSES: Final = 16
# The IDs of all requests on a connection are kept, 8 bytes each.
MAX_REQUESTS_PER_CONNECTION: Final = 256
# Responses to earlier requests that are skipped before a connection is abandoned.
MAX_SKIPPED_RESPONSES: Final = 2
# Lingering close: after an error response, input is read and discarded up to these limits. Closing
# with unread input would reset the connection before the caller has read the response.
LINGER_TIMEOUT_S: Final = 1.0
MAX_LINGER_BYTES: Final = 4 * 1_048_576
# How often a server that stops looks for connections that have become idle.
DRAIN_POLL_INTERVAL_S: Final = 0.02
# A caller that does not accept one chunk within this time is treated as disconnected.
SEND_TIMEOUT_S: Final = 60.0
# A server that has dropped an idle connection resets it one round trip after the next request; a
# round trip takes up to 70 ms between regions.
IDLE_RESET_WINDOW_S: Final = 0.2
# A learned idle limit expires after this time and idle connections are tried again, since opening
# a new one costs about 1 ms.
IDLE_LIMIT_TTL_S: Final = 20.0
# Parsing a chunk takes tens of microseconds, whatever its size. After this many chunks from bytes
# that had already been received, other tasks run for a while.
MAX_CHUNKS_BETWEEN_WAITS: Final = 64
SMALL_CHUNKS_PAUSE_S: Final = 0.01
# Requests on one connection that run at the same time, and in the whole process those of them that
# run ahead of earlier ones. Each of these may hold a response of the third size.
MAX_PIPELINED_PER_CONNECTION: Final = 8
MAX_PIPELINED_REQUESTS: Final = 256
MAX_HELD_RESPONSE_BYTES: Final = 262_144
# Callers that read slowly must not keep all memory from the bodies of requests.
MAX_HELD_BUDGET_FRACTION: Final = 0.5
# A response is cut after this many such chunks if their mean size is smaller than the second value.
MAX_DENSE_CHUNKS: Final = 8_192
MIN_DENSE_CHUNK_BYTES: Final = 64
# A request body up to this size is sent together with its head, in one system call.
MAX_JOINED_BODY_BYTES: Final = 65_536
# Requests with small bodies do not wait for the memory that large ones hold.
MAX_UNCOUNTED_BODY_BYTES: Final = 16_384
