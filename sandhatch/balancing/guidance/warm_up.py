"""The capacity of a recently started server while it is warming up.

The capacity depends on the server's start time and the settings alone, not on the requests that it served.
"""

from __future__ import annotations

from typing import Protocol

from sandhatch.balancing.events import ServerState
from sandhatch.balancing.settings import Settings


class ListedServer(Protocol):
    """The attributes of a server on the balancer's endpoint list that guidance depends on.

    Attributes:
        id: Number that identifies the server in events and actions.
        label: Number that is the same for this server in all instances.
        started_ms: Start time of the server's process; 0 if long ago.
        state: State of the server according to discovery.
    """

    id: int
    label: int
    started_ms: float
    state: ServerState


class WarmUp:
    """The linear growth of a server's capacity from its initial share to full capacity after a start."""

    def __init__(self, settings: Settings) -> None:
        """Read the initial share and the warm-up duration from the settings."""
        self._initial_share = settings.initial_capacity_share
        self._warm_up_ms = settings.warm_up_ms

    def is_warming_up(self, server: ListedServer, now_ms: float) -> bool:
        """Return whether the server is warming up."""
        return server.started_ms > 0.0 and now_ms - server.started_ms < self._warm_up_ms

    def capacity_share(self, server: ListedServer, now_ms: float) -> float:
        """Return the server's present capacity as a share of its capacity once warm, from 0 to 1."""
        age_ms = max(0.0, now_ms - server.started_ms)
        if not self._warm_up_ms:
            return 1.0
        return self._initial_share + (1.0 - self._initial_share) * min(1.0, age_ms / self._warm_up_ms)
