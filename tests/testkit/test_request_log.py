"""The faults that the request log reports."""

from __future__ import annotations

from testkit.request_log import RequestLog
from testkit.wire import Response

NON_IDEMPOTENT = frozenset(("order",))


def response(status: int) -> Response:
    return Response(status, {}, b"")


def test_one_response_per_request_is_no_fault() -> None:
    request_log = RequestLog()
    request_log.add("t1", "look", 0.0).responses.append(response(200))
    request_log.add("t2", "order", 0.0).responses.append(response(503))
    request_log.add_run("t1", "a")
    request_log.add_run("t1", "b")  # no fault: an idempotent request may run on two servers
    request_log.add_run("unknown", "a")
    assert request_log.faults(NON_IDEMPOTENT) == []
    assert request_log.statuses() == {200: 1, 503: 1}


def test_request_without_a_response_or_with_two_is_a_fault() -> None:
    request_log = RequestLog()
    request_log.add("t1", "look", 0.0).failure = "reset"
    request_log.add("t2", "look", 0.0).responses.extend((response(200), response(200)))
    assert request_log.faults(NON_IDEMPOTENT) == ["t1: 0 responses reset", "t2: 2 responses "]


def test_non_idempotent_request_run_twice_or_rejected_after_it_ran_is_a_fault() -> None:
    request_log = RequestLog()
    request_log.add("t1", "order", 0.0).responses.append(response(200))
    request_log.add_run("t1", "a")
    request_log.add_run("t1", "b")
    request_log.add("t2", "order", 0.0).responses.append(response(503))
    request_log.add_run("t2", "a")
    assert request_log.faults(NON_IDEMPOTENT) == [
        "t1: non-idempotent, ran at ['a', 'b']",
        "t2: non-idempotent, rejected although it ran at ['a']",
    ]
