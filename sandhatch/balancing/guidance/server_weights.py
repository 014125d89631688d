"""Weights of servers, as planners advise them: the fraction of its draws that a server receives.

A weight is the median over the planners whose weights have not expired, which guards against one faulty
planner. It moves gradually to a newly advised weight, and back to 1 once the advised weights have expired.
This module draws no server and reads no clock.
"""

from __future__ import annotations

import math

from sandhatch.balancing.guidance.gradual_value import GradualValue

WEIGHT_CHANGE_MS = 400.0  # duration of a weight's change to a newly advised weight
WEIGHT_RESET_MS = 3_000.0  # duration of a weight's change back to 1 after advised weights expire


class _PlannerLease:
    """The weights that one planner advised last, and their expiry."""

    __slots__ = ("until_ms", "weights")

    def __init__(self, weights: dict[int, float], until_ms: float) -> None:
        self.weights = weights  # keyed by server id; an absent server has the weight 1
        self.until_ms = until_ms


class ServerWeights:
    """The weights of one balancer's servers.

    Attributes:
        by_server: The weights that are not 1 or are changing, keyed by server id. An absent server has the
            weight 1.
    """

    __slots__ = ("_lease_by_planner", "_next_expiry_ms", "by_server")

    def __init__(self) -> None:
        """Start with the weight 1 for all servers."""
        self._lease_by_planner: dict[str, _PlannerLease] = {}  # keyed by planner name
        self._next_expiry_ms = math.inf
        self.by_server: dict[int, GradualValue] = {}

    def set_advised(self, planner: str, weights: dict[int, float], until_ms: float) -> None:
        """Store the weights that a planner advises; they take effect at the next `update_targets`."""
        self._lease_by_planner[planner] = _PlannerLease(weights, until_ms)

    def extend_lease(self, planner: str, until_ms: float) -> None:
        """Change the expiry of the weights that a planner advised before."""
        lease = self._lease_by_planner.get(planner)
        if lease is not None:
            lease.until_ms = until_ms

    def update_targets(self, now_ms: float, duration_ms: float) -> None:
        """Drop expired leases, and start to move each weight to the median of the weights still advised."""
        self._lease_by_planner = {
            planner: lease for planner, lease in self._lease_by_planner.items() if lease.until_ms > now_ms
        }
        advised_weights = [lease.weights for lease in self._lease_by_planner.values()]
        self._next_expiry_ms = min(
            (lease.until_ms for lease in self._lease_by_planner.values()), default=math.inf
        )
        for server in set(self.by_server).union(*advised_weights):
            target = _median([weights.get(server, 1.0) for weights in advised_weights])
            gradual_weight = self.by_server.get(server)
            if gradual_weight is None:
                if target == 1.0:
                    continue
                gradual_weight = self.by_server[server] = GradualValue(1.0)
            gradual_weight.change_to(target, now_ms, duration_ms)
            if target == 1.0 and gradual_weight.value_at(now_ms) == 1.0:
                del self.by_server[server]

    def weight(self, server: int, now_ms: float) -> float:
        """Return the present weight of a server, from 0 to 1."""
        while now_ms >= self._next_expiry_ms:
            self.update_targets(self._next_expiry_ms, WEIGHT_RESET_MS)
        gradual_weight = self.by_server.get(server)
        return 1.0 if gradual_weight is None else gradual_weight.value_at(now_ms)

    def inherit(self, previous: ServerWeights) -> None:
        """Copy the leases of a predecessor, and share its weights from now on."""
        self._lease_by_planner = dict(previous._lease_by_planner)
        self._next_expiry_ms = previous._next_expiry_ms
        self.by_server = previous.by_server


def _median(values: list[float]) -> float:
    """Return the median of the weights that planners advise for one server; 1 if empty. Sorts the list."""
    if not values:
        return 1.0
    values.sort()
    middle = len(values) // 2
    return values[middle] if len(values) % 2 else (values[middle - 1] + values[middle]) / 2.0
