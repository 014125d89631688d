"""Actions that a balancer returns to its caller, which carries them out in the order returned.

Servers, requests and timers are identified by the integers of the events. Times are durations in
milliseconds. A balancer never waits for an action: its result arrives as an event.
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
        server: The server that receives it.
        timeout_ms: Time after which the attempt ends with `Outcome.TIMEOUT`.
    """

    request: int
    server: int
    timeout_ms: float


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt in flight. Its `AttemptEnded` still follows.

    Attributes:
        request: The request.
        attempt: The attempt's number within the request.
    """

    request: int
    attempt: int


@dataclass(slots=True)
class Reject:
    """Final response: the request was not served, and a retry does no harm.

    Attributes:
        request: The request.
        wait_ms: Suggested wait before a retry (Retry-After); 0 suggests no wait.
    """

    request: int
    wait_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final response: the request failed, and may or may not have had its effect."""

    request: int


# ---------------------------------------------------------------- timers, servers, peers


@dataclass(slots=True)
class SetTimer:
    """Send `TimerFired` after a delay. Timers can't be cancelled.

    Attributes:
        cookie: Value that the event carries.
        delay_ms: Time from now until the event.
    """

    cookie: int
    delay_ms: float


@dataclass(slots=True)
class Probe:
    """Probe a server: check whether it responds, and get its load report."""

    server: int


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: int


@dataclass(slots=True)
class TellPeer:
    """Send a message to other instances of the tier.

    Attributes:
        peer: Index of the receiving instance; None sends the message to all.
        payload: Content of the message.
    """

    peer: int | None
    payload: bytes = b""


# ---------------------------------------------------------------- discovery


@dataclass(slots=True)
class FetchList:
    """Request the complete endpoint list once."""


@dataclass(slots=True)
class WatchList:
    """Request changes of the endpoint list, or stop watching the list.

    A request that is still in flight is aborted and its connection closed. Without a number the action starts
    or ends a standing subscription, and the fields after the number are ignored.

    Attributes:
        active: Whether to watch the list.
        call: The request's number, which its response carries; 0 for a standing subscription.
        after: The list version since which changes are requested; `NO_VERSION` requests the complete list.
        wait_ms: Maximum time for which discovery may hold the request until there is a change.
        response_timeout_ms: Time after which the request is abandoned and counts as failed.
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
    """Report that guidance was out of bounds, so that all of it is ignored.

    Attributes:
        planner: The planner that sent it.
        why: Description of the value that was out of bounds.
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
