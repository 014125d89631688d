"""Which of its advice a forwarder is known to have applied."""

from __future__ import annotations

from sandhatch.planning.membership import MAX_UNACKNOWLEDGED, Member, SentAdvice


def test_acknowledged_advice_becomes_the_applied_one_once() -> None:
    member = Member("f0", 0.0)
    for version in (1, 2, 3):
        member.sent(SentAdvice(version, 10.0 * version, True))
    assert member.version == 3
    assert member.acknowledge(2) == SentAdvice(2, 20.0, True)
    assert member.applied == SentAdvice(2, 20.0, True)
    assert member.acknowledge(2) is None
    assert member.applied.version == 2


def test_the_oldest_of_too_many_unacknowledged_can_be_acknowledged_no_longer() -> None:
    member = Member("f0", 0.0)
    for version in range(1, MAX_UNACKNOWLEDGED + 2):
        member.sent(SentAdvice(version, 0.0, False))
    assert member.acknowledge(1) is None
    assert member.applied.version == 0
