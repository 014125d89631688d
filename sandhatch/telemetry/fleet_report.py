"""The fleet report: counts over all instances, second by second, from the lines that event recorders log.

    python -m sandhatch.telemetry.fleet_report LOG...

All other lines of the logs are skipped; only `main` reads files. `event_recorder` describes the lines.
Source: none; written for this project.
"""

from __future__ import annotations

import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from enum import StrEnum
from pathlib import Path

from sandhatch.balancing.events import ListKind, Outcome
from sandhatch.runtime.text_table import format_table
from sandhatch.telemetry.record_format import (
    ATTEMPT_EVENT,
    LIST_EVENT,
    REQUEST_EVENT,
    SENDS_EVENT,
    EventRecord,
    RecordedSend,
    parse_records,
)

WARM_UP_S = 20.0  # default time after its start for which a server counts as warming up
EXIT_NO_RECORDS = 1
EXIT_UNREADABLE = 2


class Column(StrEnum):
    """The columns of the report, in order.

    The values are the headings, which are a stable interface for scripts.
    """

    REQUESTS = "asked"
    CLIENT_RETRIES = "again"  # requests that a client marked as a retry
    ATTEMPTS = "sent"
    RETRIES = "repeat"  # attempts after the first one of a request
    ATTEMPTS_TO_WARMING_UP = "cold"  # attempts sent to servers that started less than the warm-up time ago
    ATTEMPTS_TO_REMOVED = "gone"  # attempts to servers that were not ready in the latest list that has them
    OK = "ok"
    FULL = "full"
    CONNECT_FAILED = "connect"
    RESET = "reset"
    TIMEOUT = "timeout"
    ERROR = "error"
    REJECTED = "refuse"
    FAILED = "fail"
    PROBES = "probe"
    IDLE_CLOSED = "closeidle"
    LIST_POLLS = "watchlist"
    FULL_LISTS = "full_list"
    DELTA_LISTS = "delta"
    FAILED_POLLS = "failed"
    INSTANCES = "copies"  # instances that wrote a line in this second
    CPU_MS = "cpu_ms"
    OLDEST_LIST_MS = "oldest_ms"  # maximum age of an endpoint list that an attempt was based on


OUTCOME_COLUMNS = {
    Outcome.OK: Column.OK,
    Outcome.FULL: Column.FULL,
    Outcome.CONNECT_FAILED: Column.CONNECT_FAILED,
    Outcome.RESET: Column.RESET,
    Outcome.TIMEOUT: Column.TIMEOUT,
    Outcome.ERROR: Column.ERROR,
}
LIST_COLUMNS = {
    ListKind.FULL.value: Column.FULL_LISTS,
    ListKind.DELTA.value: Column.DELTA_LISTS,
    ListKind.FAILED.value: Column.FAILED_POLLS,
}
ACTION_COLUMNS = {
    column.value: column
    for column in (Column.REJECTED, Column.FAILED, Column.PROBES, Column.IDLE_CLOSED, Column.LIST_POLLS)
}


class Fleet:
    """Counts over the instances of one tier. Records of all instances are added in the order of their times.

    Attributes:
        seconds: Counts of each second, by the number of seconds since the first record.
    """

    def __init__(self, warm_up_s: float = WARM_UP_S) -> None:
        """Creates a fleet without records; its servers warm up for `warm_up_s`."""
        self.seconds: dict[int, Counter[Column]] = defaultdict(Counter)
        self._warm_up_s = warm_up_s
        # Address of each server, by instance and by the instance's own server number.
        self._addresses: dict[str, dict[int, str]] = defaultdict(dict)
        self._removed: set[str] = set()  # addresses of draining and removed servers
        self._started_at_s: dict[str, float] = {}  # start time of each server, by address
        # Number of attempts of each request, by instance and request number.
        self._attempts: Counter[tuple[str, int]] = Counter()
        self._cpu_s: dict[str, float] = {}  # latest processor time by instance
        # Pairs of a second and an instance that wrote a line in it.
        self._active_instances: set[tuple[int, str]] = set()

    def add(self, record: EventRecord, second: int) -> None:
        """Adds a record to the counts of its second."""
        count = self.seconds[second]
        self._count_instance(record, second)
        if record.event == REQUEST_EVENT:
            count[Column.REQUESTS] += 1
            count[Column.CLIENT_RETRIES] += record.is_client_retry
        elif record.event == ATTEMPT_EVENT and record.outcome in OUTCOME_COLUMNS:
            count[OUTCOME_COLUMNS[record.outcome]] += 1
        elif record.event == LIST_EVENT:
            if record.list_kind in LIST_COLUMNS:
                count[LIST_COLUMNS[record.list_kind]] += 1
            self._apply_list(record)
        elif record.event == SENDS_EVENT:
            for sends in record.sends_by_server:
                address = self._address(record.instance, sends.server)
                self._count_attempts(address, record.time_s, count, sends.count)
            self._count_list_age(record.list_age_ms, count)
        for send in record.sends:
            self._count_send(record, send, count)
        for action in record.other_actions:
            if action in ACTION_COLUMNS:
                count[ACTION_COLUMNS[action]] += 1

    def _count_instance(self, record: EventRecord, second: int) -> None:
        count = self.seconds[second]
        if (second, record.instance) not in self._active_instances:
            self._active_instances.add((second, record.instance))
            count[Column.INSTANCES] += 1
        previous_cpu_s = self._cpu_s.get(record.instance, record.cpu_s)
        count[Column.CPU_MS] += round(1000.0 * max(0.0, record.cpu_s - previous_cpu_s))
        self._cpu_s[record.instance] = record.cpu_s

    def _apply_list(self, record: EventRecord) -> None:
        for server in record.servers:
            self._addresses[record.instance][server.number] = server.address
            if server.is_ready:
                self._removed.discard(server.address)
                known_start_s = self._started_at_s.get(server.address, 0.0)
                self._started_at_s[server.address] = max(known_start_s, server.started_at_s)
            else:
                self._removed.add(server.address)

    def _address(self, instance: str, server: int) -> str:
        return self._addresses[instance].get(server, "")

    def _count_send(self, record: EventRecord, send: RecordedSend, count: Counter[Column]) -> None:
        self._attempts[record.instance, send.request] += 1
        count[Column.RETRIES] += self._attempts[record.instance, send.request] > 1
        self._count_attempts(self._address(record.instance, send.server), record.time_s, count)
        self._count_list_age(send.list_age_ms, count)

    def _count_attempts(self, address: str, time_s: float, count: Counter[Column], sent: int = 1) -> None:
        started_at_s = self._started_at_s.get(address, 0.0)
        is_warming_up = bool(started_at_s) and time_s - started_at_s < self._warm_up_s
        count[Column.ATTEMPTS] += sent
        count[Column.ATTEMPTS_TO_REMOVED] += sent * (address in self._removed)
        count[Column.ATTEMPTS_TO_WARMING_UP] += sent * is_warming_up

    @staticmethod
    def _count_list_age(age_ms: float | None, count: Counter[Column]) -> None:
        if age_ms is not None:
            count[Column.OLDEST_LIST_MS] = max(count[Column.OLDEST_LIST_MS], round(age_ms))


def count_fleets(logs: Iterable[Iterable[str]], warm_up_s: float = WARM_UP_S) -> dict[int, Fleet]:
    """Returns the fleets of all logs by tier, with seconds counted from the first record of all."""
    records = sorted(
        (record for log in logs for record in parse_records(log)), key=lambda record: record.time_s
    )
    fleet_by_tier: dict[int, Fleet] = {}
    for record in records:
        fleet = fleet_by_tier.setdefault(record.tier, Fleet(warm_up_s))
        fleet.add(record, int(record.time_s - records[0].time_s))
    return fleet_by_tier


def format_counts(fleet: Fleet) -> str:
    """Formats a table with a row for each second; columns that are 0 throughout are omitted."""
    used = [column for column in Column if any(count[column] for count in fleet.seconds.values())]
    rows = [
        {"s": second, **{column.value: count[column] for column in used}}
        for second, count in sorted(fleet.seconds.items())
    ]
    return format_table(rows, ("s", *used))


def main(paths: Sequence[str]) -> int:
    """Prints the report of the log files at `paths`; returns the exit status."""
    if not paths:
        print(
            "fleet_report: no log files given; usage: python -m sandhatch.telemetry.fleet_report LOG...",
            file=sys.stderr,
        )
        return EXIT_UNREADABLE
    try:
        logs = [Path(path).read_text(errors="replace").splitlines() for path in paths]
    except OSError as error:
        print(f"fleet_report: cannot read {error.filename}: {error.strerror}", file=sys.stderr)
        return EXIT_UNREADABLE
    fleets = count_fleets(logs)
    for tier, fleet in sorted(fleets.items()):
        print(f"tier {tier}\n{format_counts(fleet)}")
    if not fleets:
        print(
            "fleet_report: the logs contain no records; set SANDHATCH_RECORD=1 for the instances",
            file=sys.stderr,
        )
        return EXIT_NO_RECORDS
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
