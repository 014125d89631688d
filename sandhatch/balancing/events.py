"""Events: what happened outside, as the caller of a balancer passes it in.

Servers, requests and timers are named by integers that the caller chooses; nothing is ever read into them.
All times are milliseconds. `started_ms`, `report_sent_ms` and names that end in `until_ms` are readings of
the caller's clock, whose present reading goes to `Balancer.handle` with each event; others are durations.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum

# ---------------------------------------------------------------- discovery


class ServerState(IntEnum):
    """What discovery says of a server."""

    GONE = 0  # removed
    READY = 1  # may be sent requests
    DRAINING = 2  # finishes its work; nothing new is sent to it


class ListKind(Enum):
    """What a list event carries."""

    FULL = "full"  # the complete list: a server that is not on it is gone
    DELTA = "delta"  # changed entries only
    CACHED = "cached"  # the complete list as this instance knew it last; may be old
    FAILED = "failed"  # a request to discovery failed or the subscription broke; no entries
    RELOCATED = "moved"  # discovery has a new address, and requests in flight have ended; no entries


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One entry of an endpoint list.

    Attributes:
        server: The server's number.
        state: What discovery says of it.
        started_ms: When its process started, by the caller's clock; 0 means long ago.
        weight: Its rating, in comparison with those of other servers; has no unit.
        zone: Its zone.
        cell: Its cell: the servers of a cell share the idempotency keys that they have seen.
        kind: Its kind of machine.
        label: A number that is the same for this server in all instances; used where these share a ramp.
    """

    server: int
    state: ServerState = ServerState.READY
    started_ms: float = 0.0
    weight: float = 1.0
    zone: int = 0
    cell: int = 0
    kind: int = 0
    label: int = 0


NO_VERSION = -1  # in place of a list's version: no list is known


@dataclass(slots=True)
class ListUpdate:
    """An event of the endpoint list.

    Attributes:
        kind: What it carries.
        version: The version of the list that is known from now on.
        entries: The list's entries, or the changed ones.
        call: The number of the `WatchList` that this answers; 0 if it answers none.
    """

    kind: ListKind
    version: int = 0
    entries: Sequence[ServerEntry] = ()
    call: int = 0


# ---------------------------------------------------------------- requests


class Outcome(IntEnum):
    """How an attempt or a probe ended."""

    OK = 0
    ERROR = 1  # the server answered with an error; it may have run
    FULL = 2  # rejected by the server unseen: proves that it never ran
    TIMEOUT = 3  # no answer in time; may have run, or still be running
    CONNECT_FAILED = 4  # no connection: proves that it never ran
    RESET = 5  # connection lost; may have run
    CANCELLED = 6  # cancelled by us; may have run
    DISCARDED = 7  # never sent: proves that it never ran
    CLIENT_ERROR = 8  # the server says that the request itself is invalid, which says nothing of the server


NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.DISCARDED))
# Outcomes that say nothing of the server's health.
NEUTRAL_OUTCOMES = frozenset((Outcome.CANCELLED, Outcome.DISCARDED, Outcome.CLIENT_ERROR))


@dataclass(slots=True)
class RequestArrived:
    """A client's request. From now on the balancer has to give it exactly one final answer.

    Attributes:
        request: Its number, never used twice.
        class_index: Its class in `Settings.classes`.
        time_left_ms: How long until the client abandons it.
        tenant: Its tenant in `Settings.tenants`.
        key: What it is about: requests with the same key belong together; 0 means none.
        expected_ms: The work that it is expected to take, on a standard core; None if unknown.
        client_retry: Whether the client marked it as a retry.
        write: Whether it writes.
    """

    request: int
    class_index: int
    time_left_ms: float
    tenant: int = 0
    key: int = 0
    expected_ms: float | None = None
    client_retry: bool = False
    write: bool = False


@dataclass(slots=True)
class AnswerStarted:
    """A streamed answer has started: the attempt is the request's last, and no deadline runs any more.

    Attributes:
        request: The request.
        attempt: The attempt's number within the request.
        server: The server.
        spent_ms: The time since the attempt was sent.
    """

    request: int
    attempt: int
    server: int
    spent_ms: float = 0.0


@dataclass(slots=True)
class Unrepeatable:
    """Part of a request's body was sent and is not buffered any more: no further attempt could send it."""

    request: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended. There is exactly one for each `Send`.

    Attributes:
        request: The request.
        attempt: The attempt's number within the request.
        server: The server.
        outcome: How it ended.
        final: Whether the request itself has ended, by this outcome or before.
        spent_ms: The time since the attempt was sent.
        report: The load report that came with it, in the order of `Settings.report_fields`; may be empty.
    """

    request: int
    attempt: int
    server: int
    outcome: Outcome
    final: bool
    spent_ms: float = 0.0
    report: Sequence[float] = ()


@dataclass(slots=True)
class ClientDisconnected:
    """The client of a request has disconnected: the request needs no answer any more."""

    request: int


# ---------------------------------------------------------------- timers, probes, peers


@dataclass(slots=True)
class TimerFired:
    """A timer that was set by `SetTimer` has fired."""

    cookie: int


@dataclass(slots=True)
class ProbeEnded:
    """A probe has ended. There is exactly one for each `Probe`.

    Attributes:
        server: The server.
        outcome: How it ended.
        spent_ms: The time since the probe was sent.
        report: The load report that came with it, in the order of `Settings.report_fields`; may be empty.
    """

    server: int
    outcome: Outcome
    spent_ms: float = 0.0
    report: Sequence[float] = ()


@dataclass(slots=True)
class PeerMessage:
    """Another instance of the tier has sent a message.

    Attributes:
        sender: The index of that instance.
        payload: What it sent.
    """

    sender: int
    payload: bytes = b""


# ---------------------------------------------------------------- guidance from planners


@dataclass(slots=True, frozen=True)
class ServerWeight:
    """The weight of a server.

    Attributes:
        server: The server.
        weight: The share of its draws that it keeps, from 0 to 1.
    """

    server: int
    weight: float


@dataclass(slots=True, frozen=True)
class RampShare:
    """An instance's share of the ramp of a server that is warming up.

    Attributes:
        server: The server.
        rate: Share of the ramp's rate, from 0 to 1.
        burst: Requests that may be sent at once beyond that rate.
    """

    server: int
    rate: float
    burst: float


@dataclass(slots=True)
class Guidance:
    """Guidance from a planner: weights of servers, and shares that this instance may use for a while.

    The shares count only where this instance has leased its own shares to that planner.

    Attributes:
        planner: The planner's name.
        report_sent_ms: When this instance sent the report that the guidance answers.
        until_ms: When the guidance expires.
        weights: The servers' weights; one that is not named has the weight 1. None extends those before.
        leased: Whether this instance has leased its own shares to that planner.
        leased_until_ms: Until when these are leased to others.
        parts: Shares of ramps; a server that is not named has none.
        own_part: Share of the tier's capacity. None extends the share before.
    """

    planner: str
    report_sent_ms: float
    until_ms: float
    weights: Sequence[ServerWeight] | None = None
    leased: bool = False
    leased_until_ms: float = 0.0
    parts: Sequence[RampShare] = ()
    own_part: float | None = None


@dataclass(slots=True)
class OwnSharesLeased:
    """This instance has leased its own shares of ramps to others until this time, whatever guidance comes."""

    until_ms: float


Event = (
    ListUpdate
    | RequestArrived
    | AnswerStarted
    | Unrepeatable
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | ProbeEnded
    | PeerMessage
    | Guidance
    | OwnSharesLeased
)
