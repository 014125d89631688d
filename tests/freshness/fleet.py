"""A fleet of lists in simulated time: each copy's `Freshness`, and one discovery that takes calls in turn at
a stated rate, with faults by script. Nothing here reads a clock: a run is the same each time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from sandhatch.balancing.actions import Action, SetTimer, WatchList
from sandhatch.balancing.endpoint_freshness import MOVED_MS, NOTIFIED_MS, Freshness
from sandhatch.balancing.events import NO_VERSION, ListKind, ListUpdate
from sandhatch.balancing.settings import Effect, RequestClass, Settings

CONTINUES_MS = 200.0  # a watch goes on if the next call comes so soon after its last answer


@dataclass
class Copy:
    number: int
    freshness: Freshness
    version: int = 0  # held
    heard: dict[int, float] = field(default_factory=dict)  # by version, when it was first held
    out: WatchList | None = None
    begun_ms: float = 0.0
    answered_ms: float = float("-inf")
    linked: bool = False  # the connection of its watch still stands


@dataclass
class Change:
    """`reached_ms`: since when discovery has it and could be reached; `notified_ms` later it counts."""

    version: int
    reached_ms: float
    notified_ms: float = NOTIFIED_MS


class Fleet:
    """`rate_per_s` is how many calls discovery takes a second, one after the other; one that would wait for
    longer than `keeps_ms` is refused at once, which costs as much: called too often, it answers nobody.
    """

    def __init__(
        self,
        copies: int,
        seed: int,
        rate_per_s: float,
        keeps_ms: float,
        peers: int | None = None,
        pushed: bool = False,
        known: bool = True,
    ) -> None:
        self.rng = Random(seed)
        settings = Settings(
            [RequestClass(1.0, 1.0, Effect.IDEMPOTENT)],
            instances=peers or copies,
            tiers=1 if peers is None else 3,
            polled_discovery=not pushed,
            drain_grace_ms=1_000.0 if keeps_ms < 2_000.0 else 2_000.0,
            one_shot_watches=True,
        )
        self.now = 0.0
        self.version = 1
        self.changes: list[Change] = []
        self.calls_ms: list[float] = []  # that take a turn
        self.renewals_ms: list[float] = []
        self.rejected = 0
        self.up, self.mute = True, False
        self._keeps_ms = keeps_ms
        self._turn_ms = 1_000.0 / rate_per_s
        self._free_ms = 0.0  # when the calls taken so far have had their turns
        self._heap: list[tuple[float, int, Callable[[], object]]] = []
        self._serial = 0
        self.copies = [
            Copy(number, Freshness(settings, Random(self.rng.getrandbits(64)))) for number in range(copies)
        ]
        for copy in self.copies:
            self._hear(copy, ListUpdate(ListKind.CACHED, copy.version if known else NO_VERSION))

    # ------------------------------------------------ time

    def at(self, ms: float, call: Callable[[], object]) -> None:
        self._serial += 1
        heappush(self._heap, (ms, self._serial, call))

    def after(self, ms: float, call: Callable[[], object]) -> None:
        self.at(self.now + ms, call)

    def run(self, until_ms: float) -> None:
        while self._heap and self._heap[0][0] <= until_ms:
            self.now, _, call = heappop(self._heap)
            call()
        self.now = until_ms

    # ------------------------------------------------ what happens to discovery

    def change(self, reached_ms: float | None = None, notified_ms: float = NOTIFIED_MS) -> None:
        self.version += 1
        self.changes.append(Change(self.version, self.now if reached_ms is None else reached_ms, notified_ms))
        if not self.mute and self.up:
            for copy in self.copies:
                if copy.out is not None and copy.out.wait_ms and copy.linked:
                    self._answer(copy, copy.out)

    def fall_silent(self) -> None:
        """All that is out is never answered; what is called from now on is."""
        for copy in self.copies:
            if copy.out is not None:
                copy.linked = False

    def reset(self) -> None:
        for copy in self.copies:
            if copy.out is not None:
                self.after(0.1, lambda copy=copy, order=copy.out: self._fail(copy, order))  # type: ignore[misc]

    def fill(self, ms: float) -> None:
        """Others' calls come, for so long a time of discovery."""
        self._free_ms = max(self.now, self._free_ms) + ms

    def go_down(self) -> None:
        self.up = False
        self._free_ms = self.now
        self.reset()

    def come_back(self) -> None:
        self.up = True
        self._free_ms = self.now
        for change in self.changes:
            if change.reached_ms > self.now:
                change.reached_ms = self.now

    def move(self) -> None:
        """All copies are told within a moment; the new address counts from there on."""
        self._free_ms = self.now
        for copy in self.copies:
            copy.out, copy.linked = None, False
            self.after(
                100.0 * self.rng.random(),
                lambda copy=copy: self._hear(copy, ListUpdate(ListKind.RELOCATED, NO_VERSION)),  # type: ignore[misc]
            )
        self.change(notified_ms=MOVED_MS)

    # ------------------------------------------------ calls

    def _hear(self, copy: Copy, update: ListUpdate) -> None:
        if update.kind in (ListKind.DELTA, ListKind.FULL):
            for version in range(copy.version + 1, update.version + 1):
                copy.heard[version] = self.now
            copy.version = max(copy.version, update.version)
        self._act(copy, copy.freshness.heard(update, self.now))

    def _act(self, copy: Copy, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                cookie = action.cookie
                self.after(
                    action.delay_ms,
                    lambda cookie=cookie: self._act(copy, copy.freshness.fired(cookie, self.now)),  # type: ignore[misc]
                )
            elif isinstance(action, WatchList):
                self._call(copy, action)

    def _call(self, copy: Copy, order: WatchList) -> None:
        copy.out, copy.begun_ms = order, self.now
        self.after(order.patience_ms, lambda: self._fail(copy, order))
        goes_on = copy.linked and self.now - copy.answered_ms <= CONTINUES_MS and order.after != NO_VERSION
        (self.renewals_ms if goes_on else self.calls_ms).append(self.now)
        copy.linked = not self.mute
        if not self.up:
            self.after(0.1, lambda: self._fail(copy, order))
        elif self.mute:
            return
        elif not goes_on:
            self._queue(copy, order)
        elif copy.version < self.version:
            self._answer(copy, order)
        else:
            self.after(order.wait_ms, lambda: self._answer(copy, order))

    def _queue(self, copy: Copy, order: WatchList) -> None:
        begin = max(self.now, self._free_ms)
        self._free_ms = begin + self._turn_ms  # a call that is refused costs as much as one that is taken
        if begin - self.now > self._keeps_ms:
            self.rejected += 1
            self.after(0.1, lambda: self._fail(copy, order))
            return
        self.at(max(self._free_ms, self.now + order.wait_ms), lambda: self._answer(copy, order))

    def _answer(self, copy: Copy, order: WatchList) -> None:
        if copy.out is not order or not copy.linked:
            return
        copy.out, copy.answered_ms = None, self.now
        kind = ListKind.FULL if order.after == NO_VERSION else ListKind.DELTA
        self._hear(copy, ListUpdate(kind, self.version, call=order.call))

    def _fail(self, copy: Copy, order: WatchList) -> None:
        if copy.out is order:
            copy.out, copy.linked = None, False
            held = copy.version if copy.freshness._held != NO_VERSION else NO_VERSION
            self._hear(copy, ListUpdate(ListKind.FAILED, held, call=order.call))

    # ------------------------------------------------ what came of it

    def latest_ms(self) -> float:
        """The longest that any copy had a change later than it counts as told; less than 0: never later."""
        worst = float("-inf")
        for change in self.changes:
            told = change.reached_ms + change.notified_ms
            if told > self.now:
                continue
            for copy in self.copies:
                worst = max(worst, copy.heard.get(change.version, self.now) - told)
        return worst


def most_in_a_second(times_ms: list[float]) -> int:
    times = sorted(times_ms)
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - 1_000.0:
            first += 1
        most = max(most, last - first + 1)
    return most
