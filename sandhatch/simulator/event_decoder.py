"""Decoder of the simulator's batches: bytes to events, without I/O.

Each record of a batch is a code followed by the fields of that code, big-endian and without padding. A
function per code reads the fields at an offset, appends the event, and returns the offset after the fields.
Source: `WIRE-sandhatch.md`; the comment behind each code is its name in that specification.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from struct import Struct, error
from typing import TypeAlias

from sandhatch.balancing.events import (
    AnswerStarted,
    AttemptEnded,
    ClientDisconnected,
    Event,
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
from sandhatch.simulator.errors import (
    TrailingBytesError,
    TruncatedFrameError,
    UnknownCodeError,
    UnknownListError,
)

# ---------------------------------------------------------------- decoded records


@dataclass(slots=True, frozen=True)
class InstanceStarted:
    """An instance has started, with no state other than its settings.

    Attributes:
        seed: Seed of the instance's random number generator.
        settings_json: Settings of the instance, for `sandhatch.simulator.settings_decoder`.
    """

    seed: int
    settings_json: bytes


@dataclass(slots=True, frozen=True)
class InstanceKilled:
    """An instance was killed, and its state is lost."""


# An instance's number and its event. A plain tuple, because one is created per event, and creating a named
# tuple or a dataclass takes at least five times as long.
Record: TypeAlias = tuple[int, Event | InstanceStarted | InstanceKilled]

# ---------------------------------------------------------------- codes of the wire protocol

# The comment behind each code is its name in `WIRE-sandhatch.md`.
_TIMER_FIRED = 1  # wire name: wakeup
_CLIENT_DISCONNECTED = 2  # wire name: hangup
_PEER_MESSAGE = 3  # wire name: neighbour_says
_LIST_UPDATE = 4  # wire name: update
_LIST_DEFINITION = 5  # wire name: catalog
_RESPONSE_STARTED = 6  # wire name: opened
_INSTANCE_KILLED = 7  # wire name: destroy
_ATTEMPT_ENDED = 8  # wire name: attempt_end
_REQUEST_ARRIVED = 9  # wire name: request
_INSTANCE_STARTED = 10  # wire name: hello
_PROBE_ENDED = 11  # wire name: echo

# Codes of outcomes, listed under "How can an attempt end?" in `WIRE-sandhatch.md`
_OUTCOMES = {
    0: Outcome.OK,
    5: Outcome.ERROR,
    11: Outcome.FULL,
    110: Outcome.TIMEOUT,
    111: Outcome.CONNECT_FAILED,
    104: Outcome.RESET,
    125: Outcome.CANCELLED,
    114: Outcome.DISCARDED,
}
# Values of `How` in an update record
_LIST_KINDS = {0: ListKind.FULL, 1: ListKind.DELTA, 3: ListKind.CACHED, 4: ListKind.FAILED}
# Values of `StageState` in a list entry
_SERVER_STATES = {0: ServerState.GONE, 1: ServerState.READY, 2: ServerState.DRAINING}

# Bits of `Options` in a request record
_HAS_EXPECTED_MS = 1
_IS_CLIENT_RETRY = 2
_IS_WRITE = 4

_PORT_BITS = 16  # the low 16 bits of a server id are the port, the bits above are the address

# ---------------------------------------------------------------- record layouts: the fields of each code

_INSTANCE_FIELDS = Struct(">I")
_TIMER_FIELDS = Struct(">IQ")
_DISCONNECT_FIELDS = Struct(">II")
_PEER_FIELDS = Struct(">IIH")
_UPDATE_FIELDS = Struct(">IBII")
_DEFINITION_FIELDS = Struct(">II")
_ENTRY_FIELDS = Struct(">dIHfBBHB")
_RESPONSE_FIELDS = Struct(">IIHIHd")
_ATTEMPT_FIELDS = Struct(">IIBdIHHHB")
_REQUEST_FIELDS = Struct(">IIHIQddB")
_START_FIELDS = Struct(">IQI")
_PROBE_FIELDS = Struct(">IIHHdB")

_REPORT_VALUE_BYTES = 4
_REPORTS = [Struct(f">{count}f") for count in range(256)]  # indexed by the number of values in a load report

_RecordDecoder: TypeAlias = Callable[[bytes, int, list[Record]], int]


# ---------------------------------------------------------------- decoders


class BatchDecoder:
    """Decoder of the batches of one process.

    It retains the numbered endpoint lists, which all instances of the process share. A later definition of a
    list number replaces the earlier one, in the order of the records.
    """

    def __init__(self) -> None:
        """Start without any endpoint list."""
        self._lists: dict[int, tuple[ServerEntry, ...]] = {}
        self._decoders: dict[int, _RecordDecoder] = {
            _TIMER_FIRED: _decode_timer_fired,
            _CLIENT_DISCONNECTED: _decode_client_disconnected,
            _PEER_MESSAGE: _decode_peer_message,
            _LIST_UPDATE: self._decode_list_update,
            _LIST_DEFINITION: self._decode_list_definition,
            _RESPONSE_STARTED: _decode_response_started,
            _INSTANCE_KILLED: _decode_instance_killed,
            _ATTEMPT_ENDED: _decode_attempt_ended,
            _REQUEST_ARRIVED: _decode_request_arrived,
            _INSTANCE_STARTED: _decode_instance_started,
            _PROBE_ENDED: _decode_probe_ended,
        }

    def decode(self, frame: bytes, count: int) -> list[Record]:
        """Decode a batch.

        Args:
            frame: The batch without its header.
            count: Number of records according to the header.

        Raises:
            WireError: The batch violates the wire protocol.
        """
        try:
            return self._decode_records(frame, count)
        except (error, IndexError) as exception:
            raise TruncatedFrameError(f"frame ends inside a record: {exception}") from exception

    def _decode_records(self, frame: bytes, count: int) -> list[Record]:
        records: list[Record] = []
        decoders = self._decoders
        offset = 0
        for _ in range(count):
            code = frame[offset]
            decode = decoders.get(code)
            if decode is None:
                raise UnknownCodeError(f"unknown event code {code}")
            offset = decode(frame, offset + 1, records)
        if offset != len(frame):
            raise TrailingBytesError(len(frame) - offset)
        return records

    def _decode_list_update(self, frame: bytes, offset: int, records: list[Record]) -> int:
        instance, kind_code, version, list_number = _UPDATE_FIELDS.unpack_from(frame, offset)
        kind = _LIST_KINDS.get(kind_code)
        if kind is None:
            raise UnknownCodeError(f"update of unknown kind {kind_code}")
        if kind is ListKind.FAILED:
            records.append((instance, ListUpdate(kind, version)))
        elif list_number in self._lists:
            records.append((instance, ListUpdate(kind, version, self._lists[list_number])))
        else:
            raise UnknownListError(list_number)
        return offset + _UPDATE_FIELDS.size

    def _decode_list_definition(self, frame: bytes, offset: int, records: list[Record]) -> int:  # noqa: ARG002 - a definition is not an event
        list_number, count = _DEFINITION_FIELDS.unpack_from(frame, offset)
        start = offset + _DEFINITION_FIELDS.size
        end: int = start + count * _ENTRY_FIELDS.size
        if end > len(frame):
            raise TruncatedFrameError(f"catalog of {count} entries runs past the frame's end")
        self._lists[list_number] = tuple(map(_server_entry, _ENTRY_FIELDS.iter_unpack(frame[start:end])))
        return end


def _decode_attempt_ended(frame: bytes, offset: int, records: list[Record]) -> int:
    instance, request, final, spent_ms, address, port, attempt, outcome_code, count = (
        _ATTEMPT_FIELDS.unpack_from(frame, offset)
    )
    start = offset + _ATTEMPT_FIELDS.size
    end: int = start + _REPORT_VALUE_BYTES * count
    report = _REPORTS[count].unpack_from(frame, start) if count else ()
    server = address << _PORT_BITS | port
    outcome = _outcome(outcome_code)
    event = AttemptEnded(request, attempt, server, outcome, bool(final), spent_ms, report)
    records.append((instance, event))
    return end


def _decode_probe_ended(frame: bytes, offset: int, records: list[Record]) -> int:
    instance, address, port, outcome_code, spent_ms, count = _PROBE_FIELDS.unpack_from(frame, offset)
    start = offset + _PROBE_FIELDS.size
    end: int = start + _REPORT_VALUE_BYTES * count
    report = _REPORTS[count].unpack_from(frame, start) if count else ()
    server = address << _PORT_BITS | port
    records.append((instance, ProbeEnded(server, _outcome(outcome_code), spent_ms, report)))
    return end


def _decode_request_arrived(frame: bytes, offset: int, records: list[Record]) -> int:
    instance, request, class_index, tenant, key, time_left_ms, work_ms, options = _REQUEST_FIELDS.unpack_from(
        frame, offset
    )
    event = RequestArrived(
        request,
        class_index,
        time_left_ms,
        tenant,
        key,
        work_ms if options & _HAS_EXPECTED_MS else None,
        bool(options & _IS_CLIENT_RETRY),
        bool(options & _IS_WRITE),
    )
    records.append((instance, event))
    return offset + _REQUEST_FIELDS.size


def _decode_timer_fired(frame: bytes, offset: int, records: list[Record]) -> int:
    instance, cookie = _TIMER_FIELDS.unpack_from(frame, offset)
    records.append((instance, TimerFired(cookie)))
    return offset + _TIMER_FIELDS.size


def _decode_client_disconnected(frame: bytes, offset: int, records: list[Record]) -> int:
    instance, request = _DISCONNECT_FIELDS.unpack_from(frame, offset)
    records.append((instance, ClientDisconnected(request)))
    return offset + _DISCONNECT_FIELDS.size


def _decode_response_started(frame: bytes, offset: int, records: list[Record]) -> int:
    instance, request, attempt, address, port, spent_ms = _RESPONSE_FIELDS.unpack_from(frame, offset)
    event = AnswerStarted(request, attempt, address << _PORT_BITS | port, spent_ms)
    records.append((instance, event))
    return offset + _RESPONSE_FIELDS.size


def _decode_peer_message(frame: bytes, offset: int, records: list[Record]) -> int:
    instance, sender, size = _PEER_FIELDS.unpack_from(frame, offset)
    start = offset + _PEER_FIELDS.size
    end: int = start + size
    records.append((instance, PeerMessage(sender, _bytes_field(frame, start, end))))
    return end


def _decode_instance_started(frame: bytes, offset: int, records: list[Record]) -> int:
    instance, seed, size = _START_FIELDS.unpack_from(frame, offset)
    start = offset + _START_FIELDS.size
    end: int = start + size
    records.append((instance, InstanceStarted(seed, _bytes_field(frame, start, end))))
    return end


def _decode_instance_killed(frame: bytes, offset: int, records: list[Record]) -> int:
    (instance,) = _INSTANCE_FIELDS.unpack_from(frame, offset)
    records.append((instance, InstanceKilled()))
    return offset + _INSTANCE_FIELDS.size


def _bytes_field(frame: bytes, start: int, end: int) -> bytes:
    if end > len(frame):
        raise TruncatedFrameError(f"a field of {end - start} bytes runs past the frame's end")
    return frame[start:end]


def _outcome(code: int) -> Outcome:
    try:
        return _OUTCOMES[code]
    except KeyError:
        raise UnknownCodeError(f"unknown outcome {code}") from None


def _server_entry(fields: tuple[float, int, int, float, int, int, int, int]) -> ServerEntry:
    started_ms, address, port, weight, state_code, kind, cell, zone = fields
    state = _SERVER_STATES.get(state_code)
    if state is None:
        raise UnknownCodeError(f"unknown server state {state_code}")
    return ServerEntry(address << _PORT_BITS | port, state, started_ms, weight, zone, cell, kind)
