"""Proposals and their conflicts: what may be committed, merged, rejected and rolled back."""

from __future__ import annotations

import json
from random import Random

from sandhatch.config.errors import RejectionReason
from sandhatch.config.proposals import MAX_PROPOSALS, MAX_PROPOSED_BYTES, PROPOSAL_MS, Proposal
from sandhatch.config.version import State
from tests.config.fake_owner import ORDERS3, WEB3, WEB4, FakeOwner, rejected
from tests.config.samples import BASE, checked, sample


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
    first, *others = numbers
    committed = owner.transactions.commit(owner.now, first)
    for number in others:
        with rejected(RejectionReason.CONFLICT) as info:
            owner.transactions.commit(owner.now, number)
        assert info.value.keys == ["pools.web.max_connections"]
    owner.carry_out()
    owner.finish_staging()
    owner.finish_save()
    assert owner.in_force is committed


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
    assert any(
        "expected the name of a pool" in line and "got 'spare'" in line for line in info.value.problems
    )
    assert owner.in_force.data == BASE


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
        owner.lifecycle.confirm()
    owner.transactions.rollback(owner.now)
    owner.carry_out()
    assert version.state is State.FAILED
    assert owner.unstaged == [2]
    owner.lifecycle.staged(owner.staging.pop())  # too late: what was built is released
    owner.carry_out()
    assert owner.unstaged == [2, 2]
    assert owner.in_force.number == 1
    with rejected(RejectionReason.NOTHING):
        owner.lifecycle.confirm()
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


def test_proposals_are_bounded_and_expire() -> None:
    owner = FakeOwner()
    for _ in range(MAX_PROPOSALS):
        owner.propose(WEB3)
    with rejected(RejectionReason.FULL):
        owner.propose(WEB3)
    owner.now += PROPOSAL_MS + 1.0
    owner.propose(WEB3)
    assert len(owner.transactions.proposals) == 1
    with rejected(RejectionReason.FULL):
        owner.transactions.propose(owner.now, 1, checked(WEB3), size_bytes=MAX_PROPOSED_BYTES + 1)
