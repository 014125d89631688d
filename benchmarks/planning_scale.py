"""Planners and forwarders at large scale: the state machines without I/O, in simulated time, from one seed.

    python -m benchmarks.planning_scale [--forwarders 1000] [--servers 5000] [--planners 5] [--seconds 6]
    python -m benchmarks.planning_scale --trouble --loss 0.01 --link-ms 20
    python -m benchmarks.planning_scale --sizes          several sizes, to find where a planner fills a core
    python -m benchmarks.planning_scale --faults 200     random faults on 200 seeds; no ramp may be exceeded

Forwarders are modelled (`planning_scale_model`). Servers are restarted one after another. All reports and
advice are encoded and decoded as on the wire. Processor time is that of the planner's state machine alone,
from timers around its calls; it is an absolute figure, which depends on the computer.
"""

from __future__ import annotations

import argparse
import sys
import time
from dataclasses import dataclass, replace
from functools import partial
from multiprocessing import Pool
from random import Random
from typing import cast

from benchmarks.planning_scale_model import STEP_S, Model, ModelForwarder
from sandhatch.planning.actions import Action
from sandhatch.planning.messages import Advice, Report, decode, encode
from sandhatch.planning.planner import Planner
from testkit.simulation.clock import START_MS, SimulatedClock
from testkit.simulation.faults import random_faults
from testkit.simulation.plan import TierPlan
from testkit.simulation.planning_link import planner_names
from testkit.simulation.ramp_check import attempts_beyond_ramp
from testkit.simulation.tier import Tier

WARM_UP_MS = 4_000.0  # start of the run, excluded from the figures
FIRST_RESTART_MS = 2_500.0
TICK_MS = 100.0
PLANNER_AGE_MS = 60_000.0  # planners' age at the start of the run; their learning period is over by then
PARTITION_AFTER_MS = 1_500.0  # time from the planner's restart to the start of the partition
PARTITION_HEALS_AFTER_MS = 4_500.0  # time from the planner's restart to the end of the partition
MEASURED_PLANNER = "p0"
RAMP_TOLERANCE = 1e-9
# Numbers of forwarders and servers of the runs with --sizes.
SIZES = ((50, 250), (100, 500), (200, 1_000), (400, 2_000), (1_000, 5_000))


@dataclass
class ScaleResult:
    """Figures of one run; figures of a planner are those of the first planner."""

    core_share: float = 0.0
    reports_per_s: float = 0.0
    up_bytes_per_s: float = 0.0
    down_bytes_per_s: float = 0.0
    ramp_excess: float = 0.0  # maximum over servers of attempts beyond the slow-start ramp's rate
    ramp_used_share: float = 0.0
    broken_sessions: int = 0
    leasing: int = 0  # forwarders that lease their ramp shares to a planner at the end of the run


class ScaleRun:
    """One run: messages arrive after the link's delay; a lost message breaks its session."""

    def __init__(
        self, plan: TierPlan, seconds: float, restarts_per_s: float, faults: bool, seed: int
    ) -> None:
        """Creates a run and schedules its events.

        Args:
            plan: Description of the tier.
            seconds: Duration of the measurement, after the warm-up.
            restarts_per_s: Number of servers that restart per second.
            faults: Whether the first planner restarts, and is then partitioned from half of the forwarders.
            seed: Seed of all random draws.
        """
        self._plan = plan
        self._rng = Random(seed)
        self._model = Model(plan, self._rng)
        self._clock = SimulatedClock()
        names = planner_names(plan)
        self._planners = {name: Planner(name, 1, START_MS - PLANNER_AGE_MS) for name in names}
        self._forwarders = [
            ModelForwarder(number, self._model, names, plan.forwarder_terms)
            for number in range(plan.forwarders)
        ]
        self._seconds = seconds
        self._measure_from_ms = START_MS + WARM_UP_MS
        self._partitions: set[tuple[str, str]] = set()  # pairs of forwarder name and planner name
        self._sessions: dict[tuple[str, str], int] = {}  # session number by forwarder name and planner name
        self._last_session = 0
        self._result = ScaleResult()
        self._cpu_s = 0.0
        self._reports = 0
        self._up_bytes = 0
        self._down_bytes = 0
        self._schedule(restarts_per_s, faults)

    def _schedule(self, restarts_per_s: float, faults: bool) -> None:
        for forwarder in self._forwarders:
            self._clock.after(self._rng.random() * STEP_S * 1000.0, partial(self._step, forwarder))
        self._clock.after(0.0, self._tick)
        if restarts_per_s:
            self._clock.after(FIRST_RESTART_MS, partial(self._restart_server, 1_000.0 / restarts_per_s))
        if faults:
            half_ms = WARM_UP_MS + 500.0 * self._seconds
            self._clock.after(half_ms, self._restart_planner)
            self._clock.after(half_ms + PARTITION_AFTER_MS, self._partition)
            self._clock.after(half_ms + PARTITION_HEALS_AFTER_MS, self._partitions.clear)

    def run(self) -> ScaleResult:
        """Runs to the end and returns the figures."""
        self._clock.run(WARM_UP_MS + self._seconds * 1_000.0)
        result = self._result
        result.core_share = self._cpu_s / self._seconds
        result.reports_per_s = self._reports / self._seconds
        result.up_bytes_per_s = self._up_bytes / self._seconds
        result.down_bytes_per_s = self._down_bytes / self._seconds
        result.leasing = sum(forwarder.machine.leased_to is not None for forwarder in self._forwarders)
        self._measure_ramps()
        return result

    def _measure_ramps(self) -> None:
        plan = self._plan
        allowed = 0.0
        sent = 0
        for number in self._model.restarts:
            server = self._model.servers[number]
            excess = attempts_beyond_ramp(plan, server.started_ms, server.sent_ms)
            self._result.ramp_excess = max(self._result.ramp_excess, excess)
            age = min(1.0, (self._clock.now_ms - server.started_ms) / plan.warm_up_ms)
            share = plan.initial_capacity_share * age + (1.0 - plan.initial_capacity_share) * age * age / 2.0
            allowed += plan.ramp_per_s * plan.warm_up_ms / 1000.0 * share
            sent += len(server.sent_ms)
        self._result.ramp_used_share = sent / (allowed or 1.0)

    # ------------------------------------------------ faults

    def _restart_server(self, pause_ms: float) -> None:
        server = self._model.servers[len(self._model.restarts)]
        server.started_ms = self._clock.now_ms
        self._model.restarts.append(server.id)
        self._clock.after(pause_ms, partial(self._restart_server, pause_ms))

    def _restart_planner(self) -> None:
        self._planners[MEASURED_PLANNER] = Planner(MEASURED_PLANNER, 2, self._clock.now_ms)
        for forwarder in self._forwarders:
            self._disconnect(forwarder, MEASURED_PLANNER)

    def _partition(self) -> None:
        half = self._forwarders[::2]
        self._partitions.update((forwarder.name, MEASURED_PLANNER) for forwarder in half)
        for forwarder in half:
            self._disconnect(forwarder, MEASURED_PLANNER)

    # ------------------------------------------------ planners and forwarders

    def _is_measured(self, planner: str) -> bool:
        return planner == MEASURED_PLANNER and self._clock.now_ms >= self._measure_from_ms

    def _tick(self) -> None:
        for name, planner in self._planners.items():
            started_s = time.process_time()
            planner.tick(self._clock.now_ms)
            if self._is_measured(name):
                self._cpu_s += time.process_time() - started_s
        simulated_s = (self._clock.now_ms - START_MS) / 1000.0
        print(f"{simulated_s:.1f} s simulated", end="\r", file=sys.stderr, flush=True)
        self._clock.after(TICK_MS, self._tick)

    def _step(self, forwarder: ModelForwarder) -> None:
        """Lets a forwarder connect to planners, send attempts and tick its state machine."""
        now_ms = self._clock.now_ms
        for name, planner in self._planners.items():
            key = (forwarder.name, name)
            if key not in self._sessions and key not in self._partitions:
                self._last_session += 1
                self._sessions[key] = self._last_session
                planner.forwarder_connected(forwarder.name, now_ms)
                self._apply_actions(forwarder, forwarder.machine.connected(name, planner.epoch, now_ms))
        forwarder.send_attempts(now_ms)
        self._apply_actions(forwarder, forwarder.machine.tick(now_ms))
        self._clock.after(STEP_S * 1000.0, partial(self._step, forwarder))

    def _apply_actions(self, forwarder: ModelForwarder, actions: list[Action]) -> None:
        for action in forwarder.apply_actions(actions, self._clock.now_ms):
            if self._loses_message():
                self._disconnect(forwarder, action.planner)
                continue
            payload = encode(action.report)
            session = self._sessions.get((forwarder.name, action.planner))
            self._clock.after(
                self._plan.link_ms, partial(self._receive_report, forwarder, action.planner, session, payload)
            )

    # ------------------------------------------------ the link

    def _loses_message(self) -> bool:
        return self._plan.link_loss > 0.0 and self._rng.random() < self._plan.link_loss

    def _disconnect(self, forwarder: ModelForwarder, planner: str) -> None:
        if self._sessions.pop((forwarder.name, planner), None) is not None:
            self._result.broken_sessions += 1
            forwarder.machine.disconnected(planner)

    def _receive_report(
        self, forwarder: ModelForwarder, planner: str, session: int | None, payload: bytes
    ) -> None:
        if session is None or self._sessions.get((forwarder.name, planner)) != session:
            return
        started_s = time.process_time()
        report = cast(Report, decode(payload))
        response = encode(self._planners[planner].report(forwarder.name, report, self._clock.now_ms))
        spent_s = time.process_time() - started_s
        if self._is_measured(planner):
            self._cpu_s += spent_s
            self._reports += 1
            self._up_bytes += len(payload)
            self._down_bytes += len(response)
        if self._loses_message():
            self._disconnect(forwarder, planner)
            return
        self._clock.after(
            self._plan.link_ms, partial(self._receive_advice, forwarder, planner, session, response)
        )

    def _receive_advice(self, forwarder: ModelForwarder, planner: str, session: int, payload: bytes) -> None:
        if self._sessions.get((forwarder.name, planner)) == session:
            advice = cast(Advice, decode(payload))
            self._apply_actions(
                forwarder, forwarder.machine.handle_advice(planner, advice, self._clock.now_ms)
            )


def format_result(plan: TierPlan, result: ScaleResult) -> str:
    """Formats the line of figures of a run."""
    burst = plan.ramp_burst or plan.forwarders
    return (
        f"{plan.forwarders} forwarders, {plan.servers} servers, {plan.planners} planners:"
        f" {result.core_share:.3f} of a core, {result.reports_per_s:.0f} reports per second;"
        f" a forwarder's link {result.up_bytes_per_s / plan.forwarders:.0f} bytes per second up and"
        f" {result.down_bytes_per_s / plan.forwarders:.0f} down;"
        f" at most {result.ramp_excess:.1f} attempts beyond a ramp with a burst of {burst:g},"
        f" {result.ramp_used_share:.2f} of the ramps used; {result.broken_sessions} sessions broken,"
        f" {result.leasing} forwarders lease their shares at the end"
    )


@dataclass(frozen=True, slots=True)
class FaultRunResult:
    """Result of a run with random faults."""

    seed: int
    ramp_excess: float  # attempts beyond the slow-start ramp's rate, as a fraction of the ramp's burst
    rejections: int  # number of guidance events that the balancers rejected


def run_with_faults(seed: int) -> FaultRunResult:
    """Runs a simulated tier with random faults and returns its result."""
    rng = Random(seed)
    forwarders = rng.choice([3, 8, 20])
    plan = TierPlan(
        forwarders=forwarders,
        instances=forwarders + rng.choice([0, 3]),
        servers=rng.choice([2, 6]),
        planners=rng.choice([1, 2, 3]),
        rate_per_s=400.0,
        work_ms=10.0,
        cores=8,
        ramp_per_s=rng.choice([60.0, 120.0]),
        ramp_burst=rng.choice([0.0, 2.5, 4.0, 30.0]),
        warm_up_ms=10_000.0,
        link_loss=rng.choice([0.0, 0.0, 0.02, 0.2]),
        link_ms=rng.choice([1.0, 50.0, 300.0]),
        demand={number: rng.choice([1.0, 5.0]) for number in range(forwarders)},
    )
    tier = Tier(plan, seed)
    tier.at(6_000.0, lambda: tier.restart(0))
    random_faults(tier, rng, rng.randrange(1, 7), 5_000.0, 14_000.0)
    tier.run(16_500.0)
    server = tier.servers[0]
    burst = plan.ramp_burst or tier.settings.instances
    excess = attempts_beyond_ramp(plan, server.started_ms, server.sent_ms) / burst
    return FaultRunResult(
        seed, excess, sum(len(forwarder.guidance_rejections) for forwarder in tier.forwarders)
    )


def run_fault_seeds(count: int, jobs: int) -> None:
    """Runs `count` seeds with random faults and prints those that violate a bound."""
    max_excess = 0.0
    failed = []
    with Pool(jobs) as pool:
        for done, result in enumerate(pool.imap_unordered(run_with_faults, range(count)), 1):
            max_excess = max(max_excess, result.ramp_excess)
            if result.ramp_excess > 1.0 + RAMP_TOLERANCE or result.rejections:
                failed.append(result.seed)
            print(f"{done}/{count}", end="\r", file=sys.stderr, flush=True)
    print(
        f"{count} seeds: at most {max_excess:.3f} of a ramp's burst; seeds beyond it or with rejected"
        f" guidance: {failed or 'none'}"
    )


def parse_arguments() -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--forwarders", type=int, default=1_000)
    parser.add_argument("--servers", type=int, default=5_000)
    parser.add_argument("--planners", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--restarts", type=float, default=5.0, help="servers restarted per second")
    parser.add_argument("--burst", type=float, default=0.0)
    parser.add_argument("--link-ms", type=float, default=5.0)
    parser.add_argument(
        "--loss", type=float, default=0.0, help="fraction of messages lost, each of which breaks a session"
    )
    parser.add_argument(
        "--trouble",
        action="store_true",
        help="restart a planner and partition it from half of the forwarders",
    )
    parser.add_argument("--sizes", action="store_true")
    parser.add_argument("--faults", type=int, metavar="SEEDS")
    parser.add_argument("--jobs", type=int, default=4)
    return parser.parse_args()


def main() -> None:
    """Runs the benchmark."""
    args = parse_arguments()
    if args.faults:
        run_fault_seeds(args.faults, args.jobs)
        return
    plan = TierPlan(
        forwarders=args.forwarders,
        servers=args.servers,
        planners=args.planners,
        rate_per_s=100.0 * args.forwarders,
        ramp_per_s=100.0,
        ramp_burst=args.burst,
        link_ms=args.link_ms,
        link_loss=args.loss,
    )
    plans = [plan]
    if args.sizes:
        plans = [
            replace(plan, forwarders=forwarders, servers=servers, planners=1, rate_per_s=100.0 * forwarders)
            for forwarders, servers in SIZES
        ]
    for plan in plans:
        result = ScaleRun(plan, args.seconds, args.restarts, args.trouble, 1).run()
        print(format_result(plan, result))


if __name__ == "__main__":
    main()
