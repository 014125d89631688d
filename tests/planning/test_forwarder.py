"""The forwarder's state machine: validity of advice and leases, reports, and rejected advice."""

from __future__ import annotations

from typing import Any

from sandhatch.planning.messages import PoolAdvice, RampShareRow, WeightRow, encode
from tests.planning.machines import POOL, ForwarderDriver


def test_advice_validity_starts_when_the_report_it_responds_to_was_sent() -> None:
    driver = ForwarderDriver("p0")
    driver.connect("p0")
    sent_ms = driver.now
    driver.respond("p0", 900.0, pools=[PoolAdvice(POOL, [WeightRow(0, 0.5)])])
    assert driver.received_guidance[0].report_sent_ms == sent_ms
    assert driver.received_guidance[0].until_ms == sent_ms + 1_980.0


def test_shares_are_leased_only_after_advice_and_the_balancer_is_notified_before_they_are_used() -> None:
    driver = ForwarderDriver("p0")
    driver.connect("p0")
    assert not driver.reports["p0"].leases_shares
    driver.respond("p0", has_lease=False)
    received_ms = driver.now
    driver.tick(0.0)
    assert driver.reports["p0"].leases_shares
    assert driver.reports["p0"].version == 1
    assert driver.lease_ends_ms[-1] == received_ms + 3_030.0
    assert not driver.received_guidance[0].leased
    driver.respond("p0", pools=[PoolAdvice(POOL, None, [RampShareRow(0, 0.5, 2.0)], 0.3)])
    assert driver.received_guidance[-1].leased
    assert driver.received_guidance[-1].parts[0].rate == 0.5


def test_shares_granted_by_a_planner_without_the_lease_are_ignored() -> None:
    driver = ForwarderDriver("p0", "p1")
    driver.connect("p0")
    driver.connect("p1")
    driver.rounds(4, "p0", "p1")
    assert driver.machine.leased_to == "p0"
    driver.respond("p1", pools=[PoolAdvice(POOL, None, [RampShareRow(0, 1.0, 4.0)], 0.5)])
    assert not driver.received_guidance[-1].leased
    assert driver.received_guidance[-1].own_part is None


def test_a_new_incarnation_of_the_lease_holder_receives_the_previous_grants() -> None:
    driver = ForwarderDriver("p0")
    driver.connect("p0")
    driver.rounds(4, "p0", pools=[PoolAdvice(POOL, None, [RampShareRow(0, 0.5, 2.0)], 0.3)])
    driver.machine.disconnected("p0")
    driver.now += 100.0
    driver.connect("p0", epoch=2)
    report = driver.reports["p0"]
    assert (report.epoch, report.version) == (0, 0)
    assert [(share.rate, share.burst) for share in report.pools[0].previous_grants] == [(0.5, 2.0)]
    driver.respond("p0", learning=True, has_lease=False)
    driver.tick(0.0)
    assert driver.reports["p0"].leases_shares
    assert driver.reports["p0"].epoch == 2


def test_invalid_advice_is_rejected_with_a_reason() -> None:
    def reason(**fields: Any) -> str:
        driver = ForwarderDriver("p0")
        driver.connect("p0")
        driver.respond("p0", has_lease=False)
        count = len(driver.received_guidance)
        driver.tick(250.0)
        driver.respond("p0", **fields)
        assert len(driver.received_guidance) == count
        assert driver.machine.peers["p0"].faults == 1
        return driver.machine.peers["p0"].last_reason

    assert reason(version=1) == "advice 1 after 1"
    assert reason(epoch=9) == "advice of epoch 9 in a session of epoch 1"
    assert reason(answered_serial=77) == "advice 2 answers report 77, unknown"
    assert reason(share_lease_ms=60_000.0) == "a lease of 2000 ms within 60000 ms; 10000 ms is the most"
    assert reason(lease_ms=5_000.0) == "a lease of 5000 ms within 3000 ms; 10000 ms is the most"


def test_expired_advice_is_ignored_and_not_counted_as_a_fault() -> None:
    driver = ForwarderDriver("p0")
    driver.connect("p0")
    driver.respond("p0", 5_000.0)
    peer = driver.machine.peers["p0"]
    assert (peer.late, peer.faults, driver.received_guidance) == (1, 0, [])
    driver.tick(250.0)
    assert driver.reports["p0"].version == 0


def test_the_circuit_opens_after_repeated_faults_with_exponential_backoff() -> None:
    driver = ForwarderDriver("p0", min_backoff_ms=1_000.0, fault_limit=2)
    backoffs_ms = []
    for _ in range(3):
        driver.connect("p0")
        for _ in range(2):
            driver.respond("p0", epoch=9)
            driver.tick(1.0)
        assert len(driver.ended_sessions) == len(backoffs_ms) + 1
        driver.machine.disconnected("p0")
        assert not driver.machine.may_connect("p0", driver.now)
        peer = driver.machine.peers["p0"]
        backoffs_ms.append(round(peer.backoff_until_ms - driver.now, -2))
        driver.now = peer.backoff_until_ms
        assert driver.machine.may_connect("p0", driver.now)
    assert backoffs_ms == [1_000.0, 2_000.0, 4_000.0]


def test_advice_rejected_by_the_balancer_is_not_acknowledged() -> None:
    """If rejected advice were acknowledged, the planner would count valid earlier grants as superseded."""
    driver = ForwarderDriver("p0")
    driver.connect("p0")
    driver.respond("p0")
    driver.tick(250.0)
    driver.respond("p0")
    driver.execute(driver.machine.guidance_rejected("p0", "out of bounds", driver.now))
    driver.tick(250.0)
    assert driver.reports["p0"].version == 1


def test_a_session_of_an_earlier_epoch_is_rejected_and_ended() -> None:
    driver = ForwarderDriver("p0")
    driver.connect("p0", 5)
    driver.machine.disconnected("p0")
    driver.connect("p0", 4)
    assert driver.ended_sessions
    assert driver.ended_sessions[0].reason == "epoch 4 is before 5"


def test_a_planners_repeated_note_is_logged_once() -> None:
    driver = ForwarderDriver("p0")
    driver.connect("p0")
    driver.rounds(3, "p0", note="place 2 is f7's")
    assert [note for note in driver.notes if "place 2" in note] == ["planner p0: place 2 is f7's"]


def test_reports_stay_within_the_configured_bytes_per_second() -> None:
    driver = ForwarderDriver("p0", bytes_per_s=2_000.0)
    driver.connect("p0")
    total_bytes = 0
    for _ in range(400):
        driver.tick(50.0)
        report = driver.reports.pop("p0", None)
        total_bytes += len(encode(report)) if report is not None else 0
    assert total_bytes <= 20.0 * 2_000.0 + 4.0 * 2_000.0
