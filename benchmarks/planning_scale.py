"""Planners and forwarders at large size: the pure machines in simulated time, from one seed.

    python -m benchmarks.planning_scale [--forwarders 1000] [--servers 5000] [--planners 5] [--seconds 6]
    python -m benchmarks.planning_scale --trouble --loss 0.01 --link-ms 20
    python -m benchmarks.planning_scale --sizes            several sizes, for where a planner's core is full
    python -m benchmarks.planning_scale --faults 200       random faults on so many seeds, none past its ramp

Forwarders are the real machine and the real ramp; what they see of the servers is modelled, since thousands
of full balancers would fill the memory of any machine. Servers are started anew one after another. Every
report and every advice is encoded and decoded as on the wire. Processor time is that of the planner's
machine alone, measured around its calls: an absolute figure of the machine that it ran on.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from functools import partial
from heapq import heappop, heappush
from multiprocessing import Pool
from random import Random
from typing import cast

from sandhatch.balancing.events import Guidance, ServerState
from sandhatch.balancing.guidance.shared_ramp import SharedRamp
from sandhatch.balancing.settings import Effect, RequestClass, Settings
from sandhatch.planning.forwarder import Action, Advise, Drop, Forwarder, ForwarderTerms, SendReport
from sandhatch.planning.messages import Advice, PartRow, PoolReport, Report, Row, decode, encode
from sandhatch.planning.observer import Observer
from sandhatch.planning.planner import Planner
from sandhatch.runtime.address import label_of
from testkit.tier import POOL, Tier, TierPlan, over_ramp, random_faults

BEGIN_MS = 1_000_000.0
CLASS = RequestClass(objective_ms=150.0, deadline_ms=1_000.0, effect=Effect.IDEMPOTENT, name="view")


class Node:
    """A server, the same object for all forwarders."""

    __slots__ = ("address", "id", "label", "sent_ms", "started_ms", "state")

    def __init__(self, number: int) -> None:
        self.id = number
        self.address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080"
        self.label = label_of(self.address)
        self.started_ms = 0.0
        self.state = ServerState.READY
        self.sent_ms: list[float] = []


class Model:
    """What all forwarders see. `starts` lists servers in the order of their restarts."""

    def __init__(self, plan: TierPlan, rng: Random) -> None:
        self.plan = plan
        self.rng = rng
        self.nodes = [Node(number) for number in range(plan.servers)]
        self.names = [node.address for node in self.nodes]
        self.starts: list[int] = []
        self.calls = plan.rate_per_s / plan.forwarders * 0.25  # a forwarder's, in a quarter of a second


class ModelTold:
    """Stands for `Told`: names the servers at first, then rows of servers drawn by chance."""

    def __init__(self, model: Model) -> None:
        self._model = model
        self._named = False
        self._started = 0

    def close(self) -> None:
        """Nobody keeps it."""

    def server_of(self, number: int) -> int | None:
        return number if number < len(self._model.nodes) else None

    def report(
        self, pool: str, now_ms: float, budget: int, held: Iterable[PartRow] = ()
    ) -> tuple[PoolReport, int]:
        model = self._model
        report = PoolReport(pool, anew=not self._named, held=list(held))
        if not self._named:
            self._named = True
            report.names = model.names
            report.warm = list(range(len(model.nodes)))
        report.cold = model.starts[self._started :]
        self._started = len(model.starts)
        calls = int(model.calls)
        drawn = model.rng.sample(range(len(model.nodes)), min(2 * calls, len(model.nodes)))
        report.rows = [Row(n, at % 2, 1, 0, 0, 20.0, [20, 1]) for at, n in enumerate(drawn)]
        report.demand = {"view": calls}
        return report, budget


class ModelObserver:
    def __init__(self, model: Model) -> None:
        self._model = model

    def tell(self) -> ModelTold:
        return ModelTold(self._model)


class Seat:
    """One forwarder: the machine, its ramp, and draws at the cold servers."""

    def __init__(self, number: int, model: Model, names: list[str], terms: ForwarderTerms) -> None:
        plan = model.plan
        self.model = model
        self.settings = Settings(
            classes=[CLASS],
            instances=plan.forwarders,
            instance_index=number,
            initial_capacity_share=plan.cold_share,
            warm_up_ms=plan.cold_ms,
            ramp_per_s=plan.ramp_per_s,
            ramp_burst=plan.ramp_burst,
        )
        self.name = f"f{number}"
        self.ramp = SharedRamp(self.settings)
        self.machine = Forwarder(self.name, names, BEGIN_MS, terms, 0.0)
        observer = cast(Observer, ModelObserver(model))
        self.machine.add_pool(POOL, self.settings, observer)
        self.seen = 0

    def draw(self, now_ms: float) -> None:
        """The calls of a quarter of a second, of which some fall on cold servers."""
        model = self.model
        fresh = [model.nodes[n] for n in model.starts[self.seen :]]
        self.ramp.watch(fresh, now_ms)
        self.seen = len(model.starts)
        odds = model.calls / len(model.nodes)
        for number in self.ramp.cold(now_ms):
            node = model.nodes[number]
            # A drawn server without credit is drawn past; several chances, as several calls would have.
            while model.rng.random() < max(odds, 0.5) and self.ramp.admits(node, now_ms):
                self.ramp.spend(node, now_ms)
                node.sent_ms.append(now_ms)

    def hear(self, actions: list[Action], now_ms: float) -> list[SendReport]:
        reports = []
        for action in actions:
            if isinstance(action, SendReport):
                reports.append(action)
            elif isinstance(action, Advise):
                event = action.event
                if not isinstance(event, Guidance):
                    self.ramp.lend(event.until_ms, now_ms)
                elif event.leased:
                    self.ramp.grant(
                        event.parts, event.report_sent_ms, event.until_ms, event.leased_until_ms, now_ms
                    )
            elif isinstance(action, Drop):
                raise AssertionError(f"{action.planner} was dropped: {action.why}")
        return reports


@dataclass
class Figures:
    """Of one run; processor time in seconds of the first planner's machine a simulated second."""

    core: float = 0.0
    reports_per_s: float = 0.0
    up_bytes_per_s: float = 0.0
    down_bytes_per_s: float = 0.0
    over: float = 0.0
    used: float = 0.0
    broken: int = 0  # sessions
    lending: int = 0  # forwarders that lend at the end


class Scale:
    """One run: messages arrive after the link's delay, some are lost and break their session; `faults` starts
    the first planner anew and cuts half of the forwarders off from it, one after the other.
    """

    WARM_UP_MS = 4_000.0

    def __init__(
        self, plan: TierPlan, seconds: float, restarts_per_s: float, faults: bool, seed: int
    ) -> None:
        self.plan = plan
        self.rng = Random(seed)
        self.model = Model(plan, self.rng)
        names = [f"p{n}" for n in range(plan.planners)]
        self.planners = {name: Planner(name, 1, BEGIN_MS - 60_000.0) for name in names}
        self.seats = [Seat(n, self.model, names, plan.forwarder_terms) for n in range(plan.forwarders)]
        self.now = BEGIN_MS
        self.begin = BEGIN_MS + self.WARM_UP_MS
        self.end = self.begin + seconds * 1_000.0
        self.cut: set[tuple[str, str]] = set()
        self.sessions: dict[tuple[str, str], int] = {}
        self.found = Figures()
        self._cpu = 0.0
        self._reports = self._up = self._down = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = 0
        self._session = 0
        for seat in self.seats:
            self.after(self.rng.random() * 250.0, partial(self.step, seat))
        self.after(0.0, self.tick)
        if restarts_per_s:
            self.after(2_500.0, partial(self.restart, 1_000.0 / restarts_per_s))
        if faults:
            half = self.WARM_UP_MS + 500.0 * seconds
            self.after(half, self.begin_anew)
            self.after(half + 1_500.0, self.partition)
            self.after(half + 4_500.0, self.cut.clear)

    def after(self, delay_ms: float, call: Callable[[], None]) -> None:
        self._serial += 1
        heappush(self._heap, (self.now + delay_ms, self._serial, call))

    def run(self) -> Figures:
        while self._heap and self._heap[0][0] < self.end:
            self.now, _, call = heappop(self._heap)
            call()
        seconds = (self.end - self.begin) / 1_000.0
        found = self.found
        found.core, found.reports_per_s = self._cpu / seconds, self._reports / seconds
        found.up_bytes_per_s, found.down_bytes_per_s = self._up / seconds, self._down / seconds
        found.lending = sum(seat.machine.leased_to is not None for seat in self.seats)
        self._ramps()
        return found

    def _ramps(self) -> None:
        plan, allowed, sent = self.plan, 0.0, 0
        for number in self.model.starts:
            node = self.model.nodes[number]
            self.found.over = max(self.found.over, over_ramp(plan, node.started_ms, node.sent_ms))
            age = min(1.0, (self.end - node.started_ms) / plan.cold_ms)
            share = plan.cold_share * age + (1.0 - plan.cold_share) * age * age / 2.0
            allowed += plan.ramp_per_s * plan.cold_ms / 1000.0 * share
            sent += len(node.sent_ms)
        self.found.used = sent / (allowed or 1.0)

    # ------------------------------------------------ what happens

    def restart(self, pause_ms: float) -> None:
        node = self.model.nodes[len(self.model.starts)]
        node.started_ms = self.now
        self.model.starts.append(node.id)
        self.after(pause_ms, partial(self.restart, pause_ms))

    def begin_anew(self) -> None:
        self.planners["p0"] = Planner("p0", 2, self.now)
        for seat in self.seats:
            self.lose(seat, "p0")

    def partition(self) -> None:
        self.cut.update((seat.name, "p0") for seat in self.seats[::2])
        for seat in self.seats[::2]:
            self.lose(seat, "p0")

    def tick(self) -> None:
        for name, planner in self.planners.items():
            began = time.process_time()
            planner.tick(self.now)
            if name == "p0" and self.now >= self.begin:
                self._cpu += time.process_time() - began
        print(f"{(self.now - BEGIN_MS) / 1000.0:.1f} s simulated", end="\r", file=sys.stderr, flush=True)
        self.after(100.0, self.tick)

    def step(self, seat: Seat) -> None:
        """A forwarder's quarter of a second."""
        for name in self.planners:
            key = (seat.name, name)
            if key not in self.sessions and key not in self.cut:
                self._session += 1
                self.sessions[key] = self._session
                self.planners[name].joined(seat.name, self.now)
                self.take(seat, seat.machine.connected(name, self.planners[name].epoch, self.now))
        seat.draw(self.now)
        self.take(seat, seat.machine.tick(self.now))
        self.after(250.0, partial(self.step, seat))

    def take(self, seat: Seat, actions: list[Action]) -> None:
        for action in seat.hear(actions, self.now):
            key = (seat.name, action.planner)
            if self._lost():
                self.lose(seat, action.planner)
            else:
                payload, session = encode(action.report), self.sessions.get(key)
                self.after(self.plan.link_ms, partial(self.reported, seat, action.planner, session, payload))

    def _lost(self) -> bool:
        return self.plan.link_loss > 0.0 and self.rng.random() < self.plan.link_loss

    def lose(self, seat: Seat, name: str) -> None:
        if self.sessions.pop((seat.name, name), None) is not None:
            self.found.broken += 1
            seat.machine.lost(name)

    def reported(self, seat: Seat, name: str, session: int | None, payload: bytes) -> None:
        if session is None or self.sessions.get((seat.name, name)) != session:
            return
        began = time.process_time()
        message = cast(Report, decode(payload))
        answer = encode(self.planners[name].report(seat.name, message, self.now))
        spent = time.process_time() - began
        if name == "p0" and self.now >= self.begin:
            self._cpu += spent
            self._reports += 1
            self._up, self._down = self._up + len(payload), self._down + len(answer)
        if self._lost():
            self.lose(seat, name)
        else:
            self.after(self.plan.link_ms, partial(self.advised, seat, name, session, answer))

    def advised(self, seat: Seat, name: str, session: int, answer: bytes) -> None:
        if self.sessions.get((seat.name, name)) == session:
            advice = cast(Advice, decode(answer))
            self.take(seat, seat.machine.advice(name, advice, self.now))


def tell(plan: TierPlan, figures: Figures) -> None:
    burst = plan.ramp_burst or plan.forwarders
    print(
        f"{plan.forwarders} forwarders, {plan.servers} servers, {plan.planners} planners:"
        f" {figures.core:.3f} of a core, {figures.reports_per_s:.0f} reports a second;"
        f" a forwarder's link {figures.up_bytes_per_s / plan.forwarders:.0f} bytes a second up and"
        f" {figures.down_bytes_per_s / plan.forwarders:.0f} down;"
        f" at most {figures.over:.1f} calls of a burst of {burst:g} beyond a ramp, {figures.used:.2f} of the"
        f" ramps used; {figures.broken} sessions broken, {figures.lending} forwarders lend at the end"
    )


def fault_run(seed: int) -> tuple[int, float, int]:
    """One run with faults by chance: how much of the ramp's burst was used, and advice refused."""
    rng = Random(seed)
    number = rng.choice([3, 8, 20])
    plan = TierPlan(
        forwarders=number,
        places=number + rng.choice([0, 3]),
        servers=rng.choice([2, 6]),
        planners=rng.choice([1, 2, 3]),
        rate_per_s=400.0,
        work_ms=10.0,
        cores=8,
        ramp_per_s=rng.choice([60.0, 120.0]),
        ramp_burst=rng.choice([0.0, 2.5, 4.0, 30.0]),
        cold_ms=10_000.0,
        link_loss=rng.choice([0.0, 0.0, 0.02, 0.2]),
        link_ms=rng.choice([1.0, 50.0, 300.0]),
        demand={n: rng.choice([1.0, 5.0]) for n in range(number)},
    )
    tier = Tier(plan, seed)
    tier.at(6_000.0, lambda: tier.restart(0))
    random_faults(tier, rng, rng.randrange(1, 7), 5_000.0, 14_000.0)
    tier.run(16_500.0)
    node = tier.servers[0]
    over = over_ramp(plan, node.started_ms, node.sent_ms) / (plan.ramp_burst or tier.settings.instances)
    return seed, over, sum(len(forwarder.refusals) for forwarder in tier.forwarders)


def faults(count: int, jobs: int) -> None:
    most, bad = 0.0, []
    with Pool(jobs) as pool:
        for done, (seed, over, rejected) in enumerate(pool.imap_unordered(fault_run, range(count)), 1):
            most = max(most, over)
            if over > 1.0 + 1e-9 or rejected:
                bad.append(seed)
            print(f"{done}/{count}", end="\r", file=sys.stderr, flush=True)
    print(
        f"{count} seeds: at most {most:.3f} of a ramp's burst; past it or with refused advice:"
        f" {bad or 'none'}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--forwarders", type=int, default=1_000)
    parser.add_argument("--servers", type=int, default=5_000)
    parser.add_argument("--planners", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--restarts", type=float, default=5.0, help="servers a second")
    parser.add_argument("--burst", type=float, default=0.0)
    parser.add_argument("--link-ms", type=float, default=5.0)
    parser.add_argument("--loss", type=float, default=0.0, help="of messages, each of which breaks a session")
    parser.add_argument("--trouble", action="store_true", help="a planner started anew, and a partition")
    parser.add_argument("--sizes", action="store_true")
    parser.add_argument("--faults", type=int, metavar="SEEDS")
    parser.add_argument("--jobs", type=int, default=4)
    args = parser.parse_args()
    if args.faults:
        faults(args.faults, args.jobs)
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
        sizes = ((50, 250), (100, 500), (200, 1_000), (400, 2_000), (1_000, 5_000))
        plans = [replace(plan, forwarders=f, servers=s, planners=1, rate_per_s=100.0 * f) for f, s in sizes]
    for each in plans:
        tell(each, Scale(each, args.seconds, args.restarts, args.trouble, 1).run())


if __name__ == "__main__":
    main()
