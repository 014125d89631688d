"""Server weights computed from reported latency, failures and outstanding attempts."""

from __future__ import annotations

from sandhatch.planning.messages import Row, WeightRow
from sandhatch.planning.planner import Planner
from tests.planning.machines import advised_weights, report_rounds, reporting_forwarders


def weights_after(rows: dict[int, Row], forwarder_count: int = 4) -> dict[int, WeightRow]:
    """Advised `WeightRow` messages by server number, after 40 reports of each forwarder with these rows."""
    planner = Planner("p0", 1, -10_000.0)
    forwarders = reporting_forwarders(planner, forwarder_count)
    now = report_rounds(planner, forwarders, 0.0, 40, rows)
    forwarders[0].has_named_servers = False
    planner.forwarder_connected("f0", now)
    return advised_weights(forwarders[0].report(now))


def test_a_slow_server_gets_a_reduced_weight_with_the_reason() -> None:
    weights = weights_after({2: Row(2, 1, 4, 0, 0, 160.0)})
    assert list(weights) == [2]
    assert 0.2 <= weights[2].weight <= 0.45
    assert weights[2].reason == "slow"


def test_a_server_with_excess_outstanding_attempts_gets_a_reduced_weight() -> None:
    rows = {n: Row(n, 4, 4, 0, 0, 4_000.0) for n in range(10)}
    weights = weights_after(rows | {2: Row(2, 12, 4, 0, 0, 4_000.0)})
    assert weights[2].reason == "crowded"
    assert weights[2].weight < 0.8


def test_outstanding_attempts_have_little_influence_when_attempts_are_short() -> None:
    """Guards against weights that follow noise: a reported count of short attempts is soon out of date."""
    assert weights_after({2: Row(2, 8, 4, 0, 0, 40.0)}).get(2, WeightRow(2, 1.0)).weight > 0.8


def test_a_failing_server_gets_a_reduced_weight_with_the_reason() -> None:
    weights = weights_after({2: Row(2, 1, 1, 3, 0, 10.0)})
    assert weights[2].reason == "failing"
    assert weights[2].weight < 0.7


def test_equally_slow_servers_have_full_weights() -> None:
    assert weights_after({n: Row(n, 8, 4, 1, 0, 900.0) for n in range(10)}) == {}


def test_at_most_half_of_the_servers_get_a_weight_below_one_half() -> None:
    weights = weights_after({n: Row(n, 1, 4, 0, 0, 900.0) for n in range(4)})
    assert sum(row.weight < 0.5 for row in weights.values()) == 4
    weights = weights_after({n: Row(n, 1, 4, 0, 0, 60.0 * (n + 1)) for n in range(10)})
    assert sum(row.weight < 0.5 for row in weights.values()) <= 5


def test_one_forwarder_that_reports_only_failures_hardly_changes_the_weights() -> None:
    planner = Planner("p0", 1, -10_000.0)
    forwarders = reporting_forwarders(planner, 10)
    wrong = forwarders[0]
    correct = forwarders[1:]
    now = 0.0
    for _ in range(40):
        wrong.report(now, rows=[Row(2, 1, 0, 40, 0, 0.0)])
        now = report_rounds(planner, correct, now, 1)
    rows = planner.pools["core"].load.members["f1"].numbering.weight_rows(-2)
    assert all(row.weight >= 0.7 for row in rows)
