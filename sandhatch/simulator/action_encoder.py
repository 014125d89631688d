"""Encoder of the simulator's replies: actions to bytes, without I/O.

Each record of a reply is a code followed by the fields of that code, big-endian and without padding.
Source: `WIRE-sandhatch.md`; the comment behind each code is its name in that specification.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from struct import Struct
from typing import Any

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

# ---------------------------------------------------------------- codes and limits of the wire protocol

# The comment behind each code is its name in `WIRE-sandhatch.md`.
_CANCEL = 1  # wire name: abandon
_CLOSE_IDLE = 2  # wire name: free_links
_FAIL = 3  # wire name: end_failed
_SET_TIMER = 4  # wire name: schedule
_SEND = 5  # wire name: pass_on
_TELL_PEER = 6  # wire name: post
_FETCH_LIST = 7  # wire name: refresh
_CRASH = 8  # wire name: crash
_LOG = 9  # wire name: emit
_WATCH_LIST = 10  # wire name: track
_REJECT = 11  # wire name: overload_reply
_PROBE = 12  # wire name: ping

_MAX_TIMER_MS = 71 * 60_000.0
_MAX_TEXT_BYTES = 0xFFFF
_ALL_PEERS = 0xFFFF
_PORT_BITS = 16
_PORT_MASK = 0xFFFF  # the low 16 bits of a server id are the port, the bits above are the address

# ---------------------------------------------------------------- record layouts: the code and its fields

_REPLY_HEADER = Struct(">II")
_CANCEL_RECORD = Struct(">BIIH")
_SERVER_RECORD = Struct(">BIIH")
_FAIL_RECORD = Struct(">BII")
_TIMER_RECORD = Struct(">BIQd")
_SEND_RECORD = Struct(">BIIIHd")
_PEER_RECORD = Struct(">BIHH")
_INSTANCE_RECORD = Struct(">BI")
_TEXT_RECORD = Struct(">BIH")
_WATCH_RECORD = Struct(">BIB")
_REJECT_RECORD = Struct(">BIId")


def encode_action(instance: int, action: Action) -> bytes:
    """Encode an action of an instance as one record.

    Raises:
        TypeError: The wire protocol has no record for such an action.
    """
    encode = _ENCODERS.get(type(action))
    if encode is None:
        raise TypeError(f"not an action: {action!r}")
    return encode(instance, action)


def encode_crash(instance: int, text: str) -> bytes:
    """Encode the record which reports that an instance has failed with this error text."""
    return _encode_text(_CRASH, instance, text)


def encode_reply(records: Sequence[bytes]) -> bytes:
    """Join the records of a reply into one frame with a header."""
    body = b"".join(records)
    return _REPLY_HEADER.pack(len(records), len(body) + _REPLY_HEADER.size) + body


def _encode_send(instance: int, action: Send) -> bytes:
    server = action.server
    return _SEND_RECORD.pack(
        _SEND, instance, action.request, server >> _PORT_BITS, server & _PORT_MASK, action.timeout_ms
    )


def _encode_set_timer(instance: int, action: SetTimer) -> bytes:
    delay_ms = min(max(action.delay_ms, 0.0), _MAX_TIMER_MS)
    return _TIMER_RECORD.pack(_SET_TIMER, instance, action.cookie, delay_ms)


def _encode_probe(instance: int, action: Probe) -> bytes:
    return _SERVER_RECORD.pack(_PROBE, instance, action.server >> _PORT_BITS, action.server & _PORT_MASK)


def _encode_close_idle(instance: int, action: CloseIdle) -> bytes:
    return _SERVER_RECORD.pack(_CLOSE_IDLE, instance, action.server >> _PORT_BITS, action.server & _PORT_MASK)


def _encode_fail(instance: int, action: Fail) -> bytes:
    return _FAIL_RECORD.pack(_FAIL, instance, action.request)


def _encode_reject(instance: int, action: Reject) -> bytes:
    return _REJECT_RECORD.pack(_REJECT, instance, action.request, action.wait_ms)


def _encode_cancel(instance: int, action: Cancel) -> bytes:
    return _CANCEL_RECORD.pack(_CANCEL, instance, action.request, action.attempt)


def _encode_tell_peer(instance: int, action: TellPeer) -> bytes:
    peer = _ALL_PEERS if action.peer is None else action.peer
    return _PEER_RECORD.pack(_TELL_PEER, instance, peer, len(action.payload)) + action.payload


def _encode_fetch_list(instance: int, action: FetchList) -> bytes:  # noqa: ARG001 - the action has no fields
    return _INSTANCE_RECORD.pack(_FETCH_LIST, instance)


def _encode_watch_list(instance: int, action: WatchList) -> bytes:
    return _WATCH_RECORD.pack(_WATCH_LIST, instance, action.active)


def _encode_log(instance: int, action: Log) -> bytes:
    return _encode_text(_LOG, instance, action.text)


def _encode_text(code: int, instance: int, text: str) -> bytes:
    data = text.encode()[:_MAX_TEXT_BYTES]
    return _TEXT_RECORD.pack(code, instance, len(data)) + data


# Encoders by type of action; a lookup here is faster than `functools.singledispatch`.
# GuidanceRejected has no record, because the simulator has no planners that send guidance.
_ENCODERS: dict[type[Action], Callable[[int, Any], bytes]] = {
    Send: _encode_send,
    SetTimer: _encode_set_timer,
    Probe: _encode_probe,
    Fail: _encode_fail,
    Reject: _encode_reject,
    Cancel: _encode_cancel,
    CloseIdle: _encode_close_idle,
    TellPeer: _encode_tell_peer,
    FetchList: _encode_fetch_list,
    WatchList: _encode_watch_list,
    Log: _encode_log,
}
