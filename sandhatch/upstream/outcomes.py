"""The outcome of an attempt whose answer arrived complete.

It decides nothing about a retry: that is `sandhatch.balancing`. Source: the table of outcomes in
PROTOCOL-sandhatch.md, "Balancers to upstreams":

    answer                            outcome        may the request have run?
    --------------------------------  -------------  -------------------------
    200                               OK             yes
    503 or 504 with `X-Never-Ran: 1`  FULL           never
    any other 4xx                     CLIENT_ERROR   yes
    anything else                     ERROR          yes

Attempts without a complete answer get their outcome from `sandhatch.upstream.attempt`.
"""

from __future__ import annotations

from sandhatch.balancing.events import Outcome
from sandhatch.http1.message import Message

NEVER_RAN_HEADER = b"x-never-ran"


def outcome_of(response: Message) -> Outcome:
    """Look up the outcome that a complete answer stands for."""
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504) and response.values(NEVER_RAN_HEADER) == [b"1"]:
        return Outcome.FULL
    if 400 <= response.status < 500:
        return Outcome.CLIENT_ERROR
    return Outcome.ERROR
