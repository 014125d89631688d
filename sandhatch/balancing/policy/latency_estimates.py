"""Running means of latencies, of interarrival times and of the cost hints that requests carry.

Also the most common time left at arrival.
"""

import math
from dataclasses import dataclass

from sandhatch.balancing.majority_value import MajorityValue
from sandhatch.balancing.settings import Settings

EWMA_WEIGHT = 1.0 / 16.0  # weight of a new sample in the running means
LOW_LOAD_RISE_FACTOR = 0.1  # factor on the weight of a sample that raises the low-load latency


class LatencyEstimates:
    """Latencies, cost hints and times left at arrival, by request class.

    Attributes:
        mean_ms: Mean latency.
        low_load_ms: Estimated latency at low load.
        responses: Number of responses so far.
        hint_ms: Mean cost hint; 0 without hints.
        time_left: Most common time left at arrival.
    """

    def __init__(self, settings: Settings) -> None:
        """Start with a third of the objective as the mean latency, which counts as one response."""
        self.mean_ms = [cls.objective_ms / 3.0 for cls in settings.classes]
        self.low_load_ms = list(self.mean_ms)
        self.responses = [0 for _ in settings.classes]
        self.hint_ms = [0.0 for _ in settings.classes]
        self.time_left = [MajorityValue() for _ in settings.classes]
        # Means over all request classes: at low request rates the means of single classes are out of date.
        self._response_ms = 0.0
        self._response_hint_ms = 0.0

    @property
    def slowdown(self) -> float:
        """Mean latency divided by the mean hinted work; infinite without hints."""
        return self._response_ms / self._response_hint_ms if self._response_hint_ms else math.inf

    def relative_size(self, class_index: int, hint_ms: float) -> float:
        """Record a cost hint; return its ratio to the mean of the hints before it."""
        mean_ms = self.hint_ms[class_index] or hint_ms
        self.hint_ms[class_index] = mean_ms + EWMA_WEIGHT * (hint_ms - mean_ms)
        return hint_ms / mean_ms

    def update_low_load_ms(self, class_index: int) -> float:
        """Move the low-load latency towards the mean, quickly down and slowly up; return it.

        The estimate follows the mean, not single responses, because requests differ in their work.
        """
        excess_ms = self.mean_ms[class_index] - self.low_load_ms[class_index]
        self.low_load_ms[class_index] += (
            EWMA_WEIGHT * excess_ms * (1.0 if excess_ms < 0.0 else LOW_LOAD_RISE_FACTOR)
        )
        return self.low_load_ms[class_index]

    def record_response(self, class_index: int, relative_size: float, spent_ms: float) -> None:
        """Update the estimates with the latency of a response."""
        self.responses[class_index] += 1
        weight = max(EWMA_WEIGHT, 1.0 / (1.0 + self.responses[class_index]))
        self.mean_ms[class_index] += weight * (spent_ms - self.mean_ms[class_index])
        hint_ms = self.hint_ms[class_index]
        if hint_ms:
            self._response_ms += EWMA_WEIGHT * (spent_ms - self._response_ms)
            self._response_hint_ms += EWMA_WEIGHT * (relative_size * hint_ms - self._response_hint_ms)


@dataclass
class InterarrivalTime:
    """Time between consecutive requests at this instance."""

    mean_ms: float = 0.0
    last_ms: float = -1.0  # time of the last request; below 0 before the first one

    def record(self, now_ms: float) -> float:
        """Record a request's arrival; return the time since the previous request's, or 0 for the first."""
        interarrival_ms = 0.0
        if self.last_ms >= 0.0:
            interarrival_ms = now_ms - self.last_ms
            self.mean_ms += EWMA_WEIGHT * (interarrival_ms - self.mean_ms)
        self.last_ms = now_ms
        return interarrival_ms
