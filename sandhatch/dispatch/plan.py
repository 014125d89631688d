"""What one pool is run by.

Plain data, made by the programs from their configuration: `sandhatch.platform` and `sandhatch.service`.
"""

from __future__ import annotations

from dataclasses import dataclass

from sandhatch.balancing.settings import Settings


@dataclass(slots=True, frozen=True)
class PoolPlan:
    """The settings and limits of one pool.

    Attributes:
        settings: the balancer's settings.
        seed: the seed of the balancer's random draws.
        sockets: the most connections to the pool's servers.
        drain_grace_ms: from the notice that a server drains to the last request that may still go there.
        report_names: the values wanted of load reports, in the balancer's order.
    """

    settings: Settings
    seed: int
    sockets: int
    drain_grace_ms: float
    report_names: tuple[str, ...] = ()
