"""Acknowledgement of advice by a forwarder."""

from __future__ import annotations

from sandhatch.planning.membership import MAX_UNACKNOWLEDGED_ADVICE, Member, SentAdvice


def test_acknowledged_advice_is_recorded_as_applied_once() -> None:
    member = Member("f0", 0.0)
    for version in (1, 2, 3):
        member.record_sent(SentAdvice(version, 10.0 * version, True))
    assert member.version == 3
    assert member.acknowledge(2) == SentAdvice(2, 20.0, True)
    assert member.applied == SentAdvice(2, 20.0, True)
    assert member.acknowledge(2) is None
    assert member.applied.version == 2


def test_beyond_the_limit_the_oldest_unacknowledged_advice_can_no_longer_be_acknowledged() -> None:
    member = Member("f0", 0.0)
    for version in range(1, MAX_UNACKNOWLEDGED_ADVICE + 2):
        member.record_sent(SentAdvice(version, 0.0, False))
    assert member.acknowledge(1) is None
    assert member.applied.version == 0
