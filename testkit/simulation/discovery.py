"""Discovery in simulated time: one service that handles polls one at a time, with faults.

The service reads the servers' entries and never changes a server. Source: `balancing.endpoint_freshness`,
whose polls the service responds to.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from functools import partial

from sandhatch.balancing.events import ListKind, ListUpdate
from testkit.simulation.clock import SimulatedClock
from testkit.simulation.protocols import ForwarderPort
from testkit.simulation.server import SimServer

UNREACHABLE_MS = 1.0  # milliseconds after which a poll fails while discovery is down


@dataclass(frozen=True, slots=True)
class QueuedPoll:
    """A poll that waits in the queue of the service."""

    forwarder: ForwarderPort
    arrived_ms: float


class SimDiscovery:
    """A discovery service with a queue of polls, and subscriptions.

    Each poll occupies the service for `call_ms`. It fails if it has waited longer than `response_timeout_ms`
    in the queue, or if the service is down. A successful poll begins a subscription, which is notified of
    each change `notice_ms` later, until `drop_subscriptions`.

    Attributes:
        up: Whether the service is up; set by tests.
        poll_times_ms: Arrival time of each poll.
        notified_ms: Time at which each forwarder last received all changes, by its number.
    """

    def __init__(
        self,
        clock: SimulatedClock,
        servers: list[SimServer],
        call_ms: float,
        notice_ms: float,
        response_timeout_ms: float = 3_000.0,
    ) -> None:
        """Creates a service that is up; it shares the list of servers with the tier."""
        self._clock = clock
        self._servers = servers
        self._call_ms = call_ms
        self._notice_ms = notice_ms
        self._response_timeout_ms = response_timeout_ms
        self.up = True
        self.poll_times_ms: list[float] = []
        self.notified_ms: dict[int, float] = {}
        self._queue: deque[QueuedPoll] = deque()
        self._is_busy = False
        self._version = 0
        # Version of the endpoint list with each server's last change, by server number.
        self._changed_in_version: dict[int, int] = {}
        # Latest list version sent to each forwarder, by forwarder number.
        self._known_version: dict[int, int] = {}
        self._subscribers: dict[int, ForwarderPort] = {}  # subscribed forwarders by forwarder number

    def change(self, servers: list[SimServer]) -> None:
        """Publishes changed servers; all subscribed forwarders are notified after the notification delay."""
        self._version += 1
        for server in servers:
            self._changed_in_version[server.number] = self._version
        for forwarder in list(self._subscribers.values()):
            self._clock.after(self._notice_ms, partial(self._notify, forwarder))

    def drop_subscriptions(self) -> None:
        """Drops the subscriptions of all forwarders without notice to them."""
        self._subscribers.clear()

    def poll(self, forwarder: ForwarderPort) -> None:
        """Receives a forwarder's poll; the forwarder is not notified of changes before a poll succeeds.

        The poll is queued, or fails after UNREACHABLE_MS if the service is down.
        """
        self.poll_times_ms.append(self._clock.now_ms)
        self._subscribers.pop(forwarder.number, None)
        if not self.up:
            self._clock.after(UNREACHABLE_MS, partial(self._fail, forwarder))
            return
        self._queue.append(QueuedPoll(forwarder, self._clock.now_ms))
        self._serve_next()

    def _serve_next(self) -> None:
        if self._is_busy or not self._queue:
            return
        poll = self._queue.popleft()
        if self._clock.now_ms - poll.arrived_ms > self._response_timeout_ms:
            self._fail(poll.forwarder)
            self._serve_next()
            return
        self._is_busy = True
        self._clock.after(self._call_ms, partial(self._respond, poll.forwarder))

    def _respond(self, forwarder: ForwarderPort) -> None:
        self._is_busy = False
        if self.up:
            self._subscribers[forwarder.number] = forwarder
            self._notify(forwarder)
        else:
            self._fail(forwarder)
        self._serve_next()

    @staticmethod
    def _fail(forwarder: ForwarderPort) -> None:
        forwarder.on_endpoint_list(ListUpdate(ListKind.FAILED))

    def _notify(self, forwarder: ForwarderPort) -> None:
        if forwarder.number not in self._subscribers:
            return
        known_version = self._known_version.get(forwarder.number, 0)
        self._known_version[forwarder.number] = self._version
        self.notified_ms[forwarder.number] = self._clock.now_ms
        entries = [
            self._servers[number].entry()
            for number, version in self._changed_in_version.items()
            if version > known_version
        ]
        if entries:
            forwarder.on_endpoint_list(ListUpdate(ListKind.DELTA, self._version, entries))
