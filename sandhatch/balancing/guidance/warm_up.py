"""How the capacity of a server that has just started grows while it is warming up.

It never counts requests: the capacity follows from the server's start time and the settings alone.
"""

from __future__ import annotations

from typing import Protocol

from sandhatch.balancing.events import ServerState
from sandhatch.balancing.settings import Settings


class Listed(Protocol):
    """A server on the balancer's endpoint list, as far as guidance looks at it.

    Attributes:
        id: The number by which events and actions name the server.
        label: A number that is the same for this server in all instances.
        started_ms: When its process started; 0 if long ago.
        state: What discovery says of it.
    """

    id: int
    label: int
    started_ms: float
    state: ServerState


class WarmUp:
    """The linear growth of a started server from its initial capacity share to its full capacity."""

    def __init__(self, settings: Settings) -> None:
        """Take the initial share and the length of the warm-up from the settings."""
        self._initial_share = settings.initial_capacity_share
        self._ms = settings.warm_up_ms

    def is_warming_up(self, server: Listed, now_ms: float) -> bool:
        """Whether the server is still warming up."""
        return server.started_ms > 0.0 and now_ms - server.started_ms < self._ms

    def share(self, server: Listed, now_ms: float) -> float:
        """The server's present capacity, as a share of its capacity once it is warm."""
        age_ms = max(0.0, now_ms - server.started_ms)
        if not self._ms:
            return 1.0
        return self._initial_share + (1.0 - self._initial_share) * min(1.0, age_ms / self._ms)
