"""A forwarder's observations of a pool."""

from __future__ import annotations

from sandhatch.balancing.actions import Send
from sandhatch.balancing.events import AttemptEnded, ListKind, ListUpdate, Outcome, ServerEntry, ServerState
from sandhatch.planning.observer import Observer
from sandhatch.planning.readiness import Readiness


def test_readiness_follows_the_endpoint_list_and_the_warm_up_time() -> None:
    observer = Observer(["view"], 10_000.0)
    rows = [ServerEntry(0), ServerEntry(1, started_ms=5_000.0), ServerEntry(2, ServerState.DRAINING)]
    observer.on_endpoint_list(ListUpdate(ListKind.FULL, 1, rows), ["a:1", "b:1", "c:1"])
    assert observer.readiness(0, 6_000.0) is Readiness.WARM
    assert observer.readiness(1, 6_000.0) is Readiness.WARMING_UP
    assert observer.readiness(1, 15_000.0) is Readiness.WARM
    assert observer.readiness(2, 6_000.0) is Readiness.NOT_READY
    assert observer.readiness(9, 6_000.0) is Readiness.NOT_READY


def test_an_attempt_that_began_before_the_observer_is_not_counted() -> None:
    observer = Observer(["view"], 10_000.0)
    observer.on_event(AttemptEnded(1, 0, 0, Outcome.OK, True, 10.0), [])
    assert observer.totals == {}


def test_an_observer_is_compatible_only_with_the_same_classes_and_warm_up_time() -> None:
    observer = Observer(["view"], 10_000.0)
    assert observer.is_compatible(["view"], 10_000.0)
    assert not observer.is_compatible(["view", "order"], 10_000.0)
    assert not observer.is_compatible(["view"], 1_000.0)


def test_a_sent_attempt_marks_its_server_as_changed_for_every_reporter() -> None:
    observer = Observer(["view"], 10_000.0)
    first = observer.new_reporter()
    second = observer.new_reporter()
    observer.on_event(AttemptEnded(1, 0, 0, Outcome.OK, True, 10.0), [Send(2, 4, 100.0)])
    assert first.changed_totals == second.changed_totals == {4}
