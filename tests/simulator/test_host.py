"""The host of balancer instances, from encoded batches to encoded replies."""

from __future__ import annotations

import io
import json
import struct
from typing import Any

import pytest

from sandhatch.simulator.action_encoder import encode_reply
from sandhatch.simulator.errors import WireError
from sandhatch.simulator.host import serve
from tests.simulator.wire_examples import CATALOG, SETTINGS, parse_hex


def encode_batch(clock_ms: float, text: str, count: int) -> bytes:
    body = parse_hex(text)
    return struct.pack(">dII", clock_ms, 16 + len(body), count) + body


def encode_hello(instance: int, settings: dict[str, Any]) -> str:
    data = json.dumps(settings).encode()
    return f"0a {instance:08x} 0000000000000007 {len(data):08x} {data.hex()}"


def test_request_gets_a_reply_and_host_stops_at_end_of_input() -> None:
    update = "04 00000003 03 00000001 00000000"
    first = encode_batch(1.0, encode_hello(3, SETTINGS) + CATALOG + update, 3)
    request = "09 00000003 00000007 0000 00000000 0000000000000000 4079000000000000 0000000000000000 00"
    restart = encode_batch(3.0, "07 00000003" + encode_hello(3, SETTINGS), 2)
    sink = io.BytesIO()
    serve(io.BytesIO(first + encode_batch(2.0, request, 1) + restart), sink)
    count, length = struct.unpack_from(">II", sink.getvalue(), 8)
    assert count >= 1
    assert sink.getvalue()[8 + length :] == encode_reply([])


def test_invalid_settings_are_reported_as_a_crash_of_the_instance() -> None:
    sink = io.BytesIO()
    serve(io.BytesIO(encode_batch(1.0, encode_hello(3, {"Categories": 5}), 1)), sink)
    assert sink.getvalue()[8] == 8
    assert b"Categories: 5" in sink.getvalue()


@pytest.mark.parametrize("length", [3, 20, -1])
def test_truncated_batch_raises_error_and_writes_no_reply(length: int) -> None:
    sink = io.BytesIO()
    with pytest.raises(WireError):
        serve(io.BytesIO(encode_batch(1.0, encode_hello(3, SETTINGS), 1)[:length]), sink)
    assert sink.getvalue() == b""
