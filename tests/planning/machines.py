"""Drivers for the state machines of a forwarder and of a planner, without I/O."""

from __future__ import annotations

from typing import Any

from sandhatch.balancing.events import Guidance, ListKind, ListUpdate, OwnSharesLeased, ServerEntry
from sandhatch.balancing.settings import Effect, RequestClass, Settings
from sandhatch.planning.actions import Action, EndSession, LogLine, NotifyBalancer, SendReport
from sandhatch.planning.forwarder import Forwarder
from sandhatch.planning.messages import Advice, PoolAdvice, PoolReport, Report, Row, WeightRow
from sandhatch.planning.observer import Observer
from sandhatch.planning.planner import Planner
from sandhatch.planning.terms import ForwarderTerms

POOL = "core"
VIEW = RequestClass(objective_ms=100.0, deadline_ms=1000.0, effect=Effect.IDEMPOTENT, name="view")
SETTINGS = Settings(classes=[VIEW], instances=4, instance_index=2, ramp_per_s=10.0)
ADDRESSES = [f"10.0.0.{n}:80" for n in range(1, 11)]


class ForwarderDriver:
    """Drives a forwarder's state machine and responds to its reports in place of the planners."""

    def __init__(self, *planners: str, previous_lease_ms: float = 0.0, **terms: Any) -> None:
        self.now = 0.0
        self.machine = Forwarder("f2", planners, 0.0, ForwarderTerms(**terms), previous_lease_ms)
        observer = Observer(["view"], 10_000.0)
        rows = [ServerEntry(n) for n in range(2)]
        observer.on_endpoint_list(ListUpdate(ListKind.FULL, 1, rows), ADDRESSES[:2])
        self.versions = dict.fromkeys(planners, 0)
        self.epochs = dict.fromkeys(planners, 0)
        self.reports: dict[str, Report] = {}
        self.received_guidance: list[Guidance] = []
        self.lease_ends_ms: list[float] = []
        self.ended_sessions: list[EndSession] = []
        self.notes: list[str] = []
        self.execute(self.machine.add_pool(POOL, SETTINGS, observer))

    def execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendReport():
                    self.reports[action.planner] = action.report
                case EndSession():
                    self.ended_sessions.append(action)
                case LogLine():
                    self.notes.append(action.text)
                case NotifyBalancer(event=Guidance() as guidance):
                    self.received_guidance.append(guidance)
                case NotifyBalancer(event=OwnSharesLeased() as leased):
                    self.lease_ends_ms.append(leased.until_ms)

    def connect(self, planner: str, epoch: int = 1) -> None:
        self.epochs[planner] = epoch
        self.versions[planner] = 0
        self.execute(self.machine.connected(planner, epoch, self.now))
        self.tick(0.0)

    def tick(self, span_ms: float) -> None:
        self.now += span_ms
        self.execute(self.machine.tick(self.now))

    def respond(self, planner: str, after_ms: float = 1.0, **fields: Any) -> None:
        """Let a planner respond to the forwarder's last report; `fields` override fields of the advice."""
        self.now += after_ms
        self.versions[planner] += 1
        version = self.versions[planner]
        advice = Advice(self.epochs[planner], version, self.reports[planner].serial, 2_000.0, 3_000.0)
        for name, value in ({"has_lease": True, "pools": [PoolAdvice(POOL)]} | fields).items():
            assert hasattr(advice, name)
            setattr(advice, name, value)
        self.execute(self.machine.handle_advice(planner, advice, self.now))

    def rounds(self, count: int, *planners: str, **fields: Any) -> None:
        """Run `count` report intervals, after each of which these planners respond at once."""
        for _ in range(count):
            self.tick(250.0)
            for planner in planners:
                self.respond(planner, 0.0, **fields)


class ReportingForwarder:
    """Sends reports to a planner's state machine and acknowledges all advice."""

    def __init__(self, planner: Planner, instance_index: int, instances: int = 4, name: str = "") -> None:
        self.planner = planner
        self.instance_index = instance_index
        self.instances = instances
        self.name = name or f"f{instance_index}"
        self.serial = 0
        self.epoch = 0
        self.version = 0
        self.has_named_servers = False
        planner.forwarder_connected(self.name, 0.0)

    def report(self, now: float, **fields: object) -> Advice:
        """Send a report on one pool of ten servers; `fields` override fields of the pool's report."""
        self.serial += 1
        pool = PoolReport(POOL, self.instances, self.instance_index, float(self.instances))
        if not self.has_named_servers:
            self.has_named_servers = True
            pool.names = list(ADDRESSES)
            pool.warm = list(range(len(ADDRESSES)))
        for name, value in fields.items():
            assert hasattr(pool, name)
            setattr(pool, name, value)
        report = Report(self.serial, 250.0, self.epoch, self.version, True, [pool])
        advice = self.planner.report(self.name, report, now)
        self.epoch = advice.epoch
        self.version = advice.version
        return advice


def reporting_forwarders(planner: Planner, number: int) -> list[ReportingForwarder]:
    return [ReportingForwarder(planner, index, max(number, 1)) for index in range(number)]


def report_rounds(
    planner: Planner,
    forwarders: list[ReportingForwarder],
    start_ms: float,
    count: int,
    rows: dict[int, Row] | None = None,
) -> float:
    """Let all forwarders report every 250 ms; returns the time after the last round.

    Each report states one attempt in flight and four successful attempts of 10 ms at each server, unless
    `rows` contains another `Row` for the server.
    """
    special_rows = rows or {}
    now = start_ms
    for _ in range(count):
        for forwarder in forwarders:
            reported = [special_rows.get(n) or Row(n, 1, 4, 0, 0, 40.0) for n in range(len(ADDRESSES))]
            forwarder.report(now, rows=reported, demand={"view": 40})
        planner.tick(now)
        now += 250.0
    return now


def advised_weights(advice: Advice) -> dict[int, WeightRow]:
    """The `WeightRow` messages of the advice, by server number."""
    return {row.server: row for row in advice.pools[0].weights or []}
