"""The division of a warming server's ramp among the instances of a tier, without communication.

The shares of all instances sum to one for each server. They are constant over time: a share depends on the
settings and the server's label alone. `shared_ramp` handles the leases of these shares.
"""

from __future__ import annotations

from dataclasses import dataclass

from sandhatch.balancing.settings import Settings


@dataclass(slots=True, frozen=True)
class RampAllocation:
    """The rate and burst at which one instance may send to one warming server.

    Attributes:
        rate: Share of the ramp's rate, from 0 to 1.
        burst: Number of requests that may be sent at once beyond that rate.
    """

    rate: float
    burst: float


NO_ALLOCATION = RampAllocation(0.0, 0.0)


def ramp_burst(settings: Settings) -> float:
    """Return how many requests all instances may together send a warming server at once beyond the ramp."""
    return settings.ramp_burst or float(settings.instances)


def default_allocation(instances: int, instance_index: int, burst: float, label: int) -> RampAllocation:
    """Return the allocation that an instance owns without any guidance.

    A request can't be divided: if `burst` is less than the number of instances, only that many instances own
    a share of the ramp. The server's label determines which ones.

    Args:
        instances: Number of instances in the tier.
        instance_index: Index of this instance, from 0.
        burst: Number of requests that all instances together may send at once.
        label: The server's label, the same in all instances.
    """
    owners = min(instances, int(burst))
    if not owns_share(instances, instance_index, owners, label):
        return NO_ALLOCATION
    return RampAllocation(1.0 / owners, burst / owners)


def owns_share(instances: int, instance_index: int, owners: int, label: int) -> bool:
    """Return whether an instance is among the `owners` instances that own the ramp of a server."""
    return (instance_index + label) % instances < owners
