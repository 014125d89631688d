"""Selection of the planner to which a forwarder leases its own shares.

Only one planner holds the lease at a time: the first in the configured order whose advice is valid. Before
the lease moves to another planner, the previous planner's lease must have expired. No I/O, no clock. Source:
docs/design/planning.md.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from sandhatch.planning.planner_peer import PlannerPeer


class PlannerSelection:
    """Lease of a forwarder's own shares.

    Attributes:
        lease_holder: Name of the current lease holder; None if no planner holds the lease.
        last_lease_holder: Name of the most recent lease holder, which may still grant from the shares.
        leased_until_ms: Time until which other forwarders may use the shares.
    """

    def __init__(self, peers: Mapping[str, PlannerPeer], hold_ms: float, leased_until_ms: float) -> None:
        """Start without a lease.

        Args:
            peers: All planners, in order of preference.
            hold_ms: Time for which a preferred planner must be healthy before the lease returns to it.
            leased_until_ms: Latest time at which a lease of an earlier process may be valid.
        """
        self._peers = peers
        self._hold_ms = hold_ms
        self.lease_holder: str | None = None
        self.last_lease_holder: str | None = None
        self.leased_until_ms = leased_until_ms

    def extend(self, until_ms: float) -> bool:
        """Extend the lease to a later end; returns whether the end changed."""
        if until_ms > self.leased_until_ms:
            self.leased_until_ms = until_ms
            return True
        return False

    def update(self, now_ms: float) -> str | None:
        """Update the selection of the lease holder; returns a log line if the selection changed."""
        current = self._peers[self.lease_holder] if self.lease_holder is not None else None
        if current is not None and now_ms >= current.valid_until_ms:
            self.lease_holder = None
            current = None
        if current is not None:
            return self._return_to_preferred(current, now_ms)
        selected = self._select(self._peers.values(), now_ms)
        if selected is None:
            return None
        self.lease_holder = selected.name
        self.last_lease_holder = selected.name
        selected.report_now = True
        return f"leases its own shares to planner {selected.name}"

    def _return_to_preferred(self, current: PlannerPeer, now_ms: float) -> str | None:
        """End the lease if a planner of higher preference has recovered."""
        for peer in self._peers.values():
            is_preferred = peer.rank < current.rank and not peer.learning
            if is_preferred and peer.has_recovered(now_ms, self._hold_ms):
                self.lease_holder = None
                return f"returns its lease from planner {current.name} to {peer.name}"
        return None

    def _select(self, peers_by_rank: Iterable[PlannerPeer], now_ms: float) -> PlannerPeer | None:
        """First planner that may get the lease now; None if no planner may."""
        for peer in peers_by_rank:
            if not peer.is_healthy(now_ms) or peer.applied.epoch != peer.epoch:
                continue
            # A new incarnation of the last lease holder continues its predecessor's lease; any other planner
            # must wait until that lease has expired.
            if peer.name == self.last_lease_holder:
                return peer
            if peer.learning:
                continue
            if now_ms >= self.leased_until_ms:
                return peer
            if peer.has_recovered(now_ms, self._hold_ms):
                return None  # the lease is reserved for this recovered planner, ahead of later planners
        return None
