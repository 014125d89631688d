"""Counts over a whole fleet, second by second, from the records that its copies wrote (`event_recorder`):

    python -m sandhatch.telemetry.fleet_report LOG...

It reads nothing but those lines; other lines are passed over. Only `main` reads files.
"""

from __future__ import annotations

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any

from sandhatch.balancing.events import Outcome, ServerState
from sandhatch.runtime.text_table import table
from sandhatch.telemetry.event_recorder import MARK

COLD_S = 20.0  # a server is counted as cold for so long after its start, unless told otherwise
COLUMNS = (
    "asked",  # requests that came
    "again",  # of them, marked as a client's repeat
    "sent",
    "repeat",  # attempts beyond a request's first
    "cold",  # sends to servers that started less than `cold_s` ago
    "gone",  # sends to servers that some copy had been told are draining or gone
    "ok",
    "full",
    "connect",
    "reset",
    "timeout",
    "error",
    "refuse",
    "fail",
    "probe",
    "closeidle",
    "watchlist",
    "full_list",
    "delta",
    "failed",
    "copies",  # that wrote a line in this second
    "cpu_ms",
    "oldest_ms",  # the highest age of a list that a call was sent by
)
OUTCOMES = {Outcome.OK: "ok", Outcome.FULL: "full", Outcome.CONNECT_FAILED: "connect", Outcome.RESET: "reset"}
OUTCOMES |= {Outcome.TIMEOUT: "timeout", Outcome.ERROR: "error"}


def records(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """The records in a log, in its order; a line that is cut off or is no record is left out."""
    for line in lines:
        at = line.find(MARK)
        if at < 0:
            continue
        try:
            record = json.loads(line[at + len(MARK) :])
        except ValueError:
            continue
        if isinstance(record, dict) and isinstance(record.get("t"), int | float) and "in" in record:
            yield record


class Fleet:
    """Counts of one tier's copies. Records are taken in the order of their times, over all copies."""

    def __init__(self, cold_s: float = COLD_S) -> None:
        self._cold_s = cold_s
        self.seconds: dict[int, Counter[str]] = defaultdict(Counter)
        self._names: dict[str, dict[int, str]] = defaultdict(dict)  # by copy: its number of a server
        self._left: set[str] = set()
        self._started: dict[str, float] = {}
        self._tried: Counter[tuple[str, int]] = Counter()
        self._cpu: dict[str, float] = {}
        self._seen: set[tuple[int, str]] = set()

    def take(self, record: dict[str, Any], second: int) -> None:
        count, copy, what = self.seconds[second], str(record.get("copy")), record["in"]
        if (second, copy) not in self._seen:
            self._seen.add((second, copy))
            count["copies"] += 1
        cpu = float(record.get("cpu", 0.0))
        count["cpu_ms"] += round(1000.0 * max(0.0, cpu - self._cpu.get(copy, cpu)))
        self._cpu[copy] = cpu
        if what == "RequestArrived":
            count["asked"] += 1
            count["again"] += bool(record.get("again"))
        elif what == "AttemptEnded":
            count[OUTCOMES.get(Outcome(record["outcome"]), "other")] += 1
        elif what == "ListUpdate":
            kind = str(record["kind"])
            count["full_list" if kind == "full" else kind] += 1
            self._learn(copy, record)
        elif what == "Sends":
            for number, times in record["sent"].items():
                self._send(self._names[copy].get(int(number), ""), record["t"], count, times)
            self._oldest(record["age_ms"], count)
        for action in record.get("out", ()):
            self._act(action, copy, record["t"], count)

    def _learn(self, copy: str, record: dict[str, Any]) -> None:
        for number, address, state, started_ms in record["servers"]:
            self._names[copy][number] = address
            if state == ServerState.READY.value:
                self._left.discard(address)
                self._started[address] = max(self._started.get(address, 0.0), started_ms / 1000.0)
            else:
                self._left.add(address)

    def _act(self, action: Sequence[Any], copy: str, at: float, count: Counter[str]) -> None:
        if action[0] != "send":
            count[str(action[0])] += 1
            return
        self._tried[copy, action[1]] += 1
        count["repeat"] += self._tried[copy, action[1]] > 1
        self._send(self._names[copy].get(action[2], ""), at, count)
        if len(action) > 4:
            self._oldest(action[4], count)

    def _send(self, address: str, at: float, count: Counter[str], times: int = 1) -> None:
        count["sent"] += times
        count["gone"] += times * (address in self._left)
        started = self._started.get(address, 0.0)
        count["cold"] += times * (bool(started) and at - started < self._cold_s)

    @staticmethod
    def _oldest(age_ms: float, count: Counter[str]) -> None:
        count["oldest_ms"] = max(count["oldest_ms"], round(age_ms))


def tally(logs: Iterable[Iterable[str]], cold_s: float = COLD_S) -> dict[int, Fleet]:
    """Of each tier, the counts of its fleet, by seconds since the first record of all."""
    merged = sorted((record for log in logs for record in records(log)), key=lambda record: record["t"])
    tiers: dict[int, Fleet] = {}
    for record in merged:
        fleet = tiers.setdefault(int(record.get("tier", 0)), Fleet(cold_s))
        fleet.take(record, int(record["t"] - merged[0]["t"]))
    return tiers


def counts(fleet: Fleet) -> str:
    """Seconds down, what was counted across; columns in which nothing was counted are left out."""
    used = [name for name in COLUMNS if any(count[name] for count in fleet.seconds.values())]
    rows = [
        {"s": second, **{name: count[name] for name in used}}
        for second, count in sorted(fleet.seconds.items())
    ]
    return table(rows, ("s", *used))


def main(paths: Sequence[str]) -> int:
    if not paths:
        print("fleet_report: name the log files of the fleet's copies", file=sys.stderr)
        return 2
    try:
        logs = [Path(path).read_text(errors="replace").splitlines() for path in paths]
    except OSError as problem:
        print(f"fleet_report: {problem.filename}: {problem.strerror}", file=sys.stderr)
        return 2
    tiers = tally(logs)
    for tier, fleet in sorted(tiers.items()):
        print(f"tier {tier}\n{counts(fleet)}")
    if not tiers:
        print(
            "fleet_report: no records; copies write them with SANDHATCH_RECORD=1",
            file=sys.stderr,
        )
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
