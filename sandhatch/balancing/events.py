"""Events: what the caller tells a balancer.

Times are milliseconds; durations are relative, and the time of an event is handed to `Balancer.handle`.
Servers, requests and timers are named by integers that the caller chooses; the module never reads meaning
into them.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum


class ServerState(IntEnum):
    """What discovery says of a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Outcome(IntEnum):
    """How one attempt or probe ended."""

    OK = 0
    ERROR = 1  # the server answered with an error; it may have run
    FULL = 2  # turned away unseen: proves that it never ran
    TIMEOUT = 3  # no answer in time; may have run, or still be running
    CONNECT_FAILED = 4  # no connection: proves that it never ran
    RESET = 5  # connection lost; may have run
    CANCELLED = 6  # called off by us; may have run
    DISCARDED = 7  # never sent: proves that it never ran
    CLIENT_ERROR = 8  # the server says that the request itself is no good, which tells nothing of the server


NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.DISCARDED))
# They tell nothing of the server's state.
NEUTRAL_OUTCOMES = frozenset((Outcome.CANCELLED, Outcome.DISCARDED, Outcome.CLIENT_ERROR))


class ListKind(Enum):
    """What a list event carries."""

    FULL = "full"  # the whole list: a server that it lacks is gone
    DELTA = "delta"  # changed entries only
    CACHED = "cached"  # the whole list as last held; may be old
    FAILED = "failed"  # a call to discovery failed or the subscription broke; no entries
    RELOCATED = "moved"  # discovery is at another address, and calls out to the old one ended; no entries


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One line of discovery's list. `started_ms` of 0 means long ago."""

    server: int
    state: ServerState = ServerState.READY
    started_ms: float = 0.0
    weight: float = 1.0
    zone: int = 0
    cell: int = 0
    kind: int = 0
    label: int = 0  # the same for this server in every copy; only where copies share a ramp


NO_VERSION = -1  # in place of a list's version: there is none


@dataclass(slots=True)
class ListUpdate:
    """What discovery tells. `call` is the number of the `WatchList` that it answers, 0 of none; `version` is
    that of the list held from here on.
    """

    kind: ListKind
    version: int = 0
    entries: Sequence[ServerEntry] = ()
    call: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client request; exactly one final answer is owed from here on."""

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
    """A streamed answer has begun: the attempt now belongs to the client and no deadline runs."""

    request: int
    attempt: int
    server: int
    spent_ms: float = 0.0


@dataclass(slots=True)
class Unrepeatable:
    """What was sent of the request's body is no longer held: no further attempt could carry it."""

    request: int


@dataclass(slots=True)
class AttemptEnded:
    """Exactly one for each `Send`. `final` says the request itself is over."""

    request: int
    attempt: int
    server: int
    outcome: Outcome
    final: bool
    spent_ms: float = 0.0
    report: Sequence[float] = ()


@dataclass(slots=True)
class ClientDisconnected:
    """The client of a request has left; nothing is owed to it any more."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer set by `SetTimer` has run out."""

    cookie: int


@dataclass(slots=True)
class ProbeEnded:
    """Exactly one for each `Probe`, with the load report that came, if any."""

    server: int
    outcome: Outcome
    spent_ms: float = 0.0
    report: Sequence[float] = ()


@dataclass(slots=True)
class PeerMessage:
    """Another instance has sent a payload."""

    sender: int
    payload: bytes = b""


@dataclass(slots=True, frozen=True)
class ServerWeight:
    """How much of the draws that it would have a server keeps, from 0 to 1."""

    server: int
    weight: float


@dataclass(slots=True, frozen=True)
class RampShare:
    """A copy's part in the ramp of a cold server: of its rate, from 0 to 1, and calls at once."""

    server: int
    rate: float
    burst: float


@dataclass(slots=True)
class Guidance:
    """A planner's advice. It counts until `until_ms`, of this copy's own time.

    `weights` of None leave those it gave before. `parts` and `own_part`, of what the tier bears (None leaves
    the one before), count where this copy has `leased` its own parts to that planner, which are others' until
    `leased_until_ms`. `report_sent_ms` is when the report was sent that it answers.
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
    """This copy's own parts in ramps are others' until then, whatever is advised."""

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
