"""The transactions of one process: proposals, their conflicts, and which of them becomes a version.

This module has no I/O and no clock. A version's further states are decided in `version_lifecycle`; `rebase`
applies a proposal to a newer version. The rules:

- A proposal names its base. If another version is active when the proposal is made or committed, the
  proposal is merged with that version if the proposal allows it and no key is in conflict; otherwise it is
  rejected, with the keys in conflict if there are any. The result of a merge is checked in full.
- A commit while another change is in progress is rejected, with the keys in conflict if there are any.

Source: NETCONF's candidate configuration (RFC 6241, section 8.3), and HAProxy's transactions, which name the
version that they are based on.
"""

from __future__ import annotations

from collections import OrderedDict

from sandhatch.config.check import CheckedConfiguration
from sandhatch.config.diff import diff, find_conflicts
from sandhatch.config.errors import RejectedError, RejectionReason
from sandhatch.config.proposals import Proposal, ProposalStore
from sandhatch.config.rebase import CheckFunction, conflict, rebase
from sandhatch.config.version import NOT_APPLIED, State, Version
from sandhatch.config.version_lifecycle import VersionLifecycle


class Transactions:
    """The proposals of one process and the operations on them."""

    def __init__(self, lifecycle: VersionLifecycle, check: CheckFunction) -> None:
        """Start without proposals.

        Args:
            lifecycle: Versions that proposals are based on and that they become.
            check: Function that checks merged data in full; raises CheckError.
        """
        self._lifecycle = lifecycle
        self._check = check
        self._proposals = ProposalStore()

    @property
    def active(self) -> Version:
        """The active version, which a commit replaces."""
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
        may_merge: bool = False,
        size_bytes: int = 0,
    ) -> Proposal:
        """Store a checked change of version `base`.

        Args:
            now_ms: Current time.
            base: Number of the version that the change is based on.
            checked: Configuration after the change.
            author: Author of the change.
            comment: Free text of the author.
            may_merge: Whether the change may be merged with changes that became active since `base`.
            size_bytes: Length of the configuration's text.

        Raises:
            RejectedError: The base is unknown, or is not active and the change can't be merged, there are
                too many proposals, or the process is stopping.
        """
        self._reject_if_stopping()
        self._proposals.check_capacity(now_ms, size_bytes)
        number = self._proposals.next_number
        proposal = Proposal(number, base, checked, author, comment, may_merge, now_ms, size_bytes)
        self._rebase(proposal)
        self._proposals.add(proposal)
        return proposal

    def discard(self, number: int) -> None:
        """Discard a proposal; RejectedError if no proposal has that number."""
        self._proposals.remove(number)

    def _reject_if_stopping(self) -> None:
        if self._lifecycle.stopping:
            raise RejectedError(RejectionReason.STOPPING, "the process is stopping")

    def _base(self, number: int) -> Version:
        version = self._lifecycle.versions.get(number)
        if version is None or version.state is State.FAILED or version.state in NOT_APPLIED:
            raise RejectedError(RejectionReason.UNKNOWN, f"there is no version {number} to base a change on")
        return version

    def _rebase(self, proposal: Proposal) -> CheckedConfiguration:
        """Return the configuration that the proposal would activate now, merged if its base is old."""
        return rebase(proposal, self._base(proposal.base), self.active, self._check)

    # -------------------------------------------- committing

    def commit(
        self, now_ms: float, number: int, confirm_within_ms: float | None = None, watched: bool = True
    ) -> Version:
        """Turn a proposal into a version and start staging it; the version's state shows the result.

        Args:
            now_ms: Current time.
            number: Number of the proposal.
            confirm_within_ms: Time after the activation within which the version must be confirmed manually;
                None if that is not required.
            watched: Whether the goodput is watched, provided that the new configuration enables the watch.

        Raises:
            RejectedError: There is no such proposal, another change is in progress, the base is unknown or
                the proposal can't be merged, nothing differs from the active version, or the process is
                stopping.
        """
        self._reject_if_stopping()
        proposal = self._proposals.get(number)
        self._reject_if_busy(proposal)
        checked = self._rebase(proposal)
        changes = diff(self.active.data, checked.data)
        self.discard(number)
        if not changes:
            raise RejectedError(
                RejectionReason.NOTHING, f"version {self.active.number} already has the same content"
            )
        version = self._next_version(now_ms, proposal, checked, len(changes))
        version.confirm_within_ms = confirm_within_ms
        watch = checked.model.watch
        version.watch_window_ms = watch.window_ms if watched and watch.enabled else None
        self._lifecycle.begin(version)
        return version

    def _next_version(
        self, now_ms: float, proposal: Proposal, checked: CheckedConfiguration, changes: int
    ) -> Version:
        """Return the version that a proposal makes of the active one."""
        return Version(
            number=self._lifecycle.next_number,
            base=self.active.number,
            checked=checked,
            state=State.STAGING,
            author=proposal.author,
            comment=proposal.comment,
            made_ms=now_ms,
            changes=changes,
        )

    def _reject_if_busy(self, proposal: Proposal) -> None:
        pending = self._lifecycle.pending
        if pending is None:
            return
        base = self._base(proposal.base)
        keys = find_conflicts(diff(base.data, proposal.checked.data), diff(base.data, pending.data))
        if keys:
            raise conflict(proposal, pending, keys)
        waiting = " and is watched or waiting to be confirmed" if pending.awaits_confirmation else ""
        raise RejectedError(
            RejectionReason.BUSY, f"version {pending.number} is {pending.state.value}{waiting}"
        )

    # -------------------------------------------- rolling back

    def rollback(self, now_ms: float, author: str = "", to: int | None = None) -> Version | Proposal:
        """Roll back the change in progress at once, or propose to return to an earlier version.

        Args:
            now_ms: Current time.
            author: Author of the rollback.
            to: Number of the version to return to; by default the version that a rollback of the change in
                progress leads to, or else the last one confirmed before the active version.

        Returns:
            The version that was rolled back; or, if no change is in progress or `to` names another version,
            a proposal with the earlier version's content.

        Raises:
            RejectedError: There is no such confirmed version, there are too many proposals, or the process is
                stopping.
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
