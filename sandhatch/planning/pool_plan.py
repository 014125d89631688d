"""Plan of one pool: ramp shares and shares of the tier's capacity.

Grants are made only from shares that instances have leased to the planner. No I/O, no clock. Source:
docs/design/planning.md.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterator

from sandhatch.balancing.guidance.state import GuidanceState
from sandhatch.planning.grant_ledger import GrantLedger
from sandhatch.planning.lessors import Lessors, RampAmount
from sandhatch.planning.load import PoolLoad
from sandhatch.planning.messages import PoolReport, RampShareRow
from sandhatch.planning.ramp_assignment import assign_ramp, is_similar
from sandhatch.planning.server_view import ServerView
from sandhatch.planning.terms import PlannerTerms
from sandhatch.runtime.address import server_label

ROUNDING_TOLERANCE = 1e-9  # rounding error allowed in a sum of divided shares


class PoolPlan:
    """State of one pool: load, lessors and grants.

    Attributes:
        load: Load that the forwarders have reported.
        lessors: Instances that have leased their shares; None before the first report.
        instances: Name of the forwarder at each instance index.
        ledgers: Grant ledgers of servers that are warming up, by address.
        ramp_shares: Target fraction of a server's leased ramp for each forwarder, by server address.
    """

    def __init__(self, name: str, terms: PlannerTerms, applied_versions: dict[str, int]) -> None:
        """Start without forwarders.

        Args:
            name: Name of the pool.
            terms: Settings of the planner.
            applied_versions: Last advice version applied by each forwarder; see `GrantLedger`.
        """
        self.load = PoolLoad(name)
        self.lessors: Lessors | None = None
        self.instances: dict[int, str] = {}
        self.ledgers: dict[str, GrantLedger] = {}
        self.ramp_shares: dict[str, dict[str, float]] = {}
        self._terms = terms
        self._applied_versions = applied_versions
        # Bounded requests per second of each forwarder that has leased its shares.
        self._demands: dict[str, float] = {}
        self._total_demand = 0.0
        self._assigned_ms = -math.inf
        self._members_at_assignment = 0

    # ------------------------------------------------ instances

    def register(self, forwarder: str, report: PoolReport, members: Container[str]) -> str:
        """Assign an instance index, which only one forwarder may have.

        Args:
            forwarder: Name of the forwarder.
            report: The forwarder's report on this pool.
            members: Names of all forwarders that report to the planner.

        Returns:
            Reason why the index cannot be assigned; empty if it was assigned.
        """
        if self.lessors is None:
            self.lessors = Lessors(report.instances, report.burst)
        elif not self.lessors.matches(report.instances, report.burst):
            if any(name != forwarder and name in members for name in self.instances.values()):
                return (
                    f"pool {report.pool}: {report.instances} forwarders and a burst of {report.burst:g};"
                    f" others say {self.lessors.instances} and {self.lessors.burst:g}"
                )
            self.lessors = Lessors(report.instances, report.burst)
            self.instances = {}
        holder = self.instances.get(report.instance_index)
        if holder is not None and holder != forwarder and holder in members:
            return f"pool {report.pool}: place {report.instance_index} is {holder}'s"
        self.instances[report.instance_index] = forwarder
        return ""

    def set_lease(self, forwarder: str, has_lease: bool, until_ms: float) -> None:
        """Record whether a forwarder leases its own shares, and the end of the lease."""
        load = self.load.members.get(forwarder)
        if load is None or self.lessors is None or not self._is_registered(forwarder, load.instance_index):
            return
        if has_lease:
            self.lessors.lease(load.instance_index, until_ms)
        else:
            self.lessors.end(load.instance_index)

    def remove(self, forwarder: str) -> None:
        """Remove a forwarder.

        Its grants stay valid until they expire; its own shares are no longer leased to the planner.
        """
        load = self.load.members.get(forwarder)
        if load is not None and self._is_registered(forwarder, load.instance_index):
            if self.lessors is not None:
                self.lessors.end(load.instance_index)
            del self.instances[load.instance_index]
        self.load.remove(forwarder)

    def _is_registered(self, forwarder: str, instance_index: int) -> bool:
        return self.instances.get(instance_index) == forwarder

    # ------------------------------------------------ grants

    def ledger(self, view: ServerView) -> GrantLedger:
        """Grant ledger of a server's ramp, created on first use."""
        ledger = self.ledgers.get(view.address)
        if ledger is None:
            ledger = GrantLedger(server_label(view.address), self._applied_versions)
            self.ledgers[view.address] = ledger
        return ledger

    def record_previous_grants(self, forwarder: str, report: PoolReport, now_ms: float) -> None:
        """Record the grants that a forwarder holds from the planner's previous incarnation.

        These grants are valid for at most one lease time.
        """
        views = self.load.members[forwarder].numbering.views
        until_ms = now_ms + self._terms.share_lease_ms
        for row in report.previous_grants:
            if row.server < len(views):
                amount = RampAmount(row.rate, min(row.burst, report.burst))
                self.ledger(views[row.server]).record_previous_grant(forwarder, amount, now_ms, until_ms)

    def has_capacity_for_grants(self, forwarder: str, now_ms: float, until_ms: float) -> bool:
        """Whether the shares leased to this incarnation cover a forwarder's grants from the previous one."""
        load = self.load.members.get(forwarder)
        if load is None or self.lessors is None:
            return True
        for number in load.warming_up:
            ledger = self.ledgers.get(load.numbering.views[number].address)
            if ledger is None:
                continue
            own = ledger.granted(forwarder, now_ms)
            others = ledger.granted_to_others(forwarder, now_ms)
            leased = self.lessors.leased(ledger.label, until_ms)
            if own.rate + others.rate > leased.rate + ROUNDING_TOLERANCE:
                return False
            if own.burst + others.burst > leased.burst + ROUNDING_TOLERANCE:
                return False
        return True

    def grant_ramp_shares(
        self, forwarder: str, version: int, learning: bool, now_ms: float, until_ms: float
    ) -> Iterator[RampShareRow]:
        """Grant a forwarder shares of the ramps of those servers that it reports to be warming up.

        Args:
            forwarder: Name of the grantee.
            version: Version of the advice that carries the grants.
            learning: Whether to renew only grants from the previous incarnation and make no new ones.
            now_ms: Current time.
            until_ms: Time by which a grant made now has expired at every forwarder.

        Yields:
            Grants, with servers identified by their numbers in the session.
        """
        assert self.lessors is not None
        load = self.load.members[forwarder]
        views = load.numbering.views
        for number in load.warming_up:
            view = views[number]
            shares = self.ramp_shares.get(view.address)
            if not learning and (shares is None or forwarder not in shares):
                continue
            ledger = self.ledger(view)
            leased = self.lessors.leased(ledger.label, until_ms)
            if learning or shares is None:
                requested = ledger.granted(forwarder, now_ms)
            else:
                # `math.floor` gives an integer, which is encoded as an integer on the wire.
                burst = max(1.0, math.floor(leased.burst / len(shares)))
                requested = RampAmount(shares[forwarder] * leased.rate, burst)
            granted = ledger.grant(forwarder, version, requested, leased, now_ms, until_ms)
            if granted.burst:
                yield RampShareRow(number, granted.rate, granted.burst)

    # ------------------------------------------------ assignment

    def assign_ramp_shares(self, now_ms: float, until_ms: float) -> None:
        """Assign fractions of each ramp to forwarders in proportion to demand.

        All ramps are reassigned at each interval and when the number of forwarders changes; the ramp of a
        server that has just started is assigned at once.
        """
        assert self.lessors is not None
        previous_shares: dict[str, dict[str, float]] = {}
        members = len(self.load.members)
        is_due = now_ms - self._assigned_ms >= self._terms.assignment_interval_ms
        if is_due or members != self._members_at_assignment:
            self._assigned_ms = now_ms
            self._members_at_assignment = members
            self._update_demands(self.lessors)
            previous_shares = self.ramp_shares
            self.ramp_shares = {}
            self._remove_unused_ledgers(now_ms)
        for address, view in self.load.warming_up.items():
            if address in self.ramp_shares:
                continue
            label = self.ledger(view).label
            max_holders = min(self._terms.max_ramp_holders, int(self.lessors.leased(label, until_ms).burst))
            shares = assign_ramp(self._demands, label, max_holders)
            earlier = previous_shares.get(address, {})
            self.ramp_shares[address] = earlier if is_similar(earlier, shares) else shares

    def _update_demands(self, lessors: Lessors) -> None:
        names = (name for index, name in self.instances.items() if index in lessors)
        self._demands = self.load.bounded_demands(names)
        self._total_demand = sum(self._demands.values())

    def _remove_unused_ledgers(self, now_ms: float) -> None:
        warmed_up = [address for address in self.ledgers if address not in self.load.warming_up]
        for address in warmed_up:
            ledger = self.ledgers[address]
            if not any(ledger.granted(name, now_ms).burst for name in ledger.holders):
                del self.ledgers[address]

    def own_share(self, forwarder: str, until_ms: float) -> float | None:
        """Share of the tier's capacity for a forwarder; None without lessors or demand.

        Each forwarder has a fixed fraction of its even share regardless of demand; the rest of the lessors'
        shares is divided in proportion to demand.
        """
        assert self.lessors is not None
        lessor_count = self.lessors.count(until_ms)
        if not lessor_count or not self._total_demand:
            return None
        even_share = 1.0 / self.lessors.instances
        floor = self._terms.own_share_floor
        divisible_share = lessor_count * even_share * (1.0 - floor)
        own = floor * even_share + divisible_share * self._demands.get(forwarder, 0.0) / self._total_demand
        return min(own, GuidanceState.MAX_OWN_SHARE_FACTOR * even_share, 1.0)
