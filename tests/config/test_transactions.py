"""Proposals and their conflicts: which are committed, merged, rejected or rolled back."""

from __future__ import annotations

import json
from random import Random

from sandhatch.config.errors import RejectionReason
from sandhatch.config.proposals import MAX_PROPOSALS, MAX_PROPOSED_BYTES, PROPOSAL_TTL_MS, Proposal
from sandhatch.config.version import State
from tests.config.fake_owner import ORDERS3, WEB3, WEB4, FakeOwner, expect_rejection
from tests.config.samples import BASE, checked, sample


def test_the_second_of_two_changes_of_one_key_is_rejected_with_that_key() -> None:
    owner = FakeOwner()
    first = owner.propose(WEB3)
    second = owner.propose(WEB4)
    owner.transactions.commit(owner.now_ms, first)
    with expect_rejection(RejectionReason.CONFLICT) as info:
        owner.transactions.commit(owner.now_ms, second)
    assert info.value.keys == ["pools.web.max_attempts"]
    owner.carry_out()
    owner.finish_staging()
    owner.finish_save()
    with expect_rejection(RejectionReason.CONFLICT) as info:
        owner.transactions.commit(owner.now_ms, second)
    assert info.value.keys == ["pools.web.max_attempts"]
    assert owner.active_version.data == WEB3


def test_of_two_hundred_proposals_for_one_key_exactly_one_is_committed() -> None:
    owner = FakeOwner()
    numbers = [owner.propose(sample(pools__web__max_connections=100 + n)) for n in range(200)]
    Random(5).shuffle(numbers)
    first, *others = numbers
    committed = owner.transactions.commit(owner.now_ms, first)
    for number in others:
        with expect_rejection(RejectionReason.CONFLICT) as info:
            owner.transactions.commit(owner.now_ms, number)
        assert info.value.keys == ["pools.web.max_connections"]
    owner.carry_out()
    owner.finish_staging()
    owner.finish_save()
    assert owner.active_version is committed


def test_a_change_of_other_keys_is_rejected_as_busy_until_the_first_ends_then_merged() -> None:
    owner = FakeOwner()
    other = owner.propose(ORDERS3)
    merged = owner.propose(ORDERS3, may_merge=True)
    owner.commit(WEB3, watched=False)
    with expect_rejection(RejectionReason.BUSY):
        owner.transactions.commit(owner.now_ms, other)
    owner.finish_staging()
    owner.finish_save()
    owner.finish_save()
    with expect_rejection(RejectionReason.CONFLICT) as info:
        owner.transactions.commit(owner.now_ms, other)
    assert info.value.keys == []
    assert "can be merged" in info.value.text
    version = owner.transactions.commit(owner.now_ms, merged)
    assert version.data["pools"]["web"]["max_attempts"] == 3
    assert version.data["pools"]["orders"]["max_attempts"] == 3


def test_a_merge_of_valid_changes_with_an_invalid_result_is_rejected() -> None:
    """One change removes a pool without routes, the other adds a route to the pool; they share no key."""
    with_spare_pool = sample(pools__spare={"servers": {"s": {"address": "127.0.0.1:1"}}})
    owner = FakeOwner()
    owner.activate_and_confirm(with_spare_pool)
    with_route = json.loads(json.dumps(with_spare_pool))
    with_route["routes"].append({"name": "beta", "to": {"pool": "spare"}})
    late = owner.propose(with_route, 2, may_merge=True)
    owner.activate_and_confirm(BASE, 2)
    with expect_rejection(RejectionReason.CONFLICT) as info:
        owner.transactions.commit(owner.now_ms, late)
    assert any(
        "expected the name of a pool" in line and "got 'spare'" in line for line in info.value.problems
    )
    assert owner.active_version.data == BASE


def test_a_proposal_based_on_a_rolled_back_version_is_rejected_with_the_conflict() -> None:
    owner = FakeOwner()
    version = owner.activate(WEB3)
    waiting = owner.propose(WEB4, version.number)
    owner.transactions.rollback(owner.now_ms, "anna")
    owner.carry_out()
    with expect_rejection(RejectionReason.CONFLICT) as info:
        owner.transactions.commit(owner.now_ms, waiting)
    assert info.value.keys == ["pools.web.max_attempts"]
    with expect_rejection(RejectionReason.CONFLICT):
        owner.propose(WEB4, version.number)
    assert owner.commit(WEB4, 1).state is State.STAGING


def test_operator_calls_are_rejected_in_states_that_do_not_allow_them() -> None:
    owner = FakeOwner()
    version = owner.commit(WEB3)
    with expect_rejection(RejectionReason.BUSY):
        owner.lifecycle.confirm()
    owner.transactions.rollback(owner.now_ms)
    owner.carry_out()
    assert version.state is State.FAILED
    assert owner.discarded == [2]
    # The version is reported as staged only after its rollback, and is discarded again.
    owner.lifecycle.staged(owner.staging.pop())
    owner.carry_out()
    assert owner.discarded == [2, 2]
    assert owner.active_version.number == 1
    with expect_rejection(RejectionReason.NOTHING):
        owner.lifecycle.confirm()
    with expect_rejection(RejectionReason.UNKNOWN):
        owner.transactions.rollback(owner.now_ms)  # the first version has no predecessor
    with expect_rejection(RejectionReason.NOTHING):
        owner.commit(BASE)
    with expect_rejection(RejectionReason.UNKNOWN):
        owner.transactions.commit(owner.now_ms, 999)
    with expect_rejection(RejectionReason.UNKNOWN):
        owner.propose(WEB3, base=77)


def test_a_rollback_to_an_older_version_becomes_an_ordinary_proposal() -> None:
    owner = FakeOwner()
    owner.activate_and_confirm(WEB3)
    owner.activate_and_confirm(WEB4, 2)
    proposal = owner.transactions.rollback(owner.now_ms)
    assert isinstance(proposal, Proposal)
    assert proposal.restores == 2
    version = owner.transactions.commit(owner.now_ms, proposal.number)
    assert version.number == 4
    assert version.data == WEB3


def test_proposals_are_limited_in_number_and_size_and_expire() -> None:
    owner = FakeOwner()
    for _ in range(MAX_PROPOSALS):
        owner.propose(WEB3)
    with expect_rejection(RejectionReason.FULL):
        owner.propose(WEB3)
    owner.now_ms += PROPOSAL_TTL_MS + 1.0
    owner.propose(WEB3)
    assert len(owner.transactions.proposals) == 1
    with expect_rejection(RejectionReason.FULL):
        owner.transactions.propose(owner.now_ms, 1, checked(WEB3), size_bytes=MAX_PROPOSED_BYTES + 1)
