"""Actions: what a balancer wants its caller to do, in the order in which it returns them.

Servers, requests and timers are named by the integers of the events. Times are durations in milliseconds.
A balancer never waits for an action: what comes of it arrives as an event.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sandhatch.balancing.events import NO_VERSION

# ---------------------------------------------------------------- requests


@dataclass(slots=True)
class Send:
    """Start an attempt. A request's attempts are numbered 0, 1, 2 in the order of these actions.

    Attributes:
        request: The request.
        server: The server that it goes to.
        timeout_ms: After which the attempt ends with `Outcome.TIMEOUT`.
    """

    request: int
    server: int
    timeout_ms: float


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt in flight. Its `AttemptEnded` follows all the same.

    Attributes:
        request: The request.
        attempt: The attempt's number within the request.
    """

    request: int
    attempt: int


@dataclass(slots=True)
class Reject:
    """Final answer: the request was not served, and a retry does no harm.

    Attributes:
        request: The request.
        wait_ms: How long the client should wait before its retry (Retry-After); 0 gives no advice.
    """

    request: int
    wait_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: the request failed, and may or may not have had its effect."""

    request: int


# ---------------------------------------------------------------- timers, servers, peers


@dataclass(slots=True)
class SetTimer:
    """Send `TimerFired` after a delay. Timers can't be cancelled.

    Attributes:
        cookie: What the event is to carry.
        delay_ms: How long from now.
    """

    cookie: int
    delay_ms: float


@dataclass(slots=True)
class Probe:
    """Probe a server: check whether it answers, and get its load report."""

    server: int


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: int


@dataclass(slots=True)
class TellPeer:
    """Send a message to other instances of the tier.

    Attributes:
        peer: The index of the instance; None sends it to all.
        payload: What to send.
    """

    peer: int | None
    payload: bytes = b""


# ---------------------------------------------------------------- discovery


@dataclass(slots=True)
class FetchList:
    """Request the complete endpoint list once."""


@dataclass(slots=True)
class WatchList:
    """Request changes of the endpoint list, or stop watching it.

    A request that is still in flight ends, with its connection. Without a number the action starts or ends a
    standing subscription, and the fields that follow the number don't count.

    Attributes:
        active: Whether to watch.
        call: The request's number, which its answer carries; 0 for a standing subscription.
        after: The version after which changes are requested; `NO_VERSION` requests the complete list.
        wait_ms: How long discovery may hold the request until there is a change.
        response_timeout_ms: After which the request is abandoned, and counts as failed.
    """

    active: bool = field(default=True)
    call: int = 0
    after: int = NO_VERSION
    wait_ms: float = 0.0
    response_timeout_ms: float = 0.0


# ---------------------------------------------------------------- reports


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


@dataclass(slots=True)
class GuidanceRejected:
    """Report that guidance was out of bounds, so that none of it counts.

    Attributes:
        planner: The planner that sent it.
        why: What was out of bounds.
    """

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
