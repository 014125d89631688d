"""The host of instances: batches in, replies out."""

from __future__ import annotations

import io
import json
import struct
from typing import Any

import pytest

from sandhatch.simulator.action_encoder import encode_reply
from sandhatch.simulator.errors import WireError
from sandhatch.simulator.host import serve
from tests.simulator.wire_examples import CATALOG, SETTINGS, raw


def batch(clock_ms: float, text: str, count: int) -> bytes:
    body = raw(text)
    return struct.pack(">dII", clock_ms, 16 + len(body), count) + body


def hello(instance: int, settings: dict[str, Any]) -> str:
    data = json.dumps(settings).encode()
    return f"0a {instance:08x} 0000000000000007 {len(data):08x} {data.hex()}"


def test_a_request_is_served_and_the_host_ends_with_the_input() -> None:
    update = "04 00000003 03 00000001 00000000"
    first = batch(1.0, hello(3, SETTINGS) + CATALOG + update, 3)
    request = "09 00000003 00000007 0000 00000000 0000000000000000 4079000000000000 0000000000000000 00"
    restart = batch(3.0, "07 00000003" + hello(3, SETTINGS), 2)
    sink = io.BytesIO()
    serve(io.BytesIO(first + batch(2.0, request, 1) + restart), sink)
    count, length = struct.unpack_from(">II", sink.getvalue(), 8)
    assert count >= 1
    assert sink.getvalue()[8 + length :] == encode_reply([])


def test_malformed_settings_are_reported_as_a_crash() -> None:
    sink = io.BytesIO()
    serve(io.BytesIO(batch(1.0, hello(3, {"Categories": 5}), 1)), sink)
    assert sink.getvalue()[8] == 8
    assert b"Categories: 5" in sink.getvalue()


@pytest.mark.parametrize("length", [3, 20, -1])
def test_nothing_is_written_for_a_truncated_batch(length: int) -> None:
    sink = io.BytesIO()
    with pytest.raises(WireError):
        serve(io.BytesIO(batch(1.0, hello(3, SETTINGS), 1)[:length]), sink)
    assert sink.getvalue() == b""
