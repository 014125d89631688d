"""The state machine of versions, driven by hand and by many seeds."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from random import Random
from typing import Any

import pytest

from sandhatch.config.actions import Apply, DiscardStaged, Retire, Save, Say, Stage, Watch
from sandhatch.config.check import Checked, check_text
from sandhatch.config.errors import RejectedError, RejectionReason
from sandhatch.config.proposals import MOST_PROPOSALS, MOST_PROPOSED_BYTES, PROPOSAL_MS, Proposal
from sandhatch.config.transactions import MOST_RECORDS, Transactions
from sandhatch.config.version import OVER, RUNNING, TRANSITIONS, State, Version
from tests.config.samples import BASE, checked, sample


def check_data(data: dict[str, Any]) -> Checked:
    return check_text(json.dumps(data))


class FakeOwner:
    """Carries out actions as a service would, one step at a time, and records what is active and on disk."""

    def __init__(self) -> None:
        self.transactions = Transactions(Version(1, 0, checked(), State.STAGING), check_data)
        self.now = 1_000.0
        self.in_force = self.transactions.active
        self.staging: list[Version] = []
        self.saves: list[int] = []
        self.retired: list[int] = []
        self.unstaged: list[int] = []
        self.watched: list[int] = []
        self.disk = (1, 0)
        self.log_lines: list[str] = []

    def carry_out(self) -> None:
        for action in self.transactions.take_actions():
            match action:
                case Stage():
                    self.staging.append(action.version)
                case Save():
                    record = self.transactions.record()
                    self.saves.append(action.step)
                    self.disk = (record.confirmed, record.pending)
                case Apply():
                    self.in_force = action.version
                case Retire():
                    self.retired.append(action.version.number)
                case DiscardStaged():
                    self.unstaged.append(action.version.number)
                case Watch():
                    self.watched.append(action.version.number)
                case Say():
                    self.log_lines.append(action.text)
        assert self.in_force is self.transactions.active

    def propose(self, data: dict[str, Any], base: int = 1, merged: bool = False) -> int:
        return self.transactions.propose(self.now, base, checked(data), merged=merged).number

    def commit(self, data: dict[str, Any], base: int = 1, **options: Any) -> Version:
        version = self.transactions.commit(self.now, self.propose(data, base), **options)
        self.carry_out()
        return version

    def finish_staging(self) -> None:
        self.transactions.staged(self.staging.pop(0))
        self.carry_out()

    def finish_save(self) -> None:
        self.transactions.saved(self.now, self.saves.pop(0))
        self.carry_out()

    def activate(self, data: dict[str, Any], base: int = 1, **options: Any) -> Version:
        version = self.commit(data, base, **options)
        self.finish_staging()
        self.finish_save()
        return version

    def activate_and_confirm(self, data: dict[str, Any], base: int = 1) -> Version:
        version = self.activate(data, base, watched=False)
        self.finish_save()
        return version


WEB3 = sample(pools__web__max_attempts=3)
WEB4 = sample(pools__web__max_attempts=4)
ORDERS3 = sample(pools__orders__max_attempts=3)


@contextmanager
def rejected(why: RejectionReason) -> Iterator[pytest.ExceptionInfo[RejectedError]]:
    """Expects a call to be rejected for this reason."""
    with pytest.raises(RejectedError) as info:
        yield info
    assert info.value.reason is why, info.value


def test_a_change_passes_every_state_until_it_is_confirmed() -> None:
    owner = FakeOwner()
    version = owner.commit(WEB3)
    assert version.state is State.STAGING
    assert owner.in_force.number == 1
    owner.finish_staging()
    assert version.state is State.SAVING
    assert owner.in_force.number == 1
    assert owner.disk == (1, 2)
    owner.finish_save()
    assert version.state is State.ACTIVE
    assert owner.in_force is version
    assert owner.watched == [2]
    owner.now += 29_999.0
    owner.transactions.tick(owner.now)
    assert version.state is State.ACTIVE
    owner.now += 1.0
    owner.transactions.tick(owner.now)
    owner.carry_out()
    assert version.state is State.CONFIRMING
    assert owner.disk == (2, 0)
    owner.finish_save()
    assert version.state is State.CONFIRMED
    assert owner.retired == [1]
    assert owner.transactions.pending is None


def test_of_two_changes_of_one_key_one_is_committed_and_the_other_gets_the_keys() -> None:
    owner = FakeOwner()
    first = owner.propose(WEB3)
    second = owner.propose(WEB4)
    owner.transactions.commit(owner.now, first)
    with rejected(RejectionReason.CONFLICT) as info:
        owner.transactions.commit(owner.now, second)
    assert info.value.keys == ["pools.web.max_attempts"]
    owner.carry_out()
    owner.finish_staging()
    owner.finish_save()
    with rejected(RejectionReason.CONFLICT) as info:
        owner.transactions.commit(owner.now, second)
    assert info.value.keys == ["pools.web.max_attempts"]
    assert owner.in_force.data == WEB3


def test_of_two_hundred_proposals_for_one_key_exactly_one_is_committed() -> None:
    owner = FakeOwner()
    numbers = [owner.propose(sample(pools__web__max_connections=100 + n)) for n in range(200)]
    Random(5).shuffle(numbers)
    committed = []
    for number in numbers:
        try:
            committed.append(owner.transactions.commit(owner.now, number))
        except RejectedError as error:
            assert error.reason is RejectionReason.CONFLICT
            assert error.keys == ["pools.web.max_connections"]
    owner.carry_out()
    owner.finish_staging()
    owner.finish_save()
    assert len(committed) == 1
    assert owner.in_force is committed[0]


def test_a_change_of_other_keys_is_busy_until_the_first_ends_and_merges_then() -> None:
    owner = FakeOwner()
    other = owner.propose(ORDERS3)
    merged = owner.propose(ORDERS3, merged=True)
    owner.commit(WEB3, watched=False)
    with rejected(RejectionReason.BUSY):
        owner.transactions.commit(owner.now, other)
    owner.finish_staging()
    owner.finish_save()
    owner.finish_save()
    with rejected(RejectionReason.CONFLICT) as info:
        owner.transactions.commit(owner.now, other)
    assert info.value.keys == []
    assert "can be merged" in info.value.text
    version = owner.transactions.commit(owner.now, merged)
    assert version.data["pools"]["web"]["max_attempts"] == 3
    assert version.data["pools"]["orders"]["max_attempts"] == 3


def test_changes_valid_alone_but_invalid_together_are_rejected_completely() -> None:
    """One removes a pool that no route leads to; the other adds a route to it. No key is in common."""
    with_spare_pool = sample(pools__spare={"servers": {"s": {"address": "127.0.0.1:1"}}})
    owner = FakeOwner()
    owner.activate_and_confirm(with_spare_pool)
    with_route = json.loads(json.dumps(with_spare_pool))
    with_route["routes"].append({"name": "beta", "to": {"pool": "spare"}})
    late = owner.propose(with_route, 2, merged=True)
    owner.activate_and_confirm(BASE, 2)
    with rejected(RejectionReason.CONFLICT) as info:
        owner.transactions.commit(owner.now, late)
    assert any("names no pool" in line for line in info.value.problems)
    assert owner.in_force.data == BASE


def test_a_version_not_confirmed_in_time_is_rolled_back() -> None:
    owner = FakeOwner()
    version = owner.activate(WEB3, confirm_within_ms=500.0)
    owner.now += 400.0
    owner.transactions.extend(owner.now, 500.0)
    owner.now += 400.0
    owner.transactions.tick(owner.now)
    assert version.state is State.ACTIVE
    owner.now += 200.0
    owner.transactions.tick(owner.now)
    owner.carry_out()
    assert version.state is State.ROLLED_BACK
    assert owner.in_force.number == 1
    assert owner.retired == [2]
    assert owner.disk == (1, 0)


def test_a_fall_of_goodput_rolls_back_with_its_reason() -> None:
    owner = FakeOwner()
    version = owner.activate(WEB3)
    owner.transactions.goodput_fell(version, "the goodput fell")
    owner.carry_out()
    assert version.state is State.ROLLED_BACK
    assert version.why == "the goodput fell"
    owner.transactions.goodput_fell(version, "again")
    assert owner.transactions.take_actions() == []


def test_a_change_of_a_version_that_is_rolled_back_is_rejected_with_the_conflict() -> None:
    owner = FakeOwner()
    version = owner.activate(WEB3)
    waiting = owner.propose(WEB4, version.number)
    owner.transactions.rollback(owner.now, "anna")
    owner.carry_out()
    with rejected(RejectionReason.CONFLICT) as info:
        owner.transactions.commit(owner.now, waiting)
    assert info.value.keys == ["pools.web.max_attempts"]
    with rejected(RejectionReason.CONFLICT):
        owner.propose(WEB4, version.number)
    assert owner.commit(WEB4, 1).state is State.STAGING


def test_calls_by_hand_are_rejected_in_states_that_do_not_allow_them() -> None:
    owner = FakeOwner()
    version = owner.commit(WEB3)
    with rejected(RejectionReason.BUSY):
        owner.transactions.confirm()
    owner.transactions.rollback(owner.now)
    owner.carry_out()
    assert version.state is State.FAILED
    assert owner.unstaged == [2]
    owner.transactions.staged(owner.staging.pop())  # too late: what was built is released
    owner.carry_out()
    assert owner.unstaged == [2, 2]
    assert owner.in_force.number == 1
    with rejected(RejectionReason.NOTHING):
        owner.transactions.confirm()
    with rejected(RejectionReason.UNKNOWN):
        owner.transactions.rollback(owner.now)  # there is no version before the first
    with rejected(RejectionReason.NOTHING):
        owner.commit(BASE)
    with rejected(RejectionReason.UNKNOWN):
        owner.transactions.commit(owner.now, 999)
    with rejected(RejectionReason.UNKNOWN):
        owner.propose(WEB3, base=77)


def test_back_to_an_older_version_is_a_change_like_any_other() -> None:
    owner = FakeOwner()
    owner.activate_and_confirm(WEB3)
    owner.activate_and_confirm(WEB4, 2)
    proposal = owner.transactions.rollback(owner.now)
    assert isinstance(proposal, Proposal)
    assert proposal.restores == 2
    version = owner.transactions.commit(owner.now, proposal.number)
    assert version.number == 4
    assert version.data == WEB3


def test_a_save_that_fails_changes_nothing() -> None:
    owner = FakeOwner()
    version = owner.commit(WEB3)
    owner.finish_staging()
    owner.transactions.save_failed(owner.now, owner.saves.pop(0), "No space left on device")
    owner.carry_out()
    assert version.state is State.FAILED
    assert "No space" in version.why
    assert owner.in_force.number == 1
    version = owner.activate(WEB3, watched=False)
    owner.transactions.save_failed(owner.now, owner.saves.pop(0), "I/O error")
    owner.carry_out()
    assert version.state is State.ROLLED_BACK
    assert owner.in_force.number == 1


def test_memory_is_bounded_over_ten_thousand_commits() -> None:
    owner = FakeOwner()
    contents = [checked(WEB3), checked(WEB4)]
    base = 1
    for index in range(10_000):
        proposal = owner.transactions.propose(owner.now, base, contents[index % 2])
        base = owner.transactions.commit(owner.now, proposal.number, watched=False).number
        owner.carry_out()
        owner.finish_staging()
        owner.finish_save()
        owner.finish_save()
    assert len(owner.transactions.versions) <= MOST_RECORDS
    assert not owner.transactions.proposals
    assert owner.in_force.number == 10_001


def test_proposals_are_bounded_and_expire() -> None:
    owner = FakeOwner()
    for _ in range(MOST_PROPOSALS):
        owner.propose(WEB3)
    with rejected(RejectionReason.FULL):
        owner.propose(WEB3)
    owner.now += PROPOSAL_MS + 1.0
    owner.propose(WEB3)
    assert len(owner.transactions.proposals) == 1
    with rejected(RejectionReason.FULL):
        owner.transactions.propose(owner.now, 1, checked(WEB3), size_bytes=MOST_PROPOSED_BYTES + 1)


def test_every_state_leads_to_a_final_one() -> None:
    for state in State:
        seen = set()
        waiting = [state]
        while waiting:
            current = waiting.pop()
            seen.add(current)
            waiting += [target for target in TRANSITIONS[current] if target not in seen]
        assert seen & OVER


@pytest.mark.parametrize("block", range(10))
def test_in_any_order_of_calls_one_complete_version_is_active(block: int) -> None:
    """Random calls, times, failures and late reports from a seed. After each, one version is active, which is
    the confirmed or the pending one; the disk names a confirmed version; and only allowed transitions took
    place.
    """
    choices = [sample(pools__web__max_attempts=n) for n in range(1, 6)] + [ORDERS3]
    configurations = [checked(data) for data in choices]
    for seed in range(block * 20, block * 20 + 20):
        rng = Random(seed)
        owner = FakeOwner()
        transactions = owner.transactions
        for _ in range(120):
            owner.now += rng.random() * 5_000.0
            with suppress(RejectedError):
                _random_call(owner, rng, configurations)
            owner.carry_out()
            where = f"seed {seed}"
            pending = transactions.pending
            assert transactions.active in (transactions.confirmed, pending), where
            assert transactions.confirmed.state is State.CONFIRMED, where
            if transactions.active is not transactions.confirmed:
                assert pending is not None, where
                assert pending.state in RUNNING, where
                assert owner.disk in ((transactions.confirmed.number, pending.number), (pending.number, 0)), (
                    where
                )
            moving = [v for v in transactions.versions.values() if v.state not in OVER]
            assert moving == ([pending] if pending else []), where


def _random_call(owner: FakeOwner, rng: Random, configurations: list[Checked]) -> None:
    transactions = owner.transactions
    call = rng.randrange(10)
    if call <= 1:
        base = rng.choice(list(transactions.versions))
        transactions.propose(owner.now, base, rng.choice(configurations), merged=rng.random() < 0.5)
    elif call <= 3 and transactions.proposals:
        within = rng.choice([None, 3_000.0])
        transactions.commit(owner.now, rng.choice(list(transactions.proposals)), within, rng.random() < 0.5)
    elif call == 4 and owner.staging:
        version = owner.staging.pop(0)
        if rng.random() < 0.8:
            transactions.staged(version)
        else:
            transactions.failed(version, "no")
    elif call <= 6 and owner.saves:
        step = owner.saves.pop(0)
        if rng.random() < 0.9:
            transactions.saved(owner.now, step)
        else:
            transactions.save_failed(owner.now, step, "disk")
    elif call == 7:
        transactions.rollback(owner.now, to=rng.choice([None, *transactions.versions]))
    elif call == 8 and transactions.pending is not None:
        transactions.goodput_fell(
            transactions.pending, "fell"
        ) if rng.random() < 0.5 else transactions.confirm()
    else:
        transactions.tick(owner.now)
