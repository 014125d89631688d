"""Which instances of a pool have leased their own ramp shares to this planner, and until when.

Each instance owns a share of each warm-up ramp that needs no communication to determine
(`default_allocation` of `sandhatch.balancing.guidance`); this module sums the shares of those that
leased theirs. No I/O, no clock. Source: leases (Gray and Cheriton 1989).
"""

from __future__ import annotations

from typing import NamedTuple

from sandhatch.balancing.guidance.ramp_allocation import default_allocation

CLOCK_DRIFT = 0.01  # fraction of a lease by which two machines' clocks may differ in rate


class RampAmount(NamedTuple):
    """A share in a warm-up ramp: a fraction of its rate, and attempts that may be sent at once.

    A named tuple, since each advice creates several for every server that is warming up.
    """

    rate: float
    burst: float


NOTHING = RampAmount(0.0, 0.0)


class Lessors:
    """The instances of a pool that leased their own shares.

    Attributes:
        instances: Number of instances of the pool.
        burst: Burst of a ramp, in attempts of all instances together.
    """

    def __init__(self, instances: int, burst: float) -> None:
        """Start without any lessor."""
        self.instances = instances
        self.burst = burst
        self._until_ms: dict[int, float] = {}  # by instance index
        # Prefix counts of lessors by instance index, cached for any time from `_counted_for_ms` to
        # `_earliest_end_ms`: between these the same leases are valid.
        self._counts: list[int] = []
        self._counted_for_ms = 0.0
        self._earliest_end_ms = 0.0

    def agree_on(self, instances: int, burst: float) -> bool:
        """Whether these are the number of instances and the burst that the lessors have reported."""
        return self.instances == instances and self.burst == burst

    def lease(self, instance_index: int, until_ms: float) -> None:
        """Record an instance's lease; an earlier, longer one stays."""
        if instance_index not in self._until_ms:
            self._counts = []
        self._until_ms[instance_index] = max(until_ms, self._until_ms.get(instance_index, 0.0))

    def end(self, instance_index: int) -> None:
        """End an instance's lease. Grants made from it stay valid: they end within the lease."""
        if self._until_ms.pop(instance_index, None) is not None:
            self._counts = []

    def __contains__(self, instance_index: int) -> bool:
        """Whether the instance has leased its shares."""
        return instance_index in self._until_ms

    def count(self, until_ms: float) -> int:
        """Number of instances whose lease lasts at least until then."""
        return self._prefix_counts(until_ms)[self.instances]

    def leased(self, label: int, until_ms: float) -> RampAmount:
        """Sum of the shares, in the ramp of the server with this label, that are leased until then."""
        counts = self._prefix_counts(until_ms)
        holders = min(self.instances, int(self.burst))
        if holders == 0:
            return NOTHING
        # The instances with a share are those from index -label on, modulo the number of instances.
        first = -label % self.instances
        last = first + holders
        wrapped = counts[max(0, last - self.instances)]
        lessors = counts[min(last, self.instances)] - counts[first] + wrapped
        own = default_allocation(self.instances, first, self.burst, label)
        return RampAmount(lessors * own.rate, lessors * own.burst)

    def _prefix_counts(self, until_ms: float) -> list[int]:
        """For each index, how many lower indices are leased at least until then."""
        if self._counts and until_ms <= self._earliest_end_ms and until_ms >= self._counted_for_ms:
            return self._counts
        ends = {index: end_ms for index, end_ms in self._until_ms.items() if end_ms >= until_ms}
        counts = [0] * (self.instances + 1)
        for index in range(self.instances):
            counts[index + 1] = counts[index] + (index in ends)
        self._counts = counts
        self._counted_for_ms = until_ms
        self._earliest_end_ms = min(ends.values(), default=until_ms)
        return counts
