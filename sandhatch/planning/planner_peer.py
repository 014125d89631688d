"""A forwarder's state of one planner: session, applied advice, health and faults.

Checks advice and counts faults of this planner only; `planner_selection` compares planners. No I/O, no clock.
Source: the acknowledgement rules of docs/planning-link.md.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from sandhatch.planning.backoff import backoff_bound_ms
from sandhatch.planning.messages import Advice
from sandhatch.planning.pool_reporter import PoolReporter
from sandhatch.planning.terms import ForwarderTerms

MAX_UNACKNOWLEDGED_REPORTS = 64  # reports for which advice is still accepted
# Upper bound of the byte credit, in seconds of the report rate: the first reports of a session carry the
# complete endpoint list.
MAX_CREDIT_S = 4.0


@dataclass(slots=True, frozen=True)
class AdviceId:
    """Identifier of advice: the planner's epoch and the version within that epoch."""

    epoch: int
    version: int


NO_ADVICE = AdviceId(0, 0)


@dataclass(slots=True, frozen=True)
class SentReport:
    """A report for which advice may still arrive."""

    serial: int
    sent_ms: float


@dataclass
class PlannerPeer:
    """One planner of a forwarder.

    Attributes:
        name: Name of the planner.
        rank: Position in the configured order of planners.
        connected: Whether a session is established.
        epoch: Highest epoch of the planner seen so far.
        serial: Number of the last report in this session.
        version: Version of the last advice received in this session.
        applied: Identifier of the last applied advice.
        applied_ms: Time at which the last advice was applied.
        applied_before: Identifier of the advice applied before the last one.
        share_lease_ms: Duration for which each advice leases the forwarder's own shares.
        valid_until_ms: Expiry time of the last applied advice.
        healthy_since_ms: Start of the period in which valid advice has arrived without a gap; infinite if the
            planner is not healthy.
        learning: Whether the planner's last advice said that the planner is still learning.
        unacknowledged_reports: Reports of this session for which advice may still arrive.
        reporters: Reporters of this session, by pool.
        last_report_ms: Time of the last report.
        credit_bytes: Bytes of reports that may be sent to the planner now.
        fault_times_ms: Times of the faults within the fault window.
        backoffs: Number of times the circuit has opened.
        backoff_until_ms: Time until which the circuit is open.
        report_now: Whether to report at the next tick without waiting for the report interval.
        reports: Number of reports sent.
        advices: Number of advice messages received.
        late: Number of advice messages that had expired on arrival.
        faults: Number of rejected advice messages and protocol violations.
        last_reason: Reason of the last expired advice or fault, or the planner's last note.
    """

    name: str
    rank: int
    connected: bool = False
    epoch: int = 0
    serial: int = 0
    version: int = 0
    applied: AdviceId = NO_ADVICE
    applied_ms: float = -math.inf
    applied_before: AdviceId = NO_ADVICE
    share_lease_ms: float = 0.0
    valid_until_ms: float = -math.inf
    healthy_since_ms: float = math.inf
    learning: bool = True
    unacknowledged_reports: deque[SentReport] = field(default_factory=deque)
    reporters: dict[str, PoolReporter] = field(default_factory=dict)
    last_report_ms: float = -math.inf
    credit_bytes: float = 0.0
    fault_times_ms: deque[float] = field(default_factory=deque)
    backoffs: int = 0
    backoff_until_ms: float = -math.inf
    report_now: bool = False
    reports: int = 0
    advices: int = 0
    late: int = 0
    faults: int = 0
    last_reason: str = ""

    # ------------------------------------------------ sessions

    def begin_session(
        self, epoch: int, reporters: dict[str, PoolReporter], bytes_per_s: float, now_ms: float
    ) -> None:
        """Reset the state of a session when one begins, with a planner of this epoch."""
        self.connected = True
        self.epoch = epoch
        self.serial = 0
        self.version = 0
        self.unacknowledged_reports.clear()
        self.reporters = reporters
        self.credit_bytes = MAX_CREDIT_S * bytes_per_s
        self.last_report_ms = now_ms
        self.report_now = True
        self.learning = True
        self.healthy_since_ms = math.inf

    def end_session(self) -> None:
        """Record the end of the session; applied advice stays valid until it expires."""
        self.connected = False
        self.healthy_since_ms = math.inf
        for reporter in self.reporters.values():
            reporter.close()
        self.reporters = {}

    # ------------------------------------------------ reports

    def next_serial(self, bytes_per_s: float, now_ms: float) -> int:
        """Begin a report and add the byte credit earned since the last one; returns the report's serial."""
        span_ms = now_ms - self.last_report_ms
        self.last_report_ms = now_ms
        self.report_now = False
        self.serial += 1
        self.reports += 1
        max_credit_bytes = MAX_CREDIT_S * bytes_per_s
        self.credit_bytes = min(max_credit_bytes, self.credit_bytes + span_ms * bytes_per_s / 1000.0)
        self.unacknowledged_reports.append(SentReport(self.serial, now_ms))
        while len(self.unacknowledged_reports) > MAX_UNACKNOWLEDGED_REPORTS:
            self.unacknowledged_reports.popleft()
        return self.serial

    def report_sent_ms(self, serial: int) -> float | None:
        """Time at which a report was sent; None if unknown.

        Earlier reports are discarded: later advice on them is rejected.
        """
        while self.unacknowledged_reports and self.unacknowledged_reports[0].serial < serial:
            self.unacknowledged_reports.popleft()
        if self.unacknowledged_reports and self.unacknowledged_reports[0].serial == serial:
            return self.unacknowledged_reports[0].sent_ms
        return None

    # ------------------------------------------------ advice

    def rejection_reason(self, advice: Advice, max_lease_ms: float) -> str | None:
        """Reason to reject advice before its advice on pools is checked; None if there is no reason."""
        if advice.epoch != self.epoch:
            return f"advice of epoch {advice.epoch} in a session of epoch {self.epoch}"
        if advice.version <= self.version:
            return f"advice {advice.version} after {self.version}"
        if advice.share_lease_ms > max_lease_ms or advice.lease_ms > advice.share_lease_ms:
            return (
                f"a lease of {advice.lease_ms:g} ms within {advice.share_lease_ms:g} ms;"
                f" {max_lease_ms:g} ms is the most"
            )
        return None

    def record_expired_advice(self, version: int, age_ms: float) -> None:
        """Record advice that had expired on arrival, `age_ms` after its report was sent."""
        self.late += 1
        self.last_reason = f"advice {version} expired: received {age_ms:.0f} ms after its report was sent"
        self.healthy_since_ms = math.inf

    def apply(self, advice: Advice, valid_until_ms: float, now_ms: float) -> None:
        """Record advice as applied."""
        self.applied_before = self.applied
        # The planner grants nothing before a report has acknowledged its advice, so the next report is not
        # delayed.
        if self.applied.epoch != self.epoch or self.learning != advice.learning:
            self.report_now = True
        self.applied = AdviceId(advice.epoch, advice.version)
        self.applied_ms = now_ms
        self.share_lease_ms = advice.share_lease_ms
        self.learning = advice.learning
        self.valid_until_ms = valid_until_ms
        self.healthy_since_ms = min(self.healthy_since_ms, now_ms)

    def revert(self) -> None:
        """Undo the last advice, which a balancer rejected; the previous grants remain in force."""
        self.applied = self.applied_before

    # ------------------------------------------------ health

    def is_healthy(self, now_ms: float) -> bool:
        """Whether the planner is connected, its advice is valid and its circuit is closed."""
        return self.connected and self.valid_until_ms > now_ms and now_ms >= self.backoff_until_ms

    def has_recovered(self, now_ms: float, hold_ms: float) -> bool:
        """Whether the planner has been healthy for long enough to get the lease back."""
        return self.is_healthy(now_ms) and now_ms - self.healthy_since_ms >= hold_ms

    def record_fault(self, reason: str, now_ms: float, terms: ForwarderTerms) -> float | None:
        """Count a fault; returns the backoff in milliseconds if the circuit opens, otherwise None."""
        self.faults += 1
        self.last_reason = reason
        self.fault_times_ms.append(now_ms)
        while self.fault_times_ms[0] <= now_ms - terms.fault_window_ms:
            self.fault_times_ms.popleft()
        if len(self.fault_times_ms) < terms.fault_limit:
            return None
        backoff_ms = backoff_bound_ms(terms.min_backoff_ms, terms.max_backoff_ms, self.backoffs)
        self.backoffs += 1
        self.backoff_until_ms = now_ms + backoff_ms
        self.fault_times_ms.clear()
        self.healthy_since_ms = math.inf
        return backoff_ms

    # ------------------------------------------------ for operators

    def status(self, now_ms: float) -> dict[str, Any]:
        """State of the planner as JSON values; the keys are part of the interface of `sandhatch status`."""
        backoff_ms = max(0, round(self.backoff_until_ms - now_ms)) if self.backoffs else 0
        if backoff_ms:
            state = "shunned"
        elif self.connected:
            state = "up"
        else:
            state = "down"
        return {
            "planner": self.name,
            "state": state,
            "epoch": self.epoch,
            "advice_counts": self.valid_until_ms > now_ms,
            "learning": self.learning,
            "reports": self.reports,
            "advices": self.advices,
            "late": self.late,
            "refused": self.faults,
            "shunned_ms": backoff_ms,
            "last": self.last_reason,
        }
