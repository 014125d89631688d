"""Slow start of warming servers with a configured ramp, which all instances of a tier share.

The ramp of a server is a rate that grows linearly from `initial_capacity_share` of `ramp_per_s` to all of
`ramp_per_s` within `warm_up_ms`. In any window all instances together send a warming server at most the
rate's integral over the window plus `ramp_burst` requests: each instance has a token bucket that fills with
its share of the rate and is capped by its share of the burst, and the shares never sum to more than one.

Without guidance an instance uses the share that it owns (`ramp_allocation`). An instance that leases its own
shares to a planner stops using them, and uses the shares that the planner grants until that grant expires. It
uses its own shares again once every grant out of them has expired in all instances. The shares in use
therefore go through three phases:

    LEASED   the planner's grant applies; it decays linearly over the second half of the lease
    WAITING  the grant has expired, but others may still use grants out of this instance's own shares
    OWN      this instance's own shares apply

This module does no I/O and reads no clock.

Sources: arrival curves (Cruz 1991), leases (Gray and Cheriton 1989).
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from enum import Enum

from sandhatch.balancing.events import RampShare, ServerState
from sandhatch.balancing.guidance.gradual_value import GradualValue
from sandhatch.balancing.guidance.ramp_allocation import (
    NO_ALLOCATION,
    RampAllocation,
    default_allocation,
    owns_share,
    ramp_burst,
)
from sandhatch.balancing.guidance.warm_up import ListedServer, WarmUp
from sandhatch.balancing.settings import Settings


class _Phase(Enum):
    """The phase of the shares in use; the module's docstring describes the phases."""

    LEASED = "leased"
    WAITING = "waiting"
    OWN = "own"


class _TokenBucket:
    """The token bucket for one process of a server: the requests that this instance may send to it now."""

    __slots__ = ("credit", "started_ms", "updated_ms")

    def __init__(self, started_ms: float, now_ms: float) -> None:
        self.started_ms = started_ms
        self.credit = 0.0  # requests that may be sent now; none accrue before the bucket's first use
        self.updated_ms = now_ms


class SharedRamp(WarmUp):
    """This instance's share of the ramps of a tier's warming servers."""

    RATE_SHARE_RISE_MS = 1_000.0  # duration of a rise of this instance's share of a ramp's rate

    def __init__(self, settings: Settings) -> None:
        """Start without warming servers and without a grant."""
        super().__init__(settings)
        burst = ramp_burst(settings)
        self._ramp_per_s = settings.ramp_per_s
        self._instances = settings.instances
        self._instance_index = settings.instance_index
        self._owners = min(settings.instances, int(burst))
        # The allocation of each instance that owns a share of a server's ramp: equal for all owners and all
        # server labels. Computed for instance 0 and label 0, because instance 0 owns a share of the ramp of a
        # server with label 0 if any instance does.
        self._owner_allocation = default_allocation(settings.instances, 0, burst, 0)
        # The next four are keyed by server id.
        self._warming: dict[int, ListedServer] = {}
        self._buckets: dict[int, _TokenBucket] = {}
        self._leased_shares: dict[int, RampShare] = {}
        self._rate_shares: dict[int, GradualValue] = {}
        self._leased_shares_end_ms = 0.0
        # Duration, before the end of the lease, in which the rates of leased shares decay to zero.
        self._decay_ms = 1.0
        self._own_shares_leased_until_ms = 0.0

    # ------------------------------------------------ warming servers

    def add_servers(self, servers: Sequence[ListedServer], now_ms: float) -> None:
        """Start the ramp of each of these servers that is warming up."""
        for server in servers:
            if self.is_warming_up(server, now_ms):
                self._warming[server.id] = server
                self._buckets[server.id] = _TokenBucket(server.started_ms, now_ms)
                self._rate_shares.pop(server.id, None)

    def earn_credit(self, ready: int, now_ms: float) -> None:
        """Do nothing: credit accrues with time, not with requests as in `SlowStart`."""

    def warming_servers(self, now_ms: float) -> list[int]:
        """Return the ids of the listed servers that are warming up, and discard the state of the others."""
        finished_ids = [
            server_id for server_id, server in self._warming.items() if self._has_finished(server, now_ms)
        ]
        for server_id in finished_ids:
            del self._warming[server_id]
            self._buckets.pop(server_id, None)
            self._rate_shares.pop(server_id, None)
        return list(self._warming)

    def warm_up_deficit(self, now_ms: float) -> float:
        """Return the capacity, in units of warm servers, that warming servers lack until they are warm."""
        warming = [
            server
            for server in self._warming.values()
            if server.state is ServerState.READY and self.is_warming_up(server, now_ms)
        ]
        return sum(1.0 - self.capacity_share(server, now_ms) for server in warming)

    def _has_finished(self, server: ListedServer, now_ms: float) -> bool:
        return server.state is ServerState.GONE or not self.is_warming_up(server, now_ms)

    # ------------------------------------------------ leases

    def grant(
        self,
        shares: Iterable[RampShare],
        report_sent_ms: float,
        until_ms: float,
        leased_until_ms: float,
        now_ms: float,
    ) -> None:
        """Use newly granted shares in place of those that were granted before.

        Args:
            shares: The granted shares; servers without an entry have no granted share.
            report_sent_ms: Time at which this instance sent the report that the grant answers.
            until_ms: Expiry of the grant.
            leased_until_ms: Time until which this instance's own shares are leased to others.
            now_ms: The present time.
        """
        self._accrue_all(now_ms)
        self._leased_shares = {share.server: share for share in shares}
        self._leased_shares_end_ms = until_ms
        self._decay_ms = max(1.0, (until_ms - report_sent_ms) / 2.0)
        self._own_shares_leased_until_ms = max(self._own_shares_leased_until_ms, leased_until_ms)

    def lease_own_shares(self, until_ms: float, now_ms: float) -> None:
        """Lease this instance's own shares to others until `until_ms`, and go on using the present grant."""
        if until_ms > self._own_shares_leased_until_ms:
            self._accrue_all(now_ms)
            self._own_shares_leased_until_ms = until_ms

    def inherit(self, previous: SharedRamp) -> None:
        """Take over the buckets and grants of a predecessor for the same servers.

        The predecessor retains only its grants: from now on it never uses its own shares again.
        """
        self._buckets = previous._buckets
        self._rate_shares = previous._rate_shares
        self._leased_shares = previous._leased_shares
        self._leased_shares_end_ms = previous._leased_shares_end_ms
        self._decay_ms = previous._decay_ms
        self._own_shares_leased_until_ms = previous._own_shares_leased_until_ms
        previous._own_shares_leased_until_ms = math.inf

    # ------------------------------------------------ sends

    def admits(self, server: ListedServer, now_ms: float) -> bool:
        """Return whether a request may be sent to this server now."""
        return not self.is_warming_up(server, now_ms) or self._accrue(server, now_ms).credit >= 1.0

    def spend_credit(self, server: ListedServer, now_ms: float) -> None:
        """Charge a request that is sent to this server."""
        if self.is_warming_up(server, now_ms):
            self._accrue(server, now_ms).credit -= 1.0

    # ------------------------------------------------ shares and credit

    def allocation(self, server: ListedServer, at_ms: float) -> RampAllocation:
        """Return this instance's allocation on a server at a time that is not in the past."""
        phase = self._phase_at(at_ms)
        return RampAllocation(self._rate_share(phase, server, at_ms), self._burst_share(phase, server))

    def _phase_at(self, at_ms: float) -> _Phase:
        if at_ms < self._leased_shares_end_ms:
            return _Phase.LEASED
        return _Phase.WAITING if at_ms < self._own_shares_leased_until_ms else _Phase.OWN

    def _rate_share(self, phase: _Phase, server: ListedServer, at_ms: float) -> float:
        if phase is _Phase.LEASED:
            share = self._leased_share(server)
            if share is None:
                return 0.0
            return share.rate * min(1.0, (self._leased_shares_end_ms - at_ms) / self._decay_ms)
        return self._own_allocation(server).rate if phase is _Phase.OWN else 0.0

    def _burst_share(self, phase: _Phase, server: ListedServer) -> float:
        if phase is _Phase.LEASED:
            share = self._leased_share(server)
            return 0.0 if share is None else share.burst
        return self._own_allocation(server).burst if phase is _Phase.OWN else 0.0

    def _leased_share(self, server: ListedServer) -> RampShare | None:
        """Return the share of this server's ramp that a planner granted; None if below one request."""
        share = self._leased_shares.get(server.id)
        return None if share is None or share.burst < 1.0 else share

    def _own_allocation(self, server: ListedServer) -> RampAllocation:
        if owns_share(self._instances, self._instance_index, self._owners, server.label):
            return self._owner_allocation
        return NO_ALLOCATION

    def _accrue_all(self, now_ms: float) -> None:
        """Fill the buckets up to now; called before the shares in use change."""
        for server_id in self.warming_servers(now_ms):
            self._accrue(self._warming[server_id], now_ms)

    def _accrue(self, server: ListedServer, now_ms: float) -> _TokenBucket:
        """Fill the server's bucket up to now and return it.

        The time since the last update is split at each expiry of a share and each end of a rise. Within a
        segment, credit accrues by the mean of the share of the rate, or by its value at the end if it decays,
        so that the sum over all instances does not exceed the integral of the rate.
        """
        bucket = self._bucket(server, now_ms)
        rate_share = self._rate_shares.get(server.id)
        if rate_share is None:
            rate_share = self._rate_shares[server.id] = GradualValue(0.0)
        start_ms = bucket.updated_ms
        while True:
            phase = self._phase_at(start_ms)
            rate_share.fall_or_rise_to(
                self._rate_share(phase, server, start_ms), start_ms, self.RATE_SHARE_RISE_MS
            )
            end_ms = self._segment_end_ms(start_ms, rate_share.end_ms, now_ms)
            mean_share = (rate_share.value_at(start_ms) + rate_share.value_at(end_ms)) / 2.0
            counted_share = min(mean_share, self._rate_share(phase, server, end_ms))
            capacity_share = (
                self.capacity_share(server, start_ms) + self.capacity_share(server, end_ms)
            ) / 2.0
            rate_per_ms = self._ramp_per_s / 1000.0 * capacity_share
            credit = bucket.credit + counted_share * rate_per_ms * (end_ms - start_ms)
            bucket.credit = min(self._burst_share(phase, server), credit)
            start_ms = end_ms
            if start_ms >= now_ms:
                break
        bucket.credit = min(bucket.credit, self._burst_share(self._phase_at(now_ms), server))
        bucket.updated_ms = now_ms
        return bucket

    def _bucket(self, server: ListedServer, now_ms: float) -> _TokenBucket:
        """Return the bucket of the server's present process; a new bucket is empty."""
        bucket = self._buckets.get(server.id)
        if bucket is None or bucket.started_ms != server.started_ms:
            bucket = self._buckets[server.id] = _TokenBucket(server.started_ms, now_ms)
        return bucket

    def _segment_end_ms(self, start_ms: float, rise_end_ms: float, now_ms: float) -> float:
        """Return the end of the phase or rise in effect at `start_ms`, at most now."""
        boundaries_ms = (self._leased_shares_end_ms, self._own_shares_leased_until_ms, rise_end_ms)
        return min(
            (boundary_ms for boundary_ms in boundaries_ms if start_ms < boundary_ms < now_ms), default=now_ms
        )
