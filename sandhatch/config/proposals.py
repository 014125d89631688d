"""Checked changes that wait to be committed.

Their number, their bytes and their age are bounded. This module never compares a proposal with the active
version; `transactions` does.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from sandhatch.config.check import CheckedConfiguration
from sandhatch.config.errors import RejectedError, RejectionReason

MAX_PROPOSALS = 256
MAX_PROPOSED_BYTES = 64 * 1024 * 1024
PROPOSAL_MS = 3_600_000.0  # a proposal not committed by then is dropped


@dataclass(slots=True)
class Proposal:
    """A change that may be committed.

    Attributes:
        number: Counted from 1, never used twice.
        base: The version that it was made from.
        checked: The configuration as it would be.
        author: Who proposed it.
        comment: Free text of the author.
        merge: Whether it may be merged with what became active since its base.
        made_ms: When it was proposed.
        size: The length of its text, in bytes.
        restores: The version whose content it brings back; 0 for none.
    """

    number: int
    base: int
    checked: CheckedConfiguration
    author: str
    comment: str
    merge: bool
    made_ms: float
    size: int
    restores: int = 0


class ProposalStore:
    """The waiting proposals of one process, by number."""

    def __init__(self) -> None:
        """Start without any proposal."""
        self.by_number: OrderedDict[int, Proposal] = OrderedDict()
        self._total_bytes = 0
        self._next_number = 1

    def check_capacity(self, now_ms: float, size_bytes: int) -> None:
        """Drop expired proposals and make sure that another one of `size_bytes` fits.

        Raises:
            RejectedError: FULL, if there are too many or they are too large.
        """
        self._expire(now_ms)
        count = len(self.by_number)
        if count >= MAX_PROPOSALS or self._total_bytes + size_bytes > MAX_PROPOSED_BYTES:
            raise RejectedError(RejectionReason.FULL, f"{count} proposals wait; abort some")

    @property
    def next_number(self) -> int:
        """The number of the next proposal that is added."""
        return self._next_number

    def add(self, proposal: Proposal) -> None:
        """Store a proposal that has the next number and fits."""
        self._next_number += 1
        self._total_bytes += proposal.size
        self.by_number[proposal.number] = proposal

    def get(self, number: int) -> Proposal:
        """Return a proposal.

        Raises:
            RejectedError: UNKNOWN, if there is none of that number.
        """
        proposal = self.by_number.get(number)
        if proposal is None:
            raise RejectedError(RejectionReason.UNKNOWN, f"there is no proposal {number}")
        return proposal

    def remove(self, number: int) -> None:
        """Forget a proposal.

        Raises:
            RejectedError: UNKNOWN, if there is none of that number.
        """
        proposal = self.get(number)
        del self.by_number[number]
        self._total_bytes -= proposal.size

    def _expire(self, now_ms: float) -> None:
        oldest_ms = now_ms - PROPOSAL_MS
        expired = [number for number, proposal in self.by_number.items() if proposal.made_ms < oldest_ms]
        for number in expired:
            self.remove(number)
