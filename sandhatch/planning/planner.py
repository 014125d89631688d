"""State machine of a planner: reports and ticks are its input, advice is its output.

The planner advises server weights, shares of warm-up ramps and shares of a tier's capacity; the forwarders
bound each of them again (`sandhatch.balancing.guidance`). Planners do not communicate with each other and
need no leader. No I/O, no clock: times are milliseconds of any monotonic clock. Source:
docs/design/planning.md.
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

# Maximum time after the start of an incarnation, in multiples of `share_lease_ms`, for which the incarnation
# waits until enough of a pool's configured forwarders (`min_reporting_fraction`) report, before it advises
# weights in the pool.
MAX_WAIT_SHARE_LEASES = 4.0


class Planner:
    """One incarnation of a planner.

    Attributes:
        name: The planner's name.
        epoch: Number of this incarnation, higher than that of any earlier one.
        terms: The planner's settings.
        started_ms: Start time of this incarnation.
        members: Forwarders that report to this planner, by name.
        pools: Pools that the forwarders report on, by name.
        reports: Number of reports received.
        rejected: Number of reports rejected as invalid.
    """

    def __init__(self, name: str, epoch: int, now_ms: float, terms: PlannerTerms | None = None) -> None:
        """Start an incarnation without any state."""
        self.name = name
        self.epoch = epoch
        self.terms = terms or PlannerTerms()
        self.started_ms = now_ms
        self.members: dict[str, Member] = {}
        self.pools: dict[str, PoolPlan] = {}
        self.reports = 0
        self.rejected = 0
        # Advice versions are counted for all forwarders together: a count for each forwarder would start
        # again when the forwarder is removed and reconnects.
        self._version = 0
        # Version of the last advice that each forwarder is known to have applied, shared with the grant
        # ledgers.
        self._applied_versions: dict[str, int] = {}
        self._weights_updated_ms = now_ms

    # ------------------------------------------------ input

    def is_learning(self, now_ms: float) -> bool:
        """Whether grants of the previous incarnation may still be valid at some forwarder."""
        return now_ms < self.started_ms + self.terms.share_lease_ms * (1.0 + CLOCK_DRIFT)

    def forwarder_connected(self, name: str, now_ms: float) -> None:
        """Record that a forwarder has opened a session."""
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
            name: Name of the forwarder, authenticated by its session.
            report: Report to apply.
            now_ms: Current time.

        Returns:
            Advice to send to the forwarder.

        Raises:
            InvalidReportError: The report is inconsistent with its session; the caller should end the
                session.
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
        self._remove_from_unreported_pools(name, report)
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
        if applied is not None and applied.has_lease:  # the forwarder has dropped all earlier grants
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
        has_been_advised = member.version > 0
        if self.is_learning(now_ms) and not member.conflict and not has_been_advised:
            plan.record_previous_grants(member.name, report, now_ms)

    def _remove_from_unreported_pools(self, name: str, report: Report) -> None:
        reported = {pool_report.pool for pool_report in report.pools}
        for pool, plan in self.pools.items():
            if pool not in reported and name in plan.load.members:
                plan.remove(name)

    def tick(self, now_ms: float) -> None:
        """Update weights when they are due, and remove forwarders that have stopped reporting.

        Must be called several times a second, independently of reports.
        """
        span_ms = now_ms - self._weights_updated_ms
        if span_ms >= self.terms.weights_interval_ms:
            self._weights_updated_ms = now_ms
            for plan in self.pools.values():
                plan.load.update_weights(span_ms, unbounded_steps=self.is_learning(now_ms))
        for name, member in list(self.members.items()):
            if now_ms - member.last_report_ms >= self.terms.member_timeout_ms:
                self._remove_member(name)

    def _remove_member(self, name: str) -> None:
        """Remove a forwarder that has stopped reporting.

        Its grants stay valid until they expire; its own shares are no longer leased to this planner.
        """
        del self.members[name]
        self._applied_versions.pop(name, None)
        for plan in self.pools.values():
            plan.remove(name)

    # ------------------------------------------------ advice

    def _advise(self, member: Member, report: Report, has_lease: bool, now_ms: float) -> Advice:
        learning = self.is_learning(now_ms)
        if has_lease and learning and not self._has_capacity_for_grants(member, now_ms):
            # The advice leaves the forwarder's previous grants as they are until enough other forwarders have
            # leased their shares to this incarnation again.
            has_lease = False
        self._version += 1
        member.record_sent(SentAdvice(self._version, now_ms, has_lease))
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

    def _has_capacity_for_grants(self, member: Member, now_ms: float) -> bool:
        until_ms = self._grant_end_ms(now_ms)
        return all(
            plan.has_capacity_for_grants(member.name, now_ms, until_ms) for plan in self.pools.values()
        )

    def _pool_advice(self, plan: PoolPlan, member: Member, has_lease: bool, now_ms: float) -> PoolAdvice:
        load = plan.load.members[member.name]
        learning = self.is_learning(now_ms)
        advice = PoolAdvice(plan.load.name)
        version = plan.load.weights_version
        if self._has_enough_reports(plan, now_ms) and load.sent_weights_version != version:
            load.sent_weights_version = version
            advice.weights = load.numbering.weight_rows(version)
        if has_lease and plan.lessors is not None:
            until_ms = self._grant_end_ms(now_ms)
            plan.assign_ramp_shares(now_ms, until_ms)
            grants = plan.grant_ramp_shares(member.name, member.version, learning, now_ms, until_ms)
            advice.ramp_shares = list(grants)
            advice.own_share = None if learning else plan.own_share(member.name, until_ms)
        return advice

    def _has_enough_reports(self, plan: PoolPlan, now_ms: float) -> bool:
        """Whether weights may be advised in a pool.

        While this incarnation is learning, forwarders use the weights advised by the previous incarnation.
        Afterwards the configured fraction of forwarders must report, or the time to wait for them must be
        over.
        """
        if plan.lessors is None or self.is_learning(now_ms):
            return False
        is_report_wait_over = now_ms >= self.started_ms + MAX_WAIT_SHARE_LEASES * self.terms.share_lease_ms
        return (
            is_report_wait_over
            or len(plan.load.members) >= self.terms.min_reporting_fraction * plan.lessors.instances
        )

    def _grant_end_ms(self, now_ms: float) -> float:
        """Time by which a grant made now has expired at every forwarder.

        The shares from which the grant is made must be leased until that time.
        """
        return now_ms + self.terms.lease_ms * (1.0 + CLOCK_DRIFT)

    # ------------------------------------------------ for operators

    def explain(self, pool: str, address: str, now_ms: float) -> dict[str, Any] | None:
        """Evidence, weight and grants of a server as JSON values; None if the server or pool is unknown."""
        plan = self.pools.get(pool)
        if plan is None:
            return None
        return explain_server(plan, address, now_ms, now_ms + self.terms.lease_ms)

    def status(self, now_ms: float) -> dict[str, Any]:
        """Status of forwarders and pools as JSON values; docs/operators/planning.md documents the keys."""
        return {
            "name": self.name,
            "epoch": self.epoch,
            "learning": self.is_learning(now_ms),
            "reports": self.reports,
            "refused": self.rejected,
            "forwarders": [member_status(member, now_ms) for member in self.members.values()],
            "pools": [pool_status(name, plan) for name, plan in self.pools.items()],
        }
