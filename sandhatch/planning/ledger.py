"""What a planner may grant out of what it was lent, so that no two sides ever count the same part.

Every copy owns a part of each ramp, known without a word (`balancing.guidance.ramp_allocation.safe_part`). A
forwarder lends its parts to one planner; the planner grants out of what it was lent, and nothing else. So
planners need no leader and no agreement: what two of them grant was lent by different forwarders. No
I/O, no clock.

Both sides of a lease count from the event that is earlier for the one that must stop (Gray and Cheriton):
a grantee counts from when it sent the report that the advice answers, the planner from when it sent the
advice; a lender takes its parts back `lend_ms` after it has received the advice that its last report named,
the planner counts from when it sent that advice. A grant is made only on what is lent for as long as the
grant may live. So at every moment what counts at all forwarders is at most what was lent, whatever the
network delays, and however often either side restarts; only the rate of the clocks is trusted.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from sandhatch.balancing.guidance.ramp_allocation import safe_part

DRIFT = 0.01  # of a lease, by which the clocks of two machines may differ in their rate


@dataclass(slots=True)
class Grant:
    version: int  # of the advice that carried it
    rate: float
    burst: float
    until_ms: float


class Lenders:
    """Which places of a pool are lent, and until when."""

    def __init__(self, copies: int, burst: float) -> None:
        self.copies = copies
        self.burst = burst
        self._until: dict[int, float] = {}  # by place
        self._counted: list[int] = []  # how many places before each are lent, as last counted
        self._counted_for = 0.0
        self._least = 0.0  # the earliest end among those counted

    def lend(self, me: int, until_ms: float) -> None:
        if me not in self._until:
            self._counted = []
        self._until[me] = max(until_ms, self._until.get(me, 0.0))

    def end(self, me: int) -> None:
        """It lends no longer. What was granted on it goes on until its end, which was within the lending."""
        if self._until.pop(me, None) is not None:
            self._counted = []

    def __contains__(self, me: int) -> bool:
        return me in self._until

    def _count(self, until_ms: float) -> list[int]:
        """Prefix counts of the places that are lent until then at the least."""
        if self._counted and until_ms <= self._least and until_ms >= self._counted_for:
            return self._counted
        ends = {me: end for me, end in self._until.items() if end >= until_ms}
        counts = [0] * (self.copies + 1)
        for me in range(self.copies):
            counts[me + 1] = counts[me] + (me in ends)
        self._counted, self._counted_for = counts, until_ms
        self._least = min(ends.values(), default=until_ms)
        return counts

    def number(self, until_ms: float) -> int:
        return self._count(until_ms)[self.copies]

    def parts(self, label: int, until_ms: float) -> tuple[float, float]:
        """What is lent of the ramp of the server with this label: of its rate, and of its burst."""
        counts = self._count(until_ms)
        holders = min(self.copies, int(self.burst))
        if holders == 0:
            return 0.0, 0.0
        # The places that have a part are those from -label on, around the ring.
        first = -label % self.copies
        last = first + holders
        held = counts[min(last, self.copies)] - counts[first] + counts[max(0, last - self.copies)]
        allocation = safe_part(self.copies, first, self.burst, label)
        return held * allocation.rate, held * allocation.burst


class Ledger:
    """Grants on one server's ramp. `taken` tells, by forwarder, the last version of those it is known to have
    taken whose parts count: what came before counts no more there.
    """

    def __init__(self, label: int, taken: Mapping[str, int]) -> None:
        self.label = label
        self._taken = taken
        self._grants: dict[str, list[Grant]] = {}
        # The sums are kept, not formed anew: with hundreds of forwarders and of cold servers each advice
        # would look at all of them. What has ended since is still in them, until the next look: on the safe
        # side.
        self._most: dict[str, tuple[float, float]] = {}
        self._rate = self._burst = 0.0
        self._look_ms = math.inf  # when the first of the grants ends

    def _refresh(self, name: str, now_ms: float) -> tuple[float, float]:
        """Forget what of a forwarder's has been superseded or has ended."""
        rate, burst = self._most.pop(name, (0.0, 0.0))
        self._rate, self._burst = self._rate - rate, self._burst - burst
        grants = self._grants.get(name)
        if not grants:
            return 0.0, 0.0
        taken = self._taken.get(name, 0)
        grants[:] = [g for g in grants if g.until_ms > now_ms and g.version >= taken]
        if not grants:
            del self._grants[name]
            return 0.0, 0.0
        most = max(g.rate for g in grants), max(g.burst for g in grants)
        self._most[name] = most
        self._rate, self._burst = self._rate + most[0], self._burst + most[1]
        return most

    def _look(self, now_ms: float) -> None:
        """Form the sums anew, once the first of the grants has ended."""
        if now_ms < self._look_ms:
            return
        self._most, self._rate, self._burst = {}, 0.0, 0.0
        for name in list(self._grants):
            self._refresh(name, now_ms)
        self._look_ms = min((g.until_ms for rows in self._grants.values() for g in rows), default=math.inf)

    def held(self, name: str, now_ms: float) -> tuple[float, float]:
        """The most that a forwarder may hold: of all that is not known to be superseded, and lives."""
        self._look(now_ms)
        return self._refresh(name, now_ms)

    def others(self, name: str, now_ms: float) -> tuple[float, float]:
        """What others than `name` may hold, at most."""
        rate, burst = self.held(name, now_ms)
        return max(0.0, self._rate - rate), max(0.0, self._burst - burst)

    @property
    def holders(self) -> list[str]:
        return list(self._grants)

    def _add(self, name: str, grant: Grant) -> None:
        self._grants.setdefault(name, []).append(grant)
        self._look_ms = min(self._look_ms, grant.until_ms)

    def grant(
        self,
        name: str,
        version: int,
        wanted: tuple[float, float],
        leased: tuple[float, float],
        now_ms: float,
        until_ms: float,
    ) -> tuple[float, float]:
        """Grant as much of what is wanted, of rate and burst, as is lent until then and not held elsewhere.

        Less than one call at once is nothing.
        """
        rate, burst = self.others(name, now_ms)
        given = min(wanted[0], leased[0] - rate), min(wanted[1], leased[1] - burst)
        if given[0] <= 0.0 or given[1] < 1.0:
            return 0.0, 0.0
        self._add(name, Grant(version, *given, until_ms))
        self._refresh(name, now_ms)
        return given

    def claim(self, name: str, rate: float, burst: float, now_ms: float, until_ms: float) -> None:
        """What a forwarder says that it holds from this planner's earlier life."""
        self._add(name, Grant(0, rate, burst, until_ms))
        self._refresh(name, now_ms)
