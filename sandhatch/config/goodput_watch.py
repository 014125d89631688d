"""Whether the goodput has fallen since a change. No I/O and no clock.

Goodput is the priority weight of the requests answered in time over that of all requests received. Time is
cut into blocks. A request counts in the block of its arrival; it is answered in time within the latency
objective of its class, and rejected if it is answered 429 or 503.

Blocks before the change are compared with blocks after it by a one-sided rank test (`rank_statistics`). It
assumes nothing on how answers cluster: blocks, not requests, are the samples, since one burst fails many
requests at once. All classes together, each class and each pool are tested by themselves, and the test is
repeated as blocks end. The configured significance is divided over all of these tests (Bonferroni), so it
bounds the probability of a false alarm over the whole watch.

Bursts last longer than a block. So consecutive blocks are put together into groups, as long as the goodput
before the change was correlated and of four blocks at least. Groups are what is ranked, and the goodput
since the change must also be lower, by the least fall, than in any equally long stretch before. A collapse,
to under a quarter of the worst such stretch, does not wait for the rank test.

A significant fall must also be a large one, and must not be explained by more load alone: where a higher
weight is received than before and no less of it is answered in time, the pools are full, not worse.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from sandhatch.config.rank_statistics import correlation_length, rank_test

ALL = "all classes"

LEAST_BLOCKS_AFTER = 3  # after the change, before anything is reported
LEAST_BLOCKS_BEFORE = 10  # before the change; with fewer, nothing is reported
LEAST_REQUESTS = 20  # of a class, after the change
LEAST_BLOCKS_PER_GROUP = 4  # a few bursts before a change are too few to tell how long they last
MORE_LOAD = 1.1  # times the weight received before: from there on, full pools may explain a fall
LESS_SERVED = 0.9  # times the weight served before: below that, they do not
COLLAPSE = 0.25  # times the goodput of the worst stretch before: below that, no rank test is needed


@dataclass(slots=True)
class Tally:
    """The requests of one class or one pool in one block.

    Attributes:
        received: Priority weight of all requests.
        served: Priority weight of those answered in time.
        requests: Their number.
        rejected: The number of those rejected.
    """

    received: float = 0.0
    served: float = 0.0
    requests: int = 0
    rejected: int = 0

    @property
    def goodput(self) -> float:
        """The part of the weight that was served; there must be some received."""
        return self.served / self.received

    def add(self, other: Tally) -> None:
        """Add the counts of another tally to this one."""
        self.received += other.received
        self.served += other.served
        self.requests += other.requests
        self.rejected += other.rejected


@dataclass(slots=True)
class Block:
    """The requests that arrived in one block of time.

    Attributes:
        number: The block's start over the length of a block.
        tallies: By class, by `pool NAME`, and all together under ALL.
        open: How many of its requests have not ended.
    """

    number: int
    tallies: dict[str, Tally] = field(default_factory=dict)
    open: int = 0

    def tally(self, name: str) -> Tally:
        """Return the tally of that name; a new one if there is none."""
        tally = self.tallies.get(name)
        if tally is None:
            tally = self.tallies[name] = Tally()
        return tally


@dataclass(slots=True, frozen=True)
class GoodputDrop:
    """A fall of the goodput.

    Attributes:
        name: What it was seen in: a class, `pool NAME`, or ALL.
        before: The goodput before the change.
        after: The goodput since.
        rejected_before: The part of the requests rejected before the change.
        rejected_after: The part of the requests rejected since.
        p: The probability of such a fall without a cause, by the rank test.
        blocks: How many blocks since the change it was seen in.
        collapsed: So large that it did not wait for the rank test.
    """

    name: str
    before: float
    after: float
    rejected_before: float
    rejected_after: float
    p: float
    blocks: int
    collapsed: bool = False

    def __str__(self) -> str:
        """Format it as the reason of a rollback."""
        proof = "a collapse" if self.collapsed else f"p {self.p:.1e}"
        return (
            f"the goodput of {self.name} fell from {self.before:.3f} to {self.after:.3f} "
            f"(rejected {self.rejected_before:.3f} -> {self.rejected_after:.3f}; "
            f"{proof} over {self.blocks} blocks)"
        )


class GoodputWatch:
    """Counts what was received and served, block by block, and compares around a change."""

    def __init__(self, block_ms: float, before_ms: float) -> None:
        """Start without any block.

        Args:
            block_ms: The length of a block.
            before_ms: How long before a change blocks are compared.
        """
        self._block_ms = block_ms
        most_before = max(LEAST_BLOCKS_BEFORE, math.ceil(before_ms / block_ms))
        self._before: deque[Block] = deque(maxlen=most_before)
        self._open: dict[int, Block] = {}
        self._after: list[Block] | None = None  # None while no change is watched
        self._first_after = 0  # the number of the first complete block after the change
        self._most_looks = 1
        self._significance = 0.0
        self._min_drop = 1.0
        self._only: set[str] | None = None

    def _block_number(self, time_ms: float) -> int:
        return int(time_ms // self._block_ms)

    def request_arrived(self, arrived_ms: float, name: str, pool: str, priority_weight: float) -> None:
        """Count a request that has arrived.

        Args:
            arrived_ms: When it arrived.
            name: Its class.
            pool: The pool that it goes to.
            priority_weight: That of its class.
        """
        number = self._block_number(arrived_ms)
        block = self._open.get(number)
        if block is None:
            block = self._open[number] = Block(number)
        block.open += 1
        for title in (ALL, name, f"pool {pool}"):
            tally = block.tally(title)
            tally.received += priority_weight
            tally.requests += 1

    def request_ended(
        self, arrived_ms: float, name: str, pool: str, priority_weight: float, in_time: bool, rejected: bool
    ) -> None:
        """Count the end of a request: it is answered, or its client has disconnected.

        One whose block is closed already ended too late to count. The arguments are those of
        `request_arrived`, and whether it was answered in time, and rejected.
        """
        block = self._open.get(self._block_number(arrived_ms))
        if block is None:
            return
        block.open -= 1
        for title in (ALL, name, f"pool {pool}"):
            tally = block.tally(title)
            tally.served += priority_weight * in_time
            tally.rejected += rejected

    def begin(
        self,
        now_ms: float,
        window_ms: float,
        significance: float,
        min_drop: float,
        only_pools: frozenset[str] | None = None,
    ) -> None:
        """Start to watch a change that is active from now on; the block of `now_ms` counts on neither side.

        Args:
            now_ms: The time.
            window_ms: How long it is watched.
            significance: The probability of a false alarm over the whole watch.
            min_drop: The least fall of goodput that is reported.
            only_pools: The pools that it changes, where it changes nothing else.
        """
        self._only = None if only_pools is None else {f"pool {name}" for name in only_pools}
        self._after = []
        self._first_after = self._block_number(now_ms) + 1
        self._most_looks = max(1, math.ceil(window_ms / self._block_ms))
        self._significance = significance
        self._min_drop = min_drop

    def end(self) -> None:
        """End the watch of a confirmed change: the blocks since are those before the next change."""
        after = self._after or ()
        self._after = None
        self._before.extend(after)

    def forget(self) -> None:
        """End the watch of a change that is rolled back: the blocks since say nothing of what is active."""
        self._after = None
        self._open.clear()

    def close(self, now_ms: float, patience_ms: float) -> GoodputDrop | None:
        """Close the blocks that are over and look for a fall.

        A block is over when its time is and all its requests have ended, or `patience_ms` later: the longest
        latency objective. Blocks are closed in their order, so that one which ends quickly is not judged
        before one that ends slowly.
        """
        closed_after = False
        for number in sorted(self._open):
            block = self._open[number]
            end_ms = (number + 1) * self._block_ms
            if now_ms < end_ms or (block.open and now_ms < end_ms + patience_ms):
                break
            del self._open[number]
            if self._after is None or number < self._first_after - 1:
                self._before.append(block)
            elif number >= self._first_after:
                self._after.append(block)
                closed_after = True
        return self._look() if closed_after else None

    def _look(self) -> GoodputDrop | None:
        after = self._after or []
        if len(after) < LEAST_BLOCKS_AFTER or len(self._before) < LEAST_BLOCKS_BEFORE:
            return None
        names = sorted({name for block in after for name in block.tallies})
        if self._only is not None:
            names = [name for name in names if name in self._only]
        significance = self._significance / (self._most_looks * max(1, len(names)))
        drops = (self._test(name, after, significance) for name in names)
        return next((drop for drop in drops if drop is not None), None)

    def _test(self, name: str, after: list[Block], significance: float) -> GoodputDrop | None:
        """Return the fall of one class or pool, if it has fallen."""
        empty = Tally()
        tallies_before = [block.tallies.get(name, empty) for block in self._before]
        tallies_after = [block.tallies.get(name, empty) for block in after]
        total_before = _total(tallies_before)
        total_after = _total(tallies_after)
        if total_after.requests < LEAST_REQUESTS or not total_before.received or not total_after.received:
            return None
        before = total_before.goodput
        now = total_after.goodput
        if before - now < self._min_drop:
            return None
        if _explained_by_load(total_before, total_after, len(tallies_before), len(tallies_after)):
            return None
        length = correlation_length([tally.goodput for tally in tallies_before if tally.received])
        span = max(LEAST_BLOCKS_PER_GROUP, length)
        worst = worst_window(tallies_before, len(tallies_after))
        p = rank_test(_group_goodputs(tallies_before, span), _group_goodputs(tallies_after, span))
        # Lower than any stretch before: guards against a long burst, of which the blocks are one sample.
        significant = p <= significance and now < worst - self._min_drop
        collapsed = now < COLLAPSE * worst and len(tallies_after) >= 2 * length
        if not significant and not collapsed:
            return None
        return GoodputDrop(
            name=name,
            before=before,
            after=now,
            rejected_before=total_before.rejected / total_before.requests,
            rejected_after=total_after.rejected / total_after.requests,
            p=p,
            blocks=len(tallies_after),
            collapsed=collapsed and not significant,
        )


def _explained_by_load(before: Tally, after: Tally, blocks_before: int, blocks_after: int) -> bool:
    """Whether more weight is received in each block than before, and no less of it served."""
    received = (after.received / blocks_after) / (before.received / blocks_before)
    served = (after.served / blocks_after) / (before.served / blocks_before) if before.served else 1.0
    return received > MORE_LOAD and served > LESS_SERVED


def worst_window(tallies: Sequence[Tally], length: int) -> float:
    """Return the lowest goodput of any `length` consecutive blocks; of all of them, if there are no more."""
    length = min(length, len(tallies))
    received = 0.0
    served = 0.0
    worst = math.inf
    for index, tally in enumerate(tallies):
        received += tally.received
        served += tally.served
        if index >= length:
            first_out = tallies[index - length]
            received -= first_out.received
            served -= first_out.served
        if index >= length - 1 and received > 0.0:
            worst = min(worst, served / received)
    return worst


def _group_goodputs(tallies: Sequence[Tally], span: int) -> list[float]:
    """Return the goodput of each group of `span` blocks; an incomplete last group is left out."""
    starts = range(0, len(tallies) - span + 1, span)
    totals = [_total(tallies[start : start + span]) for start in starts]
    return [total.goodput for total in totals if total.received]


def _total(tallies: Sequence[Tally]) -> Tally:
    total = Tally()
    for tally in tallies:
        total.add(tally)
    return total
