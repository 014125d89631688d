"""Rules for actions as properties of valid event sequences; `tests/balancing/driver.py` checks them."""

from __future__ import annotations

import math

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from sandhatch.balancing.events import (
    ClientDisconnected,
    ListKind,
    ListUpdate,
    Outcome,
    PeerMessage,
    ServerEntry,
    ServerState,
    TimerFired,
)
from sandhatch.balancing.settings import (
    DeduplicationScope,
    Effect,
    ReportMode,
    RequestClass,
    Settings,
    Tenant,
)
from tests.balancing.driver import Driver

CLASSES = (
    RequestClass(100.0, 400.0, Effect.IDEMPOTENT),
    RequestClass(100.0, 400.0, Effect.NON_IDEMPOTENT, priority_weight=5.0),
    RequestClass(
        100.0,
        400.0,
        Effect.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_ms=150.0,
    ),
    RequestClass(
        300.0,
        900.0,
        Effect.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_ms=500.0,
        late_priority_weight=0.5,
    ),
    RequestClass(
        300.0,
        900.0,
        Effect.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_ms=2000.0,
    ),
)
VALUES = st.sampled_from([0.0, 1.0, 3.0, -2.0, 1e30, math.nan, math.inf])


class Rules(RuleBasedStateMachine):
    @initialize(
        probes=st.booleans(),
        instances=st.sampled_from([1, 3, 5000]),
        hedging=st.booleans(),
        tier=st.integers(0, 1),
        price_cross_zone=st.sampled_from([0.0, 0.02]),
        tenants=st.booleans(),
        polls=st.booleans(),
        seed=st.integers(0, 2**64 - 1),
        size=st.sampled_from([0, 1, 2, 7]),
    )
    def start(self, probes, instances, hedging, tier, price_cross_zone, tenants, polls, seed, size) -> None:  # type: ignore[no-untyped-def]
        self.driver = Driver(
            Settings(
                classes=CLASSES,
                tenants=(Tenant(5.0), Tenant(50.0)) if tenants else (),
                zones=3,
                own_zone=1,
                instances=instances,
                tier=tier,
                tick_ms=5.0,
                tiers=2,
                polled_discovery=polls,
                warm_up_ms=3000.0,
                initial_capacity_share=0.2,
                max_attempts=4,
                may_cancel=True,
                may_probe=probes,
                hedging_allowed=hedging,
                report_mode=ReportMode.ON_PROBE,
                report_fields=("running_and_waiting", "waiting"),
                price_cross_zone=price_cross_zone,
                price_probe=0.002,
            ),
            seed,
        )
        entries = tuple(ServerEntry(n, zone=n % 3, cell=n % 2) for n in range(size))
        self.driver.update_list(ListKind.CACHED, entries)

    @rule(
        class_index=st.integers(0, 4),
        left=st.sampled_from([0.5, 7.0, 90.0, 400.0, 5000.0]),
        tenant=st.integers(0, 5),
    )
    def request(self, class_index: int, left: float, tenant: int) -> None:
        self.driver.request(class_index, min(left, CLASSES[class_index].deadline_ms), tenant)

    @rule(count=st.integers(5, 10), class_index=st.integers(0, 4))
    def burst(self, count: int, class_index: int) -> None:
        for _ in range(count):
            self.driver.request(class_index)

    @rule(
        class_index=st.integers(0, 4),
        outcomes=st.lists(
            st.tuples(st.sampled_from(list(Outcome)), st.sampled_from([0.0, 0.0, 160.0])), max_size=5
        ),
    )
    def request_with_outcomes(self, class_index: int, outcomes: list[tuple[Outcome, float]]) -> None:
        """Send a request whose attempts end with these outcomes; all of its probes get idle reports."""
        self.driver.request(class_index)
        request = self.driver.next_id
        for outcome, wait in outcomes:
            while self.driver.probes:
                self.driver.respond_to_probe((0.0, 0.0))
            if wait:
                self.driver.advance(wait)
            in_flight = [attempt for attempt in self.driver.open_attempts() if attempt[0] == request]
            if in_flight:
                self.driver.end_attempt(*in_flight[0], outcome)

    @rule(pick=st.integers(0, 10**6), outcome=st.sampled_from([*Outcome, Outcome.OK, Outcome.FULL]))
    def attempt_ends(self, pick: int, outcome: Outcome) -> None:
        attempts = self.driver.open_attempts()
        if attempts:
            self.driver.end_attempt(*attempts[pick % len(attempts)], outcome)

    @rule(report=st.lists(VALUES, max_size=3), outcome=st.sampled_from([Outcome.OK, Outcome.OK, *Outcome]))
    def respond_to_probe(self, report: list[float], outcome: Outcome) -> None:
        if self.driver.probes:
            self.driver.respond_to_probe(tuple(report), outcome)

    @rule(ms=st.sampled_from([0.3, 5.0, 60.0, 300.0]))
    def advance(self, ms: float) -> None:
        self.driver.advance(ms)

    @rule(
        number=st.integers(0, 9),
        state=st.sampled_from(list(ServerState)),
        fresh=st.booleans(),
        kind=st.sampled_from([ListKind.DELTA, ListKind.DELTA, ListKind.FULL]),
    )
    def list_changes(self, number: int, state: ServerState, fresh: bool, kind: ListKind) -> None:
        started = self.driver.now if fresh else 0.0
        entries = [ServerEntry(number, state, started, zone=number % 3, cell=number % 2)]
        if kind is ListKind.FULL:
            others = [entry for entry in self.driver.listed.values() if entry.server != number]
            retained = [entry for entry in others if entry.state is not ServerState.GONE]
            entries = [entry for entry in entries if entry.state is not ServerState.GONE] + retained[1:]
        self.driver.update_list(kind, tuple(entries))

    @rule()
    def list_fails(self) -> None:
        self.driver.feed(ListUpdate(ListKind.FAILED))

    @rule(payload=st.binary(max_size=20), cookie=st.integers(0, 2**64 - 1))
    def unusual_but_valid_events(self, payload: bytes, cookie: int) -> None:
        self.driver.feed(PeerMessage(3, payload))
        self.driver.feed(TimerFired(cookie))
        self.driver.feed(ClientDisconnected(10**9))

    @rule(pick=st.integers(0, 10**6))
    def client_disconnects(self, pick: int) -> None:
        waiting = [request for request, record in self.driver.requests.items() if not record.finished]
        if waiting:
            request = waiting[pick % len(waiting)]
            self.driver.requests[request].finished = True
            self.driver.feed(ClientDisconnected(request))

    @invariant()
    def each_request_gets_one_response(self) -> None:
        if hasattr(self, "driver"):
            self.driver.check_responses()

    def teardown(self) -> None:
        if hasattr(self, "driver"):
            self.driver.advance(950.0)
            assert all(record.finished for record in self.driver.requests.values())
            assert not self.driver.balancer.requests, "finished requests are retained"


Rules.TestCase.settings = settings(
    max_examples=250,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestRules = Rules.TestCase
