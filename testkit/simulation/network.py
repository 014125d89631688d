"""The simulated network: carries attempts to servers, and their outcomes back to the forwarders.

Never chooses a server. Source: none; written for this project. A connection that fails does so almost
immediately.
"""

from __future__ import annotations

from functools import partial

from sandhatch.balancing.actions import Send
from sandhatch.balancing.events import AttemptEnded, Outcome
from testkit.simulation.clock import SimulatedClock
from testkit.simulation.plan import TierPlan
from testkit.simulation.protocols import ForwarderPort
from testkit.simulation.server import QueuedAttempt, SimServer
from testkit.simulation.workload import Workload

CONNECT_FAILED_MS = 0.5
ERROR_MS = 5.0
REJECTED_MS = 0.5


class SimAttempt:
    """One attempt. Only its first outcome counts; a later outcome, such as a timeout, is ignored."""

    def __init__(
        self, forwarder: ForwarderPort, send: Send, clock: SimulatedClock, workload: Workload
    ) -> None:
        """Creates an attempt that is sent to its server now."""
        self._forwarder = forwarder
        self._send = send
        self._clock = clock
        self._workload = workload
        self._number = len(forwarder.balancer.requests[send.request].attempts) - 1
        self._sent_ms = clock.now_ms
        self._ended = False

    def end(self, outcome: Outcome) -> None:
        """Notifies the forwarder of the attempt's outcome, unless the forwarder has died."""
        if self._ended or not self._forwarder.up:
            return
        self._ended = True
        if outcome is Outcome.OK:
            self._workload.complete(self._send.request, served=True)
        spent_ms = self._clock.now_ms - self._sent_ms
        self._forwarder.feed(
            AttemptEnded(self._send.request, self._number, self._send.server, outcome, False, spent_ms)
        )


class Network:
    """Carries attempts to the servers."""

    def __init__(
        self, plan: TierPlan, clock: SimulatedClock, servers: list[SimServer], workload: Workload
    ) -> None:
        """Creates a network with these servers; the list is shared, so that added servers are included."""
        self._plan = plan
        self._clock = clock
        self._servers = servers
        self._workload = workload

    def send(self, forwarder: ForwarderPort, action: Send) -> None:
        """Sends an attempt to its server; the forwarder receives the outcome as an event."""
        server = self._servers[action.server]
        server.sent_ms.append(self._clock.now_ms)
        attempt = SimAttempt(forwarder, action, self._clock, self._workload)
        self._clock.after(action.timeout_ms, partial(attempt.end, Outcome.TIMEOUT))
        if not server.up:
            self._clock.after(CONNECT_FAILED_MS, partial(attempt.end, Outcome.CONNECT_FAILED))
        elif server.broken:
            self._clock.after(ERROR_MS, partial(attempt.end, Outcome.ERROR))
        elif server.is_queue_full():
            self._clock.after(REJECTED_MS, partial(attempt.end, Outcome.FULL))
        else:
            work_ms = self._workload.work_ms_of(action.request)
            server.accept(QueuedAttempt(work_ms, attempt.end))
