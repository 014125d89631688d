"""Load of a pool, aggregated from the reports of all forwarders."""

from __future__ import annotations

from sandhatch.planning.load import PoolLoad
from sandhatch.planning.messages import PoolReport, Row
from sandhatch.planning.planner import Planner
from sandhatch.planning.terms import PlannerTerms
from tests.planning.machines import ADDRESSES, ReportingForwarder


def test_a_new_session_replaces_the_state_reported_in_the_previous_session() -> None:
    planner = Planner("p0", 1, 0.0)
    forwarder = ReportingForwarder(planner, 0)
    forwarder.report(0.0, rows=[Row(0, 5)], warming_up=[1])
    planner.forwarder_connected("f0", 10.0)
    view = planner.pools["core"].load.servers[ADDRESSES[0]]
    assert (view.outstanding, view.listed_in, view.warming_up_in) == (0, 0, 0)
    forwarder.has_named_servers = False
    forwarder.report(20.0, rows=[Row(0, 1)])
    assert (view.outstanding, view.listed_in) == (1, 1)


def test_outstanding_attempts_at_a_removed_server_are_discarded() -> None:
    planner = Planner("p0", 1, 0.0)
    forwarder = ReportingForwarder(planner, 0)
    forwarder.report(0.0, rows=[Row(0, 5)])
    view = planner.pools["core"].load.servers[ADDRESSES[0]]
    # Server 0 is draining, with three attempts in flight.
    forwarder.report(250.0, not_ready=[0], rows=[Row(0, 3)])
    assert view.outstanding == 3
    forwarder.report(500.0, not_ready=[0])
    assert (view.outstanding, view.listed_in) == (0, 0)


def test_demand_is_bounded_above_and_below_relative_to_the_median() -> None:
    load = PoolLoad("core")
    for name, rate in (("a", 1_000.0), ("b", 10.0), ("c", 10.0), ("d", 0.0)):
        load.apply(name, PoolReport("core"), 0.0)
        load.members[name].demand_per_s = rate
    assert load.bounded_demands("abcd") == {"a": 40.0, "b": 10.0, "c": 10.0, "d": 2.5}


def test_forwarders_with_the_same_endpoint_list_share_one_numbering() -> None:
    planner = Planner("p0", 1, 0.0, PlannerTerms())
    first = ReportingForwarder(planner, 0)
    second = ReportingForwarder(planner, 1)
    first.report(0.0)
    second.report(0.0)
    members = planner.pools["core"].load.members
    assert members["f0"].numbering is members["f1"].numbering


def test_one_advice_contains_a_bounded_number_of_weights_the_lowest_ones() -> None:
    load = PoolLoad("core")
    names = [f"10.1.{n // 250}.{n % 250}:80" for n in range(1_000)]
    load.apply("f0", PoolReport("core", names=names, warm=list(range(1_000))), 0.0)
    for number, view in enumerate(load.servers.values()):
        view.assess(0.1 if number == 777 else 0.5, "slow", 2.0)
    rows = load.members["f0"].numbering.weight_rows(1)
    assert len(rows) == 256
    assert rows[0].server == 777
