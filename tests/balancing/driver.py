"""A test driver that feeds a balancer valid event sequences and checks the rules for actions.

The four rules cover final responses, rejections, attempts, and servers that are warming up. The driver has
its own records of events and actions, uses no state of the balancer, and fails on the first violation.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sandhatch.balancing.actions import Action, Cancel, Fail, Probe, Reject, Send, SetTimer
from sandhatch.balancing.events import (
    AttemptEnded,
    Event,
    ListKind,
    ListUpdate,
    Outcome,
    ProbeEnded,
    RequestArrived,
    ServerEntry,
    ServerState,
    TimerFired,
)
from sandhatch.balancing.policy.balancer import Balancer
from sandhatch.balancing.settings import DeduplicationScope, Effect, Settings

NEVER_RAN = {Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.DISCARDED}


@dataclass
class AttemptRecord:
    """One attempt of a request, as the driver recorded it from events and actions."""

    server: int
    zone: int
    cell: int
    sent_ms: float
    expires_ms: float
    outcome: Outcome | None = None


@dataclass
class RequestRecord:
    """A request and its final responses, of which there must be exactly one."""

    class_index: int
    deadline_ms: float
    attempts: list[AttemptRecord] = field(default_factory=list)
    responses: int = 0
    finished: bool = False


class Driver:
    """A balancer with a simulated clock, timers, probes and attempts in flight."""

    def __init__(self, settings: Settings, seed: int = 1, start: float = 1000.0) -> None:
        self.settings = settings
        self.balancer = Balancer(settings, seed)
        self.now = start
        self.listed: dict[int, ServerEntry] = {}
        self.requests: dict[int, RequestRecord] = {}
        self.unfinished: list[int] = []  # ids of requests without a final response or with attempts in flight
        self.timers: list[tuple[float, int]] = []
        self.probes: list[int] = []
        self.actions: list[Action] = []
        self.next_id = 0
        self.warming_sends = 0
        self.allowed_warming_sends = 0.0

    # Events fed to the balancer.

    def feed(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self._check(action)
        self.actions.extend(actions)
        return actions

    def update_list(self, kind: ListKind, entries: tuple[ServerEntry, ...]) -> list[Action]:
        if kind is not ListKind.DELTA:
            self.listed = {}
        for entry in entries:
            self.listed[entry.server] = entry
        return self.feed(ListUpdate(kind, 1, entries))

    def request(
        self,
        class_index: int = 0,
        time_left_ms: float | None = None,
        tenant: int = 0,
        hint_ms: float | None = None,
    ) -> list[Action]:
        request_class = self.settings.classes[class_index]
        time_left_ms = request_class.deadline_ms if time_left_ms is None else time_left_ms
        self.next_id += 1
        self.unfinished.append(self.next_id)
        self.requests[self.next_id] = RequestRecord(class_index, self.now + time_left_ms)
        self._add_allowed_warming_sends()
        return self.feed(RequestArrived(self.next_id, class_index, time_left_ms, tenant, expected_ms=hint_ms))

    def _add_allowed_warming_sends(self) -> None:
        """Allow warming servers their fair share of one request, reduced to their present capacity."""
        ready = [entry for entry in self.listed.values() if entry.state is ServerState.READY]
        warming = [entry for entry in ready if self.is_warming_up(entry)]
        if warming:
            share = self.settings.initial_capacity_share
            ages = [(self.now - entry.started_ms) / self.settings.warm_up_ms for entry in warming]
            self.allowed_warming_sends += sum(share + (1 - share) * age for age in ages) / len(ready)

    def is_warming_up(self, entry: ServerEntry) -> bool:
        return entry.started_ms > 0 and self.now - entry.started_ms < self.settings.warm_up_ms

    def open_attempts(self) -> list[tuple[int, int]]:
        return [
            (request, number)
            for request in self.unfinished
            for number, attempt in enumerate(self.requests[request].attempts)
            if attempt.outcome is None
        ]

    def end_attempt(self, request: int, attempt: int, outcome: Outcome) -> list[Action]:
        record = self.requests[request]
        attempt_record = record.attempts[attempt]
        assert attempt_record.outcome is None
        attempt_record.outcome = outcome
        if outcome is Outcome.OK and not record.finished:
            record.responses += 1
            record.finished = True
        return self.feed(
            AttemptEnded(
                request,
                attempt,
                attempt_record.server,
                outcome,
                record.finished,
                self.now - attempt_record.sent_ms,
            )
        )

    def respond_to_probe(self, report: tuple[float, ...], outcome: Outcome = Outcome.OK) -> list[Action]:
        return self.feed(ProbeEnded(self.probes.pop(0), outcome, 1.0, report))

    def advance(self, ms: float) -> None:
        """Advance the clock from event to event: timers fire and attempts time out."""
        end = self.now + ms
        while self.now < end:
            self.unfinished = [
                request for request in self.unfinished if not self._settled(self.requests[request])
            ]
            due_ms = [time_ms for time_ms, _ in self.timers] + [
                self.requests[request].attempts[attempt].expires_ms
                for request, attempt in self.open_attempts()
            ]
            self.now = max(self.now, min([end, *due_ms]))
            for request, attempt in self.open_attempts():
                if self.requests[request].attempts[attempt].expires_ms <= self.now:
                    self.end_attempt(request, attempt, Outcome.TIMEOUT)
            due = sorted(item for item in self.timers if item[0] <= self.now)
            self.timers = [item for item in self.timers if item[0] > self.now]
            for _, cookie in due:
                self.feed(TimerFired(cookie))
            self.check_responses()

    @staticmethod
    def _settled(record: RequestRecord) -> bool:
        return record.finished and all(attempt.outcome is not None for attempt in record.attempts)

    # Rules checked for the balancer's actions.

    def check_responses(self) -> None:
        slack = self.settings.response_slack_ms
        for request in self.unfinished:
            record = self.requests[request]
            assert record.responses <= 1, f"request {request} got two final responses"
            assert record.finished or self.now <= record.deadline_ms + slack, (
                f"request {request} got no final response by its deadline"
            )

    def _check(self, action: Action) -> None:
        if isinstance(action, Send):
            self._check_send(action)
        elif isinstance(action, Reject):
            record = self.requests[action.request]
            self._respond(record, action.request)
            request_class = self.settings.classes[record.class_index]
            ran = [attempt for attempt in record.attempts if attempt.outcome not in NEVER_RAN]
            is_idempotent = request_class.effect is Effect.IDEMPOTENT or (
                request_class.effect is Effect.IDEMPOTENT_WITH_KEY
                and request_class.deduplication_scope is DeduplicationScope.ALL
                and all(
                    self.now + action.wait_ms < attempt.sent_ms + request_class.deduplication_ms
                    for attempt in ran
                )
            )
            assert is_idempotent or not ran, "rejected although it may have run"
        elif isinstance(action, Fail):
            self._respond(self.requests[action.request], action.request)
        elif isinstance(action, SetTimer):
            assert action.delay_ms >= 0
            self.timers.append((self.now + max(action.delay_ms, self.settings.tick_ms), action.cookie))
        elif isinstance(action, Probe):
            assert self.settings.may_probe
            assert action.server in self.listed
            self.probes.append(action.server)
        elif isinstance(action, Cancel):
            assert self.settings.may_cancel
            assert action.attempt < len(self.requests[action.request].attempts)

    def _respond(self, record: RequestRecord, request: int) -> None:
        assert not record.finished, f"request {request} got a final response after its end"
        record.responses += 1
        record.finished = True

    def _check_send(self, action: Send) -> None:
        record = self.requests[action.request]
        request_class = self.settings.classes[record.class_index]
        entry = self.listed.get(action.server)
        assert not record.finished, "attempt sent for a request that has ended"
        assert entry is not None, "attempt sent to a server that is not listed"
        assert entry.state is ServerState.READY, "attempt sent to a draining or removed server"
        assert len(record.attempts) < self.settings.max_attempts, "more attempts than max_attempts"
        if not self.settings.hedging_allowed:
            assert all(attempt.outcome is not None for attempt in record.attempts), (
                "two attempts in flight without hedging"
            )
        ran = [attempt for attempt in record.attempts if attempt.outcome not in NEVER_RAN]
        if request_class.effect is Effect.NON_IDEMPOTENT:
            assert not ran, "non-idempotent request retried although it may have run"
        if request_class.effect is Effect.IDEMPOTENT_WITH_KEY and ran:
            assert self.now < ran[0].sent_ms + request_class.deduplication_ms, (
                "keyed request retried after its deduplication time"
            )
            if request_class.deduplication_scope is DeduplicationScope.ZONE:
                assert all(attempt.zone == entry.zone for attempt in ran), (
                    "keyed request retried outside its zone"
                )
            if request_class.deduplication_scope is DeduplicationScope.CELL:
                cells = {(attempt.zone, attempt.cell) for attempt in ran}
                assert cells == {(entry.zone, entry.cell)}, "keyed request retried outside its cell"
        if self.is_warming_up(entry):
            self.warming_sends += 1
            # Sends to warming servers are bounded by these servers' fair share of all requests, reduced to
            # their present capacity, plus a margin of 10 % and 4 initial sends.
            assert self.warming_sends <= 4 + 1.1 * self.allowed_warming_sends, (
                "server overloaded while it is warming up"
            )
        expires_ms = (
            record.deadline_ms
            if action.timeout_ms <= 0
            else min(record.deadline_ms, self.now + action.timeout_ms)
        )
        record.attempts.append(AttemptRecord(entry.server, entry.zone, entry.cell, self.now, expires_ms))
