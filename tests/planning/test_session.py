"""The link's framing, handshake and seals, by hand."""

from __future__ import annotations

from contextlib import suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sandhatch.planning.keys import (
    BadKeyError,
    Identity,
    OwnKey,
    SharedKey,
    identity,
    new_private_key,
    parse_key,
    public_key,
    read_key,
)
from sandhatch.planning.messages import (
    Advice,
    BadMessageError,
    Bye,
    Hello,
    PoolReport,
    Report,
    Row,
    decode,
    encode,
    encode_handshake,
)
from sandhatch.planning.session import (
    MOST_FRAME,
    MOST_HANDSHAKE,
    Budget,
    EpochOverError,
    Established,
    Event,
    ForwarderSession,
    PlannerSession,
    Session,
    SessionError,
)

SHARED = SharedKey(b"k" * 32)


def pair(
    forwarder: Identity = SHARED, planner: Identity = SHARED, knows: int = 0, epoch: int = 5
) -> tuple[ForwarderSession, PlannerSession]:
    return ForwarderSession(forwarder, "f1", "p1", knows), PlannerSession(planner, "p1", epoch)


def events(session: Session, data: bytes) -> list[Event]:
    return [event for event, _ in session.feed(data)]


def shake(one: ForwarderSession, other: PlannerSession) -> tuple[list[Event], list[Event]]:
    events(other, one.take_out())
    mine = events(one, other.take_out())
    theirs = events(other, one.take_out())
    return mine, theirs


@pytest.mark.parametrize("kind", ["shared", "ed25519"])
def test_both_sides_know_each_other_and_what_is_sent_comes_whole(kind: str) -> None:
    ours: Identity = SHARED
    theirs: Identity = SHARED
    if kind == "ed25519":
        keys = new_private_key(), new_private_key()
        ours = OwnKey(keys[0], {"p1": public_key(keys[1])})
        theirs = OwnKey(keys[1], {"f1": public_key(keys[0])})
    one, other = pair(ours, theirs)
    assert shake(one, other) == ([Established("p1", 5)], [Established("f1", 5)])
    report = Report(1, 250.0, pools=[PoolReport("core", rows=[Row(3, 2, 1)])])
    one.send(report)
    assert events(other, one.take_out()) == [report]
    other.send(Advice(5, 1, 1, 2_000.0, 3_000.0))
    assert events(one, other.take_out()) == [Advice(5, 1, 1, 2_000.0, 3_000.0)]


@given(st.lists(st.integers(1, 40), max_size=60))
@settings(deadline=None, max_examples=30)
def test_frames_come_the_same_however_the_bytes_are_cut(cuts: list[int]) -> None:
    one, other = pair()
    shake(one, other)
    sent = [Report(n, 250.0) for n in range(5)]
    for report in sent:
        one.send(report)
    data, found = one.take_out(), []
    for cut in [*cuts, len(data)]:
        found += events(other, data[:cut])
        data = data[cut:]
    assert found == sent


@pytest.mark.parametrize("wrong", ["forwarder", "planner"])
def test_one_without_the_key_is_turned_away(wrong: str) -> None:
    bad = SharedKey(b"x" * 32)
    one, other = pair(*((bad, SHARED) if wrong == "forwarder" else (SHARED, bad)))
    events(other, one.take_out())
    with pytest.raises(SessionError, match="planner p1 has not the key that it should have"):
        events(one, other.take_out())


def test_a_planner_sees_that_a_forwarder_has_not_its_key() -> None:
    keys = new_private_key(), new_private_key(), new_private_key()
    one, other = pair(
        OwnKey(keys[0], {"p1": public_key(keys[1])}), OwnKey(keys[1], {"f1": public_key(keys[2])})
    )
    with pytest.raises(SessionError, match="forwarder f1 has not the key"):
        shake(one, other)
    with pytest.raises(SessionError, match="turned away: forwarder f1 has not the key"):
        # What it is told is told in the clear, since nothing has been agreed on.
        one._open = None
        events(one, other.take_out())


def test_a_proof_of_another_session_is_worth_nothing() -> None:
    """A whole handshake, recorded and played again to the planner."""
    one, other = pair()
    hello = one.take_out()
    events(other, hello)
    events(one, other.take_out())
    proof = one.take_out()
    again = PlannerSession(SHARED, "p1", 5)
    events(again, hello)
    with pytest.raises(SessionError, match="forwarder f1 has not the key"):
        events(again, proof)


def test_a_frame_that_is_repeated_altered_or_left_out_ends_the_session() -> None:
    for harm in ("repeat", "alter", "leave out"):
        one, other = pair()
        shake(one, other)
        one.send(Report(1, 250.0))
        first = one.take_out()
        one.send(Report(2, 250.0))
        second = one.take_out()
        if harm != "leave out":
            assert events(other, first) == [Report(1, 250.0)]
        data = {"repeat": first, "alter": second[:-1] + bytes([second[-1] ^ 1]), "leave out": second}[harm]
        with pytest.raises(SessionError, match="can't be opened"):
            events(other, data)


def test_a_frame_too_long_is_refused_by_its_length_alone() -> None:
    one, other = pair()
    with pytest.raises(SessionError, match=f"a frame of 100000000 bytes; {MOST_HANDSHAKE} are the most"):
        events(other, (100_000_000).to_bytes(4, "big"))
    one, other = pair()
    shake(one, other)
    with pytest.raises(SessionError, match=f"a frame of 100000000 bytes; {MOST_FRAME} are the most"):
        events(one, (100_000_000).to_bytes(4, "big") + b"x" * 1000)
    assert one.held == 0


def test_a_session_says_why_it_refuses() -> None:
    other = PlannerSession(SHARED, "p1", 5)

    def refusal(hello: Hello) -> str:
        payload = encode_handshake(hello)
        with pytest.raises(SessionError) as found:
            events(PlannerSession(SHARED, "p1", 5), len(payload).to_bytes(4, "big") + payload)
        return str(found.value)

    share = other.ephemeral
    assert refusal(Hello([2, 3], "f1", "p1", "shared", share)) == "no version in common: [2, 3] and [1]"
    assert refusal(Hello([1], "f1", "p2", "shared", share)) == "this is planner p1, not p2"
    assert refusal(Hello([1], "f1", "p1", "ed25519", share)) == "keys here are shared, not ed25519"
    with pytest.raises(SessionError, match=r"Proof in place of a hello|Report|not a message"):
        events(other, b"\0\0\0\5nonsense")
    one, _ = pair()
    with pytest.raises(SessionError, match="Hello in place of a welcome"):
        hello = encode_handshake(Hello([1], "f1", "p1", "shared", share))
        events(one, len(hello).to_bytes(4, "big") + hello)


def test_a_newer_peer_offers_more_versions_and_the_highest_in_common_is_taken() -> None:
    other = PlannerSession(SHARED, "p1", 5)
    hello = encode_handshake(Hello([1, 2, 9], "f1", "p1", "shared", other.ephemeral))
    events(other, len(hello).to_bytes(4, "big") + hello)
    assert other.version == 1


def test_a_planner_whose_time_was_put_back_hears_of_its_later_life() -> None:
    one, other = pair(knows=9)
    events(other, one.take_out())
    events(one, other.take_out())
    with pytest.raises(EpochOverError) as found:
        events(other, one.take_out())
    assert found.value.knows == 9


def test_nobody_raises_an_epoch_who_has_not_proven_who_it_is() -> None:
    one, other = pair(SharedKey(b"x" * 32), SHARED, knows=2**60)
    events(other, one.take_out())
    one.identity = SHARED  # so that it sends a proof; then a wrong one
    events(one, other.take_out())
    proof = bytearray(one.take_out())
    proof[-1] ^= 1
    with pytest.raises(SessionError) as found:
        events(other, bytes(proof))
    assert not isinstance(found.value, EpochOverError)


def test_unknown_fields_are_passed_over_and_wrong_ones_are_not() -> None:
    import msgspec

    raw = msgspec.msgpack.decode(encode(Report(1, 250.0)))
    assert decode(msgspec.msgpack.encode(raw | {"mood": "fine", "pools": []})) == Report(1, 250.0)
    for key, value in (("serial", -1), ("serial", "one"), ("span_ms", 1e12), ("type", "poem")):
        with pytest.raises(BadMessageError):
            decode(msgspec.msgpack.encode(raw | {key: value}))
    with pytest.raises(BadMessageError):
        decode(b"")


@given(st.binary(max_size=300))
@settings(deadline=None, max_examples=200)
def test_any_bytes_are_a_message_or_a_plain_error(data: bytes) -> None:
    with suppress(BadMessageError):
        decode(data)


def test_a_budget_of_frames_and_bytes() -> None:
    budget = Budget(10.0, 1_000.0, 2.0, 0.0)
    assert all(budget.take(10, 0.0) for _ in range(20))
    assert not budget.take(10, 0.0)
    assert budget.take(10, 300.0)
    wide = Budget(10.0, 1_000.0, 2.0, 0.0)
    assert wide.take(MOST_FRAME, 0.0) and not wide.take(1_000, 0.0)


def test_a_bye_before_and_after_the_handshake() -> None:
    one, other = pair()
    other.bye("full")
    with pytest.raises(SessionError, match="turned away: full"):
        events(one, other.take_out())
    one, other = pair()
    shake(one, other)
    other.bye("stops")
    assert events(one, other.take_out()) == [Bye("stops")]


def test_key_files(tmp_path: object) -> None:
    from pathlib import Path

    path = Path(str(tmp_path)) / "key"
    path.write_text("ab" * 32 + "\n")
    path.chmod(0o640)
    with pytest.raises(BadKeyError, match="others may read it; its mode must be 0600"):
        read_key(str(path))
    path.chmod(0o600)
    assert read_key(str(path)) == b"\xab" * 32
    assert identity(str(path), None, {}).method == "shared"
    assert identity(None, str(path), {"p": public_key(new_private_key()).hex()}).method == "ed25519"
    with pytest.raises(BadKeyError, match="No such file"):
        read_key(str(path) + "2")
    with pytest.raises(BadKeyError, match="not hexadecimal"):
        parse_key("zz", "it")
    with pytest.raises(BadKeyError, match="16 are the least"):
        SharedKey(b"short")
    with pytest.raises(BadKeyError, match="not an Ed25519 key"):
        OwnKey(b"short", {})
