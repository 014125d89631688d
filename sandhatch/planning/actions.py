"""What the forwarder's state machine asks its link to do.

Plain values, handed from `sandhatch.planning.forwarder` to the code that owns sockets and balancers. No I/O,
no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from sandhatch.balancing.events import Guidance, OwnSharesLeased
from sandhatch.planning.messages import Report


@dataclass(slots=True, frozen=True)
class SendReport:
    """Send a report to a planner."""

    planner: str
    report: Report


@dataclass(slots=True, frozen=True)
class NotifyBalancer:
    """Hand an event to a pool's balancer; if it rejects the event, `Forwarder.rejected` must be called."""

    pool: str
    event: Guidance | OwnSharesLeased


@dataclass(slots=True, frozen=True)
class Drop:
    """End the session with a planner; `why` is sent to it."""

    planner: str
    why: str


@dataclass(slots=True, frozen=True)
class Note:
    """Write a line to the log."""

    text: str


Action = SendReport | NotifyBalancer | Drop | Note
