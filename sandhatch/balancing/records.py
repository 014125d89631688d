"""State that the policy retains of servers, requests and attempts; the records contain no logic.

Each field is set by the policy module that uses it. Times are milliseconds of the balancer's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from sandhatch.balancing.events import Outcome, ServerEntry, ServerState
from sandhatch.balancing.settings import RequestClass


class Circuit(NamedTuple):
    """A server's circuit breaker for one request class.

    Attributes:
        failures: Number of the server's failures in the class, less its successes since.
        open_until_ms: Time until which other servers are preferred for this class.
    """

    failures: int = 0
    open_until_ms: float = 0.0


@dataclass(slots=True, eq=False)
class Server:
    """State of one server process as known to this instance.

    Attributes:
        id: Number of the server in events and actions.
        zone: Zone of the server.
        cell: Cell of the server.
        kind: Kind of machine.
        label: Number that is the same for this server in all instances.
        state: State according to discovery.
        started_ms: Start time of the process; 0 means long ago.
        outstanding: Number of outstanding attempts of this instance.
        has_token: Whether the server is believed to be idle.
        withheld_until_ms: Time until which the token is withheld because the server seems busy or unhealthy.
        consecutive_failures: Number of failures since the last success.
        ejections: Number of ejections, less the successes since.
        ejected: Whether the server is ejected.
        failing_until_ms: End of the pause after the server's last failure, in which it has no token.
        circuits: Circuit breakers by request class.
        latency_ratio: Mean latency relative to the mean of class and size; None before the first response.
        connected: Whether a connection to the server is believed to be open.
        last_used_ms: Time at which that connection was last used.
    """

    id: int
    zone: int
    cell: int
    kind: int
    label: int
    state: ServerState
    started_ms: float
    outstanding: int = 0
    has_token: bool = False
    withheld_until_ms: float = 0.0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected: bool = False
    failing_until_ms: float = 0.0
    circuits: dict[int, Circuit] = field(default_factory=dict)
    latency_ratio: float | None = None
    connected: bool = False
    last_used_ms: float = 0.0

    @classmethod
    def from_entry(cls, entry: ServerEntry) -> Server:
        """Return the record of a server of which only its entry is known."""
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
    """Server processes that one list update added and removed; a restarted server is in both lists."""

    added: list[Server] = field(default_factory=list)
    removed: list[Server] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at one server.

    Attributes:
        server: The server.
        zone: Zone of the server when the attempt was sent, as it may change while the attempt is outstanding.
        cell: Cell of the server when the attempt was sent.
        sent_ms: Time of the send.
        connection_idle_ms: Idle time of the connection before the send; None if a new one had to be opened.
        outcome: Outcome of the attempt; None while it is outstanding.
    """

    server: Server
    zone: int
    cell: int
    sent_ms: float
    connection_idle_ms: float | None = None
    outcome: Outcome | None = None


@dataclass(slots=True, eq=False)
class Request:
    """A request from its arrival until the last of its attempts has ended.

    Attributes:
        id: Number of the request in events and actions.
        request_class: Class of the request.
        class_index: Index of that class in the settings.
        deadline_ms: Time at which the client abandons the request.
        objective_deadline_ms: Time after which a response has no value.
        attempts: All attempts so far.
        outstanding: Number of outstanding attempts.
        done: Whether the request has ended or a streamed response has started, so that no attempt may follow.
        body_consumed: Whether the body can no longer be sent again.
        relative_size: Cost hint relative to the mean of its class.
        cross_zone: Whether draws cover all zones although cross-zone attempts have a price.
        probes: Number of servers probed for the request since it was last dispatched.
        probed_server: Server whose load report the request waits for.
        idle_only: Whether the request is sent only to a server that reports itself idle.
        was_queued: Whether the request was queued before the current dispatch.
        timer_due_ms: Time at which the current timer fires; earlier timers are ignored. Below 0 if not set.
    """

    id: int
    request_class: RequestClass
    class_index: int
    deadline_ms: float
    objective_deadline_ms: float
    attempts: list[Attempt] = field(default_factory=list)
    outstanding: int = 0
    done: bool = False
    body_consumed: bool = False
    relative_size: float = 1.0
    cross_zone: bool = False
    probes: int = 0
    probed_server: Server | None = None
    idle_only: bool = False
    was_queued: bool = False
    timer_due_ms: float = -1.0
