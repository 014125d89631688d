"""The forwarder's state machine: its reports, the advice it applies, and the lease of its own shares.

Reports go to every planner, and the weights of all planners are used (`sandhatch.balancing.guidance` takes
their median). Without a healthy planner the forwarder uses its own shares once their lease has ended. Events
and ticks in, actions out; no I/O, no clock. Source: docs/design/planning.md.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from sandhatch.balancing.events import Guidance, OwnSharesLeased, RampShare, ServerWeight
from sandhatch.balancing.guidance.ramp_allocation import ramp_burst
from sandhatch.balancing.settings import Settings
from sandhatch.planning.actions import Action, EndSession, LogLine, NotifyBalancer, SendReport
from sandhatch.planning.lessors import CLOCK_DRIFT
from sandhatch.planning.messages import Advice, PoolAdvice, RampShareRow, Report, WeightRow
from sandhatch.planning.observer import Observer
from sandhatch.planning.planner_peer import PlannerPeer
from sandhatch.planning.planner_selection import PlannerSelection
from sandhatch.planning.pool_reporter import PoolReporter
from sandhatch.planning.terms import ForwarderTerms

MAX_SPAN_MS = 3_600_000.0  # maximum `span_ms` that the schema of a report accepts
REPORT_OVERHEAD_BYTES = 64
POOL_OVERHEAD_BYTES = 32
MAX_LOGGED_FAULTS = 3  # faults logged per planner; later faults are visible only in the status


@dataclass
class _Pool:
    """A pool with its current settings."""

    name: str
    settings: Settings
    observer: Observer


@dataclass(slots=True, frozen=True)
class _AppliedAdvice:
    """The part of a planner's advice that is common to all pools."""

    peer: PlannerPeer
    report_sent_ms: float
    valid_until_ms: float
    has_lease: bool


class Forwarder:
    """One forwarder, over all its pools and planners.

    Attributes:
        name: The forwarder's name.
        terms: The forwarder's settings.
        peers: The planners by name, in order of preference.
        pools: The pools by name.
    """

    def __init__(
        self,
        name: str,
        planners: Sequence[str],
        now_ms: float,
        terms: ForwarderTerms | None = None,
        previous_lease_ms: float | None = None,
    ) -> None:
        """Start without pools and sessions.

        Args:
            name: The forwarder's name.
            planners: Names of the planners, in order of preference.
            now_ms: Current time.
            terms: The forwarder's settings.
            previous_lease_ms: Time after the start in which a lease of an earlier process of this forwarder
                may still be valid; by default the longest lease that is accepted.
        """
        self.name = name
        self.terms = terms or ForwarderTerms()
        self.peers = {planner: PlannerPeer(planner, rank) for rank, planner in enumerate(planners)}
        self.pools: dict[str, _Pool] = {}
        previous_lease_ms = (
            self.terms.max_lease_ms * (1.0 + CLOCK_DRIFT) if previous_lease_ms is None else previous_lease_ms
        )
        self._selection = PlannerSelection(self.peers, self.terms.hold_ms, now_ms + previous_lease_ms)
        # Ramp shares that were last granted to this forwarder, by pool.
        self._last_ramp_shares: dict[str, Sequence[RampShare]] = {}
        self._ramp_shares_until_ms = -math.inf

    @property
    def leased_to(self) -> str | None:
        """The lease holder of this forwarder's own shares; None if they are not leased."""
        return self._selection.lease_holder

    @property
    def leased_until_ms(self) -> float:
        """Time until which other forwarders may use this forwarder's own shares."""
        return self._selection.leased_until_ms

    # ------------------------------------------------ pools and sessions

    def add_pool(self, name: str, settings: Settings, observer: Observer) -> list[Action]:
        """Add a pool, or replace its settings; its balancer is notified at once of the current lease."""
        existing = self.pools.get(name)
        if existing is not None and existing.observer is observer:
            existing.settings = settings
        else:
            self.drop_pool(name)
            self.pools[name] = _Pool(name, settings, observer)
            for peer in self.peers.values():
                if peer.connected:
                    peer.reporters[name] = observer.new_reporter()
        return [NotifyBalancer(name, OwnSharesLeased(self.leased_until_ms))]

    def drop_pool(self, name: str) -> None:
        """Remove a pool from the forwarder's reports."""
        if self.pools.pop(name, None) is None:
            return
        for peer in self.peers.values():
            reporter = peer.reporters.pop(name, None)
            if reporter is not None:
                reporter.close()

    def connected(self, planner: str, epoch: int, now_ms: float) -> list[Action]:
        """Start a session with a planner; an epoch below the highest one seen of that planner is rejected."""
        peer = self.peers[planner]
        if epoch < peer.epoch:
            reason = f"epoch {epoch} is before {peer.epoch}"
            return [*self._record_fault(peer, reason, now_ms), EndSession(planner, reason)]
        reporters = {name: pool.observer.new_reporter() for name, pool in self.pools.items()}
        peer.begin_session(epoch, reporters, self.terms.bytes_per_s, now_ms)
        return []

    def disconnected(self, planner: str) -> None:
        """Record that the session has ended; applied advice stays valid until it expires."""
        self.peers[planner].end_session()

    def may_connect(self, planner: str, now_ms: float) -> bool:
        """Whether the planner's circuit is closed, so that a connection may be attempted."""
        return now_ms >= self.peers[planner].backoff_until_ms

    # ------------------------------------------------ advice

    def handle_advice(self, planner: str, advice: Advice, now_ms: float) -> list[Action]:
        """Apply a planner's advice, unless it is invalid, expired or out of order."""
        peer = self.peers[planner]
        if not peer.connected:
            return []
        peer.advices += 1
        rejection_reason = peer.rejection_reason(advice, self.terms.max_lease_ms)
        if rejection_reason is not None:
            return self._record_fault(peer, rejection_reason, now_ms)
        peer.version = advice.version
        report_sent_ms = peer.report_sent_ms(advice.answered_serial)
        if report_sent_ms is None:
            reason = f"advice {advice.version} answers report {advice.answered_serial}, unknown"
            return self._record_fault(peer, reason, now_ms)
        valid_until_ms = report_sent_ms + advice.lease_ms * (1.0 - CLOCK_DRIFT)
        if now_ms >= valid_until_ms:
            peer.record_expired_advice(advice.version, now_ms - report_sent_ms)
            return []
        actions = self._log_note(peer, advice.note) if advice.note else []
        peer.apply(advice, valid_until_ms, now_ms)
        has_lease = advice.has_lease and self.leased_to == planner
        applied = _AppliedAdvice(peer, report_sent_ms, valid_until_ms, has_lease)
        for pool_advice in advice.pools:
            pool = self.pools.get(pool_advice.pool)
            reporter = peer.reporters.get(pool_advice.pool)
            if pool is not None and reporter is not None:
                actions.append(
                    NotifyBalancer(pool.name, self._create_guidance(applied, pool_advice, reporter))
                )
        if has_lease:
            self._ramp_shares_until_ms = valid_until_ms
        return actions

    def _create_guidance(
        self, applied: _AppliedAdvice, pool_advice: PoolAdvice, reporter: PoolReporter
    ) -> Guidance:
        """Convert the advice on one pool to the balancer's server numbers."""
        weights = None
        if pool_advice.weights is not None:
            weights = _to_server_weights(pool_advice.weights, reporter)
        ramp_shares: list[RampShare] = []
        if applied.has_lease:
            ramp_shares = _to_ramp_shares(pool_advice.ramp_shares, reporter)
            self._last_ramp_shares[pool_advice.pool] = ramp_shares
        return Guidance(
            applied.peer.name,
            applied.report_sent_ms,
            applied.valid_until_ms,
            weights,
            applied.has_lease,
            self.leased_until_ms if applied.has_lease else 0.0,
            ramp_shares,
            pool_advice.own_share if applied.has_lease else None,
        )

    def guidance_rejected(self, planner: str, reason: str, now_ms: float) -> list[Action]:
        """Record that a balancer rejected the planner's last advice, which is then not acknowledged."""
        peer = self.peers[planner]
        peer.revert()
        return self._record_fault(peer, reason, now_ms)

    def protocol_violated(self, planner: str, reason: str, now_ms: float) -> list[Action]:
        """Record a planner's violation of the protocol as a fault."""
        return self._record_fault(self.peers[planner], reason, now_ms)

    @staticmethod
    def _log_note(peer: PlannerPeer, note: str) -> list[Action]:
        """Log a planner's note, unless it repeats the previous one."""
        if note == peer.last_reason:
            return []
        peer.last_reason = note
        return [LogLine(f"planner {peer.name}: {note}")]

    def _record_fault(self, peer: PlannerPeer, reason: str, now_ms: float) -> list[Action]:
        backoff_ms = peer.record_fault(reason, now_ms, self.terms)
        actions: list[Action] = []
        if peer.faults <= MAX_LOGGED_FAULTS:
            actions.append(LogLine(f"planner {peer.name}: rejected: {reason}"))
        if backoff_ms is None:
            return actions
        if self.leased_to == peer.name:
            self._selection.lease_holder = None
        actions.append(LogLine(f"planner {peer.name}: circuit open for {backoff_ms / 1000.0:g} s"))
        actions.append(EndSession(peer.name, reason))
        return actions

    # ------------------------------------------------ reports

    def tick(self, now_ms: float) -> list[Action]:
        """Select the lease holder and send due reports; to be called several times per report interval."""
        selection_change = self._selection.update(now_ms)
        actions: list[Action] = [] if selection_change is None else [LogLine(selection_change)]
        for peer in self.peers.values():
            if not peer.connected:
                continue
            if peer.report_now or now_ms - peer.last_report_ms >= self.terms.report_ms:
                actions += self._create_report(peer, now_ms)
        return actions

    def _create_report(self, peer: PlannerPeer, now_ms: float) -> list[Action]:
        span_ms = now_ms - peer.last_report_ms
        serial = peer.next_serial(self.terms.bytes_per_s, now_ms)
        leases_shares = self.leased_to == peer.name
        report = Report(serial, min(span_ms, MAX_SPAN_MS), leases_shares=leases_shares)
        if peer.applied.epoch == peer.epoch:
            report.epoch = peer.applied.epoch
            report.version = peer.applied.version
        actions: list[Action] = []
        if leases_shares:
            lease_end_ms = peer.applied_ms + peer.share_lease_ms * (1.0 + CLOCK_DRIFT)
            if self._selection.extend(lease_end_ms):
                actions += [
                    NotifyBalancer(pool, OwnSharesLeased(self.leased_until_ms)) for pool in self.pools
                ]
        self._add_pool_reports(report, peer, now_ms)
        actions.append(SendReport(peer.name, report))
        return actions

    def _add_pool_reports(self, report: Report, peer: PlannerPeer, now_ms: float) -> None:
        """Add all pools to a report, within the peer's byte budget."""
        budget_bytes = int(peer.credit_bytes) - REPORT_OVERHEAD_BYTES
        for name, pool in self.pools.items():
            pool_budget_bytes = max(0, budget_bytes - POOL_OVERHEAD_BYTES)
            previous_grants = self._previous_grants(name, peer, now_ms)
            pool_report, remaining_bytes = peer.reporters[name].report(
                name, now_ms, pool_budget_bytes, previous_grants
            )
            pool_report.instances = pool.settings.instances
            pool_report.instance_index = pool.settings.instance_index
            pool_report.burst = ramp_burst(pool.settings)
            budget_bytes = min(budget_bytes - POOL_OVERHEAD_BYTES, remaining_bytes)
            report.pools.append(pool_report)
        peer.credit_bytes = max(0.0, float(budget_bytes))

    def _previous_grants(self, pool: str, peer: PlannerPeer, now_ms: float) -> list[RampShareRow]:
        """Ramp shares to report to a planner whose previous incarnation granted these shares.

        These shares stay valid, so the new incarnation must count them before it grants any.
        """
        was_lease_holder = self._selection.last_lease_holder == peer.name
        if not (peer.learning and was_lease_holder and now_ms < self._ramp_shares_until_ms):
            return []
        shares = self._last_ramp_shares.get(pool, ())
        return [RampShareRow(share.server, share.rate, share.burst) for share in shares]

    # ------------------------------------------------ for operators

    def status(self, now_ms: float) -> dict[str, Any]:
        """Status of the links as JSON values; the keys are part of the interface of `sandhatch status`."""
        own_shares_in_ms = None
        if self.leased_to is None:
            own_shares_in_ms = max(0, round(self.leased_until_ms - now_ms))
        return {
            "forwarder": self.name,
            "lends_to": self.leased_to,
            "own_parts_in_ms": own_shares_in_ms,
            "planners": [peer.status(now_ms) for peer in self.peers.values()],
        }


def _to_server_weights(rows: Iterable[WeightRow], reporter: PoolReporter) -> list[ServerWeight]:
    """Convert weights to the balancer's server numbers; omit servers without a number in the session."""
    weights = []
    for row in rows:
        server = reporter.server_of(row.server)
        if server is not None:
            weights.append(ServerWeight(server, row.weight))
    return weights


def _to_ramp_shares(rows: Iterable[RampShareRow], reporter: PoolReporter) -> list[RampShare]:
    """Convert ramp shares to the balancer's server numbers; omit servers without a number in the session."""
    ramp_shares = []
    for row in rows:
        server = reporter.server_of(row.server)
        if server is not None:
            ramp_shares.append(RampShare(server, row.rate, row.burst))
    return ramp_shares
