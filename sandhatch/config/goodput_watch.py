"""Detection of a goodput drop after a configuration change. No I/O and no clock.

Goodput is the priority weight of the requests served in time over the priority weight of all requests
received. Time is divided into blocks. A request counts in the block of its arrival; it is served in time if
a response with status 200 is sent within the latency objective of its class, and rejected if its status is
429 or 503.

Blocks before the change are compared with blocks after it by a one-sided rank test (`rank_statistics`). The
test makes no assumption about how failures cluster: blocks, not requests, are the samples, since one burst
fails many requests at once. All classes together, each class and each pool are tested separately (after a
change of pools alone, only these pools), and the test is repeated as blocks end. The configured significance
is divided by the number of these tests (Bonferroni), so that it bounds the probability of a false alarm over
the whole watch.

Bursts last longer than a block. Consecutive blocks are therefore combined into groups, which are as long as
the goodput before the change was correlated, and at least four blocks. The groups are ranked, and the goodput
since the change must also be lower, by the minimum drop, than in any equally long window before. A collapse,
to under a quarter of the goodput of the worst such window, does not wait for the rank test if it lasts at
least twice as long as the goodput was correlated.

A significant drop must also be large, and must not be explained by more load alone: if a higher weight is
received than before and no less weight is served in time, the pools are full, but the change is not at fault.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from sandhatch.config.rank_statistics import correlation_length, rank_test

ALL_CLASSES = "all classes"

MIN_BLOCKS_AFTER = 3  # number of blocks after the change before a drop is reported
MIN_BLOCKS_BEFORE = 10  # number of blocks before the change; with fewer, no drop is reported
MIN_REQUESTS_AFTER = 20  # requests after the change; a class or pool with fewer is not tested
MIN_BLOCKS_PER_GROUP = 4  # lower bound, as a few bursts before the change do not show how long bursts last
MIN_LOAD_RATIO = 1.1  # received weight after the change to before; above it, full pools may explain a drop
MIN_SERVED_RATIO = 0.9  # served weight after the change to before; below it, full pools explain no drop
COLLAPSE_RATIO = 0.25  # goodput after the change to the worst window before; below it, no rank test is needed


@dataclass(slots=True)
class Tally:
    """Counts of the requests of one class or one pool in one block.

    Attributes:
        received: Priority weight of all requests.
        served: Priority weight of the requests served in time.
        requests: Number of requests.
        rejected: Number of rejected requests.
    """

    received: float = 0.0
    served: float = 0.0
    requests: int = 0
    rejected: int = 0

    @property
    def goodput(self) -> float:
        """Served weight as a fraction of the received weight, which must not be 0."""
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
        number: Start time of the block divided by the length of a block.
        tallies: Counts by class, by `pool NAME`, and for all classes together by ALL_CLASSES.
        unfinished: Number of requests that have not ended.
    """

    number: int
    tallies: dict[str, Tally] = field(default_factory=dict)
    unfinished: int = 0

    def tally(self, name: str) -> Tally:
        """Return the tally of a class or pool in this block; create the tally if it does not exist."""
        tally = self.tallies.get(name)
        if tally is None:
            tally = self.tallies[name] = Tally()
        return tally


@dataclass(slots=True, frozen=True)
class GoodputDrop:
    """A drop of the goodput.

    Attributes:
        name: Class in which the drop was detected, or `pool NAME`, or ALL_CLASSES.
        before: Goodput before the change.
        after: Goodput since the change.
        rejected_before: Fraction of the requests rejected before the change.
        rejected_after: Fraction of the requests rejected since the change.
        p_value: Probability of such a drop by chance, by the rank test.
        blocks: Number of blocks since the change.
        collapsed: Whether the drop is so large that it did not wait for the rank test.
    """

    name: str
    before: float
    after: float
    rejected_before: float
    rejected_after: float
    p_value: float
    blocks: int
    collapsed: bool = False

    def __str__(self) -> str:
        """Format the drop as the reason for a rollback."""
        evidence = "a collapse" if self.collapsed else f"p {self.p_value:.1e}"
        return (
            f"the goodput of {self.name} fell from {self.before:.3f} to {self.after:.3f} "
            f"(rejected {self.rejected_before:.3f} -> {self.rejected_after:.3f}; "
            f"{evidence} over {self.blocks} blocks)"
        )


class GoodputWatch:
    """Counts received and served requests per block and compares blocks before and after a change."""

    def __init__(self, block_ms: float, before_ms: float) -> None:
        """Start without any block.

        Args:
            block_ms: Length of a block.
            before_ms: Time before a change whose blocks are compared.
        """
        self._block_ms = block_ms
        max_blocks_before = max(MIN_BLOCKS_BEFORE, math.ceil(before_ms / block_ms))
        self.blocks_before: deque[Block] = deque(maxlen=max_blocks_before)
        self._open_blocks: dict[int, Block] = {}
        self._blocks_after: list[Block] | None = None  # None unless a change is being watched
        self._first_block_after = 0  # number of the first complete block after the change
        self._max_evaluations = 1
        self._significance = 0.0
        self._min_drop = 1.0
        self._only_names: set[str] | None = None

    def _block_number(self, time_ms: float) -> int:
        return int(time_ms // self._block_ms)

    def request_arrived(self, arrived_ms: float, class_name: str, pool: str, priority_weight: float) -> None:
        """Count a request that has arrived.

        Args:
            arrived_ms: Time of arrival.
            class_name: Class of the request.
            pool: Pool that the request goes to.
            priority_weight: Priority weight of the class.
        """
        number = self._block_number(arrived_ms)
        block = self._open_blocks.get(number)
        if block is None:
            block = self._open_blocks[number] = Block(number)
        block.unfinished += 1
        for tally_name in (ALL_CLASSES, class_name, f"pool {pool}"):
            tally = block.tally(tally_name)
            tally.received += priority_weight
            tally.requests += 1

    def request_ended(
        self,
        arrived_ms: float,
        class_name: str,
        pool: str,
        priority_weight: float,
        in_time: bool,
        rejected: bool,
    ) -> None:
        """Count the end of a request, by its response or by the disconnection of its client.

        A request whose block has been closed already ended too late to count.

        Args:
            arrived_ms: Time of arrival.
            class_name: Class of the request.
            pool: Pool that the request goes to.
            priority_weight: Priority weight of the class.
            in_time: Whether the request was served within its latency objective.
            rejected: Whether the request was rejected.
        """
        block = self._open_blocks.get(self._block_number(arrived_ms))
        if block is None:
            return
        block.unfinished -= 1
        for tally_name in (ALL_CLASSES, class_name, f"pool {pool}"):
            tally = block.tally(tally_name)
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
        """Start watching a change that is active from now on; the block of `now_ms` counts on neither side.

        Args:
            now_ms: Current time.
            window_ms: Time for which the change is watched.
            significance: Probability of a false alarm over the whole watch.
            min_drop: Smallest drop of the goodput that is reported.
            only_pools: Pools that the change affects, if it affects nothing else; None otherwise.
        """
        self._only_names = None if only_pools is None else {f"pool {name}" for name in only_pools}
        self._blocks_after = []
        self._first_block_after = self._block_number(now_ms) + 1
        self._max_evaluations = max(1, math.ceil(window_ms / self._block_ms))
        self._significance = significance
        self._min_drop = min_drop

    def end(self) -> None:
        """End the watch of a confirmed change; its blocks are compared with those of the next change."""
        after = self._blocks_after or ()
        self._blocks_after = None
        self.blocks_before.extend(after)

    def discard(self) -> None:
        """End the watch of a change that is rolled back, and discard its blocks.

        They carry no information about the version that is active again.
        """
        self._blocks_after = None
        self._open_blocks.clear()

    def close(self, now_ms: float, max_objective_ms: float) -> GoodputDrop | None:
        """Close the blocks that are complete; return a drop of the goodput if one is detected.

        A block is complete when its time is over and all its requests have ended, or `max_objective_ms`, the
        longest latency objective, after its time is over. Blocks are closed in order, so that a block whose
        requests end quickly is not evaluated before one whose requests end slowly.
        """
        closed_after = False
        for number in sorted(self._open_blocks):
            block = self._open_blocks[number]
            end_ms = (number + 1) * self._block_ms
            if now_ms < end_ms or (block.unfinished and now_ms < end_ms + max_objective_ms):
                break
            del self._open_blocks[number]
            if self._blocks_after is None or number < self._first_block_after - 1:
                self.blocks_before.append(block)
            elif number >= self._first_block_after:
                self._blocks_after.append(block)
                closed_after = True
        return self._evaluate() if closed_after else None

    def _evaluate(self) -> GoodputDrop | None:
        after = self._blocks_after or []
        if len(after) < MIN_BLOCKS_AFTER or len(self.blocks_before) < MIN_BLOCKS_BEFORE:
            return None
        names = sorted({name for block in after for name in block.tallies})
        if self._only_names is not None:
            names = [name for name in names if name in self._only_names]
        significance = self._significance / (self._max_evaluations * max(1, len(names)))
        drops = (self._test(name, after, significance) for name in names)
        return next((drop for drop in drops if drop is not None), None)

    def _test(self, name: str, after: list[Block], significance: float) -> GoodputDrop | None:
        """Return the goodput drop of one class, one pool or all classes; None if there is no drop."""
        empty = Tally()
        tallies_before = [block.tallies.get(name, empty) for block in self.blocks_before]
        tallies_after = [block.tallies.get(name, empty) for block in after]
        total_before = _total(tallies_before)
        total_after = _total(tallies_after)
        if total_after.requests < MIN_REQUESTS_AFTER or not total_before.received or not total_after.received:
            return None
        goodput_before = total_before.goodput
        goodput_after = total_after.goodput
        if goodput_before - goodput_after < self._min_drop:
            return None
        if _explained_by_load(total_before, total_after, len(tallies_before), len(tallies_after)):
            return None
        correlated_blocks = correlation_length([tally.goodput for tally in tallies_before if tally.received])
        group_blocks = max(MIN_BLOCKS_PER_GROUP, correlated_blocks)
        worst = worst_window(tallies_before, len(tallies_after))
        p_value = rank_test(
            _group_goodputs(tallies_before, group_blocks), _group_goodputs(tallies_after, group_blocks)
        )
        # The goodput must be lower than in any window before: blocks of one long burst are a single sample.
        significant = p_value <= significance and goodput_after < worst - self._min_drop
        collapsed = goodput_after < COLLAPSE_RATIO * worst and len(tallies_after) >= 2 * correlated_blocks
        if not significant and not collapsed:
            return None
        return GoodputDrop(
            name=name,
            before=goodput_before,
            after=goodput_after,
            rejected_before=total_before.rejected / total_before.requests,
            rejected_after=total_after.rejected / total_after.requests,
            p_value=p_value,
            blocks=len(tallies_after),
            collapsed=collapsed and not significant,
        )


def _explained_by_load(before: Tally, after: Tally, blocks_before: int, blocks_after: int) -> bool:
    """Whether more priority weight is received per block than before the change, and no less is served."""
    received = (after.received / blocks_after) / (before.received / blocks_before)
    served = (after.served / blocks_after) / (before.served / blocks_before) if before.served else 1.0
    return received > MIN_LOAD_RATIO and served > MIN_SERVED_RATIO


def worst_window(tallies: Sequence[Tally], length: int) -> float:
    """Return the lowest goodput of any `length` consecutive blocks, or of all blocks if there are fewer."""
    length = min(length, len(tallies))
    received = 0.0
    served = 0.0
    worst = math.inf
    for index, tally in enumerate(tallies):
        received += tally.received
        served += tally.served
        if index >= length:
            oldest = tallies[index - length]
            received -= oldest.received
            served -= oldest.served
        if index >= length - 1 and received > 0.0:
            worst = min(worst, served / received)
    return worst


def _group_goodputs(tallies: Sequence[Tally], group_blocks: int) -> list[float]:
    """Return the goodput of each group of `group_blocks` blocks; an incomplete last group is left out."""
    starts = range(0, len(tallies) - group_blocks + 1, group_blocks)
    totals = [_total(tallies[start : start + group_blocks]) for start in starts]
    return [total.goodput for total in totals if total.received]


def _total(tallies: Sequence[Tally]) -> Tally:
    total = Tally()
    for tally in tallies:
        total.add(tally)
    return total
