"""What the policy remembers of servers, requests and attempts: records without a decision in them.

Each field is set by the policy module that it is for. Times are milliseconds of the balancer's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from sandhatch.balancing.events import Outcome, ServerEntry, ServerState
from sandhatch.balancing.settings import RequestClass


class Circuit(NamedTuple):
    """A server's circuit breaker for one request class."""

    failures: int = 0  # less the successes since
    open_until_ms: float = 0.0  # until then other servers are drawn before it for this class


@dataclass(slots=True, eq=False)
class Server:
    """What this instance knows of one process of a server."""

    id: int
    zone: int
    cell: int
    kind: int
    label: int
    state: ServerState
    started_ms: float
    outstanding: int = 0  # attempts of this instance only
    token: bool = False  # earned, not given
    withheld_until_ms: float = 0.0  # its token is, on evidence that it is busy or unwell
    consecutive_failures: int = 0
    ejections: int = 0  # less its successes since
    ejected: bool = False
    failing_until_ms: float = 0.0  # a pause after a failure
    circuits: dict[int, Circuit] = field(default_factory=dict)  # by request class
    slowness: float | None = None  # mean of its answer times, relative to the mean of their class and size
    connected: bool = False  # as far as this instance knows
    last_used_ms: float = 0.0  # when that connection last carried anything

    @classmethod
    def from_entry(cls, entry: ServerEntry) -> Server:
        """Return a server of which nothing but its entry is known."""
        return cls(
            id=entry.server,
            zone=entry.zone,
            cell=entry.cell,
            kind=entry.kind,
            label=entry.label,
            state=entry.state,
            started_ms=entry.started_ms,
        )


@dataclass(slots=True)
class ListChange:
    """The processes that one list update added and removed; a restarted server is in both."""

    added: list[Server] = field(default_factory=list)
    removed: list[Server] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request to one server, whose zone and cell may change while it is outstanding."""

    server: Server
    zone: int
    cell: int
    sent_ms: float
    connection_idle_ms: float | None = None  # before the send; None: it opens a new connection
    outcome: Outcome | None = None  # None: outstanding


@dataclass(slots=True, eq=False)
class Request:
    """A request from its arrival until the last of its attempts has ended."""

    id: int
    request_class: RequestClass
    class_index: int
    deadline_ms: float
    objective_deadline_ms: float  # after this an answer has no value
    attempts: list[Attempt] = field(default_factory=list)
    outstanding: int = 0  # attempts
    done: bool = False  # it is over, or a streamed answer has begun: no further attempt
    body_consumed: bool = False  # its body can't be sent again
    relative_size: float = 1.0  # its cost hint, relative to the mean of its class
    cross_zone: bool = False  # draws over all zones, although crossing costs
    probes: int = 0  # in this round of draws
    probed_server: Server | None = None  # whose load report it awaits
    idle_only: bool = False  # is sent only to a server that reports itself idle
    was_queued: bool = False  # and is dispatched anew
    timer_due_ms: float = -1.0  # a timer that fires earlier is out of date; below 0: none is set
