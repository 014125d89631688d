"""Messages on the wire: field names, ignored fields and invalid values."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sandhatch.planning.errors import BadMessageError
from sandhatch.planning.messages import (
    Advice,
    Bye,
    Hello,
    PoolAdvice,
    PoolReport,
    Proof,
    RampShareRow,
    Report,
    Row,
    WeightRow,
    Welcome,
    WelcomeBody,
    decode,
    decode_body,
    decode_handshake,
    encode,
    encode_handshake,
)


def raw(payload: bytes) -> Any:
    """Decode a payload to the plain values that docs/planning-link.md describes."""
    return msgspec.msgpack.decode(payload)


POOL_REPORT = PoolReport(
    pool="core",
    instances=4,
    instance_index=2,
    burst=8.0,
    names=["10.0.0.1:80"],
    rows=[Row(0, 1, 2, 3, 4, 5.0, [6, 7])],
    warming_up=[0],
    warm=[1],
    not_ready=[2],
    demand={"view": 3},
    previous_grants=[RampShareRow(0, 0.5, 1.0)],
    anew=True,
)
POOL_REPORT_ON_THE_WIRE = {
    "pool": "core",
    "copies": 4,
    "me": 2,
    "burst": 8.0,
    "names": ["10.0.0.1:80"],
    "rows": [[0, 1, 2, 3, 4, 5.0, [6, 7]]],
    "cold": [0],
    "warm": [1],
    "left": [2],
    "demand": {"view": 3},
    "held": [[0, 0.5, 1.0]],
    "anew": True,
}


def test_a_report_has_the_field_names_and_order_of_the_wire() -> None:
    report = Report(9, 250.0, 5, 6, True, [POOL_REPORT])
    wire = {
        "type": "report",
        "serial": 9,
        "span_ms": 250.0,
        "epoch": 5,
        "version": 6,
        "lends": True,
        "pools": [POOL_REPORT_ON_THE_WIRE],
    }
    assert encode(report) == msgspec.msgpack.encode(wire)
    assert decode(msgspec.msgpack.encode(wire)) == report


def test_advice_has_the_field_names_and_order_of_the_wire() -> None:
    pool = PoolAdvice("core", [WeightRow(0, 0.5, "slow", 2.0, 3)], [RampShareRow(1, 0.25, 2.0)], 0.125)
    advice = Advice(5, 6, 7, 2_000.0, 3_000.0, True, True, "note", [pool])
    wire_pool = {
        "pool": "core",
        "weights": [[0, 0.5, "slow", 2.0, 3]],
        "parts": [[1, 0.25, 2.0]],
        "own_part": 0.125,
    }
    wire = {
        "type": "advice",
        "epoch": 5,
        "version": 6,
        "answers": 7,
        "lease_ms": 2_000.0,
        "lend_ms": 3_000.0,
        "lending": True,
        "learning": True,
        "note": "note",
        "pools": [wire_pool],
    }
    assert encode(advice) == msgspec.msgpack.encode(wire)
    assert decode(msgspec.msgpack.encode(wire)) == advice


def test_handshake_messages_have_the_field_names_and_order_of_the_wire() -> None:
    key = b"k" * 32
    proof = b"p" * 32
    hello = {
        "type": "hello",
        "versions": [1],
        "name": "f1",
        "planner": "p1",
        "method": "shared",
        "ephemeral": key,
        "knows": 3,
    }
    assert encode_handshake(Hello([1], "f1", "p1", "shared", key, 3)) == msgspec.msgpack.encode(hello)
    assert decode_handshake(msgspec.msgpack.encode(hello)) == Hello([1], "f1", "p1", "shared", key, 3)
    body = {"version": 1, "name": "p1", "epoch": 5, "ephemeral": key}
    assert encode_handshake(WelcomeBody(1, "p1", 5, key)) == msgspec.msgpack.encode(body)
    assert decode_body(msgspec.msgpack.encode(body)) == WelcomeBody(1, "p1", 5, key)
    welcome = {"type": "welcome", "body": b"body", "proof": proof}
    assert encode_handshake(Welcome(b"body", proof)) == msgspec.msgpack.encode(welcome)
    assert raw(encode_handshake(Proof(proof))) == {"type": "proof", "proof": proof}
    assert raw(encode_handshake(Bye("stops"))) == {"type": "bye", "why": "stops"}


def test_unknown_fields_are_ignored_and_invalid_values_are_not() -> None:
    wire = raw(encode(Report(1, 250.0)))
    assert decode(msgspec.msgpack.encode(wire | {"unknown_field": "value", "pools": []})) == Report(1, 250.0)
    for key, value in (("serial", -1), ("serial", "one"), ("span_ms", 1e12), ("type", "unknown")):
        with pytest.raises(BadMessageError):
            decode(msgspec.msgpack.encode(wire | {key: value}))
    with pytest.raises(BadMessageError):
        decode(b"")


@given(st.binary(max_size=300))
@settings(deadline=None, max_examples=200)
def test_arbitrary_bytes_decode_to_a_message_or_raise_bad_message_error(data: bytes) -> None:
    with suppress(BadMessageError):
        decode(data)
