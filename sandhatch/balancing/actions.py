"""Actions: what a balancer asks its caller to do, in their order."""

from __future__ import annotations

from dataclasses import dataclass, field

from sandhatch.balancing.events import NO_VERSION


@dataclass(slots=True)
class Send:
    """Start an attempt; a request's attempts are numbered 0, 1, 2 in the order of their sends."""

    request: int
    server: int
    timeout_ms: float


@dataclass(slots=True)
class Cancel:
    """Call off an attempt that is still out; its `AttemptEnded` follows all the same."""

    request: int
    attempt: int


@dataclass(slots=True)
class Reject:
    """Final answer: not served, and trying again does no harm."""

    request: int
    wait_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: not served, and nothing is promised of its effect."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Fire `TimerFired` with this cookie after the delay."""

    cookie: int
    delay_ms: float


@dataclass(slots=True)
class Probe:
    """Ask a server for its load report."""

    server: int


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: int


@dataclass(slots=True)
class TellPeer:
    """`peer` of None reaches every peer."""

    peer: int | None
    payload: bytes = b""


@dataclass(slots=True)
class FetchList:
    """Fetch the complete endpoint list once."""


@dataclass(slots=True)
class WatchList:
    """Ask for changes since version `after` (`NO_VERSION`: for the whole list), or stop asking. Discovery may
    keep the call for `wait_ms`; it is given up, and counts as failed, after `patience_ms`. A call that is
    still out ends, with its connection. Without a number it is a standing subscription.
    """

    active: bool = field(default=True)
    call: int = 0
    after: int = NO_VERSION
    wait_ms: float = 0.0
    patience_ms: float = 0.0


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


@dataclass(slots=True)
class GuidanceRejected:
    """Advice was out of bounds, and none of it counts."""

    planner: str
    why: str


Action = (
    Send
    | Cancel
    | Reject
    | Fail
    | SetTimer
    | Probe
    | CloseIdle
    | TellPeer
    | FetchList
    | WatchList
    | Log
    | GuidanceRejected
)
