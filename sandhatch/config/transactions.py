"""The transactions of one process: proposals, their conflicts, and which of them becomes a version.

Decides without I/O or clock. What becomes of a version is decided in `version_lifecycle`; how a proposal is
brought onto a newer version, in `rebase`. The rules:

- A proposal names its base. If another version is active by then, the proposal is rejected with the keys
  that both change; or it is merged, if it asks for that and no key is in conflict. The result of a merge is
  checked in full.
- A commit while another change is in progress is rejected, with the keys in conflict if there are any.

Source: NETCONF's candidate configuration (RFC 6241, section 8.3), and HAProxy's transactions, which name the
version that they start from.
"""

from __future__ import annotations

from collections import OrderedDict

from sandhatch.config.check import CheckedConfiguration
from sandhatch.config.diff import diff, overlap
from sandhatch.config.errors import RejectedError, RejectionReason
from sandhatch.config.proposals import Proposal, ProposalStore
from sandhatch.config.rebase import CheckFunction, conflict, rebase
from sandhatch.config.version import NOT_APPLIED, State, Version
from sandhatch.config.version_lifecycle import VersionLifecycle


class Transactions:
    """The proposals of one process and what may be done with them."""

    def __init__(self, lifecycle: VersionLifecycle, check: CheckFunction) -> None:
        """Start without proposals.

        Args:
            lifecycle: The versions that proposals start from, and that they become.
            check: Checks merged data in full; raises CheckError.
        """
        self._lifecycle = lifecycle
        self._check = check
        self._proposals = ProposalStore()

    @property
    def active(self) -> Version:
        """The active version, which a commit would change."""
        return self._lifecycle.active

    @property
    def proposals(self) -> OrderedDict[int, Proposal]:
        """The waiting proposals by number, oldest first."""
        return self._proposals.by_number

    # -------------------------------------------- proposing

    def propose(
        self,
        now_ms: float,
        base: int,
        checked: CheckedConfiguration,
        author: str = "",
        comment: str = "",
        merged: bool = False,
        size_bytes: int = 0,
    ) -> Proposal:
        """Store a checked change of version `base`.

        Args:
            now_ms: The time.
            base: The version that the change was made from.
            checked: The configuration as it would be.
            author: Who proposes it.
            comment: Free text of the author.
            merged: Whether it may be merged with what became active since `base`.
            size_bytes: The length of its text.

        Raises:
            RejectedError: The base is not active and the change can't be merged, there are too many
                proposals, or the process is stopping.
        """
        self._reject_if_stopping()
        self._proposals.check_capacity(now_ms, size_bytes)
        number = self._proposals.next_number
        proposal = Proposal(number, base, checked, author, comment, merged, now_ms, size_bytes)
        self._rebase(proposal)
        self._proposals.add(proposal)
        return proposal

    def discard(self, number: int) -> None:
        """Forget a proposal; RejectedError if there is none of that number."""
        self._proposals.remove(number)

    def _reject_if_stopping(self) -> None:
        if self._lifecycle.stopping:
            raise RejectedError(RejectionReason.STOPPING, "the process is ending")

    def _base(self, number: int) -> Version:
        version = self._lifecycle.versions.get(number)
        if version is None or version.state is State.FAILED or version.state in NOT_APPLIED:
            raise RejectedError(RejectionReason.UNKNOWN, f"there is no version {number} to start from")
        return version

    def _rebase(self, proposal: Proposal) -> CheckedConfiguration:
        """Return what the proposal would activate now: itself, or merged with what came since its base."""
        return rebase(proposal, self._base(proposal.base), self.active, self._check)

    # -------------------------------------------- committing

    def commit(
        self, now_ms: float, number: int, confirm_within_ms: float | None = None, watched: bool = True
    ) -> Version:
        """Turn a proposal into a version and start to stage it; its state shows what becomes of it.

        Args:
            now_ms: The time.
            number: The proposal's number.
            confirm_within_ms: If given, it must be confirmed by hand within that time of its activation.
            watched: Whether its goodput is watched, where its own configuration allows that.

        Raises:
            RejectedError: There is no such proposal, another change is in progress, keys are in conflict,
                or nothing differs from the active version.
        """
        self._reject_if_stopping()
        proposal = self._proposals.get(number)
        self._reject_if_busy(proposal)
        checked = self._rebase(proposal)
        changes = diff(self.active.data, checked.data)
        self.discard(number)
        if not changes:
            raise RejectedError(
                RejectionReason.NOTHING, f"version {self.active.number} says the same already"
            )
        watch = checked.model.watch
        version = Version(
            number=self._lifecycle.next_number,
            base=self.active.number,
            checked=checked,
            state=State.STAGING,
            author=proposal.author,
            comment=proposal.comment,
            made_ms=now_ms,
            changes=len(changes),
            confirm_within_ms=confirm_within_ms,
            watch_window_ms=watch.window_ms if watched and watch.enabled else None,
        )
        self._lifecycle.begin(version)
        return version

    def _reject_if_busy(self, proposal: Proposal) -> None:
        pending = self._lifecycle.pending
        if pending is None:
            return
        base = self._base(proposal.base)
        keys = overlap(diff(base.data, proposal.checked.data), diff(base.data, pending.data))
        if keys:
            raise conflict(proposal, pending, keys)
        waits = " and is watched or waits to be confirmed" if pending.awaits_confirmation else ""
        raise RejectedError(RejectionReason.BUSY, f"version {pending.number} is {pending.state.value}{waits}")

    # -------------------------------------------- rolling back

    def rollback(self, now_ms: float, author: str = "", to: int | None = None) -> Version | Proposal:
        """Roll back the change in progress at once, or propose to return to an earlier version.

        Args:
            now_ms: The time.
            author: Who asks for it.
            to: The version to go back to; by default the one that a rollback of the change in progress
                leads to, or else the last one confirmed before the active one.

        Returns:
            The version that was rolled back; or, with no change in progress or with `to` naming another
            version, a proposal with that version's content.

        Raises:
            RejectedError: There is no such confirmed version, or the process is stopping.
        """
        self._reject_if_stopping()
        lifecycle = self._lifecycle
        if lifecycle.pending is not None and to in (None, lifecycle.confirmed.number):
            return lifecycle.roll_back_pending(author)
        target = lifecycle.previous_confirmed() if to is None else lifecycle.versions.get(to)
        if target is None or target.state is not State.CONFIRMED:
            raise RejectedError(RejectionReason.UNKNOWN, "there is no such confirmed version to go back to")
        comment = f"back to version {target.number}"
        proposal = self.propose(now_ms, self.active.number, target.checked, author, comment)
        proposal.restores = target.number
        return proposal
