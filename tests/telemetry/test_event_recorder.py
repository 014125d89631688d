"""Lines written by an instance's event recorder."""

from __future__ import annotations

import re

import pytest

from sandhatch.balancing.actions import Reject, Send, WatchList
from sandhatch.balancing.events import (
    AttemptEnded,
    ListKind,
    ListUpdate,
    Outcome,
    RequestArrived,
    ServerEntry,
    ServerState,
    TimerFired,
)
from sandhatch.telemetry.event_recorder import RecordScope, requested_record_scope
from sandhatch.telemetry.fleet_report import Column, count_fleets
from sandhatch.telemetry.record_format import parse_records
from tests.telemetry.harness import START_MS, Instance, fleet_of_two


def test_timer_without_resulting_actions_is_not_recorded() -> None:
    _, second = fleet_of_two()
    assert sum("TimerFired" in line for line in second.lines) == 1


def test_endpoint_list_poll_is_recorded_when_sent_and_with_its_result() -> None:
    instance = Instance("n0")
    instance.notify_list(0.0, ListKind.CACHED, (ServerEntry(1), "10.0.0.1:80"))
    instance.handle(500.0, TimerFired(4), WatchList(True, 1, 41, 2000.0, 2500.0))
    instance.now_ms = START_MS + 3_000.0
    failed = ListUpdate(ListKind.FAILED, 41, call=1)
    instance.recorder.on_endpoint_list(failed, [], "no response within 2.5 s")
    instance.recorder.on_event(failed, [])
    instance.handle(3_100.0, RequestArrived(1, 0, 1000.0), Send(1, 1, 500.0))
    lines = instance.json_lines
    assert lines[1]["out"] == [["watchlist", 1, 41, 2000, 2500]]
    assert (lines[2]["kind"], lines[2]["call"], lines[2]["why"]) == ("failed", 1, "no response within 2.5 s")
    # A failed poll does not reset the endpoint list's age, here 3.1 s, counted from the program's start.
    assert lines[3]["out"] == [["send", 1, 1, 500.0, 3100.0]]
    assert count_fleets([instance.lines])[0].seconds[3][Column.OLDEST_LIST_MS] == 3100


def test_record_of_lists_only_counts_sends_by_server() -> None:
    instance = Instance("n0", RecordScope.LISTS)
    instance.notify_list(
        0.0, ListKind.CACHED, (ServerEntry(1), "10.0.0.1:80"), (ServerEntry(2), "10.0.0.2:80")
    )
    for number in range(10):
        event = RequestArrived(number, 0, 1000.0)
        instance.handle(100.0 * number, event, Send(number, 1 + number % 2, 500.0))
        instance.handle(100.0 * number + 10.0, AttemptEnded(number, 0, 1, Outcome.OK, True, 10.0))
    instance.notify_list(1_000.0, ListKind.DELTA, (ServerEntry(2, ServerState.DRAINING), "10.0.0.2:80"))
    instance.handle(1_500.0, RequestArrived(20, 0, 1000.0), Send(20, 2, 500.0))
    instance.handle(2_600.0, AttemptEnded(20, 0, 2, Outcome.OK, True, 10.0))
    events = [record.event for record in parse_records(instance.lines)]
    assert events == ["ListUpdate", "Sends", "ListUpdate", "Sends"]
    seconds = count_fleets([instance.lines])[0].seconds
    assert seconds[0][Column.ATTEMPTS] == 10
    assert seconds[0][Column.ATTEMPTS_TO_REMOVED] == 0
    assert seconds[0][Column.OLDEST_LIST_MS] == 900
    assert seconds[1][Column.ATTEMPTS] == 1
    assert seconds[1][Column.ATTEMPTS_TO_REMOVED] == 1
    assert seconds[1][Column.OLDEST_LIST_MS] == 500


def test_line_that_cannot_be_written_raises_no_error() -> None:
    instance = Instance("n0")
    instance.log.close()
    instance.handle(1.0, RequestArrived(1, 0, 1000.0))


def test_recorded_lines_match_their_format_byte_for_byte() -> None:
    instance = Instance("n0")
    instance.notify_list(0.0, ListKind.CACHED, (ServerEntry(1), "10.0.0.1:80"))
    instance.handle(
        250.0, RequestArrived(7, 2, 1000.04, client_retry=True), Send(7, 1, 500.0), Reject(8, 50.0)
    )
    instance.handle(300.0, AttemptEnded(7, 0, 1, Outcome.RESET, False, 49.96))
    lines = [re.sub(r'"cpu":[0-9.]+', '"cpu":0', line) for line in instance.lines]
    assert lines == [
        'sandhatch-record {"t":1700000000.0,"cpu":0,"copy":"n0","tier":0,"in":"ListUpdate","kind":"cached",'
        '"version":1,"call":0,"servers":[[1,"10.0.0.1:80",1,0.0]]}',
        'sandhatch-record {"t":1700000000.25,"cpu":0,"copy":"n0","tier":0,"in":"RequestArrived","request":7,'
        '"class":2,"again":true,"left_ms":1000.0,"out":[["send",7,1,500.0,250.0],["refuse",8,50.0]]}',
        'sandhatch-record {"t":1700000000.3,"cpu":0,"copy":"n0","tier":0,"in":"AttemptEnded","request":7,'
        '"attempt":0,"server":1,"outcome":5,"ms":50.0}',
    ]


@pytest.mark.parametrize(
    ("value", "scope"), [("1", RecordScope.ALL), ("lists", RecordScope.LISTS), ("", None), ("yes", None)]
)
def test_environment_variable_sets_the_scope_of_the_record(value: str, scope: RecordScope | None) -> None:
    warnings: list[str] = []
    assert requested_record_scope({"SANDHATCH_RECORD": value}, warnings.append) == scope
    assert requested_record_scope({}, warnings.append) is None
    assert warnings == []


def test_former_variable_name_is_read_with_one_warning_naming_the_new_one() -> None:
    warnings: list[str] = []
    assert requested_record_scope({"LARKWEIR_RECORD": "lists"}, warnings.append) == RecordScope.LISTS
    assert warnings == ["LARKWEIR_RECORD is now called SANDHATCH_RECORD; set that one instead"]


def test_new_variable_name_takes_precedence_over_the_former_one() -> None:
    warnings: list[str] = []
    both = {"LARKWEIR_RECORD": "lists", "SANDHATCH_RECORD": "1"}
    assert requested_record_scope(both, warnings.append) == RecordScope.ALL
    assert warnings == []
