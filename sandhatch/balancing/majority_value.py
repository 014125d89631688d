"""The value that most samples of a stream share, in constant space.

It decides nothing: what a sample that differs means is the caller's. Source: the majority vote of Boyer and
Moore, with a tolerance and a bound on the votes.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_VOTES = 8  # ahead, before a sample may be called uncommon
MAX_VOTES = 64  # so that a new majority wins within as many samples
RELATIVE_TOLERANCE = 0.005


@dataclass(slots=True)
class MajorityValue:
    """The value that most samples share, by majority vote."""

    value: float = 0.0
    votes: int = 0

    def vote(self, sample: float, tolerance: float) -> bool:
        """Count a sample; return whether it is a common one, as all are without a clear majority."""
        if abs(sample - self.value) <= tolerance + RELATIVE_TOLERANCE * self.value:
            self.votes = min(MAX_VOTES, self.votes + 1)
            return True
        self.votes -= 1
        if self.votes < 0:
            self.value = sample
            self.votes = 1
        return self.votes < MIN_VOTES
