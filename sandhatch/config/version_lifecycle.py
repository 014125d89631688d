"""The lifecycle of one process's versions: staging, activation, confirmation and rollback.

A state machine without I/O or clock: its inputs are calls and times, its outputs are actions. The owner
carries the actions out in order and reports their results. `transactions` decides what becomes a version.

    state       call                                            next state   actions
    ----------  ----------------------------------------------  -----------  --------------------------------
    STAGING     staged                                          SAVING       Save
    STAGING     staging_failed, roll_back_pending, stop         FAILED       DiscardStaged
    SAVING      saved                                           ACTIVE       Apply; Watch if it is watched
    SAVING      save_failed, staging_failed,                    FAILED       DiscardStaged
                roll_back_pending, stop
    ACTIVE      confirm; tick at the end of the watch if no     CONFIRMING   EndWatch if it was watched; Save
                manual confirmation is required; at once if
                it needs neither a watch nor a confirmation
    ACTIVE      goodput_dropped, roll_back_pending; tick if it  ROLLED_BACK  EndWatch if it was watched;
                is not confirmed in time                                     Apply of the confirmed version,
                                                                             Retire, Save
    CONFIRMING  saved                                           CONFIRMED    Retire of the one before
    CONFIRMING  save_failed, roll_back_pending                  ROLLED_BACK  Apply of the confirmed version,
                                                                             Retire, Save

CONFIRMED, FAILED and ROLLED_BACK are final. `history` sets LOST for a version that was in progress when the
process ended. Each change of state is checked against `version.TRANSITIONS`. A call that does not fit the
state changes nothing if it is a late report, and is rejected if an operator made it. The rules:

- At most one change is in progress.
- An activation is saved before it is applied, a rollback is saved after it has been applied. A process that
  ends at any step therefore finds one complete version at its next start: the last confirmed one.
- The predecessor of a version stays built until that version is confirmed, so that a rollback needs no
  staging.

Source: NETCONF's confirmed commit (RFC 6241, section 8.4), and Envoy's configuration versions, which are
acknowledged or rejected.
"""

from __future__ import annotations

from collections import OrderedDict

from sandhatch.config.actions import (
    Action,
    Apply,
    DiscardStaged,
    EndWatch,
    LogMessage,
    Retire,
    Save,
    Stage,
    Watch,
)
from sandhatch.config.errors import RejectedError, RejectionReason
from sandhatch.config.history_record import HistoryRow, Record
from sandhatch.config.version import NOT_APPLIED, RUNNING, State, Version

MAX_RECORDS = 100  # versions that the history shows and that a proposal may be based on


class VersionLifecycle:
    """The versions of one process and their states.

    Attributes:
        versions: Most recent versions by number, oldest first.
        active: Version that every new request is assigned to.
        confirmed: Last confirmed version, which a rollback or a restart returns to.
        pending: Version in progress, from STAGING to its final state; None if no version is in progress.
        stopping: Whether the process is stopping and accepts no further change.
    """

    def __init__(self, first: Version, next_number: int = 0) -> None:
        """Start with a confirmed version.

        Args:
            first: Version that is active from the start.
            next_number: Number of the next version according to the history; 0 if there is no history.
        """
        first.state = State.CONFIRMED
        self.versions: OrderedDict[int, Version] = OrderedDict({first.number: first})
        self.active = first
        self.confirmed = first
        self.pending: Version | None = None
        self.stopping = False
        self._actions: list[Action] = []
        self._next_number = max(next_number, first.number + 1)
        self._last_save = 0

    @property
    def next_number(self) -> int:
        """The number of the next version."""
        return self._next_number

    def take_actions(self) -> list[Action]:
        """Return the actions since the last call, to be carried out in order."""
        actions = self._actions
        self._actions = []
        return actions

    def record(self) -> Record:
        """Return the state that must be on disk now."""
        rows = tuple(HistoryRow.of(version) for version in self.versions.values())
        confirmed = self.confirmed.number
        pending = 0
        if self.pending is not None:
            match self.pending.state:
                case State.SAVING | State.ACTIVE:
                    pending = self.pending.number
                case State.CONFIRMING:
                    # The record names this version as confirmed: once it is on disk, the version is final.
                    confirmed = self.pending.number
        return Record(confirmed, pending, self._next_number, rows)

    def previous_confirmed(self) -> Version | None:
        """Return the last version confirmed before the version `confirmed`; None if no version was."""
        earlier = [
            version
            for version in self.versions.values()
            if version.state is State.CONFIRMED and version is not self.confirmed
        ]
        return max(earlier, key=lambda version: version.number, default=None)

    # -------------------------------------------- staging and saving

    def begin(self, version: Version) -> None:
        """Start staging a version. It must have the next number, and no other may be in progress."""
        assert self.pending is None
        assert version.number == self._next_number
        self._next_number += 1
        self.versions[version.number] = version
        self.pending = version
        self._evict_oldest()
        self._actions.append(Stage(version))

    def _evict_oldest(self) -> None:
        """Evict the oldest versions beyond MAX_RECORDS, except those still needed."""
        needed = {self.active.number, self.confirmed.number}
        for number in list(self.versions):
            if len(self.versions) <= MAX_RECORDS:
                break
            if number not in needed and self.versions[number] is not self.pending:
                del self.versions[number]

    def staged(self, version: Version) -> None:
        """Report that `Stage` succeeded."""
        if version is not self.pending or version.state is not State.STAGING:
            self._actions.append(DiscardStaged(version))  # the version was rolled back while it was staged
            return
        version.transition(State.SAVING)
        self._save(version)

    def staging_failed(self, version: Version, why: str) -> None:
        """Fail a version that could not be staged or saved, or was given up; the active version stays."""
        if version is self.pending and version.state in NOT_APPLIED:
            version.transition(State.FAILED, why)
            self.pending = None
            self._actions += [
                DiscardStaged(version),
                LogMessage(f"version {version.number} not applied: {why}"),
            ]

    def _save(self, version: Version | None) -> None:
        self._last_save += 1
        self._actions.append(Save(self._last_save, version))

    def saved(self, now_ms: float, save_number: int) -> None:
        """Report that `Save` number `save_number` is on disk; ignored unless that is the last `Save`."""
        version = self.pending
        if save_number != self._last_save or version is None:
            return
        if version.state is State.SAVING:
            self._activate(now_ms, version)
        elif version.state is State.CONFIRMING:
            self._finish_confirmation(version)

    def save_failed(self, save_number: int, why: str) -> None:
        """Report that `Save` number `save_number` failed; ignored unless that is the last `Save`."""
        version = self.pending
        if save_number != self._last_save or version is None:
            return
        if version.state is State.SAVING:
            self.staging_failed(version, f"it can't be saved: {why}")
        elif version.state is State.CONFIRMING:
            self._roll_back(version, f"its confirmation can't be saved: {why}")

    def _activate(self, now_ms: float, version: Version) -> None:
        version.transition(State.ACTIVE)
        self.active = version
        self._actions += [Apply(version), LogMessage(f"version {version.number} is active")]
        if version.confirm_within_ms is not None:
            version.confirm_by_ms = version.confirm_within_ms + now_ms
        if version.watch_window_ms is not None:
            version.watch_until_ms = version.watch_window_ms + now_ms
            self._actions.append(Watch(version))
        if version.confirm_by_ms is None and version.watch_until_ms is None:
            self._begin_confirmation(version)

    # -------------------------------------------- confirming

    def tick(self, now_ms: float) -> None:
        """Roll back the pending version if it was not confirmed manually in time.

        Confirm it at the end of its watch if it has no time limit for manual confirmation.
        """
        version = self.pending
        if version is None or version.state is not State.ACTIVE:
            return
        if version.confirm_by_ms is not None:
            if now_ms >= version.confirm_by_ms:
                self._roll_back(version, "it was not confirmed in time")
        elif version.watch_until_ms is not None and now_ms >= version.watch_until_ms:
            self._begin_confirmation(version)

    def confirm(self, number: int | None = None) -> Version:
        """Confirm the pending version manually, which also ends its watch.

        Raises:
            RejectedError: No such version is waiting to be confirmed, or it is not active.
        """
        version = self._require_active_pending(number)
        self._begin_confirmation(version)
        return version

    def extend(self, now_ms: float, within_ms: float, number: int | None = None) -> Version:
        """Set a new time limit for manual confirmation, also for a version that was only watched.

        Raises:
            RejectedError: No such version is waiting to be confirmed, or it is not active.
        """
        version = self._require_active_pending(number)
        version.confirm_by_ms = now_ms + within_ms
        return version

    def _require_active_pending(self, number: int | None) -> Version:
        """Return the pending version, which must be active and have `number` if one is given."""
        version = self.pending
        if version is None or (number is not None and version.number != number):
            raise RejectedError(RejectionReason.NOTHING, "no such version is waiting to be confirmed")
        if version.state is not State.ACTIVE:
            raise RejectedError(RejectionReason.BUSY, f"version {version.number} is {version.state.value}")
        return version

    def _begin_confirmation(self, version: Version) -> None:
        if version.watch_until_ms is not None:
            self._actions.append(EndWatch(version))
        version.transition(State.CONFIRMING)
        self._save(version)

    def _finish_confirmation(self, version: Version) -> None:
        version.transition(State.CONFIRMED)
        predecessor = self.confirmed
        self.confirmed = version
        self.pending = None
        self._actions += [Retire(predecessor), LogMessage(f"version {version.number} is confirmed")]
        self._evict_oldest()

    # -------------------------------------------- rolling back

    def goodput_dropped(self, version: Version, why: str) -> None:
        """Report that the goodput watch has detected a drop."""
        if version is self.pending and version.state is State.ACTIVE:
            self._roll_back(version, why)

    def roll_back_pending(self, author: str = "") -> Version:
        """Roll back the pending version manually, or fail it if it is not active yet; return it."""
        version = self.pending
        assert version is not None
        author_suffix = f", {author}" if author else ""
        if version.state in RUNNING:
            self._roll_back(version, f"by hand{author_suffix}")
        else:
            self.staging_failed(version, f"given up by hand{author_suffix}")
        return version

    def _roll_back(self, version: Version, why: str) -> None:
        if version.watch_until_ms is not None and version.state is State.ACTIVE:
            self._actions.append(EndWatch(version))
        version.transition(State.ROLLED_BACK, why)
        self.active = self.confirmed
        self.pending = None
        self._actions += [
            Apply(self.confirmed, is_rollback=True),
            Retire(version),
            LogMessage(
                f"version {version.number} rolled back: {why}; version {self.confirmed.number} is active"
            ),
        ]
        self._save(None)

    def stop(self) -> None:
        """Accept no further change; a pending version that is not active yet fails."""
        self.stopping = True
        pending = self.pending
        if pending is not None and pending.state in NOT_APPLIED:
            self.staging_failed(pending, "the process ended")
