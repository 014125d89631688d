"""Limits on the size of a message, and the fields that are forbidden as trailers.

Constants only. Source: PROTOCOL-sandhatch.md; RFC 9110 section 6.5.1 for the trailers.
"""

from __future__ import annotations

MAX_HEAD_BYTES = 32 * 1024
# Maximum number of fields: heads with thousands of short fields cost far more than their size suggests.
MAX_FIELDS = 100
MAX_REQUEST_BODY_BYTES = 64 * 1024
# For responses, the protocol specifies 64 KiB, but servers send valid responses of 200 to 380 KiB. The memory
# budget bounds the total of all connections.
MAX_RESPONSE_BODY_BYTES = 1024 * 1024
# Bytes of framing allowed in addition to a buffered body. Rejects endless chunks, trailers and interim
# responses.
MAX_FRAMING_BYTES = 1024 * 1024
# Bytes of framing of a streamed body allowed in excess of the body's own size. Rejects one-byte chunks and
# endless chunk extensions.
MAX_STREAMED_FRAMING_BYTES = 64 * 1024
MAX_LENGTH_DIGITS = 19

# Fields for framing, routing and authentication are forbidden as trailers.
FORBIDDEN_TRAILERS = frozenset(
    (
        b"authorization",
        b"connection",
        b"content-encoding",
        b"content-length",
        b"content-range",
        b"content-type",
        b"cookie",
        b"expect",
        b"host",
        b"set-cookie",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"x-expires-in-ms",
        b"x-trace-id",
    )
)
