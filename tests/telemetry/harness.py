"""Instances of a fleet whose event recorders write to memory."""

from __future__ import annotations

import io
import json
from typing import Any

from sandhatch.balancing.actions import Action, Fail, Reject, Send, WatchList
from sandhatch.balancing.events import (
    AttemptEnded,
    Event,
    ListKind,
    ListUpdate,
    Outcome,
    RequestArrived,
    ServerEntry,
    ServerState,
    TimerFired,
)
from sandhatch.telemetry.event_recorder import Recorder, RecordScope
from sandhatch.telemetry.record_format import LINE_PREFIX

START_MS = 1_700_000_000_000.0


class Instance:
    """One instance with its event recorder and log; the test gives the time of each event."""

    def __init__(self, name: str, scope: RecordScope = RecordScope.ALL) -> None:
        self.log = io.StringIO()
        self.now_ms = START_MS
        self.recorder = Recorder(name, 0, lambda: self.now_ms, self.log, scope)

    def notify_list(self, at_ms: float, kind: ListKind, *rows: tuple[ServerEntry, str]) -> None:
        self.now_ms = START_MS + at_ms
        update = ListUpdate(kind, 1, [entry for entry, _ in rows])
        self.recorder.on_endpoint_list(update, [address for _, address in rows])
        self.recorder.on_event(update, [])

    def handle(self, at_ms: float, event: Event, *actions: Action) -> None:
        self.now_ms = START_MS + at_ms
        self.recorder.on_event(event, actions)

    @property
    def lines(self) -> list[str]:
        return self.log.getvalue().splitlines()

    @property
    def json_lines(self) -> list[dict[str, Any]]:
        return [json.loads(line.removeprefix(LINE_PREFIX)) for line in self.lines]


def fleet_of_two() -> tuple[Instance, Instance]:
    first = Instance("n0")
    second = Instance("n1")
    # Server 10.0.0.2:80 has number 2 in the first instance and number 7 in the second.
    first.notify_list(0.0, ListKind.CACHED, (ServerEntry(1), "10.0.0.1:80"), (ServerEntry(2), "10.0.0.2:80"))
    second.notify_list(0.0, ListKind.CACHED, (ServerEntry(7), "10.0.0.2:80"))
    first.handle(100.0, RequestArrived(1, 0, 1000.0), Send(1, 2, 500.0))
    first.handle(1200.0, AttemptEnded(1, 0, 2, Outcome.CONNECT_FAILED, False, 1.0), Send(1, 1, 400.0))
    first.notify_list(1300.0, ListKind.DELTA, (ServerEntry(2, ServerState.DRAINING), "10.0.0.2:80"))
    second.handle(1400.0, RequestArrived(1, 0, 1000.0, client_retry=True), Send(1, 7, 500.0))
    started = ServerEntry(9, ServerState.READY, START_MS + 1_000.0)
    second.notify_list(2000.0, ListKind.DELTA, (started, "10.0.0.3:80"))
    second.handle(2100.0, RequestArrived(2, 0, 1000.0), Send(2, 9, 500.0))
    second.handle(2200.0, RequestArrived(3, 0, 1000.0), Reject(3, 50.0))
    second.handle(2300.0, AttemptEnded(1, 0, 7, Outcome.TIMEOUT, True, 900.0), Fail(1))
    second.handle(2400.0, TimerFired(4), WatchList(True))
    second.handle(2500.0, TimerFired(5))
    return first, second
