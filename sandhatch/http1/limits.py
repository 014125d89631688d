"""Bounds on what a message may take, and the fields that must not stand behind a body.

Constants only. Source: PROTOCOL-sandhatch.md; RFC 9110 section 6.5.1 for the trailers.
"""

from __future__ import annotations

MAX_HEAD_BYTES = 32 * 1024
# Rejects heads of thousands of short fields, which cost far more than their bytes.
MAX_FIELDS = 100
MAX_REQUEST_BODY_BYTES = 64 * 1024
# The protocol says 64 KiB, but servers were seen to give good answers of 200 to 380 KiB; what all
# connections hold together is bounded by the memory budget.
MAX_RESPONSE_BODY_BYTES = 1024 * 1024
# Beside a buffered body: rejects chunks, trailers or interim answers without end.
MAX_FRAMING_BYTES = 1024 * 1024
# Beside a streamed body, beyond its own size: rejects chunks of a byte each, and extensions without end.
MAX_STREAMED_FRAMING_BYTES = 64 * 1024
MAX_LENGTH_DIGITS = 19

# Fields that say how a message is framed, routed or trusted must not stand behind its body.
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
