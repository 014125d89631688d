"""A simulated server: cores, a queue, warm-up, and faults that a test sets.

Has no influence on where attempts are sent. Source: none; written for this project.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from sandhatch.balancing.events import Outcome, ServerEntry, ServerState
from sandhatch.runtime.address import server_label
from testkit.simulation.clock import SimulatedClock
from testkit.simulation.plan import TierPlan

EndAttempt = Callable[[Outcome], None]  # function called with the outcome of an attempt when it ends


@dataclass(frozen=True, slots=True)
class QueuedAttempt:
    """An attempt that waits for a core."""

    work_ms: float  # time that the attempt occupies a core of a warm server
    end: EndAttempt


class SimServer:
    """A server that runs attempts first come, first served on its cores.

    Tests set its faults: `slowdown`, `broken` and `up`. With `TierPlan.overload_attempts` the server also
    becomes slow by itself under overload.

    Attributes:
        number: Number of the server in its tier.
        address: Address of the server as `host:port`.
        slowdown: Factor by which the server is slower than normal.
        started_ms: Start time; 0 if the server started long ago.
        up: Whether the server accepts connections.
        broken: Whether each attempt immediately gets an error response.
        sent_ms: Time at which each attempt was sent to the server.
    """

    OVERLOAD_MS = 1_500.0  # duration of `overload_attempts` or more attempts that causes overload
    RECOVERY_MS = 3_000.0  # overload ends after this time at or below the recovery threshold
    RECOVERY_SHARE = 0.3  # recovery threshold: concurrent attempts as a fraction of `overload_attempts`
    OVERLOAD_SLOWDOWN = 3.0

    def __init__(self, number: int, plan: TierPlan, clock: SimulatedClock) -> None:
        """Creates a server that started long ago and is warm."""
        self.number: int = number
        self.address = f"10.0.{number // 250}.{number % 250 + 1}:9000"
        self.slowdown = 1.0
        self.started_ms: float = 0.0
        self.up: bool = True
        self.broken = False
        self.sent_ms: list[float] = []
        self._plan = plan
        self._clock = clock
        self._incarnation = 0
        self._running = 0
        self._queue: deque[QueuedAttempt] = deque()
        self._overloaded = False
        # Time since which the load has been high enough to begin overload, or low enough to end overload.
        self._threshold_crossed_ms: float | None = None

    def entry(self) -> ServerEntry:
        """Returns the server's current entry for an endpoint list."""
        state = ServerState.READY if self.up else ServerState.GONE
        return ServerEntry(self.number, state, self.started_ms, label=server_label(self.address))

    def is_queue_full(self) -> bool:
        """Whether the server rejects further attempts."""
        return len(self._queue) >= self._plan.max_queued

    def accept(self, attempt: QueuedAttempt) -> None:
        """Queues an attempt, which runs once a core is free."""
        self._queue.append(attempt)
        self._update_overload()
        self._run_queue()

    def restart(self) -> None:
        """Starts a new process, which warms up; attempts at the old process are reset."""
        self.up = True
        self.started_ms = self._clock.now_ms
        self._incarnation += 1
        self.sent_ms = []
        queue = self._queue
        self._queue = deque()
        self._running = 0
        for attempt in queue:
            attempt.end(Outcome.RESET)

    def _run_queue(self) -> None:
        while self._queue and self._running < self._plan.cores:
            attempt = self._queue.popleft()
            self._running += 1
            self._run(attempt)

    def _run(self, attempt: QueuedAttempt) -> None:
        finish = partial(self._finish, attempt, self._incarnation)
        self._clock.after(attempt.work_ms / self._speed(), finish)

    def _finish(self, attempt: QueuedAttempt, incarnation: int) -> None:
        if self._incarnation != incarnation:
            attempt.end(Outcome.RESET)
            return
        self._running -= 1
        self._update_overload()
        attempt.end(Outcome.OK)
        self._run_queue()

    def _update_overload(self) -> None:
        """Begins overload after OVERLOAD_MS of high load, and ends overload after RECOVERY_MS of low load."""
        threshold = self._plan.overload_attempts
        if not threshold:
            return
        load = self._running + len(self._queue)
        recovery_threshold = self.RECOVERY_SHARE * threshold
        crosses = load <= recovery_threshold if self._overloaded else load >= threshold
        now_ms = self._clock.now_ms
        if not crosses:
            self._threshold_crossed_ms = None
        elif self._threshold_crossed_ms is None:
            self._threshold_crossed_ms = now_ms
        elif now_ms - self._threshold_crossed_ms >= self._min_crossing_ms():
            self._overloaded = not self._overloaded
            self._threshold_crossed_ms = None

    def _min_crossing_ms(self) -> float:
        return self.RECOVERY_MS if self._overloaded else self.OVERLOAD_MS

    def _speed(self) -> float:
        """Returns the speed as a fraction of that of a warm server that is neither slow nor overloaded."""
        share = 1.0
        if self.started_ms:
            # First the elapsed fraction of the warm-up, then the fraction of a warm server's capacity.
            share = min(1.0, (self._clock.now_ms - self.started_ms) / self._plan.warm_up_ms)
            share = self._plan.initial_capacity_share + (1.0 - self._plan.initial_capacity_share) * share
        return share / self.slowdown / (self.OVERLOAD_SLOWDOWN if self._overloaded else 1.0)
