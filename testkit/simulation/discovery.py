"""Discovery in simulated time: one service that serves polls one at a time, with faults.

It never changes the servers. Source: the polls of `balancing.endpoint_freshness`, which it answers.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from functools import partial

from sandhatch.balancing.events import ListKind, ListUpdate
from testkit.simulation.clock import SimulatedClock
from testkit.simulation.protocols import ForwarderPort
from testkit.simulation.server import SimServer

UNREACHABLE_MS = 1.0  # after which a poll fails while discovery is down


@dataclass(frozen=True, slots=True)
class QueuedPoll:
    """A poll that waits for its turn."""

    forwarder: ForwarderPort
    arrived_ms: float


class SimDiscovery:
    """Each poll takes `call_ms` of the service, and fails when it has waited for `response_timeout_ms`.

    A poll that is answered begins a subscription, which is notified of changes `notice_ms` later, until
    `fall_silent`. Tests set `up` to take the service down, and read `calls_ms` (when each poll came) and
    `notified_ms` (by forwarder, when it last had all there was to know).
    """

    def __init__(
        self,
        clock: SimulatedClock,
        servers: list[SimServer],
        call_ms: float,
        notice_ms: float,
        response_timeout_ms: float = 3_000.0,
    ) -> None:
        """Creates a service that is up; the list of servers is shared with the tier."""
        self._clock = clock
        self._servers = servers
        self._call_ms = call_ms
        self._notice_ms = notice_ms
        self._response_timeout_ms = response_timeout_ms
        self.up = True
        self.calls_ms: list[float] = []
        self.notified_ms: dict[int, float] = {}
        self._queue: deque[QueuedPoll] = deque()
        self._busy = False
        self._version = 0
        self._changed_in: dict[int, int] = {}  # by server, the version that changed it last
        self._known_version: dict[int, int] = {}  # by forwarder
        self._subscribers: dict[int, ForwarderPort] = {}  # by number

    def change(self, servers: list[SimServer]) -> None:
        """Enters changed servers, of which all subscribers are notified later."""
        self._version += 1
        for server in servers:
            self._changed_in[server.number] = self._version
        for forwarder in list(self._subscribers.values()):
            self._clock.after(self._notice_ms, partial(self._notify, forwarder))

    def fall_silent(self) -> None:
        """Stops notifying all subscribers, and lets none of them know."""
        self._subscribers.clear()

    def poll(self, forwarder: ForwarderPort) -> None:
        """Queues a forwarder's poll, which ends its subscription until it is answered."""
        self.calls_ms.append(self._clock.now_ms)
        self._subscribers.pop(forwarder.number, None)
        if not self.up:
            self._clock.after(UNREACHABLE_MS, partial(self._fail, forwarder))
            return
        self._queue.append(QueuedPoll(forwarder, self._clock.now_ms))
        self._serve_next()

    def _serve_next(self) -> None:
        if self._busy or not self._queue:
            return
        poll = self._queue.popleft()
        if self._clock.now_ms - poll.arrived_ms > self._response_timeout_ms:
            self._fail(poll.forwarder)
            self._serve_next()
            return
        self._busy = True
        self._clock.after(self._call_ms, partial(self._respond, poll.forwarder))

    def _respond(self, forwarder: ForwarderPort) -> None:
        self._busy = False
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
            for number, version in self._changed_in.items()
            if version > known_version
        ]
        if entries:
            forwarder.on_endpoint_list(ListUpdate(ListKind.DELTA, self._version, entries))
