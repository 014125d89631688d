"""The planner's state machine: reports and ticks in, advice out.

Advises weights of servers, shares of warm-up ramps and shares of a tier's capacity; the forwarders bound each
of them again (`sandhatch.balancing.guidance`). Planners do not know of each other and need no leader. No I/O,
no clock: times are milliseconds of any clock that only moves forward. Source: docs/design/planning.md.
"""

from __future__ import annotations

from typing import Any

from sandhatch.planning.errors import InvalidReportError
from sandhatch.planning.lessors import CLOCK_DRIFT
from sandhatch.planning.membership import Member, SentAdvice
from sandhatch.planning.messages import MAX_NOTE_CHARACTERS, Advice, PoolAdvice, PoolReport, Report
from sandhatch.planning.planner_status import explain_server, member_status, pool_status
from sandhatch.planning.pool_plan import PoolPlan
from sandhatch.planning.terms import PlannerTerms

LEARNING_TIMES_WAITED = 4.0  # for forwarders that are configured and do not report


class Planner:
    """One incarnation of a planner.

    Attributes:
        name: The planner's name.
        epoch: Number of this incarnation, above that of any earlier one.
        terms: Its settings.
        started_ms: When this incarnation started.
        members: The forwarders that report, by name.
        pools: The pools that they report on, by name.
        reports: Reports received.
        rejected: Reports that were invalid.
    """

    def __init__(self, name: str, epoch: int, now_ms: float, terms: PlannerTerms | None = None) -> None:
        """Start an incarnation that knows nothing."""
        self.name = name
        self.epoch = epoch
        self.terms = terms or PlannerTerms()
        self.started_ms = now_ms
        self.members: dict[str, Member] = {}
        self.pools: dict[str, PoolPlan] = {}
        self.reports = 0
        self.rejected = 0
        self._version = 0  # one count for all forwarders, since one may be removed and come back
        self._applied_versions: dict[str, int] = {}  # by forwarder; shared with the grant ledgers
        self._weights_updated_ms = now_ms

    # ------------------------------------------------ input

    def learning(self, now_ms: float) -> bool:
        """Whether grants of this planner's previous incarnation may still be valid somewhere."""
        return now_ms < self.started_ms + self.terms.share_lease_ms * (1.0 + CLOCK_DRIFT)

    def joined(self, name: str, now_ms: float) -> None:
        """A forwarder's session begins."""
        member = self.members.get(name)
        if member is None:
            self.members[name] = Member(name, now_ms)
        else:
            member.last_report_ms = now_ms
        for plan in self.pools.values():
            plan.load.new_session(name)

    def report(self, name: str, report: Report, now_ms: float) -> Advice:
        """Apply a forwarder's report.

        Args:
            name: The forwarder, authenticated by its session.
            report: The report.
            now_ms: The time.

        Returns:
            The advice to send to the forwarder.

        Raises:
            InvalidReportError: The report contradicts its session; the session should end.
        """
        member = self.members.setdefault(name, Member(name, now_ms))
        member.last_report_ms = now_ms
        self.reports += 1
        try:
            self._acknowledge(member, report)
            member.conflict = ""
            for pool_report in report.pools:
                self._apply(member, pool_report, report.span_ms, now_ms)
        except InvalidReportError:
            self.rejected += 1
            raise
        self._leave_unreported_pools(name, report)
        has_lease = report.leases_shares and member.applied.version > 0 and not member.conflict
        until_ms = member.applied.sent_ms + self.terms.share_lease_ms
        for plan in self.pools.values():
            plan.set_lease(name, has_lease, until_ms)
        return self._advise(member, report, has_lease, now_ms)

    def _acknowledge(self, member: Member, report: Report) -> None:
        if report.epoch != self.epoch:
            return
        if report.version > self._version:
            raise InvalidReportError(
                f"report {report.serial} names advice {report.version}, which was not given"
            )
        applied = member.acknowledge(report.version)
        if applied is not None and applied.has_lease:  # its grants replace all earlier ones there
            self._applied_versions[member.name] = applied.version

    def _apply(self, member: Member, report: PoolReport, span_ms: float, now_ms: float) -> None:
        if report.instance_index >= report.instances:
            raise InvalidReportError(
                f"pool {report.pool}: place {report.instance_index} of {report.instances}"
            )
        plan = self.pools.get(report.pool)
        if plan is None:
            plan = PoolPlan(report.pool, self.terms, self._applied_versions)
            self.pools[report.pool] = plan
        if report.anew:
            plan.load.new_session(member.name)
        if not member.conflict:
            member.conflict = plan.register(member.name, report, self.members)
        plan.load.apply(member.name, report, span_ms)
        was_advised = member.version > 0
        if self.learning(now_ms) and not member.conflict and not was_advised:
            plan.claim(member.name, report, now_ms)

    def _leave_unreported_pools(self, name: str, report: Report) -> None:
        reported = {pool_report.pool for pool_report in report.pools}
        for pool, plan in self.pools.items():
            if pool not in reported and name in plan.load.members:
                plan.remove(name)

    def tick(self, now_ms: float) -> None:
        """Update weights when they are due, and remove silent forwarders.

        To be called several times a second, between the reports.
        """
        span_ms = now_ms - self._weights_updated_ms
        if span_ms >= self.terms.weights_interval_ms:
            self._weights_updated_ms = now_ms
            for plan in self.pools.values():
                plan.load.update_weights(span_ms, unbounded_steps=self.learning(now_ms))
        for name, member in list(self.members.items()):
            if now_ms - member.last_report_ms >= self.terms.member_timeout_ms:
                self._remove(name)

    def _remove(self, name: str) -> None:
        """Forget a silent forwarder: its grants run to their ends, its own shares are its own again."""
        del self.members[name]
        self._applied_versions.pop(name, None)
        for plan in self.pools.values():
            plan.remove(name)

    # ------------------------------------------------ advice

    def _advise(self, member: Member, report: Report, has_lease: bool, now_ms: float) -> Advice:
        learning = self.learning(now_ms)
        if has_lease and learning and not self._covers_grants(member, now_ms):
            has_lease = False  # it keeps what it holds; nothing is said of it until the others are back too
        self._version += 1
        member.sent(SentAdvice(self._version, now_ms, has_lease))
        pools = [
            self._pool_advice(self.pools[pool_report.pool], member, has_lease, now_ms)
            for pool_report in report.pools
        ]
        return Advice(
            self.epoch,
            member.version,
            report.serial,
            self.terms.lease_ms,
            self.terms.share_lease_ms,
            has_lease,
            learning,
            member.conflict[:MAX_NOTE_CHARACTERS],
            pools,
        )

    def _covers_grants(self, member: Member, now_ms: float) -> bool:
        until_ms = self._grant_end_ms(now_ms)
        return all(plan.covers_grants(member.name, now_ms, until_ms) for plan in self.pools.values())

    def _pool_advice(self, plan: PoolPlan, member: Member, has_lease: bool, now_ms: float) -> PoolAdvice:
        load = plan.load.members[member.name]
        learning = self.learning(now_ms)
        advice = PoolAdvice(plan.load.name)
        version = plan.load.weights_version
        if self._has_enough_reports(plan, now_ms) and load.sent_weights_version != version:
            load.sent_weights_version = version
            advice.weights = load.numbering.weights(version)
        if has_lease and plan.lessors is not None:
            until_ms = self._grant_end_ms(now_ms)
            plan.assign_ramp_shares(now_ms, until_ms)
            grants = plan.grant_ramp_shares(member.name, member.version, learning, now_ms, until_ms)
            advice.ramp_shares = list(grants)
            advice.own_share = None if learning else plan.own_share(member.name, until_ms)
        return advice

    def _has_enough_reports(self, plan: PoolPlan, now_ms: float) -> bool:
        """Whether weights may be advised in a pool.

        While this incarnation learns, forwarders keep the weights that the previous one advised. Afterwards
        the configured fraction of them must report, or must have been waited for.
        """
        if plan.lessors is None or self.learning(now_ms):
            return False
        has_waited = now_ms >= self.started_ms + LEARNING_TIMES_WAITED * self.terms.share_lease_ms
        return (
            has_waited or len(plan.load.members) >= self.terms.min_reporting_fraction * plan.lessors.instances
        )

    def _grant_end_ms(self, now_ms: float) -> float:
        """When a grant of now has ended at every forwarder; what it is made of must be leased until then."""
        return now_ms + self.terms.lease_ms * (1.0 + CLOCK_DRIFT)

    # ------------------------------------------------ for operators

    def explain(self, pool: str, address: str, now_ms: float) -> dict[str, Any] | None:
        """Why a server gets what it gets, as values for JSON; None if the server or pool is not known."""
        plan = self.pools.get(pool)
        if plan is None:
            return None
        return explain_server(plan, address, now_ms, now_ms + self.terms.lease_ms)

    def status(self, now_ms: float) -> dict[str, Any]:
        """Forwarders and pools, as values for JSON; docs/operators/planning.md names the keys."""
        return {
            "name": self.name,
            "epoch": self.epoch,
            "learning": self.learning(now_ms),
            "reports": self.reports,
            "refused": self.rejected,
            "forwarders": [member_status(member, now_ms) for member in self.members.values()],
            "pools": [pool_status(name, plan) for name, plan in self.pools.items()],
        }
