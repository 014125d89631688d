"""Encoding of actions, crashes and replies to the wire protocol."""

from __future__ import annotations

import pytest

from sandhatch.balancing.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    FetchList,
    Log,
    Probe,
    Reject,
    Send,
    SetTimer,
    TellPeer,
    WatchList,
)
from sandhatch.simulator.action_encoder import encode_action, encode_crash, encode_reply
from tests.simulator.wire_examples import SERVER_A, parse_hex

ACTIONS: list[tuple[Action, str]] = [
    (Cancel(7, 2), "01 00000003 00000007 0002"),
    (CloseIdle(SERVER_A), "02 00000003 0a124a07 2bc3"),
    (Fail(7), "03 00000003 00000007"),
    (SetTimer(77, 500.0), "04 00000003 000000000000004d 407f400000000000"),
    (SetTimer(77, 1e12), "04 00000003 000000000000004d 4150402800000000"),
    (Send(0x5D3A91C4, SERVER_A, 80.0), "05 00000003 5d3a91c4 0a124a07 2bc3 4054000000000000"),
    (TellPeer(None, b"hi 7"), "06 00000003 ffff 0004 68692037"),
    (TellPeer(2, b""), "06 00000003 0002 0000"),
    (FetchList(), "07 00000003"),
    (Log("two servers known"), "09 00000003 0011 74776f2073657276657273206b6e6f776e"),
    (WatchList(True), "0a 00000003 01"),
    (WatchList(False), "0a 00000003 00"),
    (Reject(7, 80.0), "0b 00000003 00000007 4054000000000000"),
    (Probe(SERVER_A), "0c 00000003 0a124a07 2bc3"),
]


@pytest.mark.parametrize(("action", "text"), ACTIONS)
def test_action_is_encoded_to_its_record_of_the_wire_protocol(action: Action, text: str) -> None:
    assert encode_action(3, action) == parse_hex(text)


def test_crashes_and_replies_are_encoded_to_the_wire_protocol() -> None:
    assert encode_crash(5, "no") == parse_hex("08 00000005 0002 6e6f")
    assert encode_reply([]) == parse_hex("00000000 00000008")
    assert encode_reply([parse_hex("07 00000003")]) == parse_hex("00000001 0000000d 07 00000003")
