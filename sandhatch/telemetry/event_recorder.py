"""The event recorder: writes what one instance was notified of and did, one line for each event.

It never changes what it observes and never raises: a line that can't be written is left out.
Source: the project's own; off unless `SANDHATCH_RECORD` is set (`deploy/record.toml`).
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from enum import Enum
from typing import Any, TextIO

from sandhatch.balancing.actions import Action, FetchList, Send, WatchList
from sandhatch.balancing.events import Event, ListKind, ListUpdate, TimerFired
from sandhatch.runtime.environment import renamed_variable
from sandhatch.telemetry.record_format import action_fields, event_fields, format_line, sends_fields

VARIABLE = "RECORD"  # of the environment, behind the program's prefix


class RecordScope(Enum):
    """How much is recorded; the values are what the environment variable may be set to."""

    ALL = "1"
    LISTS = "lists"  # polls of discovery, and the sends of each second counted by server


def requested_record(env: Mapping[str, str], warn: Callable[[str], None]) -> RecordScope | None:
    """The record that the environment requests, None if it requests none.

    Args:
        env: the environment.
        warn: given one line where the variable is set under its former name.
    """
    value = renamed_variable(env, VARIABLE, warn)
    return next((scope for scope in RecordScope if scope.value == value), None)


class Recorder:
    """An observer of a dispatcher that writes the event record.

    Each line has `t` (Unix seconds), `cpu` (processor seconds of the process so far), `in` (the event's name
    with its fields) and `out` (the actions that answered it). A server's number is the instance's own;
    `servers` in a list's line gives the addresses, which all instances share. A poll of the endpoint list is
    recorded when it is made (`watchlist`: number, version, wait, patience) and, under its number, by the
    line of the list that ends it; one that failed gives its reason as `why`. A send has the age of the list
    it was chosen from: milliseconds since discovery's last complete answer or, before any, since the start.

    With `RecordScope.LISTS` only lists and polls have lines of their own, and sends are counted by server:
    enough to see which instance sent by how old a list, in a log that stays short under traffic.
    """

    SPAN_MS = 1_000.0  # over which sends are counted where only lists are recorded

    def __init__(
        self,
        name: str,
        tier: int,
        now_ms: Callable[[], float],
        stream: TextIO | None = None,
        what: RecordScope = RecordScope.ALL,
    ) -> None:
        """Creates a recorder.

        Args:
            name: the instance's.
            tier: the instance's tier.
            now_ms: the clock, in Unix milliseconds.
            stream: where the lines go; standard error if None.
            what: how much is recorded.
        """
        self._name = name
        self._tier = tier
        self._now_ms = now_ms
        self._stream = stream or sys.stderr
        self._addresses: Sequence[str] = []
        self._list_failure = ""
        self._list_confirmed_at_ms: float | None = None  # when the list was last known to be current
        self._lists_only = what is RecordScope.LISTS
        self._sends_by_server: Counter[int] = Counter()  # since `_span_start_ms`
        self._span_start_ms = 0.0
        self._oldest_list_age_ms = 0.0

    def on_endpoint_list(
        self,
        update: ListUpdate,  # noqa: ARG002 - part of the observer's protocol; `saw` is given it too
        addresses: Sequence[str],
        why: str = "",
    ) -> None:
        """Notes the addresses of the list that `saw` is given next, and why a poll failed."""
        self._addresses = addresses
        self._list_failure = why

    def saw(self, event: Event, actions: Sequence[Action]) -> None:
        """Records an event with the actions that answered it."""
        if isinstance(event, ListUpdate):
            self._write_sends()
            if self._list_confirmed_at_ms is None or event.kind in (ListKind.FULL, ListKind.DELTA):
                self._list_confirmed_at_ms = self._now_ms()
        if self._lists_only and not self._concerns_lists(event, actions):
            self._count_sends(actions)
            return
        self._write_event(event, actions)

    @staticmethod
    def _concerns_lists(event: Event, actions: Sequence[Action]) -> bool:
        if isinstance(event, ListUpdate):
            return True
        return any(isinstance(action, WatchList | FetchList) for action in actions)

    def _list_age_ms(self) -> float:
        if self._list_confirmed_at_ms is None:
            return 0.0
        return round(self._now_ms() - self._list_confirmed_at_ms, 1)

    def _count_sends(self, actions: Sequence[Action]) -> None:
        servers = [action.server for action in actions if isinstance(action, Send)]
        if self._sends_by_server and self._now_ms() >= self._span_start_ms + self.SPAN_MS:
            self._write_sends()
        if servers:
            if not self._sends_by_server:
                self._span_start_ms = self._now_ms()
            self._sends_by_server.update(servers)
            self._oldest_list_age_ms = max(self._oldest_list_age_ms, self._list_age_ms())

    def _write_sends(self) -> None:
        """Writes the sends counted so far, before a list changes what the servers' numbers mean."""
        if self._sends_by_server:
            self._write(sends_fields(self._sends_by_server, self._oldest_list_age_ms), self._span_start_ms)
        self._sends_by_server.clear()
        self._oldest_list_age_ms = 0.0

    def _write_event(self, event: Event, actions: Sequence[Action]) -> None:
        fields = event_fields(event, self._addresses, self._list_failure)
        recorded = [action_fields(action, self._list_age_ms()) for action in actions]
        recorded = [action for action in recorded if action is not None]
        if recorded:
            fields["out"] = recorded
        elif isinstance(event, TimerFired):
            return  # a timer that led to nothing
        self._write(fields, self._now_ms())

    def _write(self, fields: Mapping[str, Any], recorded_at_ms: float) -> None:
        with suppress(OSError, ValueError):
            self._stream.write(
                format_line(fields, self._name, self._tier, recorded_at_ms, time.process_time())
            )
            self._stream.flush()
