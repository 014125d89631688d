"""The event recorder: writes the events that one instance receives, with the resulting actions, as lines.

The recorder never changes what it observes and never raises: a line that cannot be written is lost.
Source: none; written for this project. Off unless `SANDHATCH_RECORD` is set (`deploy/record.toml`).
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

RECORD_VARIABLE = "RECORD"  # name of the environment variable, without the program's prefix


class RecordScope(Enum):
    """How much is recorded; the values are those of the environment variable."""

    ALL = "1"
    LISTS = "lists"  # polls of discovery, and the number of sends per server and second


def requested_record_scope(env: Mapping[str, str], warn: Callable[[str], None]) -> RecordScope | None:
    """Returns the scope of the record that the environment requests, None if it requests no record.

    Args:
        env: Environment variables.
        warn: Function that logs one line, called if the variable is set under its former name.
    """
    value = renamed_variable(env, RECORD_VARIABLE, warn)
    return next((scope for scope in RecordScope if scope.value == value), None)


class Recorder:
    """An observer of a dispatcher that writes the event record.

    Each line has `t` (Unix seconds), `cpu` (processor seconds of the process so far), `in` (the event's name
    with its fields) and `out` (the resulting actions). Server numbers are local to the instance; `servers` in
    an endpoint list's line maps them to addresses, which are the same for all instances. A poll of the
    endpoint list is recorded when it is sent (`watchlist`: number, version, wait, response timeout) and,
    under its number, by the line of the list that completes it; a failed poll gives its reason as `why`. A
    send has the age of the endpoint list that its server was chosen from: milliseconds since the last
    full or delta list from discovery or, before the first of these, since the first list event of any kind. A
    timer without a recorded action has no line.

    With `RecordScope.LISTS` only lists and polls have lines of their own, and sends are counted by server.
    That is enough to see which instance sent on the basis of how old a list, and the log stays short under
    traffic.
    """

    SEND_COUNT_INTERVAL_MS = 1_000.0  # interval over which sends are counted if only lists are recorded

    def __init__(
        self,
        name: str,
        tier: int,
        now_ms: Callable[[], float],
        stream: TextIO | None = None,
        scope: RecordScope = RecordScope.ALL,
    ) -> None:
        """Creates a recorder.

        Args:
            name: Name of the instance.
            tier: Tier of the instance.
            now_ms: Clock that returns Unix milliseconds.
            stream: Stream that the lines are written to; standard error if None.
            scope: How much is recorded.
        """
        self._name = name
        self._tier = tier
        self._now_ms = now_ms
        self._stream = stream or sys.stderr
        self._addresses: Sequence[str] = []
        self._list_failure = ""
        self._list_confirmed_at_ms: float | None = None  # when the endpoint list was last known to be current
        self._records_lists_only = scope is RecordScope.LISTS
        self._sends_by_server: Counter[int] = Counter()  # attempts sent since `_interval_start_ms`
        self._interval_start_ms = 0.0
        self._oldest_list_age_ms = 0.0

    def on_endpoint_list(
        self,
        update: ListUpdate,  # noqa: ARG002 - part of the observer protocol; `on_event` receives it too
        addresses: Sequence[str],
        failure_reason: str = "",
    ) -> None:
        """Stores the addresses of the list that `on_event` receives next.

        Also stores why the poll or the subscription failed, if the list is the result of such a failure.
        """
        self._addresses = addresses
        self._list_failure = failure_reason

    def on_event(self, event: Event, actions: Sequence[Action]) -> None:
        """Records an event with the resulting actions, or only counts the sends; see `RecordScope`."""
        if isinstance(event, ListUpdate):
            self._write_sends()
            if self._list_confirmed_at_ms is None or event.kind in (ListKind.FULL, ListKind.DELTA):
                self._list_confirmed_at_ms = self._now_ms()
        if self._records_lists_only and not self._concerns_endpoint_list(event, actions):
            self._count_sends(actions)
            return
        self._write_event(event, actions)

    @staticmethod
    def _concerns_endpoint_list(event: Event, actions: Sequence[Action]) -> bool:
        if isinstance(event, ListUpdate):
            return True
        return any(isinstance(action, WatchList | FetchList) for action in actions)

    def _list_age_ms(self) -> float:
        if self._list_confirmed_at_ms is None:
            return 0.0
        return round(self._now_ms() - self._list_confirmed_at_ms, 1)

    def _count_sends(self, actions: Sequence[Action]) -> None:
        servers = [action.server for action in actions if isinstance(action, Send)]
        if self._sends_by_server and self._now_ms() >= self._interval_start_ms + self.SEND_COUNT_INTERVAL_MS:
            self._write_sends()
        if servers:
            if not self._sends_by_server:
                self._interval_start_ms = self._now_ms()
            self._sends_by_server.update(servers)
            self._oldest_list_age_ms = max(self._oldest_list_age_ms, self._list_age_ms())

    def _write_sends(self) -> None:
        """Writes the sends counted so far; called before a new list changes the meaning of server numbers."""
        if self._sends_by_server:
            self._write(
                sends_fields(self._sends_by_server, self._oldest_list_age_ms), self._interval_start_ms
            )
        self._sends_by_server.clear()
        self._oldest_list_age_ms = 0.0

    def _write_event(self, event: Event, actions: Sequence[Action]) -> None:
        fields = event_fields(event, self._addresses, self._list_failure)
        recorded = [action_fields(action, self._list_age_ms()) for action in actions]
        recorded = [action for action in recorded if action is not None]
        if recorded:
            fields["out"] = recorded
        elif isinstance(event, TimerFired):
            return  # the timer led to no recorded action
        self._write(fields, self._now_ms())

    def _write(self, fields: Mapping[str, Any], recorded_at_ms: float) -> None:
        with suppress(OSError, ValueError):
            self._stream.write(
                format_line(fields, self._name, self._tier, recorded_at_ms, time.process_time())
            )
            self._stream.flush()
