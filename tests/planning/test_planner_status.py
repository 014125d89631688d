"""JSON keys of a planner's status and explanations, which are part of the command-line interface."""

from __future__ import annotations

from sandhatch.planning.messages import Row
from sandhatch.planning.planner import Planner
from tests.planning.machines import ADDRESSES, ReportingForwarder


def test_the_status_has_the_documented_keys() -> None:
    planner = Planner("p0", 1, -10_000.0)
    ReportingForwarder(planner, 0).report(0.0, warming_up=[3], demand={"view": 10})
    status = planner.status(100.0)
    assert list(status) == ["name", "epoch", "learning", "reports", "refused", "forwarders", "pools"]
    assert status["forwarders"] == [
        {"name": "f0", "heard_ms_ago": 100, "advice": 1, "taken": 0, "conflict": ""}
    ]
    assert status["pools"] == [
        {
            "pool": "core",
            "forwarders": 1,
            "of": 4,
            "servers": 10,
            "cold": 1,
            "weighed_down": 0,
            "demand_per_s": 2.0,
        }
    ]


def test_an_explanation_has_the_documented_keys() -> None:
    planner = Planner("p0", 1, -10_000.0)
    forwarder = ReportingForwarder(planner, 0)
    forwarder.report(0.0)
    forwarder.report(250.0, warming_up=[3], rows=[Row(3, 2, 2, 0, 0, 20.0)])
    assert planner.explain("core", ADDRESSES[3], 250.0) == {
        "pool": "core",
        "server": ADDRESSES[3],
        "listed_by": 1,
        "cold": True,
        "outstanding": 2,
        "load": 0.0,
        "slowness": 1.0,
        "failing": 0.0,
        "calls": 2.0,
        "weight": 1.0,
        "why": "nothing speaks against it",
        "ratio": 0.0,
        "reports": 0,
        "ramp_lent": 0.25,
        "ramp_granted": {"f0": 0.25},
    }
    assert planner.explain("core", "10.9.9.9:1", 250.0) is None
    assert planner.explain("other", ADDRESSES[3], 250.0) is None
