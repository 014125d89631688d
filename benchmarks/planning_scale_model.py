"""Model of servers and of the forwarders' view of them, for planners at large scale.

The forwarders' planning state machine and ramp are the program's own. The balancers are omitted, because
thousands of them would exceed a computer's memory.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import cast

from sandhatch.balancing.events import Guidance, OwnSharesLeased, ServerState
from sandhatch.balancing.guidance.shared_ramp import SharedRamp
from sandhatch.balancing.settings import Effect, RequestClass, Settings
from sandhatch.planning.actions import Action, EndSession, NotifyBalancer, SendReport
from sandhatch.planning.forwarder import Forwarder
from sandhatch.planning.messages import PoolReport, RampShareRow, Row
from sandhatch.planning.observer import Observer
from sandhatch.planning.pool_reporter import BudgetedReport
from sandhatch.planning.terms import ForwarderTerms
from sandhatch.runtime.address import server_label
from testkit.simulation.clock import START_MS
from testkit.simulation.plan import POOL, REQUEST_CLASS, TierPlan

STEP_S = 0.25  # seconds between a forwarder's steps of simulated time
CLASS = RequestClass(objective_ms=150.0, deadline_ms=1_000.0, effect=Effect.IDEMPOTENT, name=REQUEST_CLASS)


class ModelServer:
    """A server, shared by all forwarders."""

    __slots__ = ("address", "id", "label", "sent_ms", "started_ms", "state")

    def __init__(self, number: int) -> None:
        """Creates a server that is fully warmed up."""
        self.id = number
        self.address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080"
        self.label = server_label(self.address)
        self.started_ms = 0.0
        self.state = ServerState.READY
        self.sent_ms: list[float] = []


class Model:
    """State that all forwarders see; `restarts` lists server numbers in the order of their restarts."""

    def __init__(self, plan: TierPlan, rng: Random) -> None:
        """Creates the servers of the plan."""
        self.plan = plan
        self.rng = rng
        self.servers = [ModelServer(number) for number in range(plan.servers)]
        self.names = [server.address for server in self.servers]
        self.restarts: list[int] = []
        self.attempts_per_step = plan.rate_per_s / plan.forwarders * STEP_S  # attempts of one forwarder


class ModelReporter:
    """Test double for the reporter that `Observer.new_reporter` returns, with the same methods.

    The first report has the names of all servers; every report has data on servers drawn at random.
    """

    def __init__(self, model: Model) -> None:
        """Creates a reporter that has not reported yet."""
        self._model = model
        self._has_reported_names = False
        self._restarts_reported = 0

    def close(self) -> None:
        """Does nothing: the model holds no reference to a reporter."""

    def server_of(self, number: int) -> int | None:
        """Returns the forwarder's number of a server, which in the model equals the number in the report."""
        return number if number < len(self._model.servers) else None

    def report(
        self,
        pool: str,
        now_ms: float,  # noqa: ARG002 - the state machine passes it
        budget_bytes: int,
        previous_grants: Iterable[RampShareRow] = (),
    ) -> BudgetedReport:
        """Returns the pool's part of a report; the budget is unchanged, as the model doesn't count bytes."""
        model = self._model
        report = PoolReport(pool, anew=not self._has_reported_names, previous_grants=list(previous_grants))
        if not self._has_reported_names:
            self._has_reported_names = True
            report.names = model.names
            report.warm = list(range(len(model.servers)))
        report.warming_up = model.restarts[self._restarts_reported :]
        self._restarts_reported = len(model.restarts)
        attempts = int(model.attempts_per_step)
        drawn = model.rng.sample(range(len(model.servers)), min(2 * attempts, len(model.servers)))
        report.rows = [Row(number, index % 2, 1, 0, 0, 20.0, [20, 1]) for index, number in enumerate(drawn)]
        report.demand = {REQUEST_CLASS: attempts}
        return BudgetedReport(report, budget_bytes)


class ModelObserver:
    """Test double for `Observer`, with the methods that the planning state machine calls."""

    def __init__(self, model: Model) -> None:
        """Creates an observer of the model."""
        self._model = model

    def new_reporter(self) -> ModelReporter:
        """Creates the reporter for one planner."""
        return ModelReporter(self._model)


class ModelForwarder:
    """One forwarder: the planning state machine, its ramp, and attempts to servers that warm up."""

    def __init__(self, number: int, model: Model, planners: list[str], terms: ForwarderTerms) -> None:
        """Creates a forwarder that is configured with the planners of these names."""
        plan = model.plan
        settings = Settings(
            classes=[CLASS],
            instances=plan.forwarders,
            instance_index=number,
            initial_capacity_share=plan.initial_capacity_share,
            warm_up_ms=plan.warm_up_ms,
            ramp_per_s=plan.ramp_per_s,
            ramp_burst=plan.ramp_burst,
        )
        self.name = f"f{number}"
        self.ramp = SharedRamp(settings)
        self.machine = Forwarder(self.name, planners, START_MS, terms, 0.0)
        self._model = model
        self._restarts_seen = 0
        self.machine.add_pool(POOL, settings, cast(Observer, ModelObserver(model)))

    def send_attempts(self, now_ms: float) -> None:
        """Sends the attempts of a step that go to servers that warm up."""
        model = self._model
        restarted = [model.servers[number] for number in model.restarts[self._restarts_seen :]]
        self.ramp.add_servers(restarted, now_ms)
        self._restarts_seen = len(model.restarts)
        probability = max(model.attempts_per_step / len(model.servers), 0.5)
        for number in self.ramp.warming_servers(now_ms):
            server = model.servers[number]
            # Each random draw models one attempt. The draws end when the ramp (slow start) admits no more
            # attempts to the server.
            while model.rng.random() < probability and self.ramp.admits(server, now_ms):
                self.ramp.spend_credit(server, now_ms)
                server.sent_ms.append(now_ms)

    def apply_actions(self, actions: list[Action], now_ms: float) -> list[SendReport]:
        """Applies the planning state machine's actions, and returns the reports to be sent.

        Raises:
            AssertionError: The state machine ended a session because of an error of the planner.
        """
        reports = []
        for action in actions:
            match action:
                case SendReport():
                    reports.append(action)
                case NotifyBalancer():
                    self._apply_event(action.event, now_ms)
                case EndSession():
                    raise AssertionError(
                        f"forwarder ended its session with planner {action.planner}: {action.reason}"
                    )
                case _:
                    pass
        return reports

    def _apply_event(self, event: Guidance | OwnSharesLeased, now_ms: float) -> None:
        if isinstance(event, OwnSharesLeased):
            self.ramp.lease_own_shares(event.until_ms, now_ms)
        elif event.leased:
            self.ramp.grant(event.parts, event.report_sent_ms, event.until_ms, event.leased_until_ms, now_ms)
