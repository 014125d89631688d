"""How the instances of a tier divide the ramp of a warming server among them without any message.

The shares of all instances sum to one for each server. Nothing here changes over time: a share follows from
the settings and the server's label alone. Leases of these shares are the concern of `shared_ramp`.
"""

from __future__ import annotations

from dataclasses import dataclass

from sandhatch.balancing.settings import Settings


@dataclass(slots=True, frozen=True)
class RampAllocation:
    """What one instance may send to one warming server.

    Attributes:
        rate: Share of the ramp's rate, from 0 to 1.
        burst: Requests that may be sent at once beyond that rate.
    """

    rate: float
    burst: float


NO_ALLOCATION = RampAllocation(0.0, 0.0)


def ramp_burst(settings: Settings) -> float:
    """Requests that all instances together may send a warming server at once, beyond the ramp's rate."""
    return settings.ramp_burst or float(settings.instances)


def default_allocation(instances: int, instance_index: int, burst: float, label: int) -> RampAllocation:
    """The allocation that an instance owns without any guidance.

    A request can't be divided: where `burst` is less than the number of instances, only that many instances
    own a share of the ramp. Which ones these are depends on the server's label.

    Args:
        instances: Number of instances in the tier.
        instance_index: Index of this instance, from 0.
        burst: Requests that all instances together may send at once.
        label: The server's label, the same in all instances.
    """
    owners = min(instances, int(burst))
    if not owns_share(instances, instance_index, owners, label):
        return NO_ALLOCATION
    return RampAllocation(1.0 / owners, burst / owners)


def owns_share(instances: int, instance_index: int, owners: int, label: int) -> bool:
    """Whether an instance is one of the `owners` of the ramp of the server with this label."""
    return (instance_index + label) % instances < owners
