"""Whether the service yields less since a change: worth answered in time over worth asked for. Pure.

Time is cut into blocks. A block's yield is the worth answered within its class's aim over the worth asked
for, of the requests that came in it; refusals are those answered 429 or 503. Blocks before the change are
compared with blocks after it by a one-sided rank test (Mann and Whitney 1947, exact for few blocks, with
mid-ranks for ties): no assumption on how answers cluster is made, and blocks, not requests, are the samples,
since one burst spoils many requests at once. Each class is tested by itself and all together, and the test
is repeated as blocks come in; the stated significance is shared out over all of them (Bonferroni), so it
bounds the odds of a false alarm over the watch.

Bursts last longer than a block. So blocks are put together into groups as long as the yields before the
change were seen to hang together (`correlation_length`), four at least; groups are what is ranked, and the
yield since the change must lie the least fall below that of any equally long stretch before. A collapse, to
under a quarter of the worst such stretch, does not wait for more proof.

A significant fall must also be a large one, and must not be what more load alone would explain: where more
worth is asked for than before and no less of it is answered in time, the pools are full, not worse.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

ALL = "all classes"


@dataclass(slots=True)
class Tally:
    """Of one class in one block."""

    asked: float = 0.0  # worth
    served: float = 0.0  # worth answered in time
    requests: int = 0
    rejected: int = 0

    def add(self, other: Tally) -> None:
        self.asked += other.asked
        self.served += other.served
        self.requests += other.requests
        self.rejected += other.rejected


@dataclass(slots=True)
class Block:
    """What came in one stretch of time, by class and by `pool NAME`. `open`: requests not yet over."""

    number: int
    tallies: dict[str, Tally] = field(default_factory=dict)
    open: int = 0

    def tally(self, name: str) -> Tally:
        found = self.tallies.get(name)
        if found is None:
            found = self.tallies[name] = Tally()
        return found


@dataclass(slots=True, frozen=True)
class Fall:
    """A fall of the yield: what fell, from what to what, and how sure that is."""

    name: str
    before: float
    after: float
    rejected_before: float
    rejected_after: float
    p: float
    blocks: int
    collapsed: bool = False  # so far down that no proof by ranks was waited for

    def __str__(self) -> str:
        proof = "a collapse" if self.collapsed else f"p {self.p:.1e}"
        return (
            f"the yield of {self.name} fell from {self.before:.3f} to {self.after:.3f} "
            f"(refused {self.rejected_before:.3f} -> {self.rejected_after:.3f}; "
            f"{proof} over {self.blocks} blocks)"
        )


def rank_test(before: Sequence[float], after: Sequence[float]) -> float:
    """The odds that blocks drawn alike would put `after` as low as it is; 1.0 where there is nothing to
    compare.

    Exact over all ways to choose which blocks are `after`, where these are few; else by the normal
    approximation with its correction for ties.
    """
    m, n = len(after), len(before)
    if not m or not n:
        return 1.0
    ranks = _doubled_midranks([*after, *before])
    observed = sum(ranks[:m])
    if m <= 6 and m + n <= 150:
        return _exact(ranks, m, observed)
    return _normal(ranks, m, n, observed)


def _doubled_midranks(values: Sequence[float]) -> list[int]:
    order = sorted(range(len(values)), key=values.__getitem__)
    ranks = [0] * len(values)
    at = 0
    while at < len(order):
        end = at
        while end < len(order) and values[order[end]] == values[order[at]]:
            end += 1
        for place in order[at:end]:
            ranks[place] = at + end + 1  # twice the mean of the ranks at + 1 to end
        at = end
    return ranks


def _exact(ranks: list[int], m: int, observed: int) -> float:
    """How many of the choices of m ranks sum to no more than was observed, by counting sums."""
    ways: list[dict[int, int]] = [{} for _ in range(m + 1)]
    ways[0][0] = 1
    for rank in ranks:
        for size in range(m - 1, -1, -1):
            for total, count in ways[size].items():
                if total + rank <= observed:
                    ways[size + 1][total + rank] = ways[size + 1].get(total + rank, 0) + count
    return sum(ways[m].values()) / math.comb(len(ranks), m)


def _normal(ranks: list[int], m: int, n: int, observed: int) -> float:
    total = m + n
    mean = m * (total + 1)
    ties: dict[int, int] = {}
    for rank in ranks:
        ties[rank] = ties.get(rank, 0) + 1
    lost = sum(count**3 - count for count in ties.values())
    variance = 4.0 * m * n / 12.0 * (total + 1 - lost / (total * (total - 1)))
    if variance <= 0.0:
        return 1.0
    z = (observed + 1 - mean) / math.sqrt(variance)
    return 0.5 * math.erfc(-z / math.sqrt(2.0))


class GoodputWatch:
    """Books what was asked and served, block by block, and compares around a change."""

    LEAST_BLOCKS = 3  # after the change, before anything is said
    LEAST_BEFORE = 10  # before it: with fewer the watch says nothing
    LEAST_REQUESTS = 20  # of a class after the change
    MORE_LOAD = 1.1  # times the worth asked for before, from which fuller pools may explain a fall
    LESS_SERVED = 0.9  # times the worth served before, under which they do not
    LEAST_GROUP = 4  # blocks: a few bursts before a change are too few to tell how long they last
    COLLAPSE = 0.25  # of the worst stretch before: below that no more proof is waited for

    def __init__(self, block_ms: float, before_ms: float) -> None:
        self._block_ms = block_ms
        self._keep = max(self.LEAST_BEFORE, math.ceil(before_ms / block_ms))
        self._before: deque[Block] = deque(maxlen=self._keep)
        self._open: dict[int, Block] = {}
        self._after: list[Block] | None = None
        self._since = 0  # the first whole block after the change
        self._looks = 1
        self._significance = 0.0
        self._least_fall = 1.0
        self._only: set[str] | None = None

    def _number(self, at_ms: float) -> int:
        return int(at_ms // self._block_ms)

    def came(self, came_ms: float, name: str, pool: str, worth: float) -> None:
        """A request has come; it is booked in the block of its coming."""
        number = self._number(came_ms)
        block = self._open.get(number)
        if block is None:
            block = self._open[number] = Block(number)
        block.open += 1
        for title in (ALL, name, f"pool {pool}"):
            tally = block.tally(title)
            tally.asked += worth
            tally.requests += 1

    def over(self, came_ms: float, name: str, pool: str, worth: float, in_time: bool, rejected: bool) -> None:
        """It is answered, or its client gone. One whose block is closed came too late to be worth
        anything.
        """
        block = self._open.get(self._number(came_ms))
        if block is None:
            return
        block.open -= 1
        for title in (ALL, name, f"pool {pool}"):
            tally = block.tally(title)
            tally.served += worth * in_time
            tally.rejected += rejected

    def begin(
        self,
        now_ms: float,
        window_ms: float,
        significance: float,
        least_fall: float,
        only_pools: frozenset[str] | None = None,
    ) -> None:
        """A change is in force from now; the block that it falls in counts on neither side. `only_pools`: the
        pools that it touches, where it touches nothing else.
        """
        self._only = None if only_pools is None else {f"pool {name}" for name in only_pools}
        self._after = []
        self._since = self._number(now_ms) + 1
        self._looks = max(1, math.ceil(window_ms / self._block_ms))
        self._significance = significance
        self._least_fall = least_fall

    def end(self) -> None:
        """The change is confirmed or taken back. Blocks since it come under `before` if it was confirmed."""
        after, self._after = self._after, None
        self._before.extend(after or ())

    def forget(self) -> None:
        """As `end`, but what was seen since the change says nothing of the version now in force."""
        self._after = None
        self._open.clear()

    def close(self, now_ms: float, patience_ms: float) -> Fall | None:
        """Close the blocks that are over and whose requests are all over too, or past `patience_ms`, the
        longest aim; what fell, if anything did.
        """
        looked = False
        for number in sorted(self._open):
            block = self._open[number]
            end = (number + 1) * self._block_ms
            if now_ms < end or (block.open and now_ms < end + patience_ms):
                break  # in their order: a block that is quick to end must not be judged before a slow one
            del self._open[number]
            if self._after is None or number < self._since - 1:
                self._before.append(block)
            elif number >= self._since:
                self._after.append(block)
                looked = True
        return self._look() if looked else None

    def _look(self) -> Fall | None:
        after = self._after or []
        if len(after) < self.LEAST_BLOCKS or len(self._before) < self.LEAST_BEFORE:
            return None
        names = sorted({name for block in after for name in block.tallies})
        if self._only is not None:
            names = [name for name in names if name in self._only]
        allowed = self._significance / (self._looks * max(1, len(names)))
        falls = (self._test(name, after, allowed) for name in names)
        return next((fall for fall in falls if fall is not None), None)

    def _test(self, name: str, after: list[Block], allowed: float) -> Fall | None:
        empty = Tally()
        rows = [[block.tallies.get(name, empty) for block in side] for side in (self._before, after)]
        old, new = (_total(row) for row in rows)
        if new.requests < self.LEAST_REQUESTS or not old.asked or not new.asked:
            return None
        before, now = old.served / old.asked, new.served / new.asked
        if before - now < self._least_fall or self._is_load(old, new, len(rows[0]), len(rows[1])):
            return None
        yields = [tally.served / tally.asked for tally in rows[0] if tally.asked]
        length = correlation_length(yields)
        span = max(self.LEAST_GROUP, length)
        worst = worst_window(rows[0], len(rows[1]))
        groups = [_group_yields(row, span) for row in rows]
        p = rank_test(groups[0], groups[1])
        # Worse than any stretch before: guards against a long burst, of which the blocks are one sample.
        sure = p <= allowed and now < worst - self._least_fall
        collapsed = now < self.COLLAPSE * worst and len(rows[1]) >= 2 * length
        if not sure and not collapsed:
            return None
        rejected = (old.rejected / old.requests, new.rejected / new.requests)
        return Fall(name, before, now, *rejected, p, len(rows[1]), collapsed and not sure)

    def _is_load(self, old: Tally, new: Tally, before: int, after: int) -> bool:
        """Whether more is asked for in each block than before, and no less of it served."""
        asked = (new.asked / after) / (old.asked / before)
        served = (new.served / after) / (old.served / before) if old.served else 1.0
        return asked > self.MORE_LOAD and served > self.LESS_SERVED


def correlation_length(yields: Sequence[float]) -> int:
    """Of how many blocks one sample must be put together, by the autocorrelation of those before the change:
    one and twice the sum of the correlations, up to the lag at which they are lost in the noise (twice its
    standard error); Bartlett 1946. At most a tenth of the blocks.
    """
    n = len(yields)
    mean = sum(yields) / n if n else 0.0
    spread = sum((value - mean) ** 2 for value in yields)
    most = max(1, n // 10)
    if spread <= 0.0:
        return 1
    length = 1.0
    for lag in range(1, most):
        shared = sum((yields[at] - mean) * (yields[at + lag] - mean) for at in range(n - lag))
        if shared / spread < 2.0 / math.sqrt(n):
            break
        length += 2.0 * shared / spread
    return min(most, math.ceil(length))


def worst_window(row: Sequence[Tally], length: int) -> float:
    """The least yield of any stretch of so many blocks in a row; of all of them, where there are no more."""
    length = min(length, len(row))
    asked = served = 0.0
    worst = math.inf
    for at, tally in enumerate(row):
        asked, served = asked + tally.asked, served + tally.served
        if at >= length:
            asked, served = asked - row[at - length].asked, served - row[at - length].served
        if at >= length - 1 and asked > 0.0:
            worst = min(worst, served / asked)
    return worst


def _group_yields(row: Sequence[Tally], span: int) -> list[float]:
    """The yields of groups of `span` blocks; an unfinished last group is left out."""
    groups = [_total(row[at : at + span]) for at in range(0, len(row) - span + 1, span)]
    return [total.served / total.asked for total in groups if total.asked]


def _total(row: Sequence[Tally]) -> Tally:
    total = Tally()
    for tally in row:
        total.add(tally)
    return total
