"""The settings and limits with which one pool runs.

Plain data, created from the configuration by the programs in `sandhatch.platform` and `sandhatch.service`.
"""

from __future__ import annotations

from dataclasses import dataclass

from sandhatch.balancing.settings import Settings


@dataclass(slots=True, frozen=True)
class PoolPlan:
    """The settings and limits of one pool.

    Attributes:
        settings: Settings of the balancer.
        seed: Seed of the balancer's random number generator.
        max_connections: Maximum number of connections to the pool's servers.
        drain_grace_ms: Time after the notice that a server is draining during which requests may still be
            sent to it.
        report_names: Names of the values that the balancer uses from load reports, in the balancer's order.
    """

    settings: Settings
    seed: int
    max_connections: int
    drain_grace_ms: float
    report_names: tuple[str, ...] = ()
