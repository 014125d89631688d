"""Which forwarders get a share of a server's warm-up ramp, and how much.

An attempt cannot be divided: at most as many forwarders get a share as attempts may be sent at once. Pure
functions. Source: weighted rendezvous hashing (Schindelhauer and Schomaker 2005).
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from heapq import nsmallest

from sandhatch.runtime.address import server_label

MIN_SIMILAR_RATIO = 0.75  # changes of a share that are attributed to chance
MAX_SIMILAR_RATIO = 1.33


def assign_ramp(demands: Mapping[str, float], label: int, max_holders: int) -> dict[str, float]:
    """Divide a ramp by demand among at most `max_holders` forwarders.

    With the demand as the weight of the hash, a forwarder that joins or leaves changes only its own shares,
    and each server has other holders.

    Args:
        demands: Positive demand of each forwarder.
        label: Number of the server.
        max_holders: Maximum number of forwarders with a share.

    Returns:
        The share of each chosen forwarder; they sum to 1.
    """
    chosen = list(demands)
    if len(chosen) > max_holders:
        chosen = nsmallest(max_holders, chosen, key=lambda name: _score(name, label, demands[name]))
    total = sum(demands[name] for name in chosen)
    return {name: demands[name] / total for name in chosen}


def is_similar(before: Mapping[str, float], shares: Mapping[str, float]) -> bool:
    """Whether shares differ from earlier ones only by chance variations of the demand.

    Each change of a share wastes some of the ramp: what one forwarder may still hold cannot be granted to
    another yet.
    """
    return before.keys() == shares.keys() and all(
        MIN_SIMILAR_RATIO * before[name] <= share <= MAX_SIMILAR_RATIO * before[name]
        for name, share in shares.items()
    )


def _score(name: str, label: int, weight: float) -> float:
    """Weighted rendezvous hash of a forwarder and a server; the lowest scores are chosen."""
    uniform = (server_label(f"{name} {label}") + 0.5) / 2.0**32
    return -math.log(uniform) / weight
