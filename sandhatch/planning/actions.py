"""Actions that the forwarder's state machine requests of its link.

Plain values, returned by `sandhatch.planning.forwarder` to the code that owns sockets and balancers. No I/O,
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
    """Pass an event to a pool's balancer.

    If the balancer rejects the event, `Forwarder.guidance_rejected` must be called.
    """

    pool: str
    event: Guidance | OwnSharesLeased


@dataclass(slots=True, frozen=True)
class EndSession:
    """End the session with a planner; the text in `reason` is sent to the planner."""

    planner: str
    reason: str


@dataclass(slots=True, frozen=True)
class LogLine:
    """Write a line to the log."""

    text: str


Action = SendReport | NotifyBalancer | EndSession | LogLine
