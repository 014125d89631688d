"""State machine of a planner: membership, learning, leases and granted shares."""

from __future__ import annotations

import pytest

from sandhatch.planning.errors import InvalidReportError
from sandhatch.planning.messages import Row
from sandhatch.planning.planner import Planner
from tests.planning.machines import (
    ADDRESSES,
    ReportingForwarder,
    advised_weights,
    report_rounds,
    reporting_forwarders,
)

SLOW_SERVER_ROWS = {2: Row(2, 1, 4, 0, 0, 160.0)}


def test_weights_are_advised_after_learning_once_enough_forwarders_report_or_the_wait_ends() -> None:
    planner = Planner("p0", 1, 0.0)
    forwarder = ReportingForwarder(planner, 0)
    advice = forwarder.report(0.0)
    assert advice.learning
    assert not advice.has_lease
    assert advice.pools[0].weights is None
    assert advice.pools[0].own_share is None
    now = report_rounds(planner, [forwarder], 250.0, 16, SLOW_SERVER_ROWS)
    advice = forwarder.report(now)
    assert not advice.learning
    assert advice.pools[0].weights is None  # too few forwarders have reported: one of four
    now = report_rounds(planner, [forwarder], now, 40, SLOW_SERVER_ROWS)
    planner.forwarder_connected("f0", now)  # a new session, in which all weights are sent again
    forwarder.has_named_servers = False
    assert advised_weights(forwarder.report(now))  # the planner no longer waits for other forwarders


def test_weights_change_at_once_while_learning_and_in_small_steps_afterwards() -> None:
    planner = Planner("p0", 1, 0.0)
    forwarders = reporting_forwarders(planner, 4)
    now = report_rounds(planner, forwarders, 0.0, 13, SLOW_SERVER_ROWS)
    first = planner.pools["core"].load.servers[ADDRESSES[2]].merit
    assert first < 0.5
    report_rounds(planner, forwarders, now, 1, {2: Row(2, 1, 400, 0, 0, 4_000.0)})
    merit = planner.pools["core"].load.servers[ADDRESSES[2]].merit
    assert first < merit < first + 0.1


def test_shares_are_granted_only_after_their_lessor_has_acknowledged_advice() -> None:
    planner = Planner("p0", 1, -10_000.0)
    forwarder = ReportingForwarder(planner, 0)
    advice = forwarder.report(0.0)
    assert not advice.has_lease
    advice = forwarder.report(250.0, warming_up=[3])
    assert advice.has_lease
    assert [(share.server, share.rate) for share in advice.pools[0].ramp_shares] == [(3, 0.25)]


def test_a_lease_is_measured_from_the_sending_of_the_acknowledged_advice() -> None:
    """A late report, or a report that acknowledges old advice, does not extend the lease of ramp shares."""
    planner = Planner("p0", 1, -10_000.0)
    forwarder = ReportingForwarder(planner, 0)
    forwarder.report(0.0)
    forwarder.report(100.0, warming_up=[3])
    acknowledged = forwarder.version
    assert planner.pools["core"].lessors is not None
    for now, number in ((900.0, 1), (1_150.0, 0)):
        forwarder.version = acknowledged  # the forwarder last applied the advice sent at 100 ms
        forwarder.report(now)
        lessors = planner.pools["core"].lessors
        assert lessors.count(now + planner.terms.lease_ms) == number


def test_ramp_shares_follow_demand_and_sum_to_at_most_the_leased_amount() -> None:
    planner = Planner("p0", 1, -10_000.0)
    busy, idle = reporting_forwarders(planner, 2)
    busy.instances = idle.instances = 2
    for round_index in range(40):
        busy.report(round_index * 250.0, warming_up=[3] if round_index == 10 else [], demand={"view": 300})
        idle.report(round_index * 250.0, warming_up=[3] if round_index == 10 else [], demand={"view": 100})
    rates = [forwarder.report(10_000.0).pools[0].ramp_shares[0].rate for forwarder in (busy, idle)]
    assert rates[0] > 2.0 * rates[1]
    assert sum(rates) <= 1.0 + 1e-9


def test_a_report_with_an_unknown_advice_version_server_or_instance_index_is_rejected() -> None:
    planner = Planner("p0", 7, 0.0)
    forwarder = ReportingForwarder(planner, 0)
    forwarder.report(0.0)
    forwarder.version += 1
    with pytest.raises(InvalidReportError, match="names advice 2, which was not given"):
        forwarder.report(1.0)
    forwarder.version -= 1
    with pytest.raises(InvalidReportError, match="pool core: server 10 has no name in this session"):
        forwarder.report(2.0, rows=[Row(10, 1)])
    with pytest.raises(InvalidReportError, match="pool core: place 4 of 4"):
        ReportingForwarder(planner, 4).report(3.0)


def test_a_second_forwarder_with_the_same_instance_index_is_notified_and_gets_no_grants() -> None:
    planner = Planner("p0", 1, -10_000.0)
    first = ReportingForwarder(planner, 0)
    second = ReportingForwarder(planner, 0, name="twin")
    for now in (0.0, 250.0):
        first.report(now, warming_up=[3])
        advice = second.report(now, warming_up=[3])
    assert "place 0 is f0's" in advice.note
    assert not advice.has_lease
    assert not advice.pools[0].ramp_shares
    assert first.report(500.0).pools[0].ramp_shares


def test_a_forwarder_with_a_different_number_of_instances_is_notified() -> None:
    planner = Planner("p0", 1, -10_000.0)
    first = ReportingForwarder(planner, 0, 4)
    second = ReportingForwarder(planner, 1, 5)
    first.report(0.0)
    assert "5 forwarders and a burst of 5; others say 4 and 4" in second.report(0.0).note


def test_a_forwarder_that_stops_reporting_is_removed_with_its_outstanding_attempts() -> None:
    planner = Planner("p0", 1, 0.0)
    silent = ReportingForwarder(planner, 0)
    other = ReportingForwarder(planner, 1)
    silent.report(0.0, rows=[Row(0, 5)])
    other.report(0.0, rows=[Row(0, 2)])
    assert planner.explain("core", ADDRESSES[0], 0.0)["outstanding"] == 7  # type: ignore[index]
    other.report(2_900.0)
    planner.tick(3_000.0)
    assert planner.explain("core", ADDRESSES[0], 0.0)["outstanding"] == 2  # type: ignore[index]
    assert [row["name"] for row in planner.status(3_000.0)["forwarders"]] == ["f1"]


def test_a_forwarder_that_reports_ten_times_its_demand_does_not_starve_others() -> None:
    planner = Planner("p0", 1, -10_000.0)
    forwarders = reporting_forwarders(planner, 10)
    for forwarder in forwarders:
        forwarder.instances = 10
    for round_index in range(60):
        for forwarder in forwarders:
            factor = 10 if forwarder.instance_index == 0 else 1
            forwarder.report(
                round_index * 250.0, demand={"view": 40 * factor}, warming_up=[3] if round_index == 20 else []
            )
        planner.tick(round_index * 250.0)
    advices = [forwarder.report(15_000.0).pools[0] for forwarder in forwarders]
    own_shares = [advice.own_share or 0.0 for advice in advices]
    assert min(own_shares) > 0.85 * 0.1
    assert own_shares[0] < 0.25
    rates = [advice.ramp_shares[0].rate for advice in advices]
    assert sum(rates) <= 1.0 + 1e-9
    assert min(rates[1:]) > 0.65 * 0.1
