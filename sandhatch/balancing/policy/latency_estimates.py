"""Running means of what requests take, of their cost hints, and of the time between them."""

import math
from dataclasses import dataclass

from sandhatch.balancing.majority_value import MajorityValue
from sandhatch.balancing.settings import Settings

MEMORY = 1.0 / 16.0  # weight of a new sample in the running means
LOW_LOAD_RISE = 0.1  # part of that weight, by which the latency at low load rises


class LatencyEstimates:
    """Answer times, cost hints and times left, by request class."""

    def __init__(self, settings: Settings) -> None:
        """Start with a guess from the objective, which counts as one answer."""
        self.mean_ms = [cls.objective_ms / 3.0 for cls in settings.classes]
        self.low_load_ms = list(self.mean_ms)  # the latency at low load
        self.responses = [0 for _ in settings.classes]
        self.hint_ms = [0.0 for _ in settings.classes]
        self.time_left = [MajorityValue() for _ in settings.classes]  # at arrival
        # Over all classes: for instances of few requests, the means by class are old.
        self._response_ms = 0.0
        self._response_hint_ms = 0.0

    @property
    def slowdown(self) -> float:
        """How many times their hinted work the answers take; infinite without hints."""
        return self._response_ms / self._response_hint_ms if self._response_hint_ms else math.inf

    def relative_size(self, class_index: int, hint_ms: float) -> float:
        """Record a cost hint; return it relative to the mean before."""
        mean_ms = self.hint_ms[class_index] or hint_ms
        self.hint_ms[class_index] = mean_ms + MEMORY * (hint_ms - mean_ms)
        return hint_ms / mean_ms

    def update_low_load_ms(self, class_index: int) -> float:
        """Let it follow the mean (single answers differ by their work), down at once and up slowly."""
        excess_ms = self.mean_ms[class_index] - self.low_load_ms[class_index]
        self.low_load_ms[class_index] += MEMORY * excess_ms * (1.0 if excess_ms < 0.0 else LOW_LOAD_RISE)
        return self.low_load_ms[class_index]

    def record_response(self, class_index: int, relative_size: float, spent_ms: float) -> None:
        """Learn from the answer of a request."""
        self.responses[class_index] += 1
        weight = max(MEMORY, 1.0 / (1.0 + self.responses[class_index]))
        self.mean_ms[class_index] += weight * (spent_ms - self.mean_ms[class_index])
        hint_ms = self.hint_ms[class_index]
        if hint_ms:
            self._response_ms += MEMORY * (spent_ms - self._response_ms)
            self._response_hint_ms += MEMORY * (relative_size * hint_ms - self._response_hint_ms)


@dataclass
class ArrivalGaps:
    """The time between two requests that come to this instance."""

    mean_ms: float = 0.0
    last_ms: float = -1.0  # below 0: none has come

    def record(self, now_ms: float) -> float:
        """Count a request; return the time since the one before, 0 at the first."""
        gap_ms = 0.0
        if self.last_ms >= 0.0:
            gap_ms = now_ms - self.last_ms
            self.mean_ms += MEMORY * (gap_ms - self.mean_ms)
        self.last_ms = now_ms
        return gap_ms
