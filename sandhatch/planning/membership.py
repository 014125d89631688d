"""The forwarders that report to a planner, and which of its advice each has applied.

No I/O, no clock. Source: the acknowledgement rules of docs/planning-link.md.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

MAX_UNACKNOWLEDGED = 64  # advice that a forwarder may still acknowledge


@dataclass(slots=True, frozen=True)
class SentAdvice:
    """Advice that was sent to a forwarder.

    Attributes:
        version: Its version.
        sent_ms: When it was sent.
        has_lease: Whether it counted the forwarder's own shares as leased.
    """

    version: int
    sent_ms: float
    has_lease: bool


NO_ADVICE = SentAdvice(0, 0.0, False)


@dataclass
class Member:
    """One forwarder, in this planner's present incarnation.

    Attributes:
        name: Its name.
        last_report_ms: When it reported or connected last.
        version: Version of the last advice that it was sent; 0 for none.
        unacknowledged: Advice that it was sent after the last that it applied.
        applied: The last advice that it is known to have applied.
        conflict: Why it cannot lease its shares; empty if it can.
    """

    name: str
    last_report_ms: float
    version: int = 0
    unacknowledged: deque[SentAdvice] = field(default_factory=deque)
    applied: SentAdvice = NO_ADVICE
    conflict: str = ""

    def sent(self, advice: SentAdvice) -> None:
        """Record advice; the oldest of more than `MAX_UNACKNOWLEDGED` can be acknowledged no longer."""
        self.version = advice.version
        self.unacknowledged.append(advice)
        while len(self.unacknowledged) > MAX_UNACKNOWLEDGED:
            self.unacknowledged.popleft()

    def acknowledge(self, version: int) -> SentAdvice | None:
        """Record that advice was applied; returns it, or None if it was acknowledged before."""
        acknowledged = None
        while self.unacknowledged and self.unacknowledged[0].version <= version:
            advice = self.unacknowledged.popleft()
            if advice.version == version:
                self.applied = advice
                acknowledged = advice
        return acknowledged
