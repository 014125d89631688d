"""Which planner a forwarder leases its own shares to.

One planner at a time: the first, in the configured order, whose advice is valid. Before the lease moves to
another planner, it must have ended at the one before. No I/O, no clock. Source: docs/design/planning.md.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from sandhatch.planning.planner_peer import PlannerPeer


class PlannerSelection:
    """The lease of a forwarder's own shares.

    Attributes:
        lessee: The planner that they are leased to now; None for none.
        last_lessee: The planner that they were leased to last, which may still grant out of them.
        leased_until_ms: Until then other forwarders may use them.
    """

    def __init__(self, peers: Mapping[str, PlannerPeer], hold_ms: float, leased_until_ms: float) -> None:
        """Start without a lease.

        Args:
            peers: All planners, in the order in which they are preferred.
            hold_ms: How long a preferred planner must be healthy before the lease goes back to it.
            leased_until_ms: Until when a lease of an earlier process may be valid.
        """
        self._peers = peers
        self._hold_ms = hold_ms
        self.lessee: str | None = None
        self.last_lessee: str | None = None
        self.leased_until_ms = leased_until_ms

    def extend(self, until_ms: float) -> bool:
        """Extend the lease; whether it now lasts longer."""
        if until_ms > self.leased_until_ms:
            self.leased_until_ms = until_ms
            return True
        return False

    def update(self, now_ms: float) -> str | None:
        """Select a planner again; returns a line for the log if the selection changed."""
        current = self._peers[self.lessee] if self.lessee is not None else None
        if current is not None and now_ms >= current.valid_until_ms:
            self.lessee = None
            current = None
        if current is not None:
            return self._return_to_preferred(current, now_ms)
        selected = self._select(self._peers.values(), now_ms)
        if selected is None:
            return None
        self.lessee = selected.name
        self.last_lessee = selected.name
        selected.report_now = True
        return f"leases its own shares to planner {selected.name}"

    def _return_to_preferred(self, current: PlannerPeer, now_ms: float) -> str | None:
        """End the lease if a preferred planner has recovered."""
        for peer in self._peers.values():
            is_preferred = peer.rank < current.rank and not peer.learning
            if is_preferred and peer.has_recovered(now_ms, self._hold_ms):
                self.lessee = None
                return f"returns its lease from planner {current.name} to {peer.name}"
        return None

    def _select(self, ranked: Iterable[PlannerPeer], now_ms: float) -> PlannerPeer | None:
        """The first planner that may get the lease now."""
        for peer in ranked:
            if not peer.is_healthy(now_ms) or peer.applied.epoch != peer.epoch:
                continue
            # A new incarnation of the last lessee continues where the old one ended; another planner must
            # wait until the last lease has ended.
            if peer.name == self.last_lessee:
                return peer
            if peer.learning:
                continue
            if now_ms >= self.leased_until_ms:
                return peer
            if peer.has_recovered(now_ms, self._hold_ms):
                return None  # it is preferred and about to get the lease: no later one may
        return None
