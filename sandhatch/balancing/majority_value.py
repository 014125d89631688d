"""Majority value of a stream of samples, in constant space.

Source: the majority vote of Boyer and Moore, with a tolerance and a bound on the votes.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_VOTES = 8  # lead of the majority value in votes, from which other samples count as uncommon
MAX_VOTES = 64  # bound on the majority value's lead: a new value wins within this many samples
RELATIVE_TOLERANCE = 0.005


@dataclass(slots=True)
class MajorityValue:
    """The most common value of the samples, by majority vote.

    Attributes:
        value: The current majority value.
        votes: Lead of that value in votes.
    """

    value: float = 0.0
    votes: int = 0

    def vote(self, sample: float, tolerance: float) -> bool:
        """Count a sample; return whether it is common, which all samples are without a clear majority."""
        if abs(sample - self.value) <= tolerance + RELATIVE_TOLERANCE * self.value:
            self.votes = min(MAX_VOTES, self.votes + 1)
            return True
        self.votes -= 1
        if self.votes < 0:
            self.value = sample
            self.votes = 1
        return self.votes < MIN_VOTES
