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
    """Hand an event to a pool's balancer.

    If the balancer rejects it, `Forwarder.guidance_rejected` must be called.
    """

    pool: str
    event: Guidance | OwnSharesLeased


@dataclass(slots=True, frozen=True)
class EndSession:
    """End the session with a planner; `why` is sent to it."""

    planner: str
    why: str


@dataclass(slots=True, frozen=True)
class LogLine:
    """Write a line to the log."""

    text: str


Action = SendReport | NotifyBalancer | EndSession | LogLine
