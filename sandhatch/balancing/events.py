"""Events that the caller passes to a balancer.

Servers, requests and timers are identified by integers that the caller chooses and that have no further
meaning. All times are milliseconds. `started_ms`, `report_sent_ms` and names that end in `until_ms` are
readings of the caller's clock, whose present reading is passed to `Balancer.handle` with each event; others
are durations.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum

# ---------------------------------------------------------------- discovery


class ServerState(IntEnum):
    """State of a server according to discovery."""

    GONE = 0  # removed from the endpoint list
    READY = 1  # accepts requests
    DRAINING = 2  # finishes its requests in flight; receives no new ones


class ListKind(Enum):
    """Kind of a list event."""

    FULL = "full"  # the complete list: servers that are missing from it are gone
    DELTA = "delta"  # changed entries only
    CACHED = "cached"  # the last complete list that this instance knew; may be out of date
    FAILED = "failed"  # a request to discovery failed or the subscription broke; no entries
    RELOCATED = "moved"  # discovery has moved; calls pending at its old address were cancelled; no entries


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One entry of an endpoint list.

    Attributes:
        server: The server's number.
        state: The server's state according to discovery.
        started_ms: Start time of its process by the caller's clock; 0 means long ago.
        weight: Weight relative to those of other servers; has no unit.
        zone: The server's zone.
        cell: The server's cell; the servers of a cell share the idempotency keys that they have seen.
        kind: The server's kind of machine.
        label: Number that is the same for this server in all instances; used where instances share a ramp.
    """

    server: int
    state: ServerState = ServerState.READY
    started_ms: float = 0.0
    weight: float = 1.0
    zone: int = 0
    cell: int = 0
    kind: int = 0
    label: int = 0


NO_VERSION = -1  # stands for the list's version while no list is known


@dataclass(slots=True)
class ListUpdate:
    """An event of the endpoint list.

    Attributes:
        kind: Kind of the event.
        version: Version of the list that is known after this event.
        entries: All entries of the list, or the changed ones.
        call: Number of the `WatchList` that this list answers; 0 if it answers no numbered `WatchList`.
    """

    kind: ListKind
    version: int = 0
    entries: Sequence[ServerEntry] = ()
    call: int = 0


# ---------------------------------------------------------------- requests


class Outcome(IntEnum):
    """How an attempt or a probe ended."""

    OK = 0
    ERROR = 1  # the server responded with an error; the request may have run
    FULL = 2  # rejected by the server before any work: proves that the request never ran
    TIMEOUT = 3  # no response in time; the request may have run, or still be running
    CONNECT_FAILED = 4  # no connection: proves that the request never ran
    RESET = 5  # connection lost; the request may have run
    CANCELLED = 6  # cancelled by this instance; the request may have run
    DISCARDED = 7  # never sent: proves that the request never ran
    CLIENT_ERROR = 8  # the server found the request invalid, which is no evidence about the server


NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.DISCARDED))
# Outcomes that are no evidence about the server's health.
NEUTRAL_OUTCOMES = frozenset((Outcome.CANCELLED, Outcome.DISCARDED, Outcome.CLIENT_ERROR))


@dataclass(slots=True)
class RequestArrived:
    """A client's request has arrived. The balancer must give it exactly one final response.

    Attributes:
        request: The request's number, never used twice.
        class_index: Index of its class in `Settings.classes`.
        time_left_ms: Time until the client abandons the request.
        tenant: Index of its tenant in `Settings.tenants`.
        key: Routing key: requests with the same key belong together; 0 means no key.
        expected_ms: Cost hint: expected work on a standard core; None if unknown.
        client_retry: Whether the client marked the request as a retry.
        write: Whether the request writes.
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
    """A streamed response has started: this is the request's last attempt, and deadlines no longer apply.

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
    """Part of a request's body was sent and is no longer buffered, so that no further attempt is possible."""

    request: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended. There is exactly one for each `Send`.

    Attributes:
        request: The request.
        attempt: The attempt's number within the request.
        server: The server.
        outcome: Outcome of the attempt.
        final: Whether the request itself has ended, with this outcome or before.
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
    """The client of a request has disconnected: the request needs no response."""

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
        outcome: Outcome of the probe.
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
        sender: Index of the sending instance.
        payload: Content of the message.
    """

    sender: int
    payload: bytes = b""


# ---------------------------------------------------------------- guidance from planners


@dataclass(slots=True, frozen=True)
class ServerWeight:
    """Weight of a server, set by a planner.

    Attributes:
        server: The server.
        weight: Fraction of its draws that the server retains, from 0 to 1.
    """

    server: int
    weight: float


@dataclass(slots=True, frozen=True)
class RampShare:
    """An instance's share of the ramp of a server that is warming up.

    Attributes:
        server: The server.
        rate: Share of the ramp's rate, from 0 to 1.
        burst: Number of requests that may be sent at once beyond that rate.
    """

    server: int
    rate: float
    burst: float


@dataclass(slots=True)
class Guidance:
    """Guidance from a planner: weights of servers, and shares that this instance may use until it expires.

    The shares take effect only where this instance has leased its own shares to that planner.

    Attributes:
        planner: The planner's name.
        report_sent_ms: Time when this instance sent the report that the guidance responds to.
        until_ms: Expiry time of the guidance.
        weights: Weights of servers; servers without an entry have the weight 1. None extends the previous
            weights.
        leased: Whether this instance has leased its own shares to that planner.
        leased_until_ms: Time until which these shares are leased to others.
        parts: Shares of ramps; servers without an entry have no share.
        own_part: Share of the tier's capacity. None extends the previous share.
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
    """This instance has leased its own shares of ramps to others until this time, whatever the guidance."""

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
