"""The transactions of one process: proposals, the version in progress, its confirmation and its rollback.

A state machine without I/O or clock: calls and times go in, actions come out. The owner carries the actions
out and reports how they ended.

    propose -> commit -> STAGING -> SAVING -> IN_FORCE -> CONFIRMING -> CONFIRMED
                            |          |          |            |
                          FAILED     FAILED   TAKEN_BACK   TAKEN_BACK

Source: NETCONF's candidate configuration and confirmed commit (RFC 6241, section 8.4), Envoy's versions that
are acknowledged or rejected, and HAProxy's transactions, which name the version that they start from. The
rules:

- A proposal names its base. If another version is active by then, the proposal is rejected with the keys
  that both change; or it is merged, if it asks for that and no key is in conflict. The result of a merge is
  checked in full.
- One change is in progress at a time. Another commit meanwhile is rejected, with the keys in conflict if
  there are any.
- On activation the disk changes first, on rollback last. A process that ends at any step finds one complete
  version at its next start: the last confirmed one.
- Until a version is confirmed the one before it stays built, so that a rollback needs no staging.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

from sandhatch.config.actions import Action, Apply, Retire, Save, Say, Stage, Unstage, Unwatch, Watch
from sandhatch.config.check import Checked
from sandhatch.config.diff import Change, diff, overlap
from sandhatch.config.errors import Refusal, RejectedError
from sandhatch.config.proposals import Proposal, ProposalStore
from sandhatch.config.rebase import CheckFunction, conflict, rebase
from sandhatch.config.version import RUNNING, State, Version

MOST_RECORDS = 100  # versions that the history shows and that may be a base


@dataclass(slots=True, frozen=True)
class Record:
    """What is saved to disk.

    Attributes:
        confirmed: The number of the version to use at the next start.
        pending: The number of the version that is not confirmed yet; 0 for none.
        next_number: The number of the next version.
        versions: The rows of the history, oldest first; see `Version.row`.
    """

    confirmed: int
    pending: int
    next_number: int
    versions: tuple[dict[str, Any], ...] = field(default_factory=tuple)


class Transactions:
    """The versions of one process.

    Attributes:
        versions: The last versions by number, oldest first.
        in_force: The active version; every new request belongs to it.
        confirmed: The version that a rollback or a restart goes back to.
        pending: The version in progress, from STAGING to its final state; None if there is none.
        actions: What the owner has not taken yet.
    """

    def __init__(self, first: Version, check: CheckFunction, next_number: int = 0) -> None:
        """Start with a confirmed version.

        Args:
            first: The version that is active from the start.
            check: Checks merged data in full; raises CheckError.
            next_number: The number of the next version, as far as the history knows; 0 where it doesn't.
        """
        first.state = State.CONFIRMED
        self._check = check
        self.versions: OrderedDict[int, Version] = OrderedDict({first.number: first})
        self.in_force = first
        self.confirmed = first
        self.pending: Version | None = None
        self.actions: list[Action] = []
        self._proposals = ProposalStore()
        self._next_number = max(next_number, first.number + 1)
        self._last_save = 0
        self._stopping = False

    @property
    def proposals(self) -> OrderedDict[int, Proposal]:
        """The waiting proposals by number, oldest first."""
        return self._proposals.by_number

    def take(self) -> list[Action]:
        """Return the actions since the last call, to be carried out in their order."""
        actions = self.actions
        self.actions = []
        return actions

    def record(self) -> Record:
        """Return what must be on disk now."""
        rows = tuple(version.row() for version in self.versions.values())
        confirmed = self.confirmed.number
        pending = 0
        if self.pending is not None:
            match self.pending.state:
                case State.SAVING | State.IN_FORCE:
                    pending = self.pending.number
                case State.CONFIRMING:
                    # Counts as confirmed on disk first: once that is written it is final.
                    confirmed = self.pending.number
        return Record(confirmed, pending, self._next_number, rows)

    # -------------------------------------------- proposing

    def propose(
        self,
        now_ms: float,
        base: int,
        checked: Checked,
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
        if self._stopping:
            raise RejectedError(Refusal.STOPPING, "the process is ending")

    def _base(self, number: int) -> Version:
        version = self.versions.get(number)
        if version is None or version.state in (State.FAILED, State.STAGING, State.SAVING):
            raise RejectedError(Refusal.UNKNOWN, f"there is no version {number} to start from")
        return version

    def _rebase(self, proposal: Proposal) -> Checked:
        """Return what the proposal would activate now: itself, or merged with what came since its base."""
        return rebase(proposal, self._base(proposal.base), self.in_force, self._check)

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
        changes = diff(self.in_force.data, checked.data)
        self.discard(number)
        if not changes:
            raise RejectedError(Refusal.NOTHING, f"version {self.in_force.number} says the same already")
        return self._begin(now_ms, proposal, checked, changes, confirm_within_ms, watched)

    def _reject_if_busy(self, proposal: Proposal) -> None:
        pending = self.pending
        if pending is None:
            return
        base = self._base(proposal.base)
        keys = overlap(diff(base.data, proposal.checked.data), diff(base.data, pending.data))
        if keys:
            raise conflict(proposal, pending, keys)
        waits = " and is watched or waits to be confirmed" if pending.awaits_confirmation else ""
        raise RejectedError(Refusal.BUSY, f"version {pending.number} is {pending.state.value}{waits}")

    def _begin(
        self,
        now_ms: float,
        proposal: Proposal,
        checked: Checked,
        changes: list[Change],
        confirm_within_ms: float | None,
        watched: bool,
    ) -> Version:
        watch = checked.model.watch
        version = Version(
            number=self._next_number,
            base=self.in_force.number,
            checked=checked,
            state=State.STAGING,
            author=proposal.author,
            comment=proposal.comment,
            made_ms=now_ms,
            changes=len(changes),
            confirm_within_ms=confirm_within_ms,
            watch_window_ms=watch.window_ms if watched and watch.enabled else None,
        )
        self._next_number += 1
        self.versions[version.number] = version
        self.pending = version
        self._trim()
        self.actions.append(Stage(version))
        return version

    def _trim(self) -> None:
        """Forget the oldest versions beyond MOST_RECORDS, except those still needed."""
        needed = {self.in_force.number, self.confirmed.number}
        for number in list(self.versions):
            if len(self.versions) <= MOST_RECORDS:
                break
            if number not in needed and self.versions[number] is not self.pending:
                del self.versions[number]

    def staged(self, version: Version) -> None:
        """Report that `Stage` succeeded."""
        if version is not self.pending or version.state is not State.STAGING:
            self.actions.append(Unstage(version))  # rolled back meanwhile
            return
        version.transition(State.SAVING)
        self._save(version)

    def failed(self, version: Version, why: str) -> None:
        """Report that a version could not be staged; nothing has changed."""
        if version is self.pending and version.state in (State.STAGING, State.SAVING):
            version.transition(State.FAILED, why)
            self.pending = None
            self.actions += [Unstage(version), Say(f"version {version.number} not applied: {why}")]

    def _save(self, version: Version | None) -> None:
        self._last_save += 1
        self.actions.append(Save(self._last_save, version))

    def saved(self, now_ms: float, step: int) -> None:
        """Report that `Save` number `step` is on disk; any but the last one changes nothing."""
        version = self.pending
        if step != self._last_save or version is None:
            return
        if version.state is State.SAVING:
            self._activate(now_ms, version)
        elif version.state is State.CONFIRMING:
            self._finish_confirmation(version)

    def save_failed(self, now_ms: float, step: int, why: str) -> None:  # noqa: ARG002 - as `saved`
        """Report that `Save` number `step` failed; any but the last one changes nothing."""
        version = self.pending
        if step != self._last_save or version is None:
            return
        if version.state is State.SAVING:
            self.failed(version, f"it can't be saved: {why}")
        elif version.state is State.CONFIRMING:
            self._roll_back(version, f"its confirmation can't be saved: {why}")

    def _activate(self, now_ms: float, version: Version) -> None:
        version.transition(State.IN_FORCE)
        self.in_force = version
        self.actions += [Apply(version), Say(f"version {version.number} is in force")]
        if version.confirm_within_ms is not None:
            version.confirm_by_ms = version.confirm_within_ms + now_ms
        if version.watch_window_ms is not None:
            version.watch_until_ms = version.watch_window_ms + now_ms
            self.actions.append(Watch(version))
        if version.confirm_by_ms is None and version.watch_until_ms is None:
            self._begin_confirmation(version)

    # -------------------------------------------- confirming and rolling back

    def tick(self, now_ms: float) -> None:
        """Confirm or roll back the active version if its watch or its time to be confirmed is over."""
        version = self.pending
        if version is None or version.state is not State.IN_FORCE:
            return
        if version.confirm_by_ms is not None:
            if now_ms >= version.confirm_by_ms:
                self._roll_back(version, "it was not confirmed in time")
        elif version.watch_until_ms is not None and now_ms >= version.watch_until_ms:
            self._begin_confirmation(version)

    def _unconfirmed(self, number: int | None) -> Version:
        """Return the pending version, which must be active and have that number if one is given."""
        version = self.pending
        if version is None or (number is not None and version.number != number):
            raise RejectedError(Refusal.NOTHING, "no such version waits to be confirmed")
        if version.state is not State.IN_FORCE:
            raise RejectedError(Refusal.BUSY, f"version {version.number} is {version.state.value}")
        return version

    def confirm(self, number: int | None = None) -> Version:
        """Confirm the pending version by hand; a watch that still runs ends with it.

        Raises:
            RejectedError: No such version waits to be confirmed, or it is not active.
        """
        version = self._unconfirmed(number)
        self._begin_confirmation(version)
        return version

    def extend(self, now_ms: float, within_ms: float, number: int | None = None) -> Version:
        """Move the time by which to confirm by hand, or require it where there was only a watch.

        Raises:
            RejectedError: No such version waits to be confirmed, or it is not active.
        """
        version = self._unconfirmed(number)
        version.confirm_by_ms = now_ms + within_ms
        return version

    def _begin_confirmation(self, version: Version) -> None:
        if version.watch_until_ms is not None:
            self.actions.append(Unwatch(version))
        version.transition(State.CONFIRMING)
        self._save(version)

    def _finish_confirmation(self, version: Version) -> None:
        version.transition(State.CONFIRMED)
        predecessor = self.confirmed
        self.confirmed = version
        self.pending = None
        self.actions += [Retire(predecessor), Say(f"version {version.number} is confirmed")]
        self._trim()

    def fell(self, version: Version, why: str) -> None:
        """Report that the watch has seen the goodput fall."""
        if version is self.pending and version.state is State.IN_FORCE:
            self._roll_back(version, why)

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
        pending = self.pending
        if pending is not None and to in (None, self.confirmed.number):
            signature = f", {author}" if author else ""
            if pending.state in RUNNING:
                self._roll_back(pending, f"by hand{signature}")
            else:
                self.failed(pending, f"given up by hand{signature}")
            return pending
        target = self._confirmed_before() if to is None else self.versions.get(to)
        if target is None or target.state is not State.CONFIRMED:
            raise RejectedError(Refusal.UNKNOWN, "there is no such confirmed version to go back to")
        comment = f"back to version {target.number}"
        proposal = self.propose(now_ms, self.in_force.number, target.checked, author, comment)
        proposal.restores = target.number
        return proposal

    def _confirmed_before(self) -> Version | None:
        older = [
            version
            for version in self.versions.values()
            if version.state is State.CONFIRMED and version is not self.confirmed
        ]
        return max(older, key=lambda version: version.number, default=None)

    def _roll_back(self, version: Version, why: str) -> None:
        if version.watch_until_ms is not None and version.state is State.IN_FORCE:
            self.actions.append(Unwatch(version))
        version.transition(State.TAKEN_BACK, why)
        self.in_force = self.confirmed
        self.pending = None
        self.actions += [
            Apply(self.confirmed, back=True),
            Retire(version),
            Say(f"version {version.number} taken back: {why}; version {self.confirmed.number} is in force"),
        ]
        self._save(None)

    def stop(self) -> None:
        """Reject further changes; a version that is not active yet fails."""
        self._stopping = True
        pending = self.pending
        if pending is not None and pending.state in (State.STAGING, State.SAVING):
            self.failed(pending, "the process ended")
