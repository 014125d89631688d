"""Determines the outcome of an attempt from its complete response.

Retries are decided by `sandhatch.balancing`. Source: the table of outcomes in PROTOCOL-sandhatch.md,
"Balancers to upstreams":

    response                          outcome        may the request have run?
    --------------------------------  -------------  -------------------------
    200                               OK             yes
    503 or 504 with `X-Never-Ran: 1`  FULL           never
    any 4xx                           CLIENT_ERROR   yes
    anything else                     ERROR          yes

Attempts without a complete response get their outcome from `sandhatch.upstream.attempt`.
"""

from __future__ import annotations

from sandhatch.balancing.events import Outcome
from sandhatch.http1.message import Message

NEVER_RAN_HEADER = b"x-never-ran"


def classify_response(response: Message) -> Outcome:
    """Return the outcome of an attempt that received this complete response."""
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504) and response.values(NEVER_RAN_HEADER) == [b"1"]:
        return Outcome.FULL
    if 400 <= response.status < 500:
        return Outcome.CLIENT_ERROR
    return Outcome.ERROR
