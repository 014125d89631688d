"""Readiness of a server in a forwarder's endpoint list, as contained in reports.

Holds values only: no I/O, no clock. Source: the fields `cold`, `warm` and `left` of docs/planning-link.md.
"""

from __future__ import annotations

from enum import IntEnum


class Readiness(IntEnum):
    """Readiness of a server; planners store one byte for each pair of server and forwarder."""

    NOT_READY = 0  # the server was removed from the endpoint list, or is draining
    WARM = 1
    WARMING_UP = 2
