"""Checked changes that are waiting to be committed.

The number, total size and age of proposals are bounded. `transactions` compares proposals with the active
version; this module does not.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from sandhatch.config.check import CheckedConfiguration
from sandhatch.config.errors import RejectedError, RejectionReason

MAX_PROPOSALS = 256
MAX_PROPOSED_BYTES = 64 * 1024 * 1024
PROPOSAL_TTL_MS = 3_600_000.0  # a proposal that is not committed within this time is dropped


@dataclass(slots=True)
class Proposal:
    """A change that may be committed.

    Attributes:
        number: Number of the proposal, counted from 1 and never reused.
        base: Number of the version that the change is based on.
        checked: Configuration after the change.
        author: Author of the change.
        comment: Free text of the author.
        may_merge: Whether the change may be merged with changes that became active since its base.
        made_ms: Time of the proposal.
        size_bytes: Length of the configuration's text.
        restores: Number of the version whose content the proposal restores; 0 for none.
    """

    number: int
    base: int
    checked: CheckedConfiguration
    author: str
    comment: str
    may_merge: bool
    made_ms: float
    size_bytes: int
    restores: int = 0


class ProposalStore:
    """The waiting proposals of one process, by number."""

    def __init__(self) -> None:
        """Start without any proposal."""
        self.by_number: OrderedDict[int, Proposal] = OrderedDict()
        self._total_bytes = 0
        self._next_number = 1

    def check_capacity(self, now_ms: float, size_bytes: int) -> None:
        """Drop expired proposals and check that another one of `size_bytes` fits.

        Raises:
            RejectedError: FULL, if there are too many proposals or their total size is too large.
        """
        self._expire(now_ms)
        count = len(self.by_number)
        if count >= MAX_PROPOSALS or self._total_bytes + size_bytes > MAX_PROPOSED_BYTES:
            raise RejectedError(
                RejectionReason.FULL,
                f"{count} proposals are waiting and leave no capacity for another; abort some",
            )

    @property
    def next_number(self) -> int:
        """Number of the next proposal that is added."""
        return self._next_number

    def add(self, proposal: Proposal) -> None:
        """Store a proposal, which must have the next number and fit."""
        self._next_number += 1
        self._total_bytes += proposal.size_bytes
        self.by_number[proposal.number] = proposal

    def get(self, number: int) -> Proposal:
        """Return a proposal.

        Raises:
            RejectedError: UNKNOWN, if no proposal has that number.
        """
        proposal = self.by_number.get(number)
        if proposal is None:
            raise RejectedError(RejectionReason.UNKNOWN, f"there is no proposal {number}")
        return proposal

    def remove(self, number: int) -> None:
        """Remove a proposal.

        Raises:
            RejectedError: UNKNOWN, if no proposal has that number.
        """
        proposal = self.get(number)
        del self.by_number[number]
        self._total_bytes -= proposal.size_bytes

    def _expire(self, now_ms: float) -> None:
        oldest_ms = now_ms - PROPOSAL_TTL_MS
        expired = [number for number, proposal in self.by_number.items() if proposal.made_ms < oldest_ms]
        for number in expired:
            self.remove(number)
