"""A forwarder's state of one planner: unacknowledged reports, byte credit, faults and status keys."""

from __future__ import annotations

import pytest

from sandhatch.planning.planner_peer import MAX_CREDIT_S, MAX_UNACKNOWLEDGED_REPORTS, PlannerPeer
from sandhatch.planning.terms import ForwarderTerms

BYTES_PER_S = 1_000.0


def connected_peer() -> PlannerPeer:
    peer = PlannerPeer("p0", 0)
    peer.begin_session(1, {}, BYTES_PER_S, 0.0)
    return peer


def test_responses_are_matched_to_recent_reports_and_supersede_earlier_reports() -> None:
    peer = connected_peer()
    for number in range(1, MAX_UNACKNOWLEDGED_REPORTS + 2):
        assert peer.next_serial(BYTES_PER_S, 10.0 * number) == number
    assert peer.report_sent_ms(1) is None
    assert peer.report_sent_ms(5) == 50.0
    assert peer.report_sent_ms(4) is None
    assert peer.report_sent_ms(5) == 50.0


def test_the_byte_credit_grows_with_time_up_to_its_limit() -> None:
    peer = connected_peer()
    peer.credit_bytes = 0.0
    peer.next_serial(BYTES_PER_S, 500.0)
    assert peer.credit_bytes == 500.0
    peer.next_serial(BYTES_PER_S, 60_000.0)
    assert peer.credit_bytes == MAX_CREDIT_S * BYTES_PER_S


def test_faults_outside_the_fault_window_do_not_open_the_circuit() -> None:
    terms = ForwarderTerms(fault_limit=2, fault_window_ms=1_000.0, min_backoff_ms=100.0)
    peer = connected_peer()
    assert peer.record_fault("first", 0.0, terms) is None
    assert peer.record_fault("second", 1_000.0, terms) is None
    assert peer.record_fault("third", 1_500.0, terms) == 100.0
    assert (peer.faults, peer.last_reason, peer.backoff_until_ms) == (3, "third", 1_600.0)


@pytest.mark.parametrize(
    ("connected", "backoff_until_ms", "state"),
    [(True, 0.0, "up"), (False, 0.0, "down"), (True, 500.0, "shunned")],
)
def test_the_status_has_the_documented_keys_and_states(
    connected: bool, backoff_until_ms: float, state: str
) -> None:
    peer = PlannerPeer("p0", 0, connected=connected, backoffs=1, backoff_until_ms=backoff_until_ms)
    assert peer.status(100.0) == {
        "planner": "p0",
        "state": state,
        "epoch": 0,
        "advice_counts": False,
        "learning": True,
        "reports": 0,
        "advices": 0,
        "late": 0,
        "refused": 0,
        "shunned_ms": 400 if state == "shunned" else 0,
        "last": "",
    }
