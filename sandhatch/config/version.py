"""One version of the configuration and its states.

A table holds the allowed transitions; any other transition is a programming error. No I/O and no clock.
Source: docs/operators/configuration.md, section on changes under traffic.
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
    ACTIVE = "in force"  # the version is active but not confirmed: it may still be rolled back
    CONFIRMING = "confirming"
    CONFIRMED = "confirmed"
    FAILED = "failed"
    ROLLED_BACK = "taken back"  # the version was rolled back
    LOST = "lost"  # the process ended before the version was confirmed


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
        number: Number of the version, counted from 1 and never reused.
        base: Number of the version that was active when this one was committed; 0 for the first.
        checked: Content, checked in full.
        state: Current state.
        author: Author of the change.
        comment: Free text of the author.
        made_ms: Time of the commit.
        changes: Number of keys that differ from the base.
        why: Reason for the failure or rollback; empty otherwise.
        confirm_within_ms: Time after the activation within which the version must be confirmed manually; None
            for no such limit.
        watch_window_ms: Time after the activation for which the goodput is watched; None for no watch.
        confirm_by_ms: Time at which the active version is rolled back unless it is confirmed manually.
        watch_until_ms: Time at which the watch ends; a version that has no time limit for manual confirmation
            is confirmed then.
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
        """Content as plain data."""
        return self.checked.data

    @property
    def awaits_confirmation(self) -> bool:
        """Whether the version is confirmed manually or by a watch, and not upon activation."""
        return any((self.confirm_within_ms, self.watch_window_ms, self.confirm_by_ms))

    def transition(self, target: State, reason: str = "") -> None:
        """Change to another state.

        Raises:
            AssertionError: The table of transitions does not allow the change.
        """
        if target not in TRANSITIONS[self.state]:
            raise AssertionError(f"version {self.number}: {self.state.value} -> {target.value}")
        self.state = target
        self.why = reason or self.why
