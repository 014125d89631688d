"""What a forwarder sees of one pool, kept so that any planner can be told what has changed since it was last
told. No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from heapq import nlargest

from sandhatch.balancing.actions import Action, Send
from sandhatch.balancing.events import (
    NEUTRAL_OUTCOMES,
    NEVER_RAN,
    AttemptEnded,
    Event,
    ListKind,
    ListUpdate,
    Outcome,
    RequestArrived,
    ServerState,
)
from sandhatch.planning.messages import PartRow, PoolReport, Row
from sandhatch.planning.quantile_sketch import bucket_of

# What an item takes on the wire at most, bytes: a report is built within a budget of them.
ROW_BYTES, PAIR_BYTES, NUMBER_BYTES, PART_BYTES = 32, 4, 4, 24


class Seen:
    """Totals of one server, since the process began."""

    __slots__ = ("failed", "ok", "outstanding", "rejected", "sketch", "spent_ms")

    def __init__(self) -> None:
        self.outstanding = 0
        self.ok = self.failed = self.rejected = 0
        self.spent_ms = 0.0
        self.sketch: dict[int, int] = {}

    def copy(self) -> Seen:
        other = Seen()
        other.outstanding, other.spent_ms = self.outstanding, self.spent_ms
        other.ok, other.failed, other.rejected = self.ok, self.failed, self.rejected
        other.sketch = dict(self.sketch)
        return other


_NOTHING = Seen()


@dataclass(slots=True)
class Listed:
    address: str
    ready: bool
    started_ms: float


class Told:
    """What one planner has been told of the pool in this session."""

    def __init__(self, observer: Observer) -> None:
        self._observer = observer
        self._first = True
        self._numbers: dict[int, int] = {}  # the session's number of a server
        self._servers: list[int] = []  # and the server of a number
        self._totals: dict[int, Seen] = {}
        self._demand = dict(observer.demand)
        self._states: dict[int, str] = {}
        self.changed: set[int] = set(observer.seen)
        self.relisted: set[int] = set(observer.listed)

    def close(self) -> None:
        self._observer.audience.discard(self)

    def server_of(self, number: int) -> int | None:
        """The balancer's number of a server that was named in this session."""
        return self._servers[number] if number < len(self._servers) else None

    def report(
        self, pool: str, now_ms: float, budget: int, held: Iterable[PartRow] = ()
    ) -> tuple[PoolReport, int]:
        """What has changed, as much of it as fits in a budget of bytes, and what is left of that.

        First what names servers, then what they have become, then the rows: those that changed most. What
        doesn't fit stays for the next report, and loses nothing, since rows carry all since the last.
        """
        report = PoolReport(pool, anew=self._first)
        self._first = False
        budget = self._name(report, budget)
        budget = self._list(report, now_ms, budget)
        report.demand = {
            name: count - self._demand.get(name, 0)
            for name, count in self._observer.demand.items()
            if count != self._demand.get(name, 0)
        }
        self._demand = dict(self._observer.demand)
        for part in held:
            number = self._numbers.get(part.server)
            if number is not None and budget >= PART_BYTES:
                report.held.append(PartRow(number, part.rate, part.burst))
                budget -= PART_BYTES
        return report, self._rows(report, budget)

    def _name(self, report: PoolReport, budget: int) -> int:
        # By address: so that forwarders name them in the same order.
        listed = self._observer.listed
        new = [n for n in self.relisted if n not in self._numbers and n in listed]
        for address, number in sorted((listed[n].address, n) for n in new):
            cost = len(address) + 4
            if cost > budget:
                break
            budget -= cost
            self._numbers[number] = len(self._servers)
            self._servers.append(number)
            report.names.append(address)
        return budget

    def _list(self, report: PoolReport, now_ms: float, budget: int) -> int:
        self.relisted.update(self._observer.turned_warm(now_ms))
        for server in list(self.relisted):
            number = self._numbers.get(server)
            if number is None:
                if server not in self._observer.listed:
                    self.relisted.discard(server)  # it went before it was named
                continue
            if budget < NUMBER_BYTES:
                break
            self.relisted.discard(server)
            state = self._observer.state(server, now_ms)
            # One that is gone is told even if it has drained before: nothing more is told of its calls.
            if state != self._states.get(server, "left") or server not in self._observer.listed:
                self._states[server] = state
                getattr(report, state).append(number)
                budget -= NUMBER_BYTES
        return budget

    def forget(self, server: int) -> None:
        self.changed.discard(server)
        self._totals.pop(server, None)

    def _rows(self, report: PoolReport, budget: int) -> int:
        listed = self._observer.listed
        named = [server for server in self.changed if server in self._numbers and server in listed]
        most = max(0, budget // ROW_BYTES)
        if len(named) > most:
            named = nlargest(most, named, key=self._weight)
        for server in named:
            row, budget = self._row(server, budget)
            if row is None:
                break
            report.rows.append(row)
            self.changed.discard(server)
        return budget

    def _weight(self, server: int) -> int:
        now, before = self._observer.seen[server], self._totals.get(server, _NOTHING)
        ended = now.ok + now.failed - before.ok - before.failed
        return ended + 2 * abs(now.outstanding - before.outstanding)

    def _row(self, server: int, budget: int) -> tuple[Row | None, int]:
        now, before = self._observer.seen[server], self._totals.get(server, _NOTHING)
        pairs: list[int] = []
        for bucket, count in now.sketch.items():
            more = count - before.sketch.get(bucket, 0)
            if more:
                pairs += (bucket, more)
        cost = ROW_BYTES + PAIR_BYTES * len(pairs) // 2
        if cost > budget:
            return None, budget
        row = Row(
            self._numbers[server],
            now.outstanding,
            now.ok - before.ok,
            now.failed - before.failed,
            now.rejected - before.rejected,
            now.spent_ms - before.spent_ms,
            pairs,
        )
        self._totals[server] = now.copy()
        return row, budget - cost


class Observer:
    """Hears each event and what was decided on it, in one pool.

    `classes` are the names of the classes by their index; `address` tells a server's address.
    """

    def __init__(self, classes: Sequence[str], cold_ms: float) -> None:
        self._classes = classes
        self._cold_ms = cold_ms
        self._counts = [0] * len(classes)
        self._cold: set[int] = set()  # ready servers, as of the last look
        self.seen: dict[int, Seen] = {}
        self.listed: dict[int, Listed] = {}
        self.audience: set[Told] = set()

    def fits(self, classes: Sequence[str], cold_ms: float) -> bool:
        return list(self._classes) == list(classes) and self._cold_ms == cold_ms

    @property
    def demand(self) -> dict[str, int]:
        return {name: count for name, count in zip(self._classes, self._counts, strict=True) if count}

    def tell(self) -> Told:
        """A session with a planner begins."""
        told = Told(self)
        self.audience.add(told)
        return told

    # ------------------------------------------------ what happens

    def saw(self, event: Event, actions: Sequence[Action]) -> None:
        """An event that the balancer was given, and what it answered."""
        kind = type(event)
        if kind is RequestArrived:
            self._counts[event.class_index] += 1  # type: ignore[union-attr]
        elif kind is AttemptEnded:
            self._ended(event)  # type: ignore[arg-type]
        for action in actions:
            if type(action) is Send:
                server = action.server
                seen = self.seen.get(server)
                if seen is None:
                    seen = self.seen[server] = Seen()
                seen.outstanding += 1
                for told in self.audience:
                    told.changed.add(server)

    def _ended(self, event: AttemptEnded) -> None:
        seen = self.seen.get(event.server)
        if seen is None:
            return  # its send was before this began to look
        seen.outstanding = max(0, seen.outstanding - 1)
        if event.outcome is Outcome.OK:
            seen.ok += 1
            seen.spent_ms += event.spent_ms
            bucket = bucket_of(event.spent_ms)
            seen.sketch[bucket] = seen.sketch.get(bucket, 0) + 1
        elif event.outcome in NEVER_RAN:
            seen.rejected += 1
        elif event.outcome not in NEUTRAL_OUTCOMES:
            seen.failed += 1
        if not seen.outstanding and event.server not in self.listed:
            self._forget(event.server)  # the last of what was out at a server that has left
            return
        for told in self.audience:
            told.changed.add(event.server)

    def _forget(self, server: int) -> None:
        self.seen.pop(server, None)
        for told in self.audience:
            told.forget(server)

    def on_endpoint_list(self, update: ListUpdate, addresses: Sequence[str], why: str = "") -> None:
        """A list that the balancer was given, with the addresses of its entries in their order."""
        if update.kind in (ListKind.FULL, ListKind.CACHED):
            named = {entry.server for entry in update.entries}
            for server in [server for server in self.listed if server not in named]:
                self._remove(server)
        for entry, address in zip(update.entries, addresses, strict=True):
            if entry.state is ServerState.GONE:
                if entry.server in self.listed:
                    self._remove(entry.server)
                continue
            self.listed[entry.server] = Listed(address, entry.state is ServerState.READY, entry.started_ms)
            self._changed(entry.server)

    def _remove(self, server: int) -> None:
        del self.listed[server]
        self._cold.discard(server)
        seen = self.seen.get(server)
        if seen is None or not seen.outstanding:
            self._forget(server)
        for told in self.audience:
            told.relisted.add(server)

    def _changed(self, server: int) -> None:
        if self.listed[server].started_ms > 0.0:
            self._cold.add(server)
        for told in self.audience:
            told.relisted.add(server)

    def state(self, server: int, now_ms: float) -> str:
        """The field of a report that it belongs in."""
        row = self.listed.get(server)
        if row is None or not row.ready:
            return "left"
        return "cold" if self._is_cold(row, now_ms) else "warm"

    def _is_cold(self, row: Listed, now_ms: float) -> bool:
        return row.started_ms > 0.0 and now_ms - row.started_ms < self._cold_ms

    def turned_warm(self, now_ms: float) -> list[int]:
        """Servers that are cold no more; each is told to all planners."""
        warm = [server for server in self._cold if not self._is_cold(self.listed[server], now_ms)]
        for server in warm:
            self._cold.discard(server)
            for told in self.audience:
                told.relisted.add(server)
        return warm
