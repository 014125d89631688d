"""A fleet in simulated time: the `Freshness` of each instance, and a discovery service with faults.

Discovery serves requests one after the other at a given rate. Nothing here reads a clock: runs with the same
seed are identical.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from sandhatch.balancing.actions import Action, SetTimer, WatchList
from sandhatch.balancing.endpoint_freshness import NOTIFIED_MS, RELOCATED_MS, Freshness
from sandhatch.balancing.events import NO_VERSION, ListKind, ListUpdate
from sandhatch.balancing.settings import Effect, RequestClass, Settings

CONTINUES_MS = 200.0  # maximum time from a response to the next request of a continued watch


@dataclass
class Instance:
    """An instance, the list version that it knows, and its request to discovery."""

    number: int
    freshness: Freshness
    version: int = 0  # version of the list that the instance knows
    received_ms: dict[int, float] = field(default_factory=dict)  # time at which each version was first known
    in_flight: WatchList | None = None
    responded_ms: float = float("-inf")
    connected: bool = False  # whether the connection of the instance's watch is still open
    rejections_left: int = 0  # number of next queuing requests that discovery rejects at once


@dataclass
class Change:
    """A new version of the list.

    Attributes:
        version: Version of the list.
        reachable_ms: Time since which discovery has this version and is reachable.
        notified_ms: Time from `reachable_ms` until instances are taken to know of the change, whether or not
            they have received the new list.
    """

    version: int
    reachable_ms: float
    notified_ms: float = NOTIFIED_MS


class Fleet:
    """Instances and their discovery service.

    Discovery serves `rate_per_s` requests per second, one after the other. A request that would queue for
    longer than `queue_ms` is rejected at once, which costs as much as serving it: under too many requests,
    discovery serves no instance.
    """

    def __init__(
        self,
        count: int,
        seed: int,
        rate_per_s: float,
        queue_ms: float,
        peers: int | None = None,
        pushed: bool = False,
        known: bool = True,
    ) -> None:
        self.rng = Random(seed)
        settings = Settings(
            [RequestClass(1.0, 1.0, Effect.IDEMPOTENT)],
            instances=peers or count,
            tiers=1 if peers is None else 3,
            polled_discovery=not pushed,
            drain_grace_ms=1_000.0 if queue_ms < 2_000.0 else 2_000.0,
            one_shot_watches=True,
        )
        self.now = 0.0
        self.version = 1
        self.changes: list[Change] = []
        self.requests_ms: list[float] = []  # times at which requests that queue at discovery were sent
        self.renewals_ms: list[float] = []
        self.rejected = 0
        self.is_up = True
        self.is_silent = False
        self._queue_ms = queue_ms
        self._service_time_ms = 1_000.0 / rate_per_s
        self._busy_until_ms = 0.0  # time at which discovery has served all requests so far
        self._heap: list[tuple[float, int, Callable[[], object]]] = []
        self._sequence = 0
        self.instances = [
            Instance(number, Freshness(settings, Random(self.rng.getrandbits(64)))) for number in range(count)
        ]
        for instance in self.instances:
            self._receive(instance, ListUpdate(ListKind.CACHED, instance.version if known else NO_VERSION))

    # ------------------------------------------------ time

    def at(self, time_ms: float, callback: Callable[[], object]) -> None:
        self._sequence += 1
        heappush(self._heap, (time_ms, self._sequence, callback))

    def after(self, delay_ms: float, callback: Callable[[], object]) -> None:
        self.at(self.now + delay_ms, callback)

    def run(self, until_ms: float) -> None:
        while self._heap and self._heap[0][0] <= until_ms:
            self.now, _, callback = heappop(self._heap)
            callback()
        self.now = until_ms

    # ------------------------------------------------ faults and changes at discovery

    def change(self, reachable_ms: float | None = None, notified_ms: float = NOTIFIED_MS) -> None:
        self.version += 1
        self.changes.append(
            Change(self.version, self.now if reachable_ms is None else reachable_ms, notified_ms)
        )
        if not self.is_silent and self.is_up:
            for instance in self.instances:
                if instance.in_flight is not None and instance.in_flight.wait_ms and instance.connected:
                    self._respond(instance, instance.in_flight)

    def fall_silent(self) -> None:
        """Leave requests in flight without a response; requests sent from now on get one."""
        for instance in self.instances:
            if instance.in_flight is not None:
                instance.connected = False

    def reset(self) -> None:
        for instance in self.instances:
            if instance.in_flight is not None:
                self.after(
                    0.1,
                    lambda instance=instance, request=instance.in_flight: self._fail(instance, request),  # type: ignore[misc]
                )

    def reject_next_requests(self) -> None:
        """Reject the next queuing request of each instance at once, at no cost to discovery."""
        for instance in self.instances:
            instance.rejections_left = 1

    def occupy(self, duration_ms: float) -> None:
        """Occupy discovery for `duration_ms` with requests of other clients."""
        self._busy_until_ms = max(self.now, self._busy_until_ms) + duration_ms

    def go_down(self) -> None:
        self.is_up = False
        self._busy_until_ms = self.now
        self.reset()

    def come_back_up(self) -> None:
        self.is_up = True
        self._busy_until_ms = self.now
        for change in self.changes:
            if change.reachable_ms > self.now:
                change.reachable_ms = self.now

    def relocate(self) -> None:
        """All instances are notified within 100 ms; requests then go to the new address."""
        self._busy_until_ms = self.now
        for instance in self.instances:
            instance.in_flight, instance.connected = None, False
            self.after(
                100.0 * self.rng.random(),
                lambda instance=instance: self._receive(instance, ListUpdate(ListKind.RELOCATED, NO_VERSION)),  # type: ignore[misc]
            )
        self.change(notified_ms=RELOCATED_MS)

    # ------------------------------------------------ requests

    def _receive(self, instance: Instance, update: ListUpdate) -> None:
        if update.kind in (ListKind.DELTA, ListKind.FULL):
            for version in range(instance.version + 1, update.version + 1):
                instance.received_ms[version] = self.now
            instance.version = max(instance.version, update.version)
        self._act(instance, instance.freshness.on_list_update(update, self.now))

    def _act(self, instance: Instance, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                cookie = action.cookie
                self.after(
                    action.delay_ms,
                    lambda cookie=cookie: self._act(instance, instance.freshness.on_timer(cookie, self.now)),  # type: ignore[misc]
                )
            elif isinstance(action, WatchList):
                self._send(instance, action)

    def _send(self, instance: Instance, request: WatchList) -> None:
        instance.in_flight = request
        self.after(request.response_timeout_ms, lambda: self._fail(instance, request))
        continues = (
            instance.connected
            and self.now - instance.responded_ms <= CONTINUES_MS
            and request.after != NO_VERSION
        )
        (self.renewals_ms if continues else self.requests_ms).append(self.now)
        instance.connected = not self.is_silent
        if not self.is_up:
            self.after(0.1, lambda: self._fail(instance, request))
        elif self.is_silent:
            return
        elif not continues and instance.rejections_left:
            instance.rejections_left -= 1
            self.after(0.1, lambda: self._fail(instance, request))
        elif not continues:
            self._queue(instance, request)
        elif instance.version < self.version:
            self._respond(instance, request)
        else:
            self.after(request.wait_ms, lambda: self._respond(instance, request))

    def _queue(self, instance: Instance, request: WatchList) -> None:
        begin = max(self.now, self._busy_until_ms)
        # A request that is rejected costs as much as one that is served.
        self._busy_until_ms = begin + self._service_time_ms
        if begin - self.now > self._queue_ms:
            self.rejected += 1
            self.after(0.1, lambda: self._fail(instance, request))
            return
        self.at(
            max(self._busy_until_ms, self.now + request.wait_ms), lambda: self._respond(instance, request)
        )

    def _respond(self, instance: Instance, request: WatchList) -> None:
        if instance.in_flight is not request or not instance.connected:
            return
        instance.in_flight, instance.responded_ms = None, self.now
        kind = ListKind.FULL if request.after == NO_VERSION else ListKind.DELTA
        self._receive(instance, ListUpdate(kind, self.version, call=request.call))

    def _fail(self, instance: Instance, request: WatchList) -> None:
        if instance.in_flight is request:
            instance.in_flight, instance.connected = None, False
            known_version = instance.version if instance.freshness._version != NO_VERSION else NO_VERSION
            self._receive(instance, ListUpdate(ListKind.FAILED, known_version, call=request.call))

    # ------------------------------------------------ results

    def max_lateness_ms(self) -> float:
        """Return the longest time by which an instance received a change late; below 0 if all were early.

        An instance is late from when the instance is taken to know of the change, see `Change.notified_ms`.
        """
        worst = float("-inf")
        for change in self.changes:
            notified_ms = change.reachable_ms + change.notified_ms
            if notified_ms > self.now:
                continue
            for instance in self.instances:
                worst = max(worst, instance.received_ms.get(change.version, self.now) - notified_ms)
        return worst


def max_in_one_second(times_ms: list[float]) -> int:
    """Return the largest number of `times_ms` that lie within any one second."""
    times = sorted(times_ms)
    max_count = first = 0
    for last, time_ms in enumerate(times):
        while times[first] <= time_ms - 1_000.0:
            first += 1
        max_count = max(max_count, last - first + 1)
    return max_count
