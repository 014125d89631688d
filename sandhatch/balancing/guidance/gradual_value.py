"""A value that is interpolated linearly to a new target, so that no change of guidance is a step.

No timer is needed: the value is computed for the time that the caller passes.
"""

from __future__ import annotations


class GradualValue:
    """A value that moves linearly over time to its target.

    Attributes:
        target: The value from `end_ms` on.
        end_ms: Time at which the current change ends; 0 before the first change.
    """

    __slots__ = ("_start_ms", "_start_value", "end_ms", "target")

    def __init__(self, value: float) -> None:
        """Start at a constant value."""
        self.target = value
        self._start_value = value
        self._start_ms = 0.0
        self.end_ms = 0.0

    def value_at(self, now_ms: float) -> float:
        """Return the value at a time."""
        if now_ms >= self.end_ms:  # fast path: the value is read at every draw and rarely changes
            return self.target
        progress = max(0.0, now_ms - self._start_ms) / (self.end_ms - self._start_ms)
        return self._start_value + progress * (self.target - self._start_value)

    def change_to(self, target: float, now_ms: float, duration_ms: float) -> None:
        """Move linearly from the present value to a new target; the same target changes nothing."""
        if target == self.target:
            return
        self._start_value = self.value_at(now_ms)
        self.target = target
        self._start_ms = now_ms
        self.end_ms = now_ms + duration_ms

    def fall_or_rise_to(self, target: float, now_ms: float, duration_ms: float) -> None:
        """Fall to a lower target at once, or rise linearly to a higher one."""
        if target <= self.value_at(now_ms):
            self.target = target
            self._start_value = target
            self.end_ms = 0.0
        else:
            self.change_to(target, now_ms, duration_ms)
