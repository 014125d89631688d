"""The fleet report: counts over the records of all instances."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from sandhatch.telemetry.fleet_report import Column, count_fleets, format_counts, main
from sandhatch.telemetry.record_format import LINE_PREFIX, parse_records
from tests.telemetry.harness import fleet_of_two


def test_counts_cover_all_instances_although_their_server_numbers_differ() -> None:
    first, second = fleet_of_two()
    seconds = count_fleets([first.lines, second.lines])[0].seconds
    assert seconds[0][Column.REQUESTS] == 1
    assert seconds[0][Column.ATTEMPTS] == 1
    assert seconds[0][Column.INSTANCES] == 2
    assert seconds[1][Column.CONNECT_FAILED] == 1
    assert seconds[1][Column.RETRIES] == 1
    assert seconds[1][Column.CLIENT_RETRIES] == 1
    assert seconds[1][Column.ATTEMPTS_TO_REMOVED] == 1  # n1 sends to a server that n0 knows to be draining
    assert seconds[2][Column.ATTEMPTS_TO_WARMING_UP] == 1
    assert seconds[2][Column.REJECTED] == 1
    assert seconds[2][Column.FAILED] == 1
    assert seconds[2][Column.TIMEOUT] == 1
    assert seconds[2][Column.LIST_POLLS] == 1
    assert seconds[2][Column.DELTA_LISTS] == 1


def test_table_omits_columns_without_counts() -> None:
    first, second = fleet_of_two()
    text = format_counts(count_fleets([first.lines, second.lines])[0])
    assert "timeout" in text
    assert "probe" not in text
    json.loads(first.lines[0].removeprefix(LINE_PREFIX))


def test_column_headings_are_those_that_scripts_read() -> None:
    assert " ".join(Column) == (
        "asked again sent repeat cold gone ok full connect reset timeout error refuse fail probe closeidle "
        "watchlist full_list delta failed copies cpu_ms oldest_ms"
    )


def test_truncated_and_unrelated_lines_are_skipped() -> None:
    first, _ = fleet_of_two()
    unrelated = [
        "sandhatch n0: discovery: answered 503",
        first.lines[0][:-9],
        LINE_PREFIX + "[1]",
        LINE_PREFIX + '{"t":"x"}',
    ]
    assert [record.event for record in parse_records([*unrelated, first.lines[1]])] == ["RequestArrived"]


def test_command_exits_with_an_error_that_names_the_unreadable_file(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main([]) == 2
    assert main([str(tmp_path / "none.log")]) == 2
    (tmp_path / "empty.log").write_text("nothing\n")
    assert main([str(tmp_path / "empty.log")]) == 1
    assert "none.log" in capsys.readouterr().err
