"""A record of what one copy was told and did, a line an event, for counting over a fleet (`fleet_report`).

Off unless `SANDHATCH_RECORD=1` is set, or `SANDHATCH_RECORD=lists` for calls to discovery alone, with the
sends of each second counted by server: enough to tell which copy sent by how old a list, in a log that
stays short under traffic. It never changes what it sees, and never raises: a record that can't be
written is left out.
"""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from typing import Any, TextIO

from sandhatch.balancing.actions import Action, CloseIdle, Fail, FetchList, Probe, Reject, Send, WatchList
from sandhatch.balancing.events import AttemptEnded, Event, ListKind, ListUpdate, ProbeEnded, RequestArrived
from sandhatch.runtime.environment import renamed_variable

MARK = "sandhatch-record "  # begins each line; what follows is one JSON object
VARIABLE = "RECORD"  # of the environment, behind the program's prefix
ALL, LISTS = "1", "lists"  # what it may be set to


def requested_record(env: Mapping[str, str], warn: Callable[[str], None]) -> str | None:
    """Which record the environment asks for, if any; `warn` is told where it does so by the former name."""
    wanted = renamed_variable(env, VARIABLE, warn)
    return wanted if wanted in (ALL, LISTS) else None


class Recorder:
    """An engine's observer. Each line: `t` Unix seconds, `cpu` processor seconds of the process so far, `in`
    the event's name with its fields, `out` the actions that answered it. A server's number is its copy's own;
    `servers` in a list's line tell the addresses, which all copies share. A call for the list is told when it
    is made (`watchlist`: number, version, wait, patience) and, under its number, by the list's line that ends
    it; one that failed says `why`. A send tells the age of the list it was drawn from, ms since the last
    whole answer of discovery or, before any, since the start.
    """

    SPAN_MS = 1_000.0  # over which sends are counted where only lists are recorded

    def __init__(
        self,
        name: str,
        tier: int,
        now_ms: Callable[[], float],
        to: TextIO | None = None,
        what: str = ALL,
    ) -> None:
        self._name = name
        self._tier = tier
        self._now_ms = now_ms
        self._to = to or sys.stderr
        self._addresses: Sequence[str] = []
        self._why = ""
        self._current_ms: float | None = None  # when the list was last known to be current
        self._lists_only = what == LISTS
        self._sent: Counter[int] = Counter()  # by server, since `_since_ms`
        self._since_ms = 0.0
        self._oldest_ms = 0.0

    def on_endpoint_list(self, update: ListUpdate, addresses: Sequence[str], why: str = "") -> None:
        self._addresses, self._why = addresses, why

    def saw(self, event: Event, actions: Sequence[Action]) -> None:
        if isinstance(event, ListUpdate):
            self._count_up()
            if self._current_ms is None or event.kind in (ListKind.FULL, ListKind.DELTA):
                self._current_ms = self._now_ms()
        if self._lists_only and not self._of_lists(event, actions):
            self._count(actions)
            return
        self._line(event, actions)

    @staticmethod
    def _of_lists(event: Event, actions: Sequence[Action]) -> bool:
        return isinstance(event, ListUpdate) or any(isinstance(a, WatchList | FetchList) for a in actions)

    def _age_ms(self) -> float:
        return round(self._now_ms() - self._current_ms, 1) if self._current_ms is not None else 0.0

    def _count(self, actions: Sequence[Action]) -> None:
        sends = [action.server for action in actions if isinstance(action, Send)]
        if self._sent and self._now_ms() >= self._since_ms + self.SPAN_MS:
            self._count_up()
        if sends:
            if not self._sent:
                self._since_ms = self._now_ms()
            self._sent.update(sends)
            self._oldest_ms = max(self._oldest_ms, self._age_ms())

    def _count_up(self) -> None:
        """Write what was sent, before anything changes what the numbers mean."""
        if self._sent:
            self._write({"in": "Sends", "sent": dict(self._sent), "age_ms": self._oldest_ms}, self._since_ms)
        self._sent.clear()
        self._oldest_ms = 0.0

    def _line(self, event: Event, actions: Sequence[Action]) -> None:
        line = self._event(event)
        done = [item for action in actions if (item := self._action(action)) is not None]
        if done:
            line["out"] = done
        elif line["in"] == "TimerFired":
            return
        self._write(line, self._now_ms())

    def _write(self, told: dict[str, Any], at_ms: float) -> None:
        line: dict[str, Any] = {
            "t": round(at_ms / 1000.0, 4),
            "cpu": round(time.process_time(), 4),
            "copy": self._name,
            "tier": self._tier,
        }
        line |= told
        with suppress(OSError, ValueError):
            self._to.write(f"{MARK}{json.dumps(line, separators=(',', ':'))}\n")
            self._to.flush()

    def _event(self, event: Event) -> dict[str, Any]:
        told: dict[str, Any] = {"in": type(event).__name__}
        if isinstance(event, RequestArrived):
            told |= {"request": event.request, "class": event.class_index, "again": event.client_retry}
            told["left_ms"] = round(event.time_left_ms, 1)
        elif isinstance(event, AttemptEnded):
            told |= {"request": event.request, "attempt": event.attempt, "server": event.server}
            told |= {"outcome": event.outcome.value, "ms": round(event.spent_ms, 1)}
        elif isinstance(event, ProbeEnded):
            told |= {"server": event.server, "outcome": event.outcome.value, "ms": round(event.spent_ms, 1)}
        elif isinstance(event, ListUpdate):
            told |= {"kind": event.kind.value, "version": event.version, "call": event.call}
            if self._why:
                told["why"] = self._why
            told["servers"] = [
                [entry.server, address, entry.state.value, entry.started_ms]
                for entry, address in zip(event.entries, self._addresses, strict=False)
            ]
        return told

    def _action(self, action: Action) -> list[Any] | None:
        if isinstance(action, Send):
            return ["send", action.request, action.server, round(action.timeout_ms, 1), self._age_ms()]
        if isinstance(action, Reject):
            return ["refuse", action.request, round(action.wait_ms, 1)]
        if isinstance(action, Fail):
            return ["fail", action.request]
        if isinstance(action, Probe | CloseIdle):
            return [type(action).__name__.lower(), action.server]
        if isinstance(action, WatchList):
            return ["watchlist", action.call, action.after, round(action.wait_ms), round(action.patience_ms)]
        if isinstance(action, FetchList):
            return ["fetchlist"]
        return None
