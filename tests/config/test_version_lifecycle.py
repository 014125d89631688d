"""The state machine of versions: fixed sequences of calls, and random ones from many seeds."""

from __future__ import annotations

from contextlib import suppress
from random import Random

import pytest

from sandhatch.config.check import CheckedConfiguration
from sandhatch.config.errors import RejectedError
from sandhatch.config.version import RUNNING, TERMINAL_STATES, TRANSITIONS, State
from sandhatch.config.version_lifecycle import MAX_RECORDS
from tests.config.fake_owner import ORDERS3, WEB3, WEB4, FakeOwner
from tests.config.samples import checked, sample


def test_a_change_passes_through_each_state_until_it_is_confirmed() -> None:
    owner = FakeOwner()
    version = owner.commit(WEB3)
    assert version.state is State.STAGING
    assert owner.active_version.number == 1
    owner.finish_staging()
    assert version.state is State.SAVING
    assert owner.active_version.number == 1
    assert owner.disk == (1, 2)
    owner.finish_save()
    assert version.state is State.ACTIVE
    assert owner.active_version is version
    assert owner.watched == [2]
    owner.now_ms += 29_999.0
    owner.lifecycle.tick(owner.now_ms)
    assert version.state is State.ACTIVE
    owner.now_ms += 1.0
    owner.lifecycle.tick(owner.now_ms)
    owner.carry_out()
    assert version.state is State.CONFIRMING
    assert owner.disk == (2, 0)
    owner.finish_save()
    assert version.state is State.CONFIRMED
    assert owner.retired == [1]
    assert owner.lifecycle.pending is None


def test_a_version_not_confirmed_in_time_is_rolled_back() -> None:
    owner = FakeOwner()
    version = owner.activate(WEB3, confirm_within_ms=500.0)
    owner.now_ms += 400.0
    owner.lifecycle.extend(owner.now_ms, 500.0)
    owner.now_ms += 400.0
    owner.lifecycle.tick(owner.now_ms)
    assert version.state is State.ACTIVE
    owner.now_ms += 200.0
    owner.lifecycle.tick(owner.now_ms)
    owner.carry_out()
    assert version.state is State.ROLLED_BACK
    assert owner.active_version.number == 1
    assert owner.retired == [2]
    assert owner.disk == (1, 0)


def test_a_goodput_drop_rolls_the_version_back_with_its_reason() -> None:
    owner = FakeOwner()
    version = owner.activate(WEB3)
    owner.lifecycle.goodput_dropped(version, "the goodput fell")
    owner.carry_out()
    assert version.state is State.ROLLED_BACK
    assert version.why == "the goodput fell"
    owner.lifecycle.goodput_dropped(version, "again")
    assert owner.lifecycle.take_actions() == []


def test_a_failed_save_leaves_the_previous_version_active() -> None:
    owner = FakeOwner()
    version = owner.commit(WEB3)
    owner.finish_staging()
    owner.lifecycle.save_failed(owner.saves.pop(0), "No space left on device")
    owner.carry_out()
    assert version.state is State.FAILED
    assert "No space" in version.why
    assert owner.active_version.number == 1
    version = owner.activate(WEB3, watched=False)
    owner.lifecycle.save_failed(owner.saves.pop(0), "I/O error")
    owner.carry_out()
    assert version.state is State.ROLLED_BACK
    assert owner.active_version.number == 1


def test_the_number_of_retained_versions_is_bounded_over_ten_thousand_commits() -> None:
    owner = FakeOwner()
    contents = [checked(WEB3), checked(WEB4)]
    base = 1
    for index in range(10_000):
        proposal = owner.transactions.propose(owner.now_ms, base, contents[index % 2])
        base = owner.transactions.commit(owner.now_ms, proposal.number, watched=False).number
        owner.carry_out()
        owner.finish_staging()
        owner.finish_save()
        owner.finish_save()
    assert len(owner.lifecycle.versions) <= MAX_RECORDS
    assert not owner.transactions.proposals
    assert owner.active_version.number == 10_001


def test_a_final_state_is_reachable_from_every_state() -> None:
    for state in State:
        seen = set()
        waiting = [state]
        while waiting:
            current = waiting.pop()
            seen.add(current)
            waiting += [target for target in TRANSITIONS[current] if target not in seen]
        assert seen & TERMINAL_STATES


@pytest.mark.parametrize("block", range(10))
def test_exactly_one_complete_version_is_active_after_any_sequence_of_calls(block: int) -> None:
    """Calls, times, failures and late reports are random. After each call, one version is active, which is
    the confirmed or the pending one; the disk names a confirmed version; and only allowed transitions were
    made.
    """
    choices = [sample(pools__web__max_attempts=n) for n in range(1, 6)] + [ORDERS3]
    configurations = [checked(data) for data in choices]
    for seed in range(block * 20, block * 20 + 20):
        rng = Random(seed)
        owner = FakeOwner()
        for _ in range(120):
            owner.now_ms += rng.random() * 5_000.0
            with suppress(RejectedError):
                random_call(owner, rng, configurations)
            owner.carry_out()
            check_one_version_is_active(owner, f"seed {seed}")


def check_one_version_is_active(owner: FakeOwner, context: str) -> None:
    lifecycle = owner.lifecycle
    pending = lifecycle.pending
    assert lifecycle.active in (lifecycle.confirmed, pending), context
    assert lifecycle.confirmed.state is State.CONFIRMED, context
    if lifecycle.active is not lifecycle.confirmed:
        assert pending is not None, context
        assert pending.state in RUNNING, context
        assert owner.disk in ((lifecycle.confirmed.number, pending.number), (pending.number, 0)), context
    moving = [version for version in lifecycle.versions.values() if version.state not in TERMINAL_STATES]
    assert moving == ([pending] if pending else []), context


def random_call(owner: FakeOwner, rng: Random, configurations: list[CheckedConfiguration]) -> None:
    """Make a random call of an operator, the watch or the clock, or report the result of an action."""
    lifecycle = owner.lifecycle
    transactions = owner.transactions
    call = rng.randrange(10)
    if call <= 1:
        base = rng.choice(list(lifecycle.versions))
        transactions.propose(owner.now_ms, base, rng.choice(configurations), may_merge=rng.random() < 0.5)
    elif call <= 3 and transactions.proposals:
        within = rng.choice([None, 3_000.0])
        transactions.commit(
            owner.now_ms, rng.choice(list(transactions.proposals)), within, rng.random() < 0.5
        )
    elif call == 4 and owner.staging:
        end_staging(owner, succeeds=rng.random() < 0.8)
    elif call <= 6 and owner.saves:
        end_save(owner, succeeds=rng.random() < 0.9)
    elif call == 7:
        transactions.rollback(owner.now_ms, to=rng.choice([None, *lifecycle.versions]))
    elif call == 8 and lifecycle.pending is not None:
        if rng.random() < 0.5:
            lifecycle.goodput_dropped(lifecycle.pending, "fell")
        else:
            lifecycle.confirm()
    else:
        lifecycle.tick(owner.now_ms)


def end_staging(owner: FakeOwner, succeeds: bool) -> None:
    version = owner.staging.pop(0)
    if succeeds:
        owner.lifecycle.staged(version)
    else:
        owner.lifecycle.staging_failed(version, "no")


def end_save(owner: FakeOwner, succeeds: bool) -> None:
    step = owner.saves.pop(0)
    if succeeds:
        owner.lifecycle.saved(owner.now_ms, step)
    else:
        owner.lifecycle.save_failed(step, "disk")
