"""The lines of the event record: how an event becomes one, and how one is parsed.

It never reads a clock or a file. The names in the lines (`copy`, `again`, `refuse`, ...) are read by scripts
and keep their bytes; this module is the one place where they meet the code's names.
Source: the project's own; `deploy/record.toml` turns the record on.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from sandhatch.balancing.actions import Action, CloseIdle, Fail, FetchList, Probe, Reject, Send, WatchList
from sandhatch.balancing.events import (
    AttemptEnded,
    Event,
    ListUpdate,
    Outcome,
    ProbeEnded,
    RequestArrived,
    ServerState,
)

LINE_PREFIX = "sandhatch-record "  # what follows on the line is one JSON object

# The value of the key `in`: the event's class, or this one where sends are only counted.
SENDS_EVENT = "Sends"
REQUEST_EVENT = RequestArrived.__name__
ATTEMPT_EVENT = AttemptEnded.__name__
LIST_EVENT = ListUpdate.__name__

SEND_ACTION = "send"  # the first value of a recorded action: its name


def format_line(
    fields: Mapping[str, Any], instance: str, tier: int, recorded_at_ms: float, cpu_s: float
) -> str:
    """One line of the record, with its newline.

    Args:
        fields: what `event_fields` or `sends_fields` made.
        instance: the name of the instance that writes.
        tier: its tier's number.
        recorded_at_ms: Unix milliseconds.
        cpu_s: processor seconds that the process has used so far.
    """
    line: dict[str, Any] = {
        "t": round(recorded_at_ms / 1000.0, 4),
        "cpu": round(cpu_s, 4),
        "copy": instance,
        "tier": tier,
    }
    line |= fields
    return f"{LINE_PREFIX}{json.dumps(line, separators=(',', ':'))}\n"


def event_fields(event: Event, addresses: Sequence[str], list_failure: str) -> dict[str, Any]:
    """An event's part of a line.

    Args:
        event: what the balancer was notified of.
        addresses: of the servers in the latest endpoint list, in its order.
        list_failure: why the latest poll of discovery failed; empty if it didn't.
    """
    fields: dict[str, Any] = {"in": type(event).__name__}
    match event:
        case RequestArrived():
            fields["request"] = event.request
            fields["class"] = event.class_index
            fields["again"] = event.client_retry
            fields["left_ms"] = round(event.time_left_ms, 1)
        case AttemptEnded():
            fields["request"] = event.request
            fields["attempt"] = event.attempt
            fields["server"] = event.server
            fields["outcome"] = event.outcome.value
            fields["ms"] = round(event.spent_ms, 1)
        case ProbeEnded():
            fields["server"] = event.server
            fields["outcome"] = event.outcome.value
            fields["ms"] = round(event.spent_ms, 1)
        case ListUpdate():
            fields["kind"] = event.kind.value
            fields["version"] = event.version
            fields["call"] = event.call
            if list_failure:
                fields["why"] = list_failure
            fields["servers"] = [
                [entry.server, address, entry.state.value, entry.started_ms]
                for entry, address in zip(event.entries, addresses, strict=False)
            ]
        case _:
            pass
    return fields


def action_fields(action: Action, list_age_ms: float) -> list[Any] | None:
    """An action as a line lists it under `out`: its name, then its values. None for one not recorded."""
    match action:
        case Send():
            return [SEND_ACTION, action.request, action.server, round(action.timeout_ms, 1), list_age_ms]
        case Reject():
            return ["refuse", action.request, round(action.wait_ms, 1)]
        case Fail():
            return ["fail", action.request]
        case Probe() | CloseIdle():
            return [type(action).__name__.lower(), action.server]
        case WatchList():
            return [
                "watchlist",
                action.call,
                action.after,
                round(action.wait_ms),
                round(action.response_timeout_ms),
            ]
        case FetchList():
            return ["fetchlist"]
        case _:
            return None


def sends_fields(sends_by_server: Mapping[int, int], oldest_list_age_ms: float) -> dict[str, Any]:
    """The part of a line that counts a span's sends, for a record of lists alone."""
    return {"in": SENDS_EVENT, "sent": dict(sends_by_server), "age_ms": oldest_list_age_ms}


@dataclass(frozen=True, slots=True)
class RecordedServer:
    """One server of a recorded endpoint list."""

    number: int  # the instance's own for it
    address: str  # the same in all instances
    is_ready: bool
    started_at_s: float  # Unix seconds; 0 means long ago


@dataclass(frozen=True, slots=True)
class RecordedSend:
    """An attempt that was sent."""

    request: int
    server: int  # the instance's own number for it
    list_age_ms: float | None  # of the endpoint list it was chosen from; older records lack it


@dataclass(frozen=True, slots=True)
class ServerSends:
    """How many attempts were sent to one server."""

    server: int  # the instance's own number for it
    count: int


@dataclass(frozen=True, slots=True)
class EventRecord:
    """One line of the record, parsed. Fields that its event lacks have the defaults."""

    time_s: float  # Unix
    cpu_s: float
    instance: str
    tier: int
    event: str
    sends: tuple[RecordedSend, ...] = ()
    other_actions: tuple[str, ...] = ()  # names of the recorded actions that send nothing
    is_client_retry: bool = False  # of a request
    outcome: Outcome | None = None  # of an attempt
    list_kind: str = ""  # of a list update, as `ListKind` spells it
    servers: tuple[RecordedServer, ...] = ()
    sends_by_server: tuple[ServerSends, ...] = ()  # of a span
    list_age_ms: float | None = None  # the oldest list's that a span's sends were chosen from


def parse_records(lines: Iterable[str]) -> Iterator[EventRecord]:
    """The records in a log, in its order; a line that is truncated or is no record is left out.

    Raises:
        KeyError: a record lacks a field that its event always has.
    """
    for line in lines:
        start = line.find(LINE_PREFIX)
        if start < 0:
            continue
        try:
            fields = json.loads(line[start + len(LINE_PREFIX) :])
        except ValueError:
            continue
        if isinstance(fields, dict) and isinstance(fields.get("t"), int | float) and "in" in fields:
            yield _parse_record(fields)


def _parse_record(fields: dict[str, Any]) -> EventRecord:
    event = fields["in"]
    actions: Sequence[Sequence[Any]] = fields.get("out", ())
    details: dict[str, Any] = {}
    if event == REQUEST_EVENT:
        details["is_client_retry"] = bool(fields.get("again"))
    elif event == ATTEMPT_EVENT:
        details["outcome"] = Outcome(fields["outcome"])
    elif event == LIST_EVENT:
        details["list_kind"] = str(fields["kind"])
        details["servers"] = tuple(_parse_server(row) for row in fields["servers"])
    elif event == SENDS_EVENT:
        details["sends_by_server"] = tuple(
            ServerSends(int(number), sent) for number, sent in fields["sent"].items()
        )
        details["list_age_ms"] = fields["age_ms"]
    return EventRecord(
        time_s=fields["t"],
        cpu_s=float(fields.get("cpu", 0.0)),
        instance=str(fields.get("copy")),
        tier=int(fields.get("tier", 0)),
        event=event,
        sends=tuple(_parse_send(action) for action in actions if action[0] == SEND_ACTION),
        other_actions=tuple(str(action[0]) for action in actions if action[0] != SEND_ACTION),
        **details,
    )


def _parse_server(row: Sequence[Any]) -> RecordedServer:
    number, address, state, started_ms = row
    return RecordedServer(number, address, state == ServerState.READY.value, started_ms / 1000.0)


def _parse_send(action: Sequence[Any]) -> RecordedSend:
    _, request, server, *rest = action
    list_age_ms = rest[1] if len(rest) > 1 else None  # behind the attempt's timeout
    return RecordedSend(request, server, list_age_ms)
