"""A server of a pool, as last described by the endpoint list.

Plain data, without connections or clock. Source: PROTOCOL-sandhatch.md, "Discovery".
"""

from __future__ import annotations

from dataclasses import dataclass

from sandhatch.balancing.events import ServerState
from sandhatch.runtime.address import Address


@dataclass(slots=True)
class UpstreamServer:
    """One server of the endpoint list.

    Attributes:
        number: Number of the server, unchanged for the lifetime of the balancer process.
        address: Address on which the server listens.
        state: State of the server in the endpoint list.
        started_ms: Start time of the server process in Unix milliseconds; 0 means long ago.
        notified_ms: Time in Unix milliseconds at which notice of draining or removal counted as received, 0
            while the server is ready.
    """

    number: int
    address: Address
    state: ServerState
    started_ms: float
    notified_ms: float = 0.0

    def update(self, address: Address, state: ServerState, started_ms: float, notified_ms: float) -> bool:
        """Apply an entry of the endpoint list.

        Args:
            address: New address of the server.
            state: New state of the server.
            started_ms: Start time of the server process in Unix milliseconds.
            notified_ms: Time in Unix milliseconds at which the entry counted as received.

        Returns:
            Whether connections opened earlier lead to the same server process.
        """
        same_process = self.address == address and (
            self.started_ms == started_ms or state is not ServerState.READY
        )
        if state is ServerState.READY:
            self.notified_ms = 0.0
        elif self.state is ServerState.READY or not self.notified_ms:
            self.notified_ms = notified_ms  # the grace period starts at the first notice
        self.address = address
        self.state = state
        self.started_ms = started_ms
        return same_process
