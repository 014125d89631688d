"""The record of a copy, and counts over a fleet's records."""

from __future__ import annotations

import io
import json
from pathlib import Path

import pytest

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
from sandhatch.telemetry.event_recorder import ALL, LISTS, MARK, Recorder, requested_record
from sandhatch.telemetry.fleet_report import counts, main, records, tally

START_MS = 1_700_000_000_000.0


class Copy:
    """A copy's log, written at stated times."""

    def __init__(self, name: str, what: str = ALL) -> None:
        self.log = io.StringIO()
        self.now_ms = START_MS
        self.recorder = Recorder(name, 0, lambda: self.now_ms, self.log, what)

    def list(self, at_ms: float, kind: ListKind, *rows: tuple[ServerEntry, str]) -> None:
        self.now_ms = START_MS + at_ms
        update = ListUpdate(kind, 1, [entry for entry, _ in rows])
        self.recorder.on_endpoint_list(update, [address for _, address in rows])
        self.recorder.saw(update, [])

    def saw(self, at_ms: float, event: Event, *actions: Action) -> None:
        self.now_ms = START_MS + at_ms
        self.recorder.saw(event, actions)

    @property
    def lines(self) -> list[str]:
        return self.log.getvalue().splitlines()


def fleet_of_two() -> tuple[Copy, Copy]:
    one, two = Copy("n0"), Copy("n1")
    # The same server under another number in each copy.
    one.list(0.0, ListKind.CACHED, (ServerEntry(1), "10.0.0.1:80"), (ServerEntry(2), "10.0.0.2:80"))
    two.list(0.0, ListKind.CACHED, (ServerEntry(7), "10.0.0.2:80"))
    one.saw(100.0, RequestArrived(1, 0, 1000.0), Send(1, 2, 500.0))
    one.saw(1200.0, AttemptEnded(1, 0, 2, Outcome.CONNECT_FAILED, False, 1.0), Send(1, 1, 400.0))
    one.list(1300.0, ListKind.DELTA, (ServerEntry(2, ServerState.DRAINING), "10.0.0.2:80"))
    two.saw(1400.0, RequestArrived(1, 0, 1000.0, client_retry=True), Send(1, 7, 500.0))
    fresh = ServerEntry(9, ServerState.READY, START_MS + 1_000.0)
    two.list(2000.0, ListKind.DELTA, (fresh, "10.0.0.3:80"))
    two.saw(2100.0, RequestArrived(2, 0, 1000.0), Send(2, 9, 500.0))
    two.saw(2200.0, RequestArrived(3, 0, 1000.0), Reject(3, 50.0))
    two.saw(2300.0, AttemptEnded(1, 0, 7, Outcome.TIMEOUT, True, 900.0), Fail(1))
    two.saw(2400.0, TimerFired(4), WatchList(True))
    two.saw(2500.0, TimerFired(5))
    return one, two


def test_counts_are_of_the_fleet_whatever_each_copy_calls_a_server() -> None:
    one, two = fleet_of_two()
    seconds = tally([one.lines, two.lines])[0].seconds
    assert (seconds[0]["asked"], seconds[0]["sent"], seconds[0]["copies"]) == (1, 1, 2)
    assert (seconds[1]["connect"], seconds[1]["repeat"], seconds[1]["again"]) == (1, 1, 1)
    assert seconds[1]["gone"] == 1  # n1 sends where n0 has been told that it drains
    assert (seconds[2]["cold"], seconds[2]["refuse"], seconds[2]["fail"]) == (1, 1, 1)
    assert (seconds[2]["timeout"], seconds[2]["watchlist"], seconds[2]["delta"]) == (1, 1, 1)


def test_a_call_for_the_list_is_told_when_made_and_by_how_it_ended() -> None:
    copy = Copy("n0")
    copy.list(0.0, ListKind.CACHED, (ServerEntry(1), "10.0.0.1:80"))
    copy.saw(500.0, TimerFired(4), WatchList(True, 1, 41, 2000.0, 2500.0))
    copy.now_ms = START_MS + 3_000.0
    failed = ListUpdate(ListKind.FAILED, 41, call=1)
    copy.recorder.on_endpoint_list(failed, [], "no answer in 2.5 s")
    copy.recorder.saw(failed, [])
    copy.saw(3_100.0, RequestArrived(1, 0, 1000.0), Send(1, 1, 500.0))
    lines = list(records(copy.lines))
    assert lines[1]["out"] == [["watchlist", 1, 41, 2000, 2500]]
    assert (lines[2]["kind"], lines[2]["call"], lines[2]["why"]) == ("failed", 1, "no answer in 2.5 s")
    # A failure makes the list no younger: 3.1 s since the start.
    assert lines[3]["out"] == [["send", 1, 1, 500.0, 3100.0]]
    assert tally([copy.lines])[0].seconds[3]["oldest_ms"] == 3100


def test_a_record_of_lists_counts_the_sends_by_server() -> None:
    copy = Copy("n0", LISTS)
    copy.list(0.0, ListKind.CACHED, (ServerEntry(1), "10.0.0.1:80"), (ServerEntry(2), "10.0.0.2:80"))
    for number in range(10):
        event = RequestArrived(number, 0, 1000.0)
        copy.saw(100.0 * number, event, Send(number, 1 + number % 2, 500.0))
        copy.saw(100.0 * number + 10.0, AttemptEnded(number, 0, 1, Outcome.OK, True, 10.0))
    copy.list(1_000.0, ListKind.DELTA, (ServerEntry(2, ServerState.DRAINING), "10.0.0.2:80"))
    copy.saw(1_500.0, RequestArrived(20, 0, 1000.0), Send(20, 2, 500.0))
    copy.saw(2_600.0, AttemptEnded(20, 0, 2, Outcome.OK, True, 10.0))
    kinds = [record["in"] for record in records(copy.lines)]
    assert kinds == ["ListUpdate", "Sends", "ListUpdate", "Sends"]
    seconds = tally([copy.lines])[0].seconds
    assert (seconds[0]["sent"], seconds[0]["gone"], seconds[0]["oldest_ms"]) == (10, 0, 900)
    assert (seconds[1]["sent"], seconds[1]["gone"], seconds[1]["oldest_ms"]) == (1, 1, 500)


@pytest.mark.parametrize(("set_to", "kept"), [("1", ALL), ("lists", LISTS), ("", None), ("yes", None)])
def test_which_record_is_asked_for(set_to: str, kept: str | None) -> None:
    warnings: list[str] = []
    assert requested_record({"SANDHATCH_RECORD": set_to}, warnings.append) == kept
    assert requested_record({}, warnings.append) is None
    assert warnings == []


def test_the_variables_old_name_counts_and_gets_one_warning_line_that_names_the_new_one() -> None:
    warnings: list[str] = []
    assert requested_record({"LARKWEIR_RECORD": "lists"}, warnings.append) == LISTS
    assert warnings == ["LARKWEIR_RECORD is now called SANDHATCH_RECORD; set that one instead"]


def test_the_variables_new_name_goes_before_its_old_one() -> None:
    warnings: list[str] = []
    both = {"LARKWEIR_RECORD": "lists", "SANDHATCH_RECORD": "1"}
    assert requested_record(both, warnings.append) == ALL
    assert warnings == []


def test_a_timer_that_does_nothing_is_not_recorded() -> None:
    _, two = fleet_of_two()
    assert sum("TimerFired" in line for line in two.lines) == 1


def test_lines_that_are_cut_off_or_foreign_are_left_out() -> None:
    one, _ = fleet_of_two()
    broken = ["sandhatch n0: discovery: answered 503", one.lines[0][:-9], MARK + "[1]", MARK + '{"t":"x"}']
    assert [record["in"] for record in records([*broken, one.lines[1]])] == ["RequestArrived"]


def test_a_record_that_cannot_be_written_disturbs_nobody() -> None:
    copy = Copy("n0")
    copy.log.close()
    copy.saw(1.0, RequestArrived(1, 0, 1000.0))


def test_the_command_names_what_is_wrong(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main([]) == 2
    assert main([str(tmp_path / "none.log")]) == 2
    (tmp_path / "empty.log").write_text("nothing\n")
    assert main([str(tmp_path / "empty.log")]) == 1
    assert "none.log" in capsys.readouterr().err


def test_the_table_has_only_columns_in_which_something_was_counted() -> None:
    one, two = fleet_of_two()
    text = counts(tally([one.lines, two.lines])[0])
    assert "timeout" in text and "probe" not in text
    json.loads(one.lines[0].removeprefix(MARK))
