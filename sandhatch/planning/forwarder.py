"""The forwarder's state machine: what it reports, which advice it applies, whom it leases its shares to.

Every planner gets reports, and every one's weights are used (`sandhatch.balancing.guidance` takes their
median). Without a healthy planner the forwarder uses its own shares once their lease has ended. Events and
ticks in, actions out; no I/O, no clock. Source: docs/design/planning.md.
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

MAX_SPAN_MS = 3_600_000.0  # that a report may state
REPORT_OVERHEAD_BYTES = 64
POOL_OVERHEAD_BYTES = 32
MAX_LOGGED_FAULTS = 3  # of each planner; the status shows the later ones


@dataclass
class _Pool:
    """A pool, with the settings in force."""

    name: str
    settings: Settings
    observer: Observer


@dataclass(slots=True, frozen=True)
class _AppliedAdvice:
    """What holds for all pools of one piece of advice."""

    peer: PlannerPeer
    report_sent_ms: float
    valid_until_ms: float
    has_lease: bool


class Forwarder:
    """One forwarder, over all its pools and planners.

    Attributes:
        name: The forwarder's name.
        terms: Its settings.
        peers: The planners by name, in the order in which they are preferred.
        pools: The pools by name.
    """

    def __init__(
        self,
        name: str,
        planners: Sequence[str],
        now_ms: float,
        terms: ForwarderTerms | None = None,
        quiet_ms: float | None = None,
    ) -> None:
        """Start without pools and sessions.

        Args:
            name: The forwarder's name.
            planners: Names of the planners, in the order in which they are preferred.
            now_ms: The time.
            terms: The settings.
            quiet_ms: How long after the start a lease of an earlier process of this forwarder may be valid;
                by default the longest lease that is accepted.
        """
        self.name = name
        self.terms = terms or ForwarderTerms()
        self.peers = {planner: PlannerPeer(planner, rank) for rank, planner in enumerate(planners)}
        self.pools: dict[str, _Pool] = {}
        quiet_ms = self.terms.max_lease_ms * (1.0 + CLOCK_DRIFT) if quiet_ms is None else quiet_ms
        self._selection = PlannerSelection(self.peers, self.terms.hold_ms, now_ms + quiet_ms)
        self._ramp_shares: dict[str, Sequence[RampShare]] = {}  # granted last, by pool
        self._ramp_shares_until_ms = -math.inf

    @property
    def leased_to(self) -> str | None:
        """The planner that this forwarder's own shares are leased to; None for none."""
        return self._selection.lessee

    @property
    def leased_until_ms(self) -> float:
        """Until then other forwarders may use this forwarder's own shares."""
        return self._selection.leased_until_ms

    # ------------------------------------------------ pools and sessions

    def add_pool(self, name: str, settings: Settings, observer: Observer) -> list[Action]:
        """Add a pool, or another version of it; its balancer must know at once what is leased."""
        known = self.pools.get(name)
        if known is not None and known.observer is observer:
            known.settings = settings
        else:
            self.drop_pool(name)
            self.pools[name] = _Pool(name, settings, observer)
            for peer in self.peers.values():
                if peer.connected:
                    peer.reporters[name] = observer.new_reporter()
        return [NotifyBalancer(name, OwnSharesLeased(self.leased_until_ms))]

    def drop_pool(self, name: str) -> None:
        """Remove a pool."""
        if self.pools.pop(name, None) is None:
            return
        for peer in self.peers.values():
            reporter = peer.reporters.pop(name, None)
            if reporter is not None:
                reporter.close()

    def connected(self, planner: str, epoch: int, now_ms: float) -> list[Action]:
        """A session with a planner begins; one of an earlier epoch than was seen of it is rejected."""
        peer = self.peers[planner]
        if epoch < peer.epoch:
            reason = f"epoch {epoch} is before {peer.epoch}"
            return [*self._fault(peer, reason, now_ms), EndSession(planner, reason)]
        reporters = {name: pool.observer.new_reporter() for name, pool in self.pools.items()}
        peer.begin_session(epoch, reporters, self.terms.bytes_per_s, now_ms)
        return []

    def disconnected(self, planner: str) -> None:
        """The session has ended; what was advised counts until it expires."""
        self.peers[planner].end_session()

    def may_connect(self, planner: str, now_ms: float) -> bool:
        """Whether the planner's circuit is closed."""
        return now_ms >= self.peers[planner].backoff_until_ms

    # ------------------------------------------------ advice

    def advice(self, planner: str, advice: Advice, now_ms: float) -> list[Action]:
        """Apply a planner's advice, unless it is invalid, expired or out of order."""
        peer = self.peers[planner]
        if not peer.connected:
            return []
        peer.advices += 1
        rejection_reason = peer.rejection_reason(advice, self.terms.max_lease_ms)
        if rejection_reason is not None:
            return self._fault(peer, rejection_reason, now_ms)
        peer.version = advice.version
        sent_ms = peer.report_sent_ms(advice.answered_serial)
        if sent_ms is None:
            reason = f"advice {advice.version} answers report {advice.answered_serial}, unknown"
            return self._fault(peer, reason, now_ms)
        until_ms = sent_ms + advice.lease_ms * (1.0 - CLOCK_DRIFT)
        if now_ms >= until_ms:
            peer.expired(advice.version, now_ms - sent_ms)
            return []
        actions = self._note(peer, advice.note) if advice.note else []
        peer.apply(advice, until_ms, now_ms)
        has_lease = advice.has_lease and self.leased_to == planner
        applied = _AppliedAdvice(peer, sent_ms, until_ms, has_lease)
        for pool_advice in advice.pools:
            pool = self.pools.get(pool_advice.pool)
            reporter = peer.reporters.get(pool_advice.pool)
            if pool is not None and reporter is not None:
                actions.append(NotifyBalancer(pool.name, self._guidance(applied, pool_advice, reporter)))
        if has_lease:
            self._ramp_shares_until_ms = until_ms
        return actions

    def _guidance(self, applied: _AppliedAdvice, pool_advice: PoolAdvice, reporter: PoolReporter) -> Guidance:
        """The advice on one pool, by the balancer's numbers of the servers."""
        weights = None
        if pool_advice.weights is not None:
            weights = _server_weights(pool_advice.weights, reporter)
        ramp_shares: list[RampShare] = []
        if applied.has_lease:
            ramp_shares = _ramp_shares(pool_advice.ramp_shares, reporter)
            self._ramp_shares[pool_advice.pool] = ramp_shares
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

    def guidance_rejected(self, planner: str, why: str, now_ms: float) -> list[Action]:
        """A balancer rejected what this planner advised last."""
        peer = self.peers[planner]
        peer.revert()
        return self._fault(peer, why, now_ms)

    def protocol_violated(self, planner: str, why: str, now_ms: float) -> list[Action]:
        """A planner has violated the protocol."""
        return self._fault(self.peers[planner], why, now_ms)

    @staticmethod
    def _note(peer: PlannerPeer, note: str) -> list[Action]:
        """Log a planner's note, once."""
        if note == peer.last_reason:
            return []
        peer.last_reason = note
        return [LogLine(f"planner {peer.name}: {note}")]

    def _fault(self, peer: PlannerPeer, reason: str, now_ms: float) -> list[Action]:
        backoff_ms = peer.record_fault(reason, now_ms, self.terms)
        actions: list[Action] = []
        if peer.faults <= MAX_LOGGED_FAULTS:
            actions.append(LogLine(f"planner {peer.name}: rejected: {reason}"))
        if backoff_ms is None:
            return actions
        if self.leased_to == peer.name:
            self._selection.lessee = None
        actions.append(LogLine(f"planner {peer.name}: circuit open for {backoff_ms / 1000.0:g} s"))
        actions.append(EndSession(peer.name, reason))
        return actions

    # ------------------------------------------------ reports

    def tick(self, now_ms: float) -> list[Action]:
        """Select a planner and send the reports that are due; to be called several times an interval."""
        change = self._selection.update(now_ms)
        actions: list[Action] = [] if change is None else [LogLine(change)]
        for peer in self.peers.values():
            if not peer.connected:
                continue
            if peer.report_now or now_ms - peer.reported_ms >= self.terms.report_ms:
                actions += self._report(peer, now_ms)
        return actions

    def _report(self, peer: PlannerPeer, now_ms: float) -> list[Action]:
        span_ms = now_ms - peer.reported_ms
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
        self._add_pools(report, peer, now_ms)
        actions.append(SendReport(peer.name, report))
        return actions

    def _add_pools(self, report: Report, peer: PlannerPeer, now_ms: float) -> None:
        """Add all pools to a report, within the peer's credit of bytes."""
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
        """Ramp shares to report to a planner whose previous incarnation granted them.

        They stay valid, so the new incarnation must know of them before it grants anything.
        """
        was_lessee = self._selection.last_lessee == peer.name
        if not (peer.learning and was_lessee and now_ms < self._ramp_shares_until_ms):
            return []
        shares = self._ramp_shares.get(pool, ())
        return [RampShareRow(share.server, share.rate, share.burst) for share in shares]

    # ------------------------------------------------ for operators

    def status(self, now_ms: float) -> dict[str, Any]:
        """The link, as values for JSON; the keys are part of the interface of `sandhatch status`."""
        own_shares_in_ms = None
        if self.leased_to is None:
            own_shares_in_ms = max(0, round(self.leased_until_ms - now_ms))
        return {
            "forwarder": self.name,
            "lends_to": self.leased_to,
            "own_parts_in_ms": own_shares_in_ms,
            "planners": [peer.status(now_ms) for peer in self.peers.values()],
        }


def _server_weights(rows: Iterable[WeightRow], reporter: PoolReporter) -> list[ServerWeight]:
    """Weights by the balancer's numbers; servers that the session has not named are left out."""
    weights = []
    for row in rows:
        server = reporter.server_of(row.server)
        if server is not None:
            weights.append(ServerWeight(server, row.weight))
    return weights


def _ramp_shares(rows: Iterable[RampShareRow], reporter: PoolReporter) -> list[RampShare]:
    """Ramp shares by the balancer's numbers; servers that the session has not named are left out."""
    ramp_shares = []
    for row in rows:
        server = reporter.server_of(row.server)
        if server is not None:
            ramp_shares.append(RampShare(server, row.rate, row.burst))
    return ramp_shares
