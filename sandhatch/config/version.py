"""One version of the configuration and the states that it passes through.

The transitions are a table; a transition that the table does not allow is a fault of the program. No I/O
and no clock. Source: docs/operators/configuration.md, the part on changes under traffic.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from sandhatch.config.check import CheckedConfiguration


class State(Enum):
    """The state of a version. The values are stored on disk and shown to operators."""

    STAGING = "staging"
    SAVING = "saving"
    ACTIVE = "in force"  # active, and may still be rolled back
    CONFIRMING = "confirming"
    CONFIRMED = "confirmed"
    FAILED = "failed"
    ROLLED_BACK = "taken back"  # rolled back
    LOST = "lost"  # the process ended before it was confirmed


TRANSITIONS: Mapping[State, frozenset[State]] = {
    State.STAGING: frozenset((State.SAVING, State.FAILED)),
    State.SAVING: frozenset((State.ACTIVE, State.FAILED)),
    State.ACTIVE: frozenset((State.CONFIRMING, State.ROLLED_BACK, State.LOST)),
    State.CONFIRMING: frozenset((State.CONFIRMED, State.ROLLED_BACK, State.LOST)),
    State.CONFIRMED: frozenset(),
    State.FAILED: frozenset(),
    State.ROLLED_BACK: frozenset(),
    State.LOST: frozenset(),
}
TERMINAL_STATES = frozenset(state for state, targets in TRANSITIONS.items() if not targets)
NOT_APPLIED = frozenset((State.STAGING, State.SAVING))
RUNNING = frozenset((State.ACTIVE, State.CONFIRMING))


@dataclass(slots=True)
class Version:
    """One version of the configuration.

    Attributes:
        number: Counted from 1, never used twice.
        base: The version that was active when this one was committed; 0 for the first.
        checked: Its content, checked in full.
        state: Where it stands.
        author: Who proposed it.
        comment: Free text of the author.
        made_ms: When it was committed.
        changes: How many keys differ from its base.
        why: The reason for its failure or rollback; empty otherwise.
        confirm_within_ms: How long after its activation it must be confirmed by hand; None for no such limit.
        watch_window_ms: How long its goodput is watched after its activation; None for no watch.
        confirm_by_ms: When active: the time at which it is rolled back unless confirmed by hand.
        watch_until_ms: When active: the time at which it is confirmed if no fall of goodput was seen.
    """

    number: int
    base: int
    checked: CheckedConfiguration
    state: State
    author: str = ""
    comment: str = ""
    made_ms: float = 0.0
    changes: int = 0
    why: str = ""
    confirm_within_ms: float | None = None
    watch_window_ms: float | None = None
    confirm_by_ms: float | None = None
    watch_until_ms: float | None = None

    @property
    def data(self) -> dict[str, Any]:
        """Its content as plain data."""
        return self.checked.data

    @property
    def awaits_confirmation(self) -> bool:
        """Whether it is not confirmed as soon as it is active, but by hand or by a watch."""
        return any((self.confirm_within_ms, self.watch_window_ms, self.confirm_by_ms))

    def transition(self, target: State, reason: str = "") -> None:
        """Move to another state.

        Raises:
            AssertionError: The table of transitions does not allow it.
        """
        if target not in TRANSITIONS[self.state]:
            raise AssertionError(f"version {self.number}: {self.state.value} -> {target.value}")
        self.state = target
        self.why = reason or self.why
