"""Assignment of a server's warm-up ramp to forwarders.

An attempt cannot be divided, so the number of forwarders with a share is limited to the ramp's burst in
attempts. Pure functions. Source: weighted rendezvous hashing (Schindelhauer and Schomaker 2005).
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from heapq import nsmallest

from sandhatch.runtime.address import server_label

# Range of the ratio of a share to its earlier value that counts as random variation.
MIN_SIMILAR_RATIO = 0.75
MAX_SIMILAR_RATIO = 1.33


def assign_ramp(demands: Mapping[str, float], label: int, max_holders: int) -> dict[str, float]:
    """Divide a ramp in proportion to demand among at most `max_holders` forwarders.

    Demand is the weight of the rendezvous hash: a forwarder that joins or leaves changes only its own
    shares, and the forwarders with a share differ between servers.

    Args:
        demands: Demand of each forwarder, greater than zero.
        label: Number of the server.
        max_holders: Maximum number of forwarders with a share.

    Returns:
        Share of each selected forwarder; the shares sum to 1.
    """
    holders = list(demands)
    if len(holders) > max_holders:
        holders = nsmallest(
            max_holders, holders, key=lambda name: _rendezvous_score(name, label, demands[name])
        )
    total = sum(demands[name] for name in holders)
    return {name: demands[name] / total for name in holders}


def is_similar(earlier: Mapping[str, float], shares: Mapping[str, float]) -> bool:
    """Whether shares differ from earlier ones only by random variation of the demand.

    Each change of a share wastes part of the ramp: an amount that one forwarder may still hold cannot yet be
    granted to another.
    """
    return earlier.keys() == shares.keys() and all(
        MIN_SIMILAR_RATIO * earlier[name] <= share <= MAX_SIMILAR_RATIO * earlier[name]
        for name, share in shares.items()
    )


def _rendezvous_score(name: str, label: int, weight: float) -> float:
    """Weighted rendezvous hash of a forwarder and a server; the lowest scores are selected."""
    uniform = (server_label(f"{name} {label}") + 0.5) / 2.0**32
    return -math.log(uniform) / weight
