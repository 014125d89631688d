"""A simulated server: cores, a queue, warm-up, and faults that a test sets.

It decides nothing about where attempts go. Source: the project's own; first come, first served.
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

EndAttempt = Callable[[Outcome], None]  # called with how an attempt ended


@dataclass(frozen=True, slots=True)
class QueuedAttempt:
    """An attempt that waits for a core."""

    work_ms: float  # of a warm server's core
    end: EndAttempt


class SimServer:
    """Runs attempts first come, first served on so many cores, and keeps when each was sent.

    Tests set its faults: `slow` (times slower), `broken` (each attempt is answered with an error at once) and
    `up` (False: it accepts no connection). With `TierPlan.overload_attempts` it gets slow by itself.
    """

    OVERLOAD_MS = 1_500.0  # so long at `overload_attempts` attempts, and it is overloaded
    RECOVERY_MS = 3_000.0  # so long at few attempts, and it recovers
    RECOVERY_SHARE = 0.3  # of `overload_attempts`: what few attempts are
    OVERLOAD_SLOWDOWN = 3.0

    def __init__(self, number: int, plan: TierPlan, clock: SimulatedClock) -> None:
        """Creates a server that has been warm for long."""
        self.number: int = number
        self.address = f"10.0.{number // 250}.{number % 250 + 1}:9000"
        self.slow = 1.0
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
        self._threshold_crossed_ms: float | None = None  # when the load crossed what would change that

    def entry(self) -> ServerEntry:
        """Its entry of an endpoint list, as it is now."""
        state = ServerState.READY if self.up else ServerState.GONE
        return ServerEntry(self.number, state, self.started_ms, label=server_label(self.address))

    def is_queue_full(self) -> bool:
        """Whether it rejects further attempts."""
        return len(self._queue) >= self._plan.queue

    def accept(self, attempt: QueuedAttempt) -> None:
        """Takes an attempt: it runs once a core is free."""
        self._queue.append(attempt)
        self._update_overload()
        self._run_queue()

    def restart(self) -> None:
        """Starts a new process, which warms up; the attempts of the old one are reset."""
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
        """Overloaded after holding many attempts for long, recovered after holding few for long."""
        threshold = self._plan.overload_attempts
        if not threshold:
            return
        load = self._running + len(self._queue)
        few = self.RECOVERY_SHARE * threshold
        crosses = load <= few if self._overloaded else load >= threshold
        now_ms = self._clock.now_ms
        if not crosses:
            self._threshold_crossed_ms = None
        elif self._threshold_crossed_ms is None:
            self._threshold_crossed_ms = now_ms
        elif now_ms - self._threshold_crossed_ms >= self._change_after_ms():
            self._overloaded = not self._overloaded
            self._threshold_crossed_ms = None

    def _change_after_ms(self) -> float:
        return self.RECOVERY_MS if self._overloaded else self.OVERLOAD_MS

    def _speed(self) -> float:
        """As a share of a warm server's that is neither slow nor overloaded."""
        share = 1.0
        if self.started_ms:
            share = min(1.0, (self._clock.now_ms - self.started_ms) / self._plan.warm_up_ms)
            share = self._plan.initial_capacity_share + (1.0 - self._plan.initial_capacity_share) * share
        return share / self.slow / (self.OVERLOAD_SLOWDOWN if self._overloaded else 1.0)
