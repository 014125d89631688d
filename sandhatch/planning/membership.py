"""Forwarders that report to a planner, and the advice that each has applied.

No I/O, no clock. Source: the acknowledgement rules of docs/planning-link.md.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

MAX_UNACKNOWLEDGED_ADVICE = 64  # advice messages that a forwarder may still acknowledge


@dataclass(slots=True, frozen=True)
class SentAdvice:
    """Advice that was sent to a forwarder.

    Attributes:
        version: Version of the advice.
        sent_ms: Time at which the advice was sent.
        has_lease: Whether the advice counted the forwarder's own shares as leased.
    """

    version: int
    sent_ms: float
    has_lease: bool


NO_ADVICE = SentAdvice(0, 0.0, False)


@dataclass
class Member:
    """One forwarder in the planner's current incarnation.

    Attributes:
        name: Name of the forwarder.
        last_report_ms: Time at which the forwarder last reported or connected.
        version: Version of the last advice sent to the forwarder; 0 for none.
        unacknowledged: Advice sent after the last advice that the forwarder is known to have applied.
        applied: Last advice that the forwarder is known to have applied.
        conflict: Reason why the forwarder cannot lease its shares; empty if the forwarder can lease them.
    """

    name: str
    last_report_ms: float
    version: int = 0
    unacknowledged: deque[SentAdvice] = field(default_factory=deque)
    applied: SentAdvice = NO_ADVICE
    conflict: str = ""

    def record_sent(self, advice: SentAdvice) -> None:
        """Record sent advice.

        Beyond `MAX_UNACKNOWLEDGED_ADVICE` the oldest advice is discarded and can no longer be acknowledged.
        """
        self.version = advice.version
        self.unacknowledged.append(advice)
        while len(self.unacknowledged) > MAX_UNACKNOWLEDGED_ADVICE:
            self.unacknowledged.popleft()

    def acknowledge(self, version: int) -> SentAdvice | None:
        """Record that advice was applied; returns the advice, or None if it was already acknowledged."""
        acknowledged = None
        while self.unacknowledged and self.unacknowledged[0].version <= version:
            advice = self.unacknowledged.popleft()
            if advice.version == version:
                self.applied = advice
                acknowledged = advice
        return acknowledged
