"""Versions of the configuration and the way of a change: proposed, staged, saved, in force, confirmed or
taken back. Pure: calls and times in, actions out; whoever owns it carries them out and tells how they ended.

    propose -> commit -> STAGING -> SAVING -> IN_FORCE -> CONFIRMING -> CONFIRMED
                            |          |          |            |
                          FAILED     FAILED   TAKEN_BACK   TAKEN_BACK

The rules (after NETCONF's candidate and confirmed commit, RFC 6241 section 8.4; Envoy's versions that are
acknowledged or refused; HAProxy's transactions, which name the version that they start from):

- A proposal names its base. Where another version is in force by then, it is refused with the keys that both
  touch, or merged if it asks for that and they touch none in common. Whatever is merged is checked in full.
- One change at a time is on its way; a second commit meanwhile is refused, with the keys in common if there
  are.
- What is on disk changes before what is in force does on the way up, and after it on the way back: a process
  that ends at any step finds one whole version, the last confirmed one, at its next start.
- Until a version is confirmed the one before stays at hand, so that going back needs no staging.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from sandhatch.config.check import Checked
from sandhatch.config.diff import Change, MergeError, diff, merge, overlap

MOST_PROPOSALS = 256
MOST_PROPOSED_BYTES = 64 * 1024 * 1024
PROPOSAL_MS = 3_600_000.0
MOST_RECORDS = 100  # versions told of in the history, and that may be a base


class State(Enum):
    """Where a version is on its way."""

    STAGING = "staging"
    SAVING = "saving"
    IN_FORCE = "in force"  # and may yet be taken back
    CONFIRMING = "confirming"
    CONFIRMED = "confirmed"
    FAILED = "failed"
    TAKEN_BACK = "taken back"
    LOST = "lost"  # the process ended before it was confirmed


WAYS: Mapping[State, frozenset[State]] = {
    State.STAGING: frozenset((State.SAVING, State.FAILED)),
    State.SAVING: frozenset((State.IN_FORCE, State.FAILED)),
    State.IN_FORCE: frozenset((State.CONFIRMING, State.TAKEN_BACK, State.LOST)),
    State.CONFIRMING: frozenset((State.CONFIRMED, State.TAKEN_BACK, State.LOST)),
    State.CONFIRMED: frozenset(),
    State.FAILED: frozenset(),
    State.TAKEN_BACK: frozenset(),
    State.LOST: frozenset(),
}
OVER = frozenset(state for state, ways in WAYS.items() if not ways)
RUNNING = frozenset((State.IN_FORCE, State.CONFIRMING))


class Refusal(Enum):
    """Why a call was refused; the value is the command line's word for it."""

    INVALID = "invalid"  # the configuration has errors
    CONFLICT = "conflict"  # made from a base that is not in force any more
    BUSY = "busy"  # another change is on its way
    UNKNOWN = "unknown"  # no such proposal or version
    NOTHING = "nothing to do"
    FULL = "too many proposals"
    STOPPING = "stopping"


class RejectedError(Exception):
    """A call that changed nothing. `keys`: what conflicts; `problems`: what is wrong, one line each."""

    def __init__(
        self, why: Refusal, text: str, keys: list[str] | None = None, problems: list[str] | None = None
    ) -> None:
        super().__init__(text)
        self.why = why
        self.text = text
        self.keys = keys or []
        self.problems = problems or []


@dataclass(slots=True)
class Version:
    """One version. `why` says what ended it, if it failed or was taken back."""

    number: int
    base: int
    checked: Checked
    state: State
    author: str = ""
    comment: str = ""
    made_ms: float = 0.0
    changes: int = 0
    why: str = ""
    confirm_by_ms: float | None = None  # by hand until then, else it is taken back
    watch_until_ms: float | None = None  # confirmed then, if no fall was seen

    @property
    def data(self) -> dict[str, Any]:
        return self.checked.data

    def move(self, to: State, why: str = "") -> None:
        if to not in WAYS[self.state]:
            raise AssertionError(f"version {self.number}: {self.state.value} -> {to.value}")
        self.state = to
        self.why = why or self.why


@dataclass(slots=True)
class Proposal:
    number: int
    base: int
    checked: Checked
    author: str
    comment: str
    merge: bool
    made_ms: float
    size: int
    restores: int = 0  # the version whose content it brings back, if so


# ------------------------------------------------ actions


@dataclass(slots=True, frozen=True)
class Stage:
    """Build what the version needs beside what runs; `staged` or `failed` is to be told."""

    version: Version


@dataclass(slots=True, frozen=True)
class Unstage:
    """Let go what was built for a version that will not be in force."""

    version: Version


@dataclass(slots=True, frozen=True)
class Save:
    """Write to disk what `record` gives now; `saved` or `save_failed` is to be told with `step`."""

    step: int
    version: Version | None


@dataclass(slots=True, frozen=True)
class Apply:
    """From now on every new request belongs to this version. `back`: it was in force before."""

    version: Version
    back: bool = False


@dataclass(slots=True, frozen=True)
class Retire:
    """Neither new requests nor a way back need the version any more; its own end as they please."""

    version: Version


@dataclass(slots=True, frozen=True)
class Watch:
    """Compare the service yielded from now on with that before; `fell` is to be told."""

    version: Version


@dataclass(slots=True, frozen=True)
class Unwatch:
    version: Version


@dataclass(slots=True, frozen=True)
class Say:
    """A line for the log."""

    text: str


Action = Stage | Unstage | Save | Apply | Retire | Watch | Unwatch | Say


@dataclass(slots=True, frozen=True)
class Record:
    """What must last: the confirmed version, the one that may yet be taken back, and the next number."""

    confirmed: int
    pending: int
    next_number: int
    versions: tuple[dict[str, Any], ...] = field(default_factory=tuple)


class Transactions:
    """The versions of one process."""

    def __init__(
        self, first: Version, check: Callable[[dict[str, Any]], Checked], next_number: int = 0
    ) -> None:
        """`check` checks merged data in full and raises CheckError."""
        first.state = State.CONFIRMED
        self._check = check
        self.versions: OrderedDict[int, Version] = OrderedDict({first.number: first})
        self.in_force = first
        self.confirmed = first
        self.pending: Version | None = None  # on its way, from STAGING to its end
        self.proposals: OrderedDict[int, Proposal] = OrderedDict()
        self.actions: list[Action] = []
        self._bytes = 0
        self._next = max(next_number, first.number + 1)
        self._next_proposal = 1
        self._step = 0
        self._stopping = False

    def take(self) -> list[Action]:
        """The actions since the last call, to be carried out in their order."""
        actions, self.actions = self.actions, []
        return actions

    def record(self) -> Record:
        pending = self.pending
        lasting = pending is not None and pending.state in (State.SAVING, State.IN_FORCE)
        # What is being confirmed counts as confirmed on disk first: once that is written it is so for good.
        confirming = pending is not None and pending.state is State.CONFIRMING
        rows = tuple(
            {
                "version": version.number,
                "base": version.base,
                "state": version.state.value,
                "author": version.author,
                "comment": version.comment,
                "made_ms": version.made_ms,
                "changes": version.changes,
                "why": version.why,
            }
            for version in self.versions.values()
        )
        number = pending.number if lasting and pending is not None else 0
        confirmed = pending if confirming and pending is not None else self.confirmed
        return Record(confirmed.number, number, self._next, rows)

    # -------------------------------------------- proposing

    def propose(
        self,
        now_ms: float,
        base: int,
        checked: Checked,
        author: str = "",
        comment: str = "",
        merged: bool = False,
        size: int = 0,
    ) -> Proposal:
        """Keep a checked change of version `base`; RefusedError if that is not in force and does not
        merge.
        """
        if self._stopping:
            raise RejectedError(Refusal.STOPPING, "the process is ending")
        self._expire(now_ms)
        if len(self.proposals) >= MOST_PROPOSALS or self._bytes + size > MOST_PROPOSED_BYTES:
            raise RejectedError(Refusal.FULL, f"{len(self.proposals)} proposals wait; abort some")
        proposal = Proposal(self._next_proposal, base, checked, author, comment, merged, now_ms, size)
        self._current(proposal)
        self._next_proposal += 1
        self._bytes += size
        self.proposals[proposal.number] = proposal
        return proposal

    def discard(self, number: int) -> None:
        proposal = self.proposals.pop(number, None)
        if proposal is None:
            raise RejectedError(Refusal.UNKNOWN, f"there is no proposal {number}")
        self._bytes -= proposal.size

    def _expire(self, now_ms: float) -> None:
        for number in [n for n, p in self.proposals.items() if p.made_ms < now_ms - PROPOSAL_MS]:
            self.discard(number)

    def _base(self, number: int) -> Version:
        version = self.versions.get(number)
        if version is None or version.state in (State.FAILED, State.STAGING, State.SAVING):
            raise RejectedError(Refusal.UNKNOWN, f"there is no version {number} to start from")
        return version

    def _current(self, proposal: Proposal) -> Checked:
        """What the proposal would bring in force now: itself, or merged with what came since its base."""
        base = self._base(proposal.base)
        if base is self.in_force:
            return proposal.checked
        return self._merged(proposal, base, self.in_force)

    def _merged(self, proposal: Proposal, base: Version, there: Version) -> Checked:
        try:
            data = merge(base.data, proposal.checked.data, there.data)
        except MergeError as problem:
            raise self._conflict(proposal, there, problem.keys) from None
        if not proposal.merge:
            raise self._conflict(proposal, there, [])
        try:
            return self._check(data)
        except ValueError as problem:
            lines = [str(line) for line in getattr(problem, "problems", [problem])]
            raise RejectedError(
                Refusal.CONFLICT, f"merged with version {there.number} it has errors", problems=lines
            ) from None

    @staticmethod
    def _conflict(proposal: Proposal, there: Version, keys: list[str]) -> RejectedError:
        touched = f"; both touch {', '.join(keys[:8])}" if keys else "; it can be merged"
        text = (
            f"made from version {proposal.base}, but version {there.number} is {there.state.value}{touched}"
        )
        return RejectedError(Refusal.CONFLICT, text, keys)

    # -------------------------------------------- committing

    def commit(
        self, now_ms: float, number: int, confirm_within_ms: float | None = None, watched: bool = True
    ) -> Version:
        """Set a proposal on its way; what becomes of it is seen in the version's state."""
        if self._stopping:
            raise RejectedError(Refusal.STOPPING, "the process is ending")
        proposal = self.proposals.get(number)
        if proposal is None:
            raise RejectedError(Refusal.UNKNOWN, f"there is no proposal {number}")
        self._not_busy(proposal)
        checked = self._current(proposal)
        changes = diff(self.in_force.data, checked.data)
        if not changes:
            self.discard(number)
            raise RejectedError(Refusal.NOTHING, f"version {self.in_force.number} says the same already")
        self.discard(number)
        return self._begin(now_ms, proposal, checked, changes, confirm_within_ms, watched)

    def _not_busy(self, proposal: Proposal) -> None:
        pending = self.pending
        if pending is None:
            return
        base = self._base(proposal.base)
        keys = overlap(diff(base.data, proposal.checked.data), diff(base.data, pending.data))
        if keys:
            raise self._conflict(proposal, pending, keys)
        until = pending.confirm_by_ms or pending.watch_until_ms
        rest = " and is watched or waits to be confirmed" if until else ""
        raise RejectedError(Refusal.BUSY, f"version {pending.number} is {pending.state.value}{rest}")

    def _begin(
        self,
        now_ms: float,
        proposal: Proposal,
        checked: Checked,
        changes: list[Change],
        confirm_within_ms: float | None,
        watched: bool,
    ) -> Version:
        version = Version(
            self._next,
            self.in_force.number,
            checked,
            State.STAGING,
            proposal.author,
            proposal.comment,
            now_ms,
            len(changes),
            confirm_by_ms=confirm_within_ms,  # a duration until it is in force
        )
        watch = checked.model.watch
        version.watch_until_ms = watch.window_ms if watched and watch.enabled else None
        self._next += 1
        self.versions[version.number] = version
        self.pending = version
        self._trim()
        self.actions.append(Stage(version))
        return version

    def _trim(self) -> None:
        kept = {self.in_force.number, self.confirmed.number}
        for number in list(self.versions):
            if len(self.versions) <= MOST_RECORDS:
                break
            if number not in kept and self.versions[number] is not self.pending:
                del self.versions[number]

    def staged(self, version: Version) -> None:
        if version is not self.pending or version.state is not State.STAGING:
            self.actions.append(Unstage(version))  # given up meanwhile
            return
        version.move(State.SAVING)
        self._save(version)

    def failed(self, version: Version, why: str) -> None:
        """It could not be staged; nothing has changed."""
        if version is self.pending and version.state in (State.STAGING, State.SAVING):
            version.move(State.FAILED, why)
            self.pending = None
            self.actions += [Unstage(version), Say(f"version {version.number} not applied: {why}")]

    def _save(self, version: Version | None) -> None:
        self._step += 1
        self.actions.append(Save(self._step, version))

    def saved(self, now_ms: float, step: int) -> None:
        """The last `Save` is on disk. An older one's end says nothing."""
        version = self.pending
        if step != self._step or version is None:
            return
        if version.state is State.SAVING:
            self._enter(now_ms, version)
        elif version.state is State.CONFIRMING:
            self._confirmed(version)

    def save_failed(self, now_ms: float, step: int, why: str) -> None:
        version = self.pending
        if step != self._step or version is None:
            return
        if version.state is State.SAVING:
            self.failed(version, f"it can't be saved: {why}")
        elif version.state is State.CONFIRMING:
            self._take_back(version, f"its confirmation can't be saved: {why}")

    def _enter(self, now_ms: float, version: Version) -> None:
        version.move(State.IN_FORCE)
        self.in_force = version
        self.actions += [Apply(version), Say(f"version {version.number} is in force")]
        if version.confirm_by_ms is not None:
            version.confirm_by_ms += now_ms
        if version.watch_until_ms is not None:
            version.watch_until_ms += now_ms
            self.actions.append(Watch(version))
        if version.confirm_by_ms is None and version.watch_until_ms is None:
            self._confirm(version)

    # -------------------------------------------- confirming and taking back

    def tick(self, now_ms: float) -> None:
        """Time has passed: a watch may be over, or the time to confirm."""
        version = self.pending
        if version is None or version.state is not State.IN_FORCE:
            return
        if version.confirm_by_ms is not None:
            if now_ms >= version.confirm_by_ms:
                self._take_back(version, "it was not confirmed in time")
        elif version.watch_until_ms is not None and now_ms >= version.watch_until_ms:
            self._confirm(version)

    def _running(self, number: int | None) -> Version:
        version = self.pending
        if version is None or (number is not None and version.number != number):
            raise RejectedError(Refusal.NOTHING, "no such version waits to be confirmed")
        return version

    def confirm(self, number: int | None = None) -> Version:
        """By hand; a watch that still runs ends with it."""
        version = self._running(number)
        if version.state is not State.IN_FORCE:
            raise RejectedError(Refusal.BUSY, f"version {version.number} is {version.state.value}")
        self._confirm(version)
        return version

    def extend(self, now_ms: float, within_ms: float, number: int | None = None) -> Version:
        """Put off the time to confirm, or ask for a confirmation by hand where there was only a watch."""
        version = self._running(number)
        if version.state is not State.IN_FORCE:
            raise RejectedError(Refusal.BUSY, f"version {version.number} is {version.state.value}")
        version.confirm_by_ms = now_ms + within_ms
        return version

    def _confirm(self, version: Version) -> None:
        if version.watch_until_ms is not None:
            self.actions.append(Unwatch(version))
        version.move(State.CONFIRMING)
        self._save(version)

    def _confirmed(self, version: Version) -> None:
        version.move(State.CONFIRMED)
        before, self.confirmed, self.pending = self.confirmed, version, None
        self.actions += [Retire(before), Say(f"version {version.number} is confirmed")]
        self._trim()

    def fell(self, version: Version, why: str) -> None:
        """The watch has seen the service fall."""
        if version is self.pending and version.state is State.IN_FORCE:
            self._take_back(version, why)

    def rollback(self, now_ms: float, author: str = "", to: int | None = None) -> Version | Proposal:
        """Take back what is on its way, at once. With nothing on its way, or with `to` naming a version: a
        proposal with that content, the last one confirmed before if none is named.
        """
        if self._stopping:
            raise RejectedError(Refusal.STOPPING, "the process is ending")
        pending = self.pending
        if pending is not None and to in (None, self.confirmed.number):
            if pending.state in RUNNING:
                self._take_back(pending, f"by hand{f', {author}' if author else ''}")
            else:
                self.failed(pending, f"given up by hand{f', {author}' if author else ''}")
            return pending
        target = self._before() if to is None else self.versions.get(to)
        if target is None or target.state is not State.CONFIRMED:
            raise RejectedError(Refusal.UNKNOWN, "there is no such confirmed version to go back to")
        proposal = self.propose(
            now_ms, self.in_force.number, target.checked, author, f"back to version {target.number}"
        )
        proposal.restores = target.number
        return proposal

    def _before(self) -> Version | None:
        older = [v for v in self.versions.values() if v.state is State.CONFIRMED and v is not self.confirmed]
        return max(older, key=lambda version: version.number) if older else None

    def _take_back(self, version: Version, why: str) -> None:
        if version.watch_until_ms is not None and version.state is State.IN_FORCE:
            self.actions.append(Unwatch(version))
        version.move(State.TAKEN_BACK, why)
        self.in_force = self.confirmed
        self.pending = None
        self.actions += [
            Apply(self.confirmed, back=True),
            Retire(version),
            Say(f"version {version.number} taken back: {why}; version {self.confirmed.number} is in force"),
        ]
        self._save(None)

    def stop(self) -> None:
        """The process ends: nothing more is taken, and what was not confirmed is not used again."""
        self._stopping = True
        pending = self.pending
        if pending is not None and pending.state in (State.STAGING, State.SAVING):
            self.failed(pending, "the process ended")
