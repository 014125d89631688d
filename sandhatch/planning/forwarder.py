"""The forwarder's side of the link: which planner it lends its parts to, what it reports, what it takes of
the advice that comes, and which planners it shuns. Events and ticks in, actions out; no I/O, no clock.

Every planner is reported to, and every one's weights count (`sandhatch.balancing.guidance` takes their
median). Parts are lent to one at a time: the first, in the configured order, whose advice comes in time.
While none does, the forwarder uses its own parts, from when they are its own again: it serves with every
planner gone.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from sandhatch.balancing.events import Guidance, OwnSharesLeased, RampShare, ServerWeight
from sandhatch.balancing.guidance.ramp_allocation import ramp_burst
from sandhatch.balancing.settings import Settings
from sandhatch.planning.ledger import DRIFT
from sandhatch.planning.messages import Advice, PartRow, PoolAdvice, Report
from sandhatch.planning.observer import Observer, Told

MOST_OPEN = 64  # reports that an answer may still name


@dataclass(frozen=True)
class ForwarderTerms:
    """Durations in milliseconds. `hold_ms`: how long a planner before the one lent to must have been well
    until it is gone back to. `faults`: refused advice within `fault_ms`, from which a planner is shunned, for
    `shun_ms` at first and twice as long each time, up to `most_shun_ms`.
    """

    report_ms: float = 250.0
    bytes_per_s: float = 65_536.0
    most_lease_ms: float = 10_000.0
    hold_ms: float = 5_000.0
    faults: int = 3
    fault_ms: float = 60_000.0
    shun_ms: float = 10_000.0
    most_shun_ms: float = 600_000.0


@dataclass(slots=True)
class SendReport:
    planner: str
    report: Report


@dataclass(slots=True)
class Advise:
    """For the pool's balancer; a refusal of it comes back with `rejected`."""

    pool: str
    event: Guidance | OwnSharesLeased


@dataclass(slots=True)
class Drop:
    """End the session with a planner, for now."""

    planner: str
    why: str


@dataclass(slots=True)
class Note:
    """A line for the log."""

    text: str


Action = SendReport | Advise | Drop | Note


@dataclass
class _Pool:
    name: str
    settings: Settings
    observer: Observer


@dataclass
class _Side:
    """One planner, as this forwarder knows it."""

    name: str
    rank: int
    up: bool = False
    epoch: int = 0
    serial: int = 0
    version: int = 0  # of the last advice seen in this session
    taken: tuple[int, int] = (0, 0)  # epoch and version of the last advice taken
    taken_ms: float = -math.inf
    taken_before: tuple[int, int] = (0, 0)
    lend_ms: float = 0.0
    live_until_ms: float = -math.inf
    well_since_ms: float = math.inf  # since when its advice has come without a gap
    learning: bool = True
    sent: deque[tuple[int, float]] = field(default_factory=deque)
    told: dict[str, Told] = field(default_factory=dict)
    reported_ms: float = -math.inf
    credit: float = 0.0  # bytes
    faults: deque[float] = field(default_factory=deque)
    shuns: int = 0
    shunned_until_ms: float = -math.inf
    ask_now: bool = False  # report at the next tick
    # For people.
    reports: int = 0
    advices: int = 0
    late: int = 0
    refusals: int = 0
    last_why: str = ""


class Forwarder:
    """`planners` in the order in which they are lent to. `quiet_ms`: how long after the start the parts of an
    earlier life of this forwarder may still be lent; no longer than that is any advice's `lend_ms`.
    """

    def __init__(
        self,
        name: str,
        planners: Sequence[str],
        now_ms: float,
        terms: ForwarderTerms | None = None,
        quiet_ms: float | None = None,
    ) -> None:
        self.name = name
        self.terms = terms or ForwarderTerms()
        self.sides = {planner: _Side(planner, rank) for rank, planner in enumerate(planners)}
        self.pools: dict[str, _Pool] = {}
        self.leased_to: str | None = None
        quiet_ms = self.terms.most_lease_ms * (1.0 + DRIFT) if quiet_ms is None else quiet_ms
        self.bound_ms = now_ms + quiet_ms  # until then its own parts may be others'
        self._bound_to: str | None = None  # by whom
        self._parts: dict[str, Sequence[RampShare]] = {}  # granted last, by pool
        self._parts_until_ms = -math.inf

    # ------------------------------------------------ pools and sessions

    def add_pool(self, name: str, settings: Settings, observer: Observer) -> list[Action]:
        """A pool, or another version of it. Its balancer must know at once what is lent."""
        known = self.pools.get(name)
        if known is not None and known.observer is observer:
            known.settings = settings
            return [Advise(name, OwnSharesLeased(self.bound_ms))]
        self.drop_pool(name)
        self.pools[name] = _Pool(name, settings, observer)
        for side in self.sides.values():
            if side.up:
                side.told[name] = observer.tell()
        return [Advise(name, OwnSharesLeased(self.bound_ms))]

    def drop_pool(self, name: str) -> None:
        if self.pools.pop(name, None) is not None:
            for side in self.sides.values():
                told = side.told.pop(name, None)
                if told is not None:
                    told.close()

    def connected(self, planner: str, epoch: int, now_ms: float) -> list[Action]:
        """A session with a planner, which says which life of its this is. An earlier one than was known is
        refused.
        """
        side = self.sides[planner]
        if epoch < side.epoch:
            why = f"epoch {epoch} is before {side.epoch}"
            return [*self._fault(side, why, now_ms), Drop(planner, why)]
        side.up, side.epoch = True, epoch
        side.serial = side.version = 0
        side.sent.clear()
        side.told = {name: pool.observer.tell() for name, pool in self.pools.items()}
        side.credit = 4.0 * self.terms.bytes_per_s  # the first reports carry the whole list
        side.reported_ms = now_ms
        side.ask_now = True
        side.learning = True
        side.well_since_ms = math.inf
        return []

    def lost(self, planner: str) -> None:
        """The session has ended. What was advised counts until its lease is over."""
        side = self.sides[planner]
        side.up = False
        side.well_since_ms = math.inf
        for told in side.told.values():
            told.close()
        side.told = {}

    def may_connect(self, planner: str, now_ms: float) -> bool:
        return now_ms >= self.sides[planner].shunned_until_ms

    # ------------------------------------------------ advice

    def advice(self, planner: str, advice: Advice, now_ms: float) -> list[Action]:
        """What a planner has said. Nothing of it counts if it is late, or out of order."""
        side = self.sides[planner]
        if not side.up:
            return []
        side.advices += 1
        wrong = self._wrong(side, advice)
        if wrong is not None:
            return self._fault(side, wrong, now_ms)
        side.version = advice.version
        sent_ms = self._sent_ms(side, advice.answers)
        if sent_ms is None:
            return self._fault(
                side, f"advice {advice.version} answers report {advice.answers}, unknown", now_ms
            )
        until_ms = sent_ms + advice.lease_ms * (1.0 - DRIFT)
        if now_ms >= until_ms:
            side.late += 1
            side.last_why = f"advice {advice.version} came {now_ms - sent_ms:.0f} ms after its report"
            side.well_since_ms = math.inf
            return []
        actions = [] if not advice.note else self._noted(side, advice.note)
        side.taken_before = side.taken
        if side.taken[0] != side.epoch or side.learning != advice.learning:
            side.ask_now = True  # until it knows that it is heard, it can't grant
        side.taken, side.taken_ms = (advice.epoch, advice.version), now_ms
        side.lend_ms, side.learning = advice.lend_ms, advice.learning
        side.live_until_ms = until_ms
        side.well_since_ms = min(side.well_since_ms, now_ms)
        leased = advice.lending and self.leased_to == planner
        for item in advice.pools:
            pool, told = self.pools.get(item.pool), side.told.get(item.pool)
            if pool is not None and told is not None:
                guidance = self._guidance(side, item, told, sent_ms, until_ms, leased)
                actions.append(Advise(pool.name, guidance))
        if leased:
            self._parts_until_ms = until_ms
        return actions

    def _wrong(self, side: _Side, advice: Advice) -> str | None:
        if advice.epoch != side.epoch:
            return f"advice of epoch {advice.epoch} in a session of epoch {side.epoch}"
        if advice.version <= side.version:
            return f"advice {advice.version} after {side.version}"
        if advice.lend_ms > self.terms.most_lease_ms or advice.lease_ms > advice.lend_ms:
            return (
                f"a lease of {advice.lease_ms:g} ms within {advice.lend_ms:g} ms;"
                f" {self.terms.most_lease_ms:g} ms is the most"
            )
        return None

    @staticmethod
    def _sent_ms(side: _Side, serial: int) -> float | None:
        while side.sent and side.sent[0][0] < serial:
            side.sent.popleft()
        return side.sent[0][1] if side.sent and side.sent[0][0] == serial else None

    def _guidance(
        self, side: _Side, item: PoolAdvice, told: Told, sent_ms: float, until_ms: float, leased: bool
    ) -> Guidance:
        weights = None
        if item.weights is not None:
            found = ((told.server_of(row.server), row.weight) for row in item.weights)
            weights = [ServerWeight(server, weight) for server, weight in found if server is not None]
        parts: list[RampShare] = []
        if leased:
            for row in item.parts:
                server = told.server_of(row.server)
                if server is not None:
                    parts.append(RampShare(server, row.rate, row.burst))
            self._parts[item.pool] = parts
        return Guidance(
            side.name,
            sent_ms,
            until_ms,
            weights,
            leased,
            self.bound_ms if leased else 0.0,
            parts,
            item.own_part if leased else None,
        )

    def rejected(self, planner: str, why: str, now_ms: float) -> list[Action]:
        """The decision module has refused what this planner advised last."""
        side = self.sides[planner]
        side.taken = side.taken_before  # what it may still count as held, it must go on counting
        return self._fault(side, why, now_ms)

    def broken(self, planner: str, why: str, now_ms: float) -> list[Action]:
        """A planner has broken the protocol."""
        return self._fault(self.sides[planner], why, now_ms)

    def _noted(self, side: _Side, note: str) -> list[Action]:
        if note == side.last_why:
            return []
        side.last_why = note
        return [Note(f"planner {side.name}: {note}")]

    def _fault(self, side: _Side, why: str, now_ms: float) -> list[Action]:
        side.refusals += 1
        side.last_why = why
        actions: list[Action] = [Note(f"planner {side.name}: refused: {why}")] if side.refusals <= 3 else []
        side.faults.append(now_ms)
        while side.faults[0] <= now_ms - self.terms.fault_ms:
            side.faults.popleft()
        if len(side.faults) < self.terms.faults:
            return actions
        span = min(self.terms.most_shun_ms, self.terms.shun_ms * 2.0 ** min(side.shuns, 16))
        side.shuns += 1
        side.shunned_until_ms = now_ms + span
        side.faults.clear()
        side.well_since_ms = math.inf
        if self.leased_to == side.name:
            self.leased_to = None
        return [*actions, Note(f"planner {side.name}: shunned for {span / 1000.0:g} s"), Drop(side.name, why)]

    # ------------------------------------------------ reports, and whom to lend to

    def tick(self, now_ms: float) -> list[Action]:
        """Called often; a report is due to each planner every `report_ms`."""
        actions = self._choose(now_ms)
        for side in self.sides.values():
            if side.up and (side.ask_now or now_ms - side.reported_ms >= self.terms.report_ms):
                actions += self._report(side, now_ms)
        return actions

    def _well(self, side: _Side, now_ms: float) -> bool:
        return side.up and side.live_until_ms > now_ms and now_ms >= side.shunned_until_ms

    def _settled(self, side: _Side, now_ms: float) -> bool:
        """Whether it has been well for long enough to be gone back to."""
        return self._well(side, now_ms) and now_ms - side.well_since_ms >= self.terms.hold_ms

    def _choose(self, now_ms: float) -> list[Action]:
        """Whom to lend to. Nobody, while the parts may still count with another planner."""
        current = self.sides[self.leased_to] if self.leased_to is not None else None
        if current is not None and now_ms >= current.live_until_ms:
            self.leased_to = current = None
        if current is not None:
            for side in self.sides.values():
                if side.rank < current.rank and not side.learning and self._settled(side, now_ms):
                    self.leased_to = None
                    return [Note(f"goes back from planner {current.name} to {side.name}")]
            return []
        for side in self.sides.values():  # in the order of their ranks
            if not self._well(side, now_ms) or side.taken[0] != side.epoch:
                continue
            # A new life of the planner that it was lent to goes on where that ended; another one must wait.
            if side.name != self._bound_to:
                if side.learning:
                    continue
                if now_ms < self.bound_ms:
                    if self._settled(side, now_ms):
                        return []
                    continue
            self.leased_to = self._bound_to = side.name
            side.ask_now = True
            return [Note(f"lends its parts to planner {side.name}")]
        return []

    def _report(self, side: _Side, now_ms: float) -> list[Action]:
        span = now_ms - side.reported_ms
        side.reported_ms = now_ms
        side.ask_now = False
        side.serial += 1
        side.reports += 1
        side.credit = min(4.0 * self.terms.bytes_per_s, side.credit + span * self.terms.bytes_per_s / 1000.0)
        side.sent.append((side.serial, now_ms))
        while len(side.sent) > MOST_OPEN:
            side.sent.popleft()
        lends = self.leased_to == side.name
        report = Report(side.serial, min(span, 3_600_000.0), *side.taken, lends)
        if side.taken[0] != side.epoch:  # of an earlier life
            report.epoch = report.version = 0
        actions: list[Action] = []
        if lends and side.taken_ms + side.lend_ms * (1.0 + DRIFT) > self.bound_ms:
            self.bound_ms = side.taken_ms + side.lend_ms * (1.0 + DRIFT)
            actions += [Advise(pool, OwnSharesLeased(self.bound_ms)) for pool in self.pools]
        # The parts go on with the next life of the planner that granted them, so that one must know of them.
        holds = side.learning and self._bound_to == side.name and now_ms < self._parts_until_ms
        budget = int(side.credit) - 64
        for name, pool in self.pools.items():
            told = side.told[name]
            held = [PartRow(part.server, part.rate, part.burst) for part in self._parts.get(name, ())]
            item, left = told.report(name, now_ms, max(0, budget - 32), held if holds else ())
            settings = pool.settings
            item.copies, item.me, item.burst = (
                settings.instances,
                settings.instance_index,
                ramp_burst(settings),
            )
            budget = min(budget - 32, left)
            report.pools.append(item)
        side.credit = max(0.0, float(budget))
        return [*actions, SendReport(side.name, report)]

    # ------------------------------------------------ for people

    def status(self, now_ms: float) -> dict[str, Any]:
        return {
            "forwarder": self.name,
            "lends_to": self.leased_to,
            "own_parts_in_ms": max(0, round(self.bound_ms - now_ms)) if self.leased_to is None else None,
            "planners": [self._side_status(side, now_ms) for side in self.sides.values()],
        }

    def _side_status(self, side: _Side, now_ms: float) -> Mapping[str, Any]:
        shunned = max(0, round(side.shunned_until_ms - now_ms)) if side.shuns else 0
        return {
            "planner": side.name,
            "state": "shunned" if shunned else "up" if side.up else "down",
            "epoch": side.epoch,
            "advice_counts": side.live_until_ms > now_ms,
            "learning": side.learning,
            "reports": side.reports,
            "advices": side.advices,
            "late": side.late,
            "refused": side.refusals,
            "shunned_ms": shunned,
            "last": side.last_why,
        }
