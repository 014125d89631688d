"""A number that moves linearly to a new target, so that no change of guidance is a step.

It never moves by itself: its value is computed for the time that the caller passes.
"""

from __future__ import annotations


class GradualValue:
    """A number that moves linearly over time to its target.

    Attributes:
        target: Where the value is at `end_ms` and after it.
        end_ms: When the change under way ends; 0 if there was none.
    """

    __slots__ = ("_start_ms", "_start_value", "end_ms", "target")

    def __init__(self, value: float) -> None:
        """Start at a value that doesn't change."""
        self.target = value
        self._start_value = value
        self._start_ms = 0.0
        self.end_ms = 0.0

    def value_at(self, now_ms: float) -> float:
        """The value at this time."""
        if now_ms >= self.end_ms:  # read at every draw: no arithmetic where nothing moves
            return self.target
        progress = max(0.0, now_ms - self._start_ms) / (self.end_ms - self._start_ms)
        return self._start_value + progress * (self.target - self._start_value)

    def change_to(self, target: float, now_ms: float, duration_ms: float) -> None:
        """Move from the present value to a new target; a change to the same target continues as it is."""
        if target == self.target:
            return
        self._start_value = self.value_at(now_ms)
        self.target = target
        self._start_ms = now_ms
        self.end_ms = now_ms + duration_ms

    def fall_or_rise_to(self, target: float, now_ms: float, duration_ms: float) -> None:
        """Fall to a lower target at once, or rise to a higher one gradually."""
        if target <= self.value_at(now_ms):
            self.target = target
            self._start_value = target
            self.end_ms = 0.0
        else:
            self.change_to(target, now_ms, duration_ms)
