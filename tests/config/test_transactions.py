"""The machine of versions, driven by hand and by many seeds; and its history on a disk, killed at every
step.
"""

from __future__ import annotations

import json
from contextlib import suppress
from random import Random
from typing import Any

import pytest

from sandhatch.config.actions import Apply, Retire, Save, Say, Stage, Unstage, Watch
from sandhatch.config.check import Checked, check_text
from sandhatch.config.errors import Refusal, RejectedError
from sandhatch.config.proposals import MOST_PROPOSALS, MOST_PROPOSED_BYTES, PROPOSAL_MS, Proposal
from sandhatch.config.transactions import MOST_RECORDS, Transactions
from sandhatch.config.version import OVER, RUNNING, TRANSITIONS, State, Version
from tests.config.samples import BASE, checked, sample


def remake(data: dict[str, Any]) -> Checked:
    return check_text(json.dumps(data))


class Owner:
    """Carries out actions as a service would, step by step, and keeps the account of what is in force."""

    def __init__(self) -> None:
        self.machine = Transactions(Version(1, 0, checked(), State.STAGING), remake)
        self.now = 1_000.0
        self.in_force = self.machine.in_force
        self.staging: list[Version] = []
        self.saves: list[int] = []
        self.retired: list[int] = []
        self.unstaged: list[int] = []
        self.watched: list[int] = []
        self.disk = (1, 0)
        self.said: list[str] = []

    def act(self) -> None:
        for action in self.machine.take():
            if isinstance(action, Stage):
                self.staging.append(action.version)
            elif isinstance(action, Save):
                record = self.machine.record()
                self.saves.append(action.step)
                self.disk = (record.confirmed, record.pending)
            elif isinstance(action, Apply):
                self.in_force = action.version
            elif isinstance(action, Retire):
                self.retired.append(action.version.number)
            elif isinstance(action, Unstage):
                self.unstaged.append(action.version.number)
            elif isinstance(action, Watch):
                self.watched.append(action.version.number)
            elif isinstance(action, Say):
                self.said.append(action.text)
        assert self.in_force is self.machine.in_force

    def propose(self, data: dict[str, Any], base: int = 1, merged: bool = False) -> int:
        return self.machine.propose(self.now, base, checked(data), merged=merged).number

    def commit(self, data: dict[str, Any], base: int = 1, **more: Any) -> Version:
        version = self.machine.commit(self.now, self.propose(data, base), **more)
        self.act()
        return version

    def stage(self) -> None:
        self.machine.staged(self.staging.pop(0))
        self.act()

    def save(self) -> None:
        self.machine.saved(self.now, self.saves.pop(0))
        self.act()

    def in_force_with(self, data: dict[str, Any], base: int = 1, **more: Any) -> Version:
        version = self.commit(data, base, **more)
        self.stage()
        self.save()
        return version

    def confirmed_with(self, data: dict[str, Any], base: int = 1) -> Version:
        version = self.in_force_with(data, base, watched=False)
        self.save()
        return version


WEB3 = sample(pools__web__max_attempts=3)
WEB4 = sample(pools__web__max_attempts=4)
ORDERS3 = sample(pools__orders__max_attempts=3)


def rejected(why: Refusal) -> Any:
    class Check:
        def __enter__(self) -> Any:
            self.raises = pytest.raises(RejectedError)
            self.info = self.raises.__enter__()
            return self.info

        def __exit__(self, *what: Any) -> Any:
            done = self.raises.__exit__(*what)
            assert self.info.value.why is why, self.info.value
            return done

    return Check()


def test_a_change_goes_all_the_way() -> None:
    owner = Owner()
    version = owner.commit(WEB3)
    assert version.state is State.STAGING and owner.in_force.number == 1
    owner.stage()
    assert version.state is State.SAVING and owner.in_force.number == 1 and owner.disk == (1, 2)
    owner.save()
    assert version.state is State.IN_FORCE and owner.in_force is version and owner.watched == [2]
    owner.now += 29_999.0
    owner.machine.tick(owner.now)
    assert version.state is State.IN_FORCE
    owner.now += 1.0
    owner.machine.tick(owner.now)
    owner.act()
    assert version.state is State.CONFIRMING and owner.disk == (2, 0)
    owner.save()
    assert version.state is State.CONFIRMED and owner.retired == [1] and owner.machine.pending is None


def test_of_two_changes_of_one_key_exactly_one_wins_and_the_other_gets_the_keys() -> None:
    owner = Owner()
    first, second = owner.propose(WEB3), owner.propose(WEB4)
    owner.machine.commit(owner.now, first)
    with rejected(Refusal.CONFLICT) as info:
        owner.machine.commit(owner.now, second)
    assert info.value.keys == ["pools.web.max_attempts"]
    owner.act()
    owner.stage()
    owner.save()
    with rejected(Refusal.CONFLICT) as info:
        owner.machine.commit(owner.now, second)
    assert info.value.keys == ["pools.web.max_attempts"]
    assert owner.in_force.data == WEB3


def test_two_hundred_proposals_at_once_have_one_winner() -> None:
    owner = Owner()
    numbers = [owner.propose(sample(pools__web__max_connections=100 + n)) for n in range(200)]
    Random(5).shuffle(numbers)
    won = []
    for number in numbers:
        try:
            won.append(owner.machine.commit(owner.now, number))
        except RejectedError as why:
            assert why.why is Refusal.CONFLICT and why.keys == ["pools.web.max_connections"]
    owner.act()
    owner.stage()
    owner.save()
    assert len(won) == 1 and owner.in_force is won[0]


def test_a_change_of_other_keys_waits_its_turn_and_merges() -> None:
    owner = Owner()
    other = owner.propose(ORDERS3)
    merged = owner.propose(ORDERS3, merged=True)
    owner.commit(WEB3, watched=False)
    with rejected(Refusal.BUSY):
        owner.machine.commit(owner.now, other)
    owner.stage()
    owner.save()
    owner.save()
    with rejected(Refusal.CONFLICT) as info:
        owner.machine.commit(owner.now, other)
    assert info.value.keys == [] and "can be merged" in info.value.text
    version = owner.machine.commit(owner.now, merged)
    assert version.data["pools"]["web"]["max_attempts"] == 3
    assert version.data["pools"]["orders"]["max_attempts"] == 3


def test_changes_valid_alone_that_are_invalid_together_are_refused_whole() -> None:
    """One takes a pool away that nothing leads to; the other leads a route to it. No key is in common."""
    with_spare = sample(pools__spare={"servers": {"s": {"address": "127.0.0.1:1"}}})
    owner = Owner()
    owner.confirmed_with(with_spare)
    leads = json.loads(json.dumps(with_spare))
    leads["routes"].append({"name": "beta", "to": {"pool": "spare"}})
    late = owner.propose(leads, 2, merged=True)
    owner.confirmed_with(BASE, 2)
    with rejected(Refusal.CONFLICT) as info:
        owner.machine.commit(owner.now, late)
    assert any("names no pool" in line for line in info.value.problems)
    assert owner.in_force.data == BASE


def test_not_confirmed_in_time_is_taken_back() -> None:
    owner = Owner()
    version = owner.in_force_with(WEB3, confirm_within_ms=500.0)
    owner.now += 400.0
    owner.machine.extend(owner.now, 500.0)
    owner.now += 400.0
    owner.machine.tick(owner.now)
    assert version.state is State.IN_FORCE
    owner.now += 200.0
    owner.machine.tick(owner.now)
    owner.act()
    assert version.state is State.TAKEN_BACK and owner.in_force.number == 1 and owner.retired == [2]
    assert owner.disk == (1, 0)


def test_a_fall_takes_it_back_and_says_why() -> None:
    owner = Owner()
    version = owner.in_force_with(WEB3)
    owner.machine.fell(version, "the goodput fell")
    owner.act()
    assert version.state is State.TAKEN_BACK and version.why == "the goodput fell"
    owner.machine.fell(version, "again")
    assert owner.machine.take() == []


def test_a_second_change_during_the_rollback_is_told_of_the_conflict() -> None:
    owner = Owner()
    version = owner.in_force_with(WEB3)
    waiting = owner.propose(WEB4, version.number)
    owner.machine.rollback(owner.now, "anna")
    owner.act()
    with rejected(Refusal.CONFLICT) as info:
        owner.machine.commit(owner.now, waiting)
    assert info.value.keys == ["pools.web.max_attempts"]
    with rejected(Refusal.CONFLICT):
        owner.propose(WEB4, version.number)
    assert owner.commit(WEB4, 1).state is State.STAGING


def test_by_hand_at_every_state() -> None:
    owner = Owner()
    version = owner.commit(WEB3)
    with rejected(Refusal.BUSY):
        owner.machine.confirm()
    owner.machine.rollback(owner.now)
    owner.act()
    assert version.state is State.FAILED and owner.unstaged == [2]
    owner.machine.staged(owner.staging.pop())  # too late: what was built goes
    owner.act()
    assert owner.unstaged == [2, 2] and owner.in_force.number == 1
    with rejected(Refusal.NOTHING):
        owner.machine.confirm()
    with rejected(Refusal.UNKNOWN):
        owner.machine.rollback(owner.now)  # nothing stands before the first
    with rejected(Refusal.NOTHING):
        owner.commit(BASE)
    with rejected(Refusal.UNKNOWN):
        owner.machine.commit(owner.now, 999)
    with rejected(Refusal.UNKNOWN):
        owner.propose(WEB3, base=77)


def test_back_to_an_older_version_is_a_change_like_any_other() -> None:
    owner = Owner()
    owner.confirmed_with(WEB3)
    owner.confirmed_with(WEB4, 2)
    proposal = owner.machine.rollback(owner.now)
    assert isinstance(proposal, Proposal) and proposal.restores == 2
    version = owner.machine.commit(owner.now, proposal.number)
    assert version.number == 4 and version.data == WEB3


def test_a_disk_that_fails_changes_nothing() -> None:
    owner = Owner()
    version = owner.commit(WEB3)
    owner.stage()
    owner.machine.save_failed(owner.now, owner.saves.pop(0), "No space left on device")
    owner.act()
    assert version.state is State.FAILED and "No space" in version.why and owner.in_force.number == 1
    version = owner.in_force_with(WEB3, watched=False)
    owner.machine.save_failed(owner.now, owner.saves.pop(0), "I/O error")
    owner.act()
    assert version.state is State.TAKEN_BACK and owner.in_force.number == 1


def test_memory_is_bounded_over_ten_thousand_commits() -> None:
    owner = Owner()
    data = [WEB3, WEB4]
    contents = [checked(item) for item in data]
    base = 1
    for n in range(10_000):
        proposal = owner.machine.propose(owner.now, base, contents[n % 2])
        base = owner.machine.commit(owner.now, proposal.number, watched=False).number
        owner.act()
        owner.stage()
        owner.save()
        owner.save()
    assert len(owner.machine.versions) <= MOST_RECORDS and not owner.machine.proposals
    assert owner.in_force.number == 10_001


def test_proposals_are_bounded_and_age() -> None:
    owner = Owner()
    for _ in range(MOST_PROPOSALS):
        owner.propose(WEB3)
    with rejected(Refusal.FULL):
        owner.propose(WEB3)
    owner.now += PROPOSAL_MS + 1.0
    owner.propose(WEB3)
    assert len(owner.machine.proposals) == 1
    with rejected(Refusal.FULL):
        owner.machine.propose(owner.now, 1, checked(WEB3), size_bytes=MOST_PROPOSED_BYTES + 1)


def test_the_table_of_states_has_an_end_for_each() -> None:
    for state in State:
        seen, todo = set(), [state]
        while todo:
            at = todo.pop()
            seen.add(at)
            todo += [to for to in TRANSITIONS[at] if to not in seen]
        assert seen & OVER


@pytest.mark.parametrize("block", range(10))
def test_whatever_comes_in_whatever_order_one_whole_version_is_in_force(block: int) -> None:
    """Random calls, times, failures and late ends from a seed. After each: one version in force, that is
    either confirmed or the pending one; what is on disk names a confirmed version; and the states went
    allowed ways.
    """
    choices = [sample(pools__web__max_attempts=n) for n in range(1, 6)] + [ORDERS3]
    made = [checked(data) for data in choices]
    for seed in range(block * 20, block * 20 + 20):
        rng = Random(seed)
        owner = Owner()
        machine = owner.machine
        for _ in range(120):
            owner.now += rng.random() * 5_000.0
            with suppress(RejectedError):
                _random_call(owner, rng, made)
            owner.act()
            where = f"seed {seed}"
            pending = machine.pending
            assert machine.in_force in (machine.confirmed, pending), where
            assert machine.confirmed.state is State.CONFIRMED, where
            if machine.in_force is not machine.confirmed:
                assert pending is not None and pending.state in RUNNING, where
                assert owner.disk in ((machine.confirmed.number, pending.number), (pending.number, 0)), where
            moving = [v for v in machine.versions.values() if v.state not in OVER]
            assert moving == ([pending] if pending else []), where


def _random_call(owner: Owner, rng: Random, made: list[Checked]) -> None:
    machine = owner.machine
    kind = rng.randrange(10)
    if kind <= 1:
        base = rng.choice(list(machine.versions))
        machine.propose(owner.now, base, rng.choice(made), merged=rng.random() < 0.5)
    elif kind <= 3 and machine.proposals:
        within = rng.choice([None, 3_000.0])
        machine.commit(owner.now, rng.choice(list(machine.proposals)), within, rng.random() < 0.5)
    elif kind == 4 and owner.staging:
        version = owner.staging.pop(0)
        if rng.random() < 0.8:
            machine.staged(version)
        else:
            machine.failed(version, "no")
    elif kind <= 6 and owner.saves:
        step = owner.saves.pop(0)
        if rng.random() < 0.9:
            machine.saved(owner.now, step)
        else:
            machine.save_failed(owner.now, step, "disk")
    elif kind == 7:
        machine.rollback(owner.now, to=rng.choice([None, *machine.versions]))
    elif kind == 8 and machine.pending is not None:
        machine.fell(machine.pending, "fell") if rng.random() < 0.5 else machine.confirm()
    else:
        machine.tick(owner.now)
