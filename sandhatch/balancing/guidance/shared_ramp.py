"""The slow start of a tier whose warming servers have a stated ramp, kept by all instances together.

The ramp of a server is a rate that grows linearly from `initial_capacity_share` of `ramp_per_s` to all of it
within `warm_up_ms`. In any window all instances together send a warming server at most the rate's integral
over it plus `ramp_burst` requests: each instance keeps a token bucket that fills with its share of the rate
and is capped by its share of the burst, and the shares never sum to more than one.

Without guidance an instance uses the share that it owns (`ramp_allocation`). When it leases its own shares to
a planner it stops using them, and uses what the planner grants instead until that lease expires; it uses its
own shares again from the time at which everything granted out of them has expired everywhere. So the shares
in use go through three phases:

    LEASED   what the planner granted counts, decaying linearly over the second half of the lease
    WAITING  the grant has expired, but others may still use grants out of this instance's own shares
    OWN      this instance's own shares count

Nothing here does I/O or reads a clock. Sources: arrival curves (Cruz 1991), leases (Gray and Cheriton 1989).
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
from sandhatch.balancing.guidance.warm_up import Listed, WarmUp
from sandhatch.balancing.settings import Settings


class _Phase(Enum):
    """Which shares count at a time."""

    LEASED = "leased"
    WAITING = "waiting"
    OWN = "own"


class _Bucket:
    """The token bucket for one process of a server: requests that this instance may send it now."""

    __slots__ = ("credit", "started_ms", "updated_ms")

    def __init__(self, started_ms: float, now_ms: float) -> None:
        self.started_ms = started_ms
        self.credit = 0.0  # nothing accrues before the first use
        self.updated_ms = now_ms


class SharedRamp(WarmUp):
    """This instance's share of the ramps of a tier's warming servers."""

    RISE_MS = 1_000.0  # over which a share of the rate rises

    def __init__(self, settings: Settings) -> None:
        """Start without a warming server and without a grant."""
        super().__init__(settings)
        burst = ramp_burst(settings)
        self._ramp_per_s = settings.ramp_per_s
        self._instances = settings.instances
        self._instance_index = settings.instance_index
        self._owners = min(settings.instances, int(burst))
        # Instance 0 owns a share of the ramp of label 0 if any instance does: all owners have the same one.
        self._owner_allocation = default_allocation(settings.instances, 0, burst, 0)
        self._warming: dict[int, Listed] = {}  # by server, as are the next three
        self._buckets: dict[int, _Bucket] = {}
        self._leased: dict[int, RampShare] = {}
        self._rate_shares: dict[int, GradualValue] = {}
        self._leased_shares_end_ms = 0.0
        self._decay_ms = 1.0  # before their end, over which leased shares of the rate decay
        self._own_shares_leased_until_ms = 0.0

    # ------------------------------------------------ warming servers

    def watch(self, servers: Sequence[Listed], now_ms: float) -> None:
        """Start a ramp for each of these servers that is warming up."""
        for server in servers:
            if self.is_warming_up(server, now_ms):
                self._warming[server.id] = server
                self._buckets[server.id] = _Bucket(server.started_ms, now_ms)
                self._rate_shares.pop(server.id, None)

    def earn(self, ready: int, now_ms: float) -> None:
        """Do nothing: credit accrues with time, not with requests as in the slow start of one instance."""

    def warming_servers(self, now_ms: float) -> list[int]:
        """The listed servers that are warming up now."""
        finished = [number for number, server in self._warming.items() if self._has_finished(server, now_ms)]
        for number in finished:
            del self._warming[number]
            self._buckets.pop(number, None)
            self._rate_shares.pop(number, None)
        return list(self._warming)

    def warm_up_deficit(self, now_ms: float) -> float:
        """The capacity that the ready servers don't have yet because they warm up, in warm servers."""
        warming = [
            server
            for server in self._warming.values()
            if server.state is ServerState.READY and self.is_warming_up(server, now_ms)
        ]
        return sum(1.0 - self.share(server, now_ms) for server in warming)

    def _has_finished(self, server: Listed, now_ms: float) -> bool:
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
        """Use the shares that a planner has granted, in place of those that it granted before.

        Args:
            shares: The granted shares. A server that is not named is granted nothing.
            report_sent_ms: When the report was sent that the grant answers.
            until_ms: When the grant expires.
            leased_until_ms: Until when this instance's own shares are leased to others.
            now_ms: The present time.
        """
        self._accrue_all(now_ms)
        self._leased = {share.server: share for share in shares}
        self._leased_shares_end_ms = until_ms
        self._decay_ms = max(1.0, (until_ms - report_sent_ms) / 2.0)
        self._own_shares_leased_until_ms = max(self._own_shares_leased_until_ms, leased_until_ms)

    def lease_own_shares(self, until_ms: float, now_ms: float) -> None:
        """Lease this instance's own shares to others until then; what is granted to it stays."""
        if until_ms > self._own_shares_leased_until_ms:
            self._accrue_all(now_ms)
            self._own_shares_leased_until_ms = until_ms

    def inherit(self, previous: SharedRamp) -> None:
        """Take over the buckets and grants of another ramp of the same servers.

        The other ramp keeps only its grants from now on: its own shares are never its own again.
        """
        self._buckets = previous._buckets
        self._rate_shares = previous._rate_shares
        self._leased = previous._leased
        self._leased_shares_end_ms = previous._leased_shares_end_ms
        self._decay_ms = previous._decay_ms
        self._own_shares_leased_until_ms = previous._own_shares_leased_until_ms
        previous._own_shares_leased_until_ms = math.inf

    # ------------------------------------------------ sends

    def admits(self, server: Listed, now_ms: float) -> bool:
        """Whether a request may be sent to this server now."""
        return not self.is_warming_up(server, now_ms) or self._accrue(server, now_ms).credit >= 1.0

    def spend(self, server: Listed, now_ms: float) -> None:
        """Count a request that is sent to this server."""
        if self.is_warming_up(server, now_ms):
            self._accrue(server, now_ms).credit -= 1.0

    # ------------------------------------------------ shares and credit

    def part(self, server: Listed, at_ms: float) -> RampAllocation:
        """This instance's allocation on a server at a time that is not in the past."""
        phase = self._phase(at_ms)
        return RampAllocation(self._rate_share(phase, server, at_ms), self._burst_share(phase, server))

    def _phase(self, at_ms: float) -> _Phase:
        if at_ms < self._leased_shares_end_ms:
            return _Phase.LEASED
        return _Phase.WAITING if at_ms < self._own_shares_leased_until_ms else _Phase.OWN

    def _rate_share(self, phase: _Phase, server: Listed, at_ms: float) -> float:
        if phase is _Phase.LEASED:
            share = self._leased_share(server)
            if share is None:
                return 0.0
            return share.rate * min(1.0, (self._leased_shares_end_ms - at_ms) / self._decay_ms)
        return self._own_allocation(server).rate if phase is _Phase.OWN else 0.0

    def _burst_share(self, phase: _Phase, server: Listed) -> float:
        if phase is _Phase.LEASED:
            share = self._leased_share(server)
            return 0.0 if share is None else share.burst
        return self._own_allocation(server).burst if phase is _Phase.OWN else 0.0

    def _leased_share(self, server: Listed) -> RampShare | None:
        """The share granted on this server; None if it is too small to send a request."""
        share = self._leased.get(server.id)
        return None if share is None or share.burst < 1.0 else share

    def _own_allocation(self, server: Listed) -> RampAllocation:
        if owns_share(self._instances, self._instance_index, self._owners, server.label):
            return self._owner_allocation
        return NO_ALLOCATION

    def _accrue_all(self, now_ms: float) -> None:
        """Fill the buckets by the shares in use so far, before these change."""
        for number in self.warming_servers(now_ms):
            self._accrue(self._warming[number], now_ms)

    def _accrue(self, server: Listed, now_ms: float) -> _Bucket:
        """Fill the server's bucket up to now and return it.

        The time since the last update is split where a share expires or has finished rising. Within a piece
        the share of the rate counts at its mean, or at its end if it decays: the sum over all instances must
        not exceed the integral of the rate.
        """
        bucket = self._bucket(server, now_ms)
        rate_share = self._rate_shares.get(server.id)
        if rate_share is None:
            rate_share = self._rate_shares[server.id] = GradualValue(0.0)
        start_ms = bucket.updated_ms
        while True:
            phase = self._phase(start_ms)
            rate_share.fall_or_rise_to(self._rate_share(phase, server, start_ms), start_ms, self.RISE_MS)
            end_ms = self._piece_end(start_ms, rate_share.end_ms, now_ms)
            mean_share = (rate_share.value_at(start_ms) + rate_share.value_at(end_ms)) / 2.0
            counted_share = min(mean_share, self._rate_share(phase, server, end_ms))
            capacity_share = (self.share(server, start_ms) + self.share(server, end_ms)) / 2.0
            rate_per_ms = self._ramp_per_s / 1000.0 * capacity_share
            accrued = bucket.credit + counted_share * rate_per_ms * (end_ms - start_ms)
            bucket.credit = min(self._burst_share(phase, server), accrued)
            start_ms = end_ms
            if start_ms >= now_ms:
                break
        bucket.credit = min(bucket.credit, self._burst_share(self._phase(now_ms), server))
        bucket.updated_ms = now_ms
        return bucket

    def _bucket(self, server: Listed, now_ms: float) -> _Bucket:
        """The bucket of the server's present process; a new one is empty."""
        bucket = self._buckets.get(server.id)
        if bucket is None or bucket.started_ms != server.started_ms:
            bucket = self._buckets[server.id] = _Bucket(server.started_ms, now_ms)
        return bucket

    def _piece_end(self, start_ms: float, rise_end_ms: float, now_ms: float) -> float:
        """When the phase or the rise that counts at `start_ms` ends, and at most now."""
        changes_ms = (self._leased_shares_end_ms, self._own_shares_leased_until_ms, rise_end_ms)
        return min((change_ms for change_ms in changes_ms if start_ms < change_ms < now_ms), default=now_ms)
