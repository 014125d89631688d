"""Ids of requests: how long and how many are retained, and the memory that they need."""

from __future__ import annotations

import tracemalloc

import pytest

from sandhatch.runtime.in_flight_ids import InFlightIds
from sandhatch.runtime.memory_budget import BYTES_PER_MB
from sandhatch.runtime.retained_ids import RetainedIds

RETENTION_MS = 100.0
GENERATION_MS = RETENTION_MS / RetainedIds.GENERATIONS
MEMORY_MB = 80


def ids_ended_at(times_ms: dict[bytes, float]) -> InFlightIds:
    """Return the ids of requests that may have run and ended at these times."""
    ids = InFlightIds(RETENTION_MS, MEMORY_MB)
    for request_id, ended_ms in times_ms.items():
        ids.end(request_id, ended_ms, may_have_run=True)
    return ids


def test_id_is_known_while_in_flight() -> None:
    ids = InFlightIds(RETENTION_MS, MEMORY_MB)
    ids.begin(b"a")
    assert b"a" in ids
    ids.end(b"a", 0.0, may_have_run=False)
    assert b"a" not in ids


@pytest.mark.parametrize("ended_ms", [0.0, 10.0, 24.9, 25.0, 60.0])
def test_id_is_retained_for_the_retention_time_and_at_most_one_generation_longer(ended_ms: float) -> None:
    ids = ids_ended_at({b"first": 0.0, b"a": ended_ms})
    ids.end(b"b", ended_ms + RETENTION_MS - 0.1, may_have_run=True)
    assert b"a" in ids
    ids.end(b"c", ended_ms + RETENTION_MS + GENERATION_MS, may_have_run=True)
    assert b"a" not in ids
    assert b"b" in ids
    assert b"c" in ids


def test_retention_of_a_reused_id_starts_at_its_last_end() -> None:
    ids = ids_ended_at({b"a": 0.0, b"b": 30.0})
    ids.begin(b"a")
    ids.end(b"a", 50.0, may_have_run=True)
    ids.end(b"c", 149.0, may_have_run=True)  # the retention time since id `a` first ended has passed
    assert b"a" in ids
    ids.end(b"d", 50.0 + RETENTION_MS + GENERATION_MS, may_have_run=True)
    assert b"a" not in ids


def test_no_id_is_forgotten_early_however_many_follow() -> None:
    """Guards against an order that runs twice: its id was forgotten after 4,096 further requests."""
    ids = ids_ended_at({b"order": 0.0})
    for number in range(100_000):
        ids.end(b"%d" % number, 0.0009 * number, may_have_run=True)
    assert b"order" in ids
    assert all(b"%d" % number in ids for number in range(100_000))
    assert b"other" not in ids


def test_requests_that_never_ran_take_no_memory() -> None:
    ids = InFlightIds(RETENTION_MS, MEMORY_MB)
    for number in range(10_000):
        ids.begin(b"%d" % number)
        ids.end(b"%d" % number, 0.0, may_have_run=False)
    assert not ids.in_flight
    assert not len(ids.retained)


def test_full_set_forgets_nothing_and_accepts_ids_after_the_retention_time() -> None:
    retained = RetainedIds(RETENTION_MS, memory_mb=0.001)
    assert retained.max_count == RetainedIds.MIN_COUNT
    for number in range(retained.max_count):
        assert not retained.is_full(1.0)
        retained.add(b"%d" % number, 1.0)
    assert retained.is_full(1.0 + RETENTION_MS - 0.1)
    assert all(b"%d" % number in retained for number in range(retained.max_count))
    assert not retained.is_full(1.0 + RETENTION_MS + GENERATION_MS)


@pytest.mark.parametrize("span_ms", [0.0, 0.9 * RETENTION_MS], ids=["at once", "over the retention time"])
def test_full_set_stays_within_its_part_of_the_memory_limit(span_ms: float) -> None:
    memory_mb = 16
    retained = RetainedIds(RETENTION_MS, memory_mb)
    tracemalloc.start()
    for number in range(retained.max_count):
        retained.add(b"%0128d" % number, span_ms * number / retained.max_count)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak_bytes <= memory_mb * BYTES_PER_MB / 8
