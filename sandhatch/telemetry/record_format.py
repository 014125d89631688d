"""The line format of the event record: formatting and parsing.

No clock or file is read here. The keys and names in the lines (`copy`, `again`, `refuse`, ...) are a stable
interface for scripts; only this module maps them to the names that the code uses.
Source: none; written for this project. `deploy/record.toml` turns the record on.
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

LINE_PREFIX = "sandhatch-record "  # a JSON object follows the prefix, to the end of the line

# Values of the key `in`: the name of the event's class, or `Sends` for a line that only counts sends.
SENDS_EVENT = "Sends"
REQUEST_EVENT = RequestArrived.__name__
ATTEMPT_EVENT = AttemptEnded.__name__
LIST_EVENT = ListUpdate.__name__

SEND_ACTION = "send"  # name of a recorded send; each recorded action is a list that starts with its name


def format_line(
    fields: Mapping[str, Any], instance: str, tier: int, recorded_at_ms: float, cpu_s: float
) -> str:
    """Formats one line of the record, including its newline.

    Args:
        fields: Result of `event_fields` or `sends_fields`.
        instance: Name of the instance that writes the line.
        tier: Number of the instance's tier.
        recorded_at_ms: Time of the record in Unix milliseconds.
        cpu_s: Processor time that the process has used so far, in seconds.
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
    """Returns the fields of a line that describe an event.

    Args:
        event: Event that the balancer received.
        addresses: Addresses of the servers in the latest endpoint list, in its order.
        list_failure: Why the latest poll of discovery or the subscription to it failed; empty if none failed.
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
    """Returns an action's list under the line's key `out`: name, then values. None if it is not recorded."""
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
    """Returns the fields of a line that counts the sends of an interval, for `RecordScope.LISTS`."""
    return {"in": SENDS_EVENT, "sent": dict(sends_by_server), "age_ms": oldest_list_age_ms}


@dataclass(frozen=True, slots=True)
class RecordedServer:
    """One server of a recorded endpoint list."""

    number: int  # the server's number, local to the instance
    address: str  # `host:port`, the same for all instances
    is_ready: bool
    started_at_s: float  # Unix seconds; 0 if the server started long ago


@dataclass(frozen=True, slots=True)
class RecordedSend:
    """An attempt that was sent."""

    request: int
    server: int  # number local to the instance
    list_age_ms: float | None  # age of the endpoint list used; None in older records, which lack it


@dataclass(frozen=True, slots=True)
class ServerSendCount:
    """Number of attempts sent to one server."""

    server: int  # number local to the instance
    count: int


@dataclass(frozen=True, slots=True)
class EventRecord:
    """One parsed line of the record. Fields that do not apply to its event have the defaults."""

    time_s: float  # Unix seconds
    cpu_s: float
    instance: str
    tier: int
    event: str
    sends: tuple[RecordedSend, ...] = ()
    other_actions: tuple[str, ...] = ()  # names of the recorded actions other than sends
    is_client_retry: bool = False  # whether the event is a request that its client marked as a retry
    outcome: Outcome | None = None  # outcome of an attempt
    list_kind: str = ""  # value of the list update's `ListKind`
    servers: tuple[RecordedServer, ...] = ()
    sends_by_server: tuple[ServerSendCount, ...] = ()  # sends counted over an interval
    list_age_ms: float | None = None  # maximum age of the lists that the counted sends are based on


def parse_records(lines: Iterable[str]) -> Iterator[EventRecord]:
    """Yields the records of a log in order, skipping truncated lines and lines that are not records.

    Raises:
        KeyError: A record lacks a field that its event always has.
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
            ServerSendCount(int(number), sent) for number, sent in fields["sent"].items()
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
    list_age_ms = rest[1] if len(rest) > 1 else None  # `rest` is the attempt's timeout, then the list's age
    return RecordedSend(request, server, list_age_ms)
