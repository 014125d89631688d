"""A tier in simulated time, from one seed: servers, forwarders with the program's own balancers and planning
machines, planners, and the links between them with delays, losses and partitions.

Nothing here reads a clock: a run is the same each time. The fault scripts of planners are functions that see
each piece of advice on its way and say what arrives instead, and when.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from functools import partial
from heapq import heappop, heappush
from random import Random

from sandhatch.balancing import Balancer
from sandhatch.balancing.actions import Action, Fail, GuidanceRejected, Reject, Send, SetTimer, WatchList
from sandhatch.balancing.events import (
    AttemptEnded,
    Event,
    ListKind,
    ListUpdate,
    Outcome,
    RequestArrived,
    ServerEntry,
    ServerState,
    TimerFired,
)
from sandhatch.balancing.settings import Effect, RequestClass, Settings
from sandhatch.planning.actions import Action as PlanningAction
from sandhatch.planning.actions import Advise, Drop, Note, SendReport
from sandhatch.planning.forwarder import Forwarder
from sandhatch.planning.messages import Advice, Report, decode, encode
from sandhatch.planning.observer import Observer
from sandhatch.planning.planner import Planner
from sandhatch.planning.terms import ForwarderTerms, PlannerTerms
from sandhatch.runtime.address import label_of
from testkit.lists import SimDiscovery

POOL = "core"
# What becomes of advice: each (delay, message) arrives; None in place of a message ends the session.
Script = Callable[[Advice, float], Iterable[tuple[float, Advice | None]]]


def honest(advice: Advice, now_ms: float) -> Iterable[tuple[float, Advice | None]]:
    return [(0.0, advice)]


@dataclass
class TierPlan:
    """`rate_per_s` calls come to all forwarders together, by their `demand` in proportion (1 each). A server
    runs `cores` calls at once, each of `work_ms` on average; a cold one runs them slower by its share.
    """

    forwarders: int = 5
    places: int = 0  # configured; as many as forwarders if 0
    servers: int = 20
    planners: int = 0
    rate_per_s: float = 500.0
    work_ms: float = 20.0
    cores: int = 2
    aim_ms: float = 150.0
    deadline_ms: float = 1_000.0
    ramp_per_s: float = 50.0
    ramp_burst: float = 0.0
    cold_share: float = 0.1
    cold_ms: float = 20_000.0
    link_ms: float = 1.0
    link_loss: float = 0.0  # of messages; a lost one is a session that breaks
    reconnect_ms: float = 200.0
    demand: dict[int, float] = field(default_factory=dict)
    queue: int = 64
    max_attempts: int = 2
    list_call_ms: float = 0.0  # that a call takes discovery, which must be asked; 0: lists come by themselves
    list_notice_ms: float = 1_000.0  # from a change to the word of it
    ask_within_ms: float = 10_000.0
    choke: int = 0  # calls held for long, from which a server turns three times slower; 0: it never does
    tier: int = 1
    planner_terms: PlannerTerms = field(default_factory=PlannerTerms)
    forwarder_terms: ForwarderTerms = field(default_factory=ForwarderTerms)


class SimServer:
    """First come, first served by so many cores. Keeps the times at which calls were sent to it."""

    CHOKE_MS, REST_MS, FEW, CHOKED = 1_500.0, 3_000.0, 0.3, 3.0

    def __init__(self, number: int, plan: TierPlan) -> None:
        self.number: int = number
        self.address = f"10.0.{number // 250}.{number % 250 + 1}:9000"
        self.plan = plan
        self.slow = 1.0
        self.started_ms: float = 0.0
        self.up: bool = True
        self.running = 0
        self.life = 0
        self.waiting: deque[tuple[float, Callable[[Outcome], None]]] = deque()
        self.sent_ms: list[float] = []
        self.broken = False  # it answers each call with an error, at once
        self.most_held = 0
        self.choked = False
        self._since_ms: float | None = None  # since when it holds too many; choked, since when few

    def entry(self) -> ServerEntry:
        """Its line of a list, as it is now."""
        state = ServerState.READY if self.up else ServerState.GONE
        return ServerEntry(self.number, state, self.started_ms, label=label_of(self.address))

    def look(self, now_ms: float) -> None:
        """Whether it has held too many calls for long enough to choke, or few enough for long to recover."""
        held = self.running + len(self.waiting)
        self.most_held = max(self.most_held, held)
        if not self.plan.choke:
            return
        turns = held <= self.FEW * self.plan.choke if self.choked else held >= self.plan.choke
        if not turns:
            self._since_ms = None
        elif self._since_ms is None:
            self._since_ms = now_ms
        elif now_ms - self._since_ms >= (self.REST_MS if self.choked else self.CHOKE_MS):
            self.choked, self._since_ms = not self.choked, None

    def speed(self, now_ms: float) -> float:
        share = 1.0
        if self.started_ms:
            share = min(1.0, (now_ms - self.started_ms) / self.plan.cold_ms)
            share = self.plan.cold_share + (1.0 - self.plan.cold_share) * share
        return share / self.slow / (self.CHOKED if self.choked else 1.0)


class SimPlanner:
    def __init__(self, name: str, epoch: int, now_ms: float, plan: TierPlan) -> None:
        self.machine = Planner(name, epoch, now_ms, plan.planner_terms)
        self.up = True
        self.script: Script = honest


class SimForwarder:
    def __init__(self, tier: Tier, number: int) -> None:
        plan = tier.plan
        self.tier = tier
        self.number: int = number
        self.up = True
        self.settings = replace(tier.settings, instance_index=number % tier.settings.instances)
        self.balancer = Balancer(self.settings, tier.rng.getrandbits(32))
        self.observer = Observer([cls.name for cls in self.settings.classes], plan.cold_ms)
        self.machine: Forwarder | None = None
        self.sessions: dict[str, int] = {}  # by planner, the session's number
        self.lie: Callable[[Report], Report] = lambda report: report
        self.refusals: list[str] = []
        self.notes: list[str] = []
        if plan.planners:
            names = [f"p{n}" for n in range(plan.planners)]
            self.machine = Forwarder(f"f{number}", names, tier.now, plan.forwarder_terms, tier.quiet_ms)
            self.plan_actions(self.machine.add_pool(POOL, self.settings, self.observer))

    # ------------------------------------------------ the balancer

    def feed(self, event: Event) -> None:
        actions = self.balancer.handle(self.tier.now, event)
        self.observer.saw(event, actions)
        for action in actions:
            self.act(action)

    def act(self, action: Action) -> None:
        tier = self.tier
        if isinstance(action, Send):
            tier.send(self, action)
        elif isinstance(action, SetTimer):
            tier.after(action.delay_ms, partial(self.feed, TimerFired(action.cookie)))
        elif isinstance(action, Reject | Fail):
            tier.done(action.request, False)
        elif isinstance(action, WatchList):
            tier.discovery.ask(self)
        elif isinstance(action, GuidanceRejected):
            self.refusals.append(action.why)
            if self.machine is not None:
                self.plan_actions(self.machine.rejected(action.planner, action.why, tier.now))

    # ------------------------------------------------ the link

    def tick(self) -> None:
        machine = self.machine
        if machine is None or not self.up:
            return
        for name in machine.sides:
            if name not in self.sessions and self.tier.reaches(self, name):
                self.tier.connect(self, name)
        self.plan_actions(machine.tick(self.tier.now))
        self.tier.after(50.0, self.tick)

    def plan_actions(self, actions: list[PlanningAction]) -> None:
        for action in actions:
            if isinstance(action, SendReport):
                self.tier.report(self, action.planner, self.lie(action.report))
            elif isinstance(action, Advise):
                self.feed(action.event)
            elif isinstance(action, Drop):
                self.tier.disconnect(self, action.planner)
            elif isinstance(action, Note):
                self.notes.append(f"{self.tier.now:.0f} {action.text}")

    def on_endpoint_list(self, update: ListUpdate) -> None:
        if not self.up:
            return
        addresses = [self.tier.servers[entry.server].address for entry in update.entries]
        self.observer.on_endpoint_list(update, addresses)
        self.feed(update)


class Tier:
    """One run. Set it up, `at` some faults, then `run`."""

    def __init__(self, plan: TierPlan, seed: int = 1, quiet_ms: float = 0.0) -> None:
        self.plan = plan
        self.rng = Random(seed)
        self.arrivals = Random(seed + 1)  # of their own, so that all variants have the same
        self.quiet_ms = quiet_ms
        self.now = 1_000_000.0
        self._heap: list[tuple[float, int, Callable[[], object]]] = []
        self._serial = 0
        cls = RequestClass(
            objective_ms=plan.aim_ms, deadline_ms=plan.deadline_ms, effect=Effect.IDEMPOTENT, name="view"
        )
        self.settings = Settings(
            classes=[cls],
            instances=plan.places or plan.forwarders,
            tier=plan.tier,
            tiers=plan.tier + 1,
            initial_capacity_share=plan.cold_share,
            warm_up_ms=plan.cold_ms,
            ramp_per_s=plan.ramp_per_s,
            ramp_burst=plan.ramp_burst,
            max_attempts=plan.max_attempts,
            polled_discovery=plan.list_call_ms > 0.0,
            poll_interval_ms=plan.ask_within_ms,
            retry_advice=True,
            max_retry_after_ms=2_000.0,
        )
        self.servers = [SimServer(n, plan) for n in range(plan.servers)]
        self.discovery = SimDiscovery(self, plan.list_call_ms, plan.list_notice_ms)
        self.planners = {f"p{n}": SimPlanner(f"p{n}", 1, self.now, plan) for n in range(plan.planners)}
        self.forwarders: list[SimForwarder] = []
        self.cut: set[tuple[int, str]] = (
            set()
        )  # partitions: forwarder and planner that don't reach each other
        self.asked = self.answered = self.in_time = self.rejected = 0
        self.times: list[tuple[float, bool]] = []  # when a request came, and whether it was served in time
        self._came: dict[int, tuple[float, float]] = {}
        self._next = 0
        self._version = 0
        self._session = 0
        for _ in range(plan.forwarders):
            self.join()
        for name in self.planners:
            self._tick_planner(name)
        self._schedule_arrival()

    # ------------------------------------------------ time

    def after(self, delay_ms: float, call: Callable[[], object]) -> None:
        self._serial += 1
        heappush(self._heap, (self.now + max(0.0, delay_ms), self._serial, call))

    def at(self, ms: float, call: Callable[[], object]) -> None:
        """At so many milliseconds from the run's begin."""
        self._serial += 1
        heappush(self._heap, (1_000_000.0 + ms, self._serial, call))

    def run(self, until_ms: float) -> None:
        end = 1_000_000.0 + until_ms
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heappop(self._heap)
            call()
        self.now = end

    # ------------------------------------------------ who is there

    def join(self) -> SimForwarder:
        forwarder = SimForwarder(self, len(self.forwarders))
        self.forwarders.append(forwarder)
        kind = ListKind.CACHED if self.plan.list_call_ms else ListKind.FULL
        forwarder.on_endpoint_list(self._list([s for s in self.servers if s.up], kind))
        self.after(self.rng.random() * 50.0, forwarder.tick)
        return forwarder

    def leave(self, number: int) -> None:
        """A forwarder dies without a word."""
        forwarder = self.forwarders[number]
        forwarder.up = False
        for name in list(forwarder.sessions):
            self.disconnect(forwarder, name)

    def _list(self, servers: Iterable[SimServer], kind: ListKind) -> ListUpdate:
        self._version += 1
        return ListUpdate(kind, self._version, [server.entry() for server in servers])

    def restart(self, number: int) -> None:
        """The server's process is new and cold; what it ran is lost. All forwarders hear of it at once."""
        server = self.servers[number]
        server.up, server.started_ms = True, self.now
        server.life += 1
        server.sent_ms = []
        waiting, server.waiting, server.running = server.waiting, deque(), 0
        for _, end in waiting:
            end(Outcome.RESET)
        self._tell([server])

    def add(self) -> SimServer:
        server = SimServer(len(self.servers), self.plan)
        server.started_ms = self.now
        self.servers.append(server)
        self._tell([server])
        return server

    def replace(self, number: int) -> SimServer:
        """The server is told to go, ends what it has, and a cold one comes in its place."""
        self.servers[number].up = False
        self._tell([self.servers[number]])
        return self.add()

    def _tell(self, servers: list[SimServer]) -> None:
        if self.plan.list_call_ms:
            self.discovery.change(servers)
            return
        for forwarder in self.forwarders:
            forwarder.on_endpoint_list(self._list(servers, ListKind.DELTA))

    # ------------------------------------------------ requests and servers

    def _schedule_arrival(self) -> None:
        self.after(self.arrivals.expovariate(self.plan.rate_per_s / 1000.0), self._arrive)

    def _arrive(self) -> None:
        self._schedule_arrival()
        work = (0.25 + 0.75 * self.arrivals.expovariate(1.0)) * self.plan.work_ms
        demand = [self.plan.demand.get(f.number, 1.0) if f.up else 0.0 for f in self.forwarders]
        forwarder = self.arrivals.choices(self.forwarders, demand)[0]
        self._next += 1
        self.asked += 1
        self._came[self._next] = (self.now, work)
        forwarder.feed(RequestArrived(self._next, 0, self.plan.deadline_ms, expected_ms=work))

    def send(self, forwarder: SimForwarder, action: Send) -> None:
        server, begun = self.servers[action.server], self.now
        server.sent_ms.append(self.now)
        attempt = len(forwarder.balancer.requests[action.request].attempts) - 1
        work = self._came[action.request][1] if action.request in self._came else self.plan.work_ms
        ended = False

        def end(outcome: Outcome) -> None:
            nonlocal ended
            if ended or not forwarder.up:
                return
            ended = True
            if outcome is Outcome.OK:
                self.done(action.request, True)
            spent = self.now - begun
            forwarder.feed(AttemptEnded(action.request, attempt, action.server, outcome, False, spent))

        self.after(action.timeout_ms, lambda: end(Outcome.TIMEOUT))
        if not server.up:
            self.after(0.5, lambda: end(Outcome.CONNECT_FAILED))
        elif server.broken:
            self.after(5.0, lambda: end(Outcome.ERROR))
        elif len(server.waiting) >= self.plan.queue:
            self.after(0.5, lambda: end(Outcome.FULL))
        else:
            server.waiting.append((work, end))
            server.look(self.now)
            self._serve(server)

    def _serve(self, server: SimServer) -> None:
        while server.waiting and server.running < self.plan.cores:
            work, end = server.waiting.popleft()
            server.running += 1
            life = server.life

            def over(life: int = life, end: Callable[[Outcome], None] = end) -> None:
                if server.life != life:
                    end(Outcome.RESET)
                    return
                server.running -= 1
                server.look(self.now)
                end(Outcome.OK)
                self._serve(server)

            self.after(work / server.speed(self.now), over)

    def done(self, request: int, served: bool) -> None:
        """The final answer of a request."""
        came = self._came.pop(request, None)
        if came is None:
            return
        good = served and self.now - came[0] <= self.plan.aim_ms
        self.answered += served
        self.rejected += not served
        self.in_time += good
        self.times.append((came[0], good))

    def yielded(self, begin_ms: float = 0.0, end_ms: float = math.inf) -> float:
        """Of the requests that came in a span of the run, the part that was served in time."""
        rows = [good for came, good in self.times if begin_ms <= came - 1_000_000.0 < end_ms]
        return sum(rows) / len(rows) if rows else 0.0

    # ------------------------------------------------ the link

    def reaches(self, forwarder: SimForwarder, planner: str) -> bool:
        return self.planners[planner].up and (forwarder.number, planner) not in self.cut

    def connect(self, forwarder: SimForwarder, planner: str) -> None:
        machine = forwarder.machine
        if machine is None or not machine.may_connect(planner, self.now):
            return
        self._session += 1
        session = forwarder.sessions[planner] = self._session
        far, known = self.planners[planner], machine

        def begin() -> None:
            if forwarder.sessions.get(planner) != session or not self.reaches(forwarder, planner):
                forwarder.sessions.pop(planner, None)
                return
            far.machine.joined(f"f{forwarder.number}", self.now)
            forwarder.plan_actions(known.connected(planner, far.machine.epoch, self.now))

        self.after(2.0 * self.plan.link_ms + self.rng.random() * self.plan.reconnect_ms, begin)

    def disconnect(self, forwarder: SimForwarder, planner: str) -> None:
        if forwarder.sessions.pop(planner, None) is not None and forwarder.machine is not None:
            forwarder.machine.lost(planner)

    def _lossy(self, forwarder: SimForwarder, planner: str) -> bool:
        if self.plan.link_loss and self.rng.random() < self.plan.link_loss:
            self.disconnect(forwarder, planner)
            return True
        return False

    def report(self, forwarder: SimForwarder, planner: str, report: Report) -> None:
        if self._lossy(forwarder, planner):
            return
        payload = encode(report)
        session, far = forwarder.sessions.get(planner), self.planners[planner]

        def arrive() -> None:
            if self.planners[planner] is not far or not self.reaches(forwarder, planner):
                self.disconnect(forwarder, planner)
                return
            message = decode(payload)
            assert isinstance(message, Report)
            try:
                advice = far.machine.report(f"f{forwarder.number}", message, self.now)
            except ValueError:
                self.disconnect(forwarder, planner)
                return
            for delay, said in far.script(advice, self.now):
                self.after(
                    self.plan.link_ms + delay, partial(self._advised, forwarder, planner, session, said)
                )

        self.after(self.plan.link_ms, arrive)

    def _advised(
        self, forwarder: SimForwarder, planner: str, session: int | None, said: Advice | None
    ) -> None:
        if forwarder.sessions.get(planner) != session or not forwarder.up:
            return
        if (forwarder.number, planner) in self.cut or self._lossy(forwarder, planner):
            self.disconnect(forwarder, planner)
            return
        assert forwarder.machine is not None
        if said is None:
            forwarder.plan_actions(forwarder.machine.broken(planner, "garbage", self.now))
            self.disconnect(forwarder, planner)
            return
        forwarder.plan_actions(forwarder.machine.advice(planner, said, self.now))

    # ------------------------------------------------ planners

    def _tick_planner(self, name: str) -> None:
        planner = self.planners[name]
        if planner.up:
            planner.machine.tick(self.now)
        self.after(100.0, lambda: self._tick_planner(name))

    def kill_planner(self, name: str) -> None:
        self.planners[name].up = False
        for forwarder in self.forwarders:
            self.disconnect(forwarder, name)

    def start_planner(self, name: str) -> None:
        """A new life, with nothing in its memory."""
        past = self.planners[name]
        planner = SimPlanner(name, past.machine.epoch + 1, self.now, self.plan)
        planner.script = past.script
        self.planners[name] = planner

    def follow(self, name: str, script: Script) -> None:
        """From here on what a planner says goes through this script."""
        self.planners[name].script = script

    def partition(self, pairs: Iterable[tuple[int, str]]) -> None:
        self.cut = set(pairs)
        for number, name in self.cut:
            self.disconnect(self.forwarders[number], name)


def over_ramp(plan: TierPlan, started_ms: float, sent_ms: list[float]) -> float:
    """The most calls, in any window, that were sent beyond the integral of the ramp's rate over it. All is
    well up to the ramp's burst.
    """

    def integral(now_ms: float) -> float:
        age = min(max(0.0, now_ms - started_ms), plan.cold_ms)
        low = plan.cold_share
        area = low * age + (1.0 - low) * age * age / (2.0 * plan.cold_ms)
        return plan.ramp_per_s / 1000.0 * area

    most, least = 0.0, math.inf
    for count, at in enumerate(sorted(t for t in sent_ms if t < started_ms + plan.cold_ms)):
        least = min(least, count - integral(at))
        most = max(most, count + 1 - integral(at) - least)
    return most


def random_faults(tier: Tier, rng: Random, count: int, begin_ms: float, end_ms: float) -> None:
    """So many faults by chance in a span of the run: planners killed, started anew and slow, partitions,
    forwarders that die and join.
    """
    number, places = tier.plan.forwarders, tier.settings.instances
    for _ in range(count):
        at, name = rng.uniform(begin_ms, end_ms), f"p{rng.randrange(tier.plan.planners)}"
        cut = [(f, p) for f in range(number) for p in tier.planners if rng.random() < 0.5]
        victim, delay = rng.randrange(number), rng.choice([300.0, 1_500.0, 5_000.0])
        script: Script = partial(_late, delay)
        faults: list[list[tuple[float, Callable[[], object]]]] = [
            [(0.0, partial(tier.kill_planner, name)), (900.0, partial(tier.start_planner, name))],
            [(0.0, partial(tier.kill_planner, name)), (1.0, partial(tier.start_planner, name))],
            [(0.0, partial(tier.partition, cut)), (2_500.0, partial(tier.partition, []))],
            [(0.0, partial(tier.leave, victim))],
            [(0.0, lambda: tier.join() if len(tier.forwarders) < places else None)],
            [
                (0.0, partial(tier.follow, name, script)),
                (2_000.0, partial(tier.follow, name, honest)),
            ],
        ]
        for after, call in rng.choice(faults):
            tier.at(at + after, call)


def _late(delay_ms: float, advice: Advice, now_ms: float) -> Iterable[tuple[float, Advice | None]]:
    return [(delay_ms, advice)]
