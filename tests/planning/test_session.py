"""A session's framing, handshake and encryption, byte by byte."""

from __future__ import annotations

from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sandhatch.planning.errors import EpochOverError, SessionError
from sandhatch.planning.keys import Identity, OwnKey, SharedKey, new_private_key, public_key
from sandhatch.planning.messages import (
    Advice,
    Bye,
    Hello,
    PoolReport,
    Report,
    Row,
    encode_handshake,
)
from sandhatch.planning.session import (
    MAX_FRAME_BYTES,
    MAX_HANDSHAKE_BYTES,
    Established,
    Event,
    ForwarderSession,
    PlannerSession,
    Session,
)

SHARED = SharedKey(b"k" * 32)


class SessionPair(NamedTuple):
    """The two ends of a session."""

    forwarder: ForwarderSession
    planner: PlannerSession


class HandshakeEvents(NamedTuple):
    """Both peers' events from the welcome on."""

    of_forwarder: list[Event]
    of_planner: list[Event]


def session_pair(
    forwarder_key: Identity = SHARED, planner_key: Identity = SHARED, known_epoch: int = 0, epoch: int = 5
) -> SessionPair:
    forwarder = ForwarderSession(forwarder_key, "f1", "p1", known_epoch)
    return SessionPair(forwarder, PlannerSession(planner_key, "p1", epoch))


def framed(payload: bytes) -> bytes:
    return len(payload).to_bytes(4, "big") + payload


def events(session: Session, data: bytes) -> list[Event]:
    return [received.event for received in session.feed(data)]


def handshake(forwarder: ForwarderSession, planner: PlannerSession) -> HandshakeEvents:
    events(planner, forwarder.take_out())
    forwarder_events = events(forwarder, planner.take_out())
    planner_events = events(planner, forwarder.take_out())
    return HandshakeEvents(forwarder_events, planner_events)


@pytest.mark.parametrize("kind", ["shared", "ed25519"])
def test_both_peers_are_authenticated_and_messages_arrive_complete(kind: str) -> None:
    forwarder_key: Identity = SHARED
    planner_key: Identity = SHARED
    if kind == "ed25519":
        forwarder_private = new_private_key()
        planner_private = new_private_key()
        forwarder_key = OwnKey(forwarder_private, {"p1": public_key(planner_private)})
        planner_key = OwnKey(planner_private, {"f1": public_key(forwarder_private)})
    forwarder, planner = session_pair(forwarder_key, planner_key)
    handshake_events = handshake(forwarder, planner)
    assert handshake_events.of_forwarder == [Established("p1", 5)]
    assert handshake_events.of_planner == [Established("f1", 5)]
    report = Report(1, 250.0, pools=[PoolReport("core", rows=[Row(3, 2, 1)])])
    forwarder.send(report)
    assert events(planner, forwarder.take_out()) == [report]
    planner.send(Advice(5, 1, 1, 2_000.0, 3_000.0))
    assert events(forwarder, planner.take_out()) == [Advice(5, 1, 1, 2_000.0, 3_000.0)]


@given(st.lists(st.integers(1, 40), max_size=60))
@settings(deadline=None, max_examples=30)
def test_frames_are_the_same_however_the_bytes_are_split(sizes: list[int]) -> None:
    forwarder, planner = session_pair()
    handshake(forwarder, planner)
    sent = [Report(n, 250.0) for n in range(5)]
    for report in sent:
        forwarder.send(report)
    data = forwarder.take_out()
    received = []
    for size in [*sizes, len(data)]:
        received += events(planner, data[:size])
        data = data[size:]
    assert received == sent


@pytest.mark.parametrize("wrong", ["forwarder", "planner"])
def test_a_peer_without_the_key_is_rejected(wrong: str) -> None:
    bad = SharedKey(b"x" * 32)
    keys = (bad, SHARED) if wrong == "forwarder" else (SHARED, bad)
    forwarder, planner = session_pair(*keys)
    events(planner, forwarder.take_out())
    with pytest.raises(SessionError, match="planner p1 has not the key that it should have"):
        events(forwarder, planner.take_out())


def test_a_planner_rejects_a_forwarder_that_does_not_have_its_key() -> None:
    forwarder_private, planner_private, other_private = (new_private_key() for _ in range(3))
    forwarder, planner = session_pair(
        OwnKey(forwarder_private, {"p1": public_key(planner_private)}),
        OwnKey(planner_private, {"f1": public_key(other_private)}),
    )
    with pytest.raises(SessionError, match="forwarder f1 has not the key"):
        handshake(forwarder, planner)
    forwarder._decryptor = None  # the reason is not encrypted, since no keys have been agreed on
    rejection = planner.take_out()
    with pytest.raises(SessionError, match="rejected by the planner: forwarder f1 has not the key"):
        events(forwarder, rejection)


def test_a_proof_replayed_from_another_session_is_rejected() -> None:
    """A whole handshake, recorded and sent to the planner again."""
    forwarder, planner = session_pair()
    hello = forwarder.take_out()
    events(planner, hello)
    events(forwarder, planner.take_out())
    proof = forwarder.take_out()
    second = PlannerSession(SHARED, "p1", 5)
    events(second, hello)
    with pytest.raises(SessionError, match="forwarder f1 has not the key"):
        events(second, proof)


def test_a_repeated_altered_or_dropped_frame_ends_the_session() -> None:
    for fault in ("repeat", "alter", "drop"):
        forwarder, planner = session_pair()
        handshake(forwarder, planner)
        forwarder.send(Report(1, 250.0))
        first = forwarder.take_out()
        forwarder.send(Report(2, 250.0))
        second = forwarder.take_out()
        if fault != "drop":
            assert events(planner, first) == [Report(1, 250.0)]
        altered = second[:-1] + bytes([second[-1] ^ 1])
        data = {"repeat": first, "alter": altered, "drop": second}[fault]
        with pytest.raises(SessionError, match="can't be opened"):
            events(planner, data)


def test_a_frame_that_is_too_long_is_rejected_by_its_length_alone() -> None:
    forwarder, planner = session_pair()
    with pytest.raises(SessionError, match=f"a frame of 100000000 bytes; {MAX_HANDSHAKE_BYTES} are the most"):
        events(planner, (100_000_000).to_bytes(4, "big"))
    forwarder, planner = session_pair()
    handshake(forwarder, planner)
    with pytest.raises(SessionError, match=f"a frame of 100000000 bytes; {MAX_FRAME_BYTES} are the most"):
        events(forwarder, (100_000_000).to_bytes(4, "big") + b"x" * 1000)
    assert forwarder.buffered_bytes == 0


def test_a_rejected_handshake_states_the_reason() -> None:
    planner = PlannerSession(SHARED, "p1", 5)

    def rejection(hello: Hello) -> str:
        with pytest.raises(SessionError) as raised:
            events(PlannerSession(SHARED, "p1", 5), framed(encode_handshake(hello)))
        return str(raised.value)

    key = planner.ephemeral
    assert rejection(Hello([2, 3], "f1", "p1", "shared", key)) == "no version in common: [2, 3] and [1]"
    assert rejection(Hello([1], "f1", "p2", "shared", key)) == "this is planner p1, not p2"
    assert rejection(Hello([1], "f1", "p1", "ed25519", key)) == "keys here are shared, not ed25519"
    with pytest.raises(SessionError, match=r"Proof in place of a hello|Report|not a message"):
        events(planner, b"\0\0\0\5nonsense")
    forwarder, _ = session_pair()
    with pytest.raises(SessionError, match="Hello in place of a welcome"):
        events(forwarder, framed(encode_handshake(Hello([1], "f1", "p1", "shared", key))))


def test_the_highest_version_in_common_with_a_newer_peer_is_chosen() -> None:
    planner = PlannerSession(SHARED, "p1", 5)
    hello = encode_handshake(Hello([1, 2, 9], "f1", "p1", "shared", planner.ephemeral))
    events(planner, framed(hello))
    assert planner.version == 1


def test_a_planner_whose_clock_was_set_back_is_notified_of_its_later_epoch() -> None:
    forwarder, planner = session_pair(known_epoch=9)
    events(planner, forwarder.take_out())
    events(forwarder, planner.take_out())
    with pytest.raises(EpochOverError) as raised:
        events(planner, forwarder.take_out())
    assert raised.value.known_epoch == 9


def test_a_peer_that_is_not_authenticated_cannot_raise_the_epoch() -> None:
    forwarder, planner = session_pair(SharedKey(b"x" * 32), SHARED, known_epoch=2**60)
    events(planner, forwarder.take_out())
    forwarder.identity = SHARED  # so that it sends a proof; then a wrong one
    events(forwarder, planner.take_out())
    proof = bytearray(forwarder.take_out())
    proof[-1] ^= 1
    with pytest.raises(SessionError) as raised:
        events(planner, bytes(proof))
    assert not isinstance(raised.value, EpochOverError)


def test_a_bye_is_understood_before_and_after_the_handshake() -> None:
    forwarder, planner = session_pair()
    planner.bye("full")
    with pytest.raises(SessionError, match="rejected by the planner: full"):
        events(forwarder, planner.take_out())
    forwarder, planner = session_pair()
    handshake(forwarder, planner)
    planner.bye("stops")
    assert events(forwarder, planner.take_out()) == [Bye("stops")]
