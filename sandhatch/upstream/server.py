"""A server of a pool, as the endpoint list last described it.

Plain data: it opens no connection and reads no clock. Source: PROTOCOL-sandhatch.md, "Discovery".
"""

from __future__ import annotations

from dataclasses import dataclass

from sandhatch.balancing.events import ServerState
from sandhatch.runtime.address import Address


@dataclass(slots=True)
class UpstreamServer:
    """One server of the endpoint list.

    Attributes:
        number: the server's number, the same for as long as the process runs.
        address: where it listens.
        state: its state in the endpoint list.
        started_ms: when its process started, in Unix milliseconds; 0 means long ago.
        notified_ms: when notice of its draining or removal counted as received, 0 while it is ready.
    """

    number: int
    address: Address
    state: ServerState
    started_ms: float
    notified_ms: float = 0.0

    def update(self, address: Address, state: ServerState, started_ms: float, notified_ms: float) -> bool:
        """Apply a row of the endpoint list.

        Args:
            address: where the server listens now.
            state: its state now.
            started_ms: when its process started, in Unix milliseconds.
            notified_ms: when the row counted as received, in Unix milliseconds.

        Returns:
            Whether connections opened earlier lead to the same process.
        """
        same_process = self.address == address and (
            self.started_ms == started_ms or state is not ServerState.READY
        )
        if state is ServerState.READY:
            self.notified_ms = 0.0
        elif self.state is ServerState.READY or not self.notified_ms:
            self.notified_ms = notified_ms  # the grace period runs from the first notice
        self.address = address
        self.state = state
        self.started_ms = started_ms
        return same_process
