"""What a forwarder's endpoint list says of a server, as reports state it.

Holds values only: no I/O, no clock. Source: the fields `cold`, `warm` and `left` of docs/planning-link.md.
"""

from __future__ import annotations

from enum import IntEnum


class Readiness(IntEnum):
    """Whether a server may get requests; planners store it as one byte for each server and forwarder."""

    NOT_READY = 0  # removed from the list, or draining
    WARM = 1
    WARMING_UP = 2
