"""What a planner advises in one pool: ramp shares and shares of the tier's capacity.

Grants only out of shares that instances leased to the planner. No I/O, no clock. Source:
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

TOLERANCE = 1e-9  # for sums of shares that were divided


class PoolPlan:
    """A pool: its load, its lessors, and what is granted to whom.

    Attributes:
        load: What the forwarders reported.
        lessors: The instances that leased their shares; None before the first report.
        instances: Name of the forwarder at each instance index.
        ledgers: Grants by the address of a server that is warming up.
        ramp_shares: The fraction of a server's leased ramp that each forwarder should get, by address.
    """

    def __init__(self, name: str, terms: PlannerTerms, applied_versions: dict[str, int]) -> None:
        """Start without forwarders.

        Args:
            name: Name of the pool.
            terms: The planner's settings.
            applied_versions: See `GrantLedger`.
        """
        self.load = PoolLoad(name)
        self.lessors: Lessors | None = None
        self.instances: dict[int, str] = {}
        self.ledgers: dict[str, GrantLedger] = {}
        self.ramp_shares: dict[str, dict[str, float]] = {}
        self._terms = terms
        self._applied_versions = applied_versions
        self._demands: dict[str, float] = {}  # bounded demand of each lessor
        self._total_demand = 0.0
        self._assigned_ms = -math.inf
        self._members_at_assignment = 0

    # ------------------------------------------------ instances

    def register(self, forwarder: str, report: PoolReport, members: Container[str]) -> str:
        """Give a forwarder its instance index, which only one may have.

        Args:
            forwarder: The forwarder's name.
            report: Its report on this pool.
            members: Names of all forwarders that the planner knows.

        Returns:
            Why it cannot have the index; empty if it has it.
        """
        if self.lessors is None:
            self.lessors = Lessors(report.instances, report.burst)
        elif not self.lessors.agree_on(report.instances, report.burst):
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
        """Record whether a forwarder leases its own shares, and until when."""
        load = self.load.members.get(forwarder)
        if load is None or self.lessors is None or not self._is_registered(forwarder, load.instance_index):
            return
        if has_lease:
            self.lessors.lease(load.instance_index, until_ms)
        else:
            self.lessors.end(load.instance_index)

    def remove(self, forwarder: str) -> None:
        """Forget a forwarder: its grants run to their ends, its own shares are its own again."""
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
        """The grants on a server's ramp."""
        ledger = self.ledgers.get(view.address)
        if ledger is None:
            ledger = GrantLedger(server_label(view.address), self._applied_versions)
            self.ledgers[view.address] = ledger
        return ledger

    def claim(self, forwarder: str, report: PoolReport, now_ms: float) -> None:
        """Record the grants that a forwarder holds from the planner's previous incarnation.

        They are valid for one lease time at most.
        """
        views = self.load.members[forwarder].numbering.views
        until_ms = now_ms + self._terms.share_lease_ms
        for row in report.previous_grants:
            if row.server < len(views):
                amount = RampAmount(row.rate, min(row.burst, report.burst))
                self.ledger(views[row.server]).claim(forwarder, amount, now_ms, until_ms)

    def covers_grants(self, forwarder: str, now_ms: float, until_ms: float) -> bool:
        """Whether what a forwarder holds from a previous incarnation fits into what is leased to this one."""
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
            if own.rate + others.rate > leased.rate + TOLERANCE:
                return False
            if own.burst + others.burst > leased.burst + TOLERANCE:
                return False
        return True

    def grant_ramp_shares(
        self, forwarder: str, version: int, learning: bool, now_ms: float, until_ms: float
    ) -> Iterator[RampShareRow]:
        """Grant a forwarder its shares of the ramps of the servers that it reports to be warming up.

        Args:
            forwarder: The grantee.
            version: Version of the advice that carries the grants.
            learning: It keeps what it holds from the previous incarnation, and gets nothing new.
            now_ms: The time.
            until_ms: When a grant of now has ended at every forwarder.

        Yields:
            The grants, by the session's numbers of the servers.
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
                wanted = ledger.granted(forwarder, now_ms)
            else:
                # A whole burst stays an integer: it is encoded as one on the wire.
                burst = max(1.0, math.floor(leased.burst / len(shares)))
                wanted = RampAmount(shares[forwarder] * leased.rate, burst)
            granted = ledger.grant(forwarder, version, wanted, leased, now_ms, until_ms)
            if granted.burst:
                yield RampShareRow(number, granted.rate, granted.burst)

    # ------------------------------------------------ assignment

    def assign_ramp_shares(self, now_ms: float, until_ms: float) -> None:
        """Decide which forwarders get which fraction of each ramp, by demand.

        All ramps are assigned again at each interval and when the number of forwarders changes; that of a
        server that just started is assigned at once.
        """
        assert self.lessors is not None
        previous: dict[str, dict[str, float]] = {}
        members = len(self.load.members)
        is_due = now_ms - self._assigned_ms >= self._terms.assignment_interval_ms
        if is_due or members != self._members_at_assignment:
            self._assigned_ms = now_ms
            self._members_at_assignment = members
            self._update_demands(self.lessors)
            previous = self.ramp_shares
            self.ramp_shares = {}
            self._remove_unused_ledgers(now_ms)
        for address, view in self.load.warming_up.items():
            if address in self.ramp_shares:
                continue
            label = self.ledger(view).label
            max_holders = min(self._terms.max_ramp_holders, int(self.lessors.leased(label, until_ms).burst))
            shares = assign_ramp(self._demands, label, max_holders)
            before = previous.get(address, {})
            self.ramp_shares[address] = before if is_similar(before, shares) else shares

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
        """A forwarder's share of the tier's capacity; None if nothing can be said of it.

        It keeps a fixed fraction of its even share whatever its demand; the rest of the lessors' shares is
        divided by demand.
        """
        assert self.lessors is not None
        lessor_count = self.lessors.count(until_ms)
        if not lessor_count or not self._total_demand:
            return None
        even = 1.0 / self.lessors.instances
        floor = self._terms.own_share_floor
        divisible = lessor_count * even * (1.0 - floor)
        own = floor * even + divisible * self._demands.get(forwarder, 0.0) / self._total_demand
        return min(own, GuidanceState.MAX_PART * even, 1.0)
