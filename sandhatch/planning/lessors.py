"""Instances of a pool that have leased their own ramp shares to this planner, with the ends of their leases.

Each instance owns a share of each warm-up ramp that is determined without communication
(`default_allocation` of `sandhatch.balancing.guidance`); this module sums the shares of the instances that
have leased their shares. No I/O, no clock. Source: leases (Gray and Cheriton 1989).
"""

from __future__ import annotations

from typing import NamedTuple

from sandhatch.balancing.guidance.ramp_allocation import default_allocation

CLOCK_DRIFT = 0.01  # maximum relative difference between the clock rates of two machines


class RampAmount(NamedTuple):
    """Share of a warm-up ramp.

    This class is a named tuple because each advice creates several for every server that is warming up.

    Attributes:
        rate: Fraction of the ramp's rate.
        burst: Number of attempts that may be sent at once.
    """

    rate: float
    burst: float


ZERO_AMOUNT = RampAmount(0.0, 0.0)


class Lessors:
    """Instances of a pool that have leased their own shares.

    Attributes:
        instances: Number of instances of the pool.
        burst: Burst of a ramp, in attempts over all instances.
    """

    def __init__(self, instances: int, burst: float) -> None:
        """Start without any lessor (instance that has leased its shares)."""
        self.instances = instances
        self.burst = burst
        self._until_ms: dict[int, float] = {}  # end of each lease, by instance index
        # Prefix counts of lessors by instance index, cached for any time from `_counted_for_ms` to
        # `_earliest_end_ms`: the set of valid leases does not change between these times.
        self._counts: list[int] = []
        self._counted_for_ms = 0.0
        self._earliest_end_ms = 0.0

    def matches(self, instances: int, burst: float) -> bool:
        """Whether the lessors have reported this number of instances and this burst."""
        return self.instances == instances and self.burst == burst

    def lease(self, instance_index: int, until_ms: float) -> None:
        """Record an instance's lease; an earlier lease with a later end remains in force."""
        if instance_index not in self._until_ms:
            self._counts = []
        self._until_ms[instance_index] = max(until_ms, self._until_ms.get(instance_index, 0.0))

    def end(self, instance_index: int) -> None:
        """End an instance's lease; grants made from it stay valid, since they expire within the lease."""
        if self._until_ms.pop(instance_index, None) is not None:
            self._counts = []

    def __contains__(self, instance_index: int) -> bool:
        """Whether the instance has leased its shares."""
        return instance_index in self._until_ms

    def count(self, until_ms: float) -> int:
        """Number of instances whose lease lasts at least until `until_ms`."""
        return self._prefix_counts(until_ms)[self.instances]

    def leased(self, label: int, until_ms: float) -> RampAmount:
        """Sum of the shares of the ramp of the server with this label that are leased until `until_ms`."""
        counts = self._prefix_counts(until_ms)
        holders = min(self.instances, int(self.burst))
        if holders == 0:
            return ZERO_AMOUNT
        # The `holders` instances that own a share of this server's ramp have consecutive indices
        # modulo the number of instances; the first index is minus the server's number (`label`).
        first = -label % self.instances
        last = first + holders
        wrapped = counts[max(0, last - self.instances)]
        lessors = counts[min(last, self.instances)] - counts[first] + wrapped
        instance_share = default_allocation(self.instances, first, self.burst, label)
        return RampAmount(lessors * instance_share.rate, lessors * instance_share.burst)

    def _prefix_counts(self, until_ms: float) -> list[int]:
        """Number of lower instance indices with a lease until `until_ms` or later, for each index."""
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
