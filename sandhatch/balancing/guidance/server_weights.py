"""Weights of servers: how many of the draws that a server would have it keeps, as planners advise.

A weight is the median over the planners whose weights have not expired, which guards against one planner that
is wrong. It moves gradually to what is newly advised, and back to 1 once the weights have expired. Nothing
here draws a server or reads a clock.
"""

from __future__ import annotations

import math

from sandhatch.balancing.guidance.gradual_value import GradualValue

FOLLOW_MS = 400.0  # over which a weight moves to what is newly advised
RETURN_MS = 3_000.0  # over which it moves back where weights have expired


class _PlannerLease:
    """The weights that one planner advised last, and when they expire."""

    __slots__ = ("until_ms", "weights")

    def __init__(self, weights: dict[int, float], until_ms: float) -> None:
        self.weights = weights  # by server; a server that is not named has the weight 1
        self.until_ms = until_ms


class ServerWeights:
    """The weights of one balancer's servers.

    Attributes:
        changes: The weights by server. A server that is not in it has the weight 1, and none is changing.
    """

    __slots__ = ("_leases", "_next_expiry_ms", "changes")

    def __init__(self) -> None:
        """Start with the weight 1 for all servers."""
        self._leases: dict[str, _PlannerLease] = {}  # by planner
        self._next_expiry_ms = math.inf
        self.changes: dict[int, GradualValue] = {}

    def advise(self, planner: str, weights: dict[int, float], until_ms: float) -> None:
        """Replace what a planner advises; `combine` makes it count."""
        self._leases[planner] = _PlannerLease(weights, until_ms)

    def extend(self, planner: str, until_ms: float) -> None:
        """Let what a planner advised before expire at another time."""
        lease = self._leases.get(planner)
        if lease is not None:
            lease.until_ms = until_ms

    def combine(self, now_ms: float, duration_ms: float) -> None:
        """Drop what has expired, and start to move each weight to the median of what is left."""
        self._leases = {name: lease for name, lease in self._leases.items() if lease.until_ms > now_ms}
        advised = [lease.weights for lease in self._leases.values()]
        self._next_expiry_ms = min((lease.until_ms for lease in self._leases.values()), default=math.inf)
        for server in set(self.changes).union(*advised):
            target = _median([weights.get(server, 1.0) for weights in advised])
            change = self.changes.get(server)
            if change is None:
                if target == 1.0:
                    continue
                change = self.changes[server] = GradualValue(1.0)
            change.change_to(target, now_ms, duration_ms)
            if target == 1.0 and change.value_at(now_ms) == 1.0:
                del self.changes[server]

    def weight(self, server: int, now_ms: float) -> float:
        """The present weight of a server, from 0 to 1."""
        while now_ms >= self._next_expiry_ms:
            self.combine(self._next_expiry_ms, RETURN_MS)
        change = self.changes.get(server)
        return 1.0 if change is None else change.value_at(now_ms)

    def inherit(self, previous: ServerWeights) -> None:
        """Take over another balancer's leases, and share its weights from now on."""
        self._leases = dict(previous._leases)
        self._next_expiry_ms = previous._next_expiry_ms
        self.changes = previous.changes


def _median(values: list[float]) -> float:
    """The median of what planners advise for one server; 1 where there is no planner. Sorts the list."""
    if not values:
        return 1.0
    values.sort()
    middle = len(values) // 2
    return values[middle] if len(values) % 2 else (values[middle - 1] + values[middle]) / 2.0
