"""Decoding of batches of the wire protocol, and the errors of malformed batches."""

from __future__ import annotations

from typing import Any

import pytest

from sandhatch.balancing.events import (
    AnswerStarted,
    AttemptEnded,
    ClientDisconnected,
    ListKind,
    ListUpdate,
    Outcome,
    PeerMessage,
    ProbeEnded,
    RequestArrived,
    ServerEntry,
    ServerState,
    TimerFired,
)
from sandhatch.simulator.errors import WireError
from sandhatch.simulator.event_decoder import BatchDecoder, InstanceKilled, InstanceStarted
from tests.simulator.wire_examples import CATALOG, SERVER_A, SERVER_B, parse_hex

SERVERS = (ServerEntry(SERVER_A), ServerEntry(SERVER_B, ServerState.READY, 6100.0, 1.5, 1, 0, 0))

EVENTS = [
    ("01 00000003 000000000000004d", 3, TimerFired(77)),
    ("02 00000005 0e6f2b19", 5, ClientDisconnected(0x0E6F2B19)),
    ("03 00000003 00000001 0004 68692037", 3, PeerMessage(1, b"hi 7")),
    (
        "06 00000003 5d3a91c4 0001 0a124a07 2bc3 4032800000000000",
        3,
        AnswerStarted(0x5D3A91C4, 1, SERVER_A, 18.5),
    ),
    ("07 00000009", 9, InstanceKilled()),
    (
        "08 00000003 5d3a91c4 01 4032800000000000 0a124a07 2bc3 0000 0000 00",
        3,
        AttemptEnded(0x5D3A91C4, 0, SERVER_A, Outcome.OK, True, 18.5),
    ),
    (
        "08 00000003 5d3a91c4 00 4032800000000000 0a124a07 2bc3 0002 006f 02 3f800000 40000000",
        3,
        AttemptEnded(0x5D3A91C4, 2, SERVER_A, Outcome.CONNECT_FAILED, False, 18.5, (1.0, 2.0)),
    ),
    (
        "09 00000003 5d3a91c4 0000 00000000 91f03b7c55d20a64 406e000000000000 4028000000000000 01",
        3,
        RequestArrived(0x5D3A91C4, 0, 240.0, 0, 0x91F03B7C55D20A64, 12.0),
    ),
    (
        "09 00000003 5d3a91c4 0002 00000004 0000000000000000 406e000000000000 0000000000000000 06",
        3,
        RequestArrived(0x5D3A91C4, 2, 240.0, 4, 0, None, True, True),
    ),
    ("0a 00000003 0000000000000007 00000002 7b7d", 3, InstanceStarted(7, b"{}")),
    ("0b 00000003 0a124a07 2bc3 006e 4032800000000000 00", 3, ProbeEnded(SERVER_A, Outcome.TIMEOUT, 18.5)),
    (
        "0b 00000003 0a124a07 2bc3 0000 4032800000000000 01 40400000",
        3,
        ProbeEnded(SERVER_A, Outcome.OK, 18.5, (3.0,)),
    ),
]


@pytest.mark.parametrize(("text", "instance", "event"), EVENTS)
def test_record_of_the_wire_protocol_is_decoded_to_its_event(text: str, instance: int, event: Any) -> None:
    assert BatchDecoder().decode(parse_hex(text), 1) == [(instance, event)]


def test_update_uses_the_latest_preceding_definition_of_its_list_number() -> None:
    update = "04 00000003 {} 00000029 00000000"
    removal = "05 00000000 00000001 0000000000000000 0a124a07 2bc3 3f800000 00 00 0000 00"
    frame = parse_hex(CATALOG + update.format("03") + removal + update.format("01") + update.format("04"))
    assert BatchDecoder().decode(frame, 5) == [
        (3, ListUpdate(ListKind.CACHED, 41, SERVERS)),
        (3, ListUpdate(ListKind.DELTA, 41, (ServerEntry(SERVER_A, ServerState.GONE),))),
        (3, ListUpdate(ListKind.FAILED, 41)),
    ]


@pytest.mark.parametrize(
    ("text", "count", "message"),
    [
        ("01 00000003", 1, "ends inside"),
        ("", 1, "ends inside"),
        ("63 00000003", 1, "unknown event code 99"),
        ("07 00000009 00", 1, "trailing bytes after the last record: 1"),
        ("03 00000003 00000001 0009 6869", 1, "past the frame's end"),
        ("05 00000000 00000009", 1, "past the frame's end"),
        ("0a 00000003 0000000000000007 00000020 7b7d", 1, "past the frame's end"),
        ("0b 00000003 0a124a07 2bc3 0000 4032800000000000 09 40400000", 1, "ends inside"),
        ("04 00000003 03 00000029 00000007", 1, "no catalog"),
        ("04 00000003 02 00000029 00000007", 1, "unknown kind 2"),
        ("0b 00000003 0a124a07 2bc3 0001 4032800000000000 00", 1, "unknown outcome 1"),
    ],
)
def test_malformed_frame_raises_error_that_describes_the_violation(
    text: str, count: int, message: str
) -> None:
    with pytest.raises(WireError, match=message):
        BatchDecoder().decode(parse_hex(text), count)
