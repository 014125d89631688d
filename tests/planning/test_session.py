"""A session's framing, handshake and encryption, byte by byte."""

from __future__ import annotations

from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sandhatch.planning.errors import SessionError, SupersededEpochError
from sandhatch.planning.keys import Ed25519Identity, Identity, SharedKeyIdentity, new_private_key, public_key
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

SHARED = SharedKeyIdentity(b"k" * 32)


class SessionPair(NamedTuple):
    """Both ends of a session."""

    forwarder: ForwarderSession
    planner: PlannerSession


class HandshakeEvents(NamedTuple):
    """Events of both peers, from the `Welcome` on."""

    forwarder_events: list[Event]
    planner_events: list[Event]


def session_pair(
    forwarder_key: Identity = SHARED, planner_key: Identity = SHARED, known_epoch: int = 0, epoch: int = 5
) -> SessionPair:
    forwarder = ForwarderSession(forwarder_key, "f1", "p1", known_epoch)
    return SessionPair(forwarder, PlannerSession(planner_key, "p1", epoch))


def framed(payload: bytes) -> bytes:
    return len(payload).to_bytes(4, "big") + payload


def receive(session: Session, data: bytes) -> list[Event]:
    return [received.event for received in session.feed(data)]


def handshake(forwarder: ForwarderSession, planner: PlannerSession) -> HandshakeEvents:
    receive(planner, forwarder.take_output())
    forwarder_events = receive(forwarder, planner.take_output())
    planner_events = receive(planner, forwarder.take_output())
    return HandshakeEvents(forwarder_events, planner_events)


@pytest.mark.parametrize("kind", ["shared", "ed25519"])
def test_both_peers_are_authenticated_and_messages_arrive_complete(kind: str) -> None:
    forwarder_key: Identity = SHARED
    planner_key: Identity = SHARED
    if kind == "ed25519":
        forwarder_private = new_private_key()
        planner_private = new_private_key()
        forwarder_key = Ed25519Identity(forwarder_private, {"p1": public_key(planner_private)})
        planner_key = Ed25519Identity(planner_private, {"f1": public_key(forwarder_private)})
    forwarder, planner = session_pair(forwarder_key, planner_key)
    handshake_events = handshake(forwarder, planner)
    assert handshake_events.forwarder_events == [Established("p1", 5)]
    assert handshake_events.planner_events == [Established("f1", 5)]
    report = Report(1, 250.0, pools=[PoolReport("core", rows=[Row(3, 2, 1)])])
    forwarder.send(report)
    assert receive(planner, forwarder.take_output()) == [report]
    planner.send(Advice(5, 1, 1, 2_000.0, 3_000.0))
    assert receive(forwarder, planner.take_output()) == [Advice(5, 1, 1, 2_000.0, 3_000.0)]


@given(st.lists(st.integers(1, 40), max_size=60))
@settings(deadline=None, max_examples=30)
def test_messages_are_received_identically_however_the_bytes_are_split(sizes: list[int]) -> None:
    forwarder, planner = session_pair()
    handshake(forwarder, planner)
    sent = [Report(n, 250.0) for n in range(5)]
    for report in sent:
        forwarder.send(report)
    data = forwarder.take_output()
    received = []
    for size in [*sizes, len(data)]:
        received += receive(planner, data[:size])
        data = data[size:]
    assert received == sent


@pytest.mark.parametrize("peer_with_other_key", ["forwarder", "planner"])
def test_a_peer_without_the_key_is_rejected(peer_with_other_key: str) -> None:
    other_key = SharedKeyIdentity(b"x" * 32)
    keys = (other_key, SHARED) if peer_with_other_key == "forwarder" else (SHARED, other_key)
    forwarder, planner = session_pair(*keys)
    receive(planner, forwarder.take_output())
    with pytest.raises(
        SessionError, match="planner p1 failed authentication: its proof does not match its configured key"
    ):
        receive(forwarder, planner.take_output())


def test_a_planner_rejects_a_forwarder_that_does_not_have_its_key() -> None:
    forwarder_private, planner_private, other_private = (new_private_key() for _ in range(3))
    forwarder, planner = session_pair(
        Ed25519Identity(forwarder_private, {"p1": public_key(planner_private)}),
        Ed25519Identity(planner_private, {"f1": public_key(other_private)}),
    )
    with pytest.raises(SessionError, match="forwarder f1 has not the key"):
        handshake(forwarder, planner)
    forwarder._decryptor = None  # the reason is not encrypted, since no session keys exist yet
    rejection = planner.take_output()
    with pytest.raises(SessionError, match="rejected by the planner: forwarder f1 has not the key"):
        receive(forwarder, rejection)


def test_a_proof_replayed_from_another_session_is_rejected() -> None:
    """A forwarder's recorded `Hello` and proof are sent again, in a new session with the planner."""
    forwarder, planner = session_pair()
    hello = forwarder.take_output()
    receive(planner, hello)
    receive(forwarder, planner.take_output())
    proof = forwarder.take_output()
    second = PlannerSession(SHARED, "p1", 5)
    receive(second, hello)
    with pytest.raises(SessionError, match="forwarder f1 has not the key"):
        receive(second, proof)


def test_a_repeated_altered_or_dropped_frame_ends_the_session() -> None:
    for fault in ("repeat", "alter", "drop"):
        forwarder, planner = session_pair()
        handshake(forwarder, planner)
        forwarder.send(Report(1, 250.0))
        first = forwarder.take_output()
        forwarder.send(Report(2, 250.0))
        second = forwarder.take_output()
        if fault != "drop":
            assert receive(planner, first) == [Report(1, 250.0)]
        altered = second[:-1] + bytes([second[-1] ^ 1])
        data = {"repeat": first, "alter": altered, "drop": second}[fault]
        with pytest.raises(SessionError, match="can't be opened"):
            receive(planner, data)


def test_a_frame_that_is_too_long_is_rejected_on_its_length_prefix() -> None:
    forwarder, planner = session_pair()
    with pytest.raises(SessionError, match=f"a frame of 100000000 bytes; {MAX_HANDSHAKE_BYTES} are the most"):
        receive(planner, (100_000_000).to_bytes(4, "big"))
    forwarder, planner = session_pair()
    handshake(forwarder, planner)
    with pytest.raises(SessionError, match=f"a frame of 100000000 bytes; {MAX_FRAME_BYTES} are the most"):
        receive(forwarder, (100_000_000).to_bytes(4, "big") + b"x" * 1000)
    assert forwarder.buffered_bytes == 0


def test_a_rejected_handshake_states_the_reason() -> None:
    planner = PlannerSession(SHARED, "p1", 5)

    def rejection(hello: Hello) -> str:
        with pytest.raises(SessionError) as raised:
            receive(PlannerSession(SHARED, "p1", 5), framed(encode_handshake(hello)))
        return str(raised.value)

    key = planner.ephemeral
    assert rejection(Hello([2, 3], "f1", "p1", "shared", key)) == "no version in common: [2, 3] and [1]"
    assert rejection(Hello([1], "f1", "p2", "shared", key)) == "this is planner p1, not p2"
    assert rejection(Hello([1], "f1", "p1", "ed25519", key)) == "keys here are shared, not ed25519"
    with pytest.raises(SessionError, match=r"Proof in place of a hello|Report|not a message"):
        receive(planner, b"\0\0\0\5nonsense")
    forwarder, _ = session_pair()
    with pytest.raises(SessionError, match="expected a Welcome, got a Hello"):
        receive(forwarder, framed(encode_handshake(Hello([1], "f1", "p1", "shared", key))))


def test_the_highest_version_in_common_with_a_newer_peer_is_chosen() -> None:
    planner = PlannerSession(SHARED, "p1", 5)
    hello = encode_handshake(Hello([1, 2, 9], "f1", "p1", "shared", planner.ephemeral))
    receive(planner, framed(hello))
    assert planner.version == 1


def test_a_planner_whose_clock_was_set_back_receives_its_higher_known_epoch() -> None:
    forwarder, planner = session_pair(known_epoch=9)
    receive(planner, forwarder.take_output())
    receive(forwarder, planner.take_output())
    with pytest.raises(SupersededEpochError) as raised:
        receive(planner, forwarder.take_output())
    assert raised.value.known_epoch == 9


def test_a_peer_that_is_not_authenticated_cannot_raise_the_epoch() -> None:
    forwarder, planner = session_pair(SharedKeyIdentity(b"x" * 32), SHARED, known_epoch=2**60)
    receive(planner, forwarder.take_output())
    forwarder.identity = SHARED  # lets the forwarder send a proof, which is altered below
    receive(forwarder, planner.take_output())
    proof = bytearray(forwarder.take_output())
    proof[-1] ^= 1
    with pytest.raises(SessionError) as raised:
        receive(planner, bytes(proof))
    assert not isinstance(raised.value, SupersededEpochError)


def test_a_bye_is_received_before_and_after_the_handshake() -> None:
    forwarder, planner = session_pair()
    planner.send_bye("full")
    with pytest.raises(SessionError, match="rejected by the planner: full"):
        receive(forwarder, planner.take_output())
    forwarder, planner = session_pair()
    handshake(forwarder, planner)
    planner.send_bye("stops")
    assert receive(forwarder, planner.take_output()) == [Bye("stops")]
