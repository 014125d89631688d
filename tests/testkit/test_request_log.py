"""What the log of requests reports as a break of the rules."""

from __future__ import annotations

from testkit.request_log import RequestLog
from testkit.wire import Response

NON_IDEMPOTENT = frozenset(("order",))


def response(status: int) -> Response:
    return Response(status, {}, b"")


def test_one_response_for_each_request_is_no_fault() -> None:
    books = RequestLog()
    books.add("t1", "look", 0.0).responses.append(response(200))
    books.add("t2", "order", 0.0).responses.append(response(503))
    books.add_run("t1", "a")
    books.add_run("t1", "b")  # idempotent: it may run twice
    books.add_run("unknown", "a")
    assert books.faults(NON_IDEMPOTENT) == []
    assert books.statuses() == {200: 1, 503: 1}


def test_a_request_without_a_response_or_with_two_is_a_fault() -> None:
    books = RequestLog()
    books.add("t1", "look", 0.0).lost = "reset"
    books.add("t2", "look", 0.0).responses.extend((response(200), response(200)))
    assert books.faults(NON_IDEMPOTENT) == ["t1: 0 answers reset", "t2: 2 answers "]


def test_a_non_idempotent_request_that_ran_twice_or_was_rejected_after_it_ran_is_a_fault() -> None:
    books = RequestLog()
    books.add("t1", "order", 0.0).responses.append(response(200))
    books.add_run("t1", "a")
    books.add_run("t1", "b")
    books.add("t2", "order", 0.0).responses.append(response(503))
    books.add_run("t2", "a")
    assert books.faults(NON_IDEMPOTENT) == [
        "t1: unsafe, ran at ['a', 'b']",
        "t2: unsafe, refused though it ran at ['a']",
    ]
