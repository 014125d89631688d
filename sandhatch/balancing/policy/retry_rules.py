"""Rules for attempts, retries and rejections, and the retry budget."""

import math
from dataclasses import dataclass

from sandhatch.balancing.events import NEVER_RAN, Outcome, ServerState
from sandhatch.balancing.records import Attempt, Request, Server
from sandhatch.balancing.settings import DeduplicationScope, Effect, RequestClass, Settings

RETRIES_PER_REQUEST = 0.25  # number of retries that each new request adds to the budget
MAX_RETRY_BALANCE = 8.0  # maximum retries saved up: covers a burst of failures, but not an outage
NEVER_RAN_RETRY_COST = 0.25  # cost, in retries, of a retry after an attempt that cost no server any work


@dataclass(frozen=True)
class RetryRules:
    """Which attempts and rejections a request's effect and the settings allow, useful or not."""

    settings: Settings

    @staticmethod
    def may_have_run(request: Request) -> list[Attempt]:
        """Return the attempts that may have run, among them outstanding and cancelled ones."""
        return [
            attempt
            for attempt in request.attempts
            if attempt.outcome is None or attempt.outcome not in NEVER_RAN
        ]

    def may_send(self, request: Request, server: Server, now_ms: float) -> bool:
        """Return whether an attempt at this server is allowed now."""
        if server.state is not ServerState.READY:
            return False  # a draining or removed server gets no attempt from its list update on
        return self.may_send_somewhere(request, now_ms) and self._in_scope(request, server)

    def may_send_somewhere(self, request: Request, now_ms: float) -> bool:
        """Return whether a further attempt is allowed now, at a server still to be chosen."""
        settings = self.settings
        if request.done or now_ms >= request.deadline_ms or len(request.attempts) >= settings.max_attempts:
            return False
        if request.body_consumed or (request.outstanding and not settings.hedging_allowed):
            return False
        request_class = request.request_class
        if not request.attempts or request_class.effect is Effect.IDEMPOTENT:
            return True
        ran = self.may_have_run(request)
        if not ran or request_class.effect is Effect.NON_IDEMPOTENT:
            return not ran
        return now_ms < self._deduplication_end_ms(request_class, ran)

    def write_deadline_ms(self, request: Request, attempt: Attempt) -> float:
        """Return the time before which this attempt's request must be written; infinity if there is none.

        An attempt that was sent in time may find its connection up only after the servers have forgotten the
        key of another attempt that may have run, whichever of the two was sent first.
        """
        if request.request_class.effect is not Effect.IDEMPOTENT_WITH_KEY:
            return math.inf
        others = [other for other in self.may_have_run(request) if other is not attempt]
        return self._deduplication_end_ms(request.request_class, others) if others else math.inf

    def _deduplication_end_ms(self, request_class: RequestClass, ran: list[Attempt]) -> float:
        """Return the time from which servers may have forgotten the key of the first of these attempts."""
        return ran[0].sent_ms + request_class.deduplication_ms - self.settings.tick_ms

    def _in_scope(self, request: Request, server: Server) -> bool:
        """Return whether this server deduplicates a keyed request that may have run; true without a key."""
        if request.request_class.effect is not Effect.IDEMPOTENT_WITH_KEY:
            return True
        scope = request.request_class.deduplication_scope
        any_zone = scope is DeduplicationScope.ALL
        any_cell = scope is not DeduplicationScope.CELL
        ran = self.may_have_run(request)
        return any_zone or all(
            attempt.zone == server.zone and (any_cell or attempt.cell == server.cell) for attempt in ran
        )

    def may_reject(self, request: Request, retry_ms: float) -> bool:
        """Return whether a rejection is allowed, which tells the client that a retry does no harm.

        Args:
            request: The request to reject.
            retry_ms: Time of the client's retry.
        """
        if request.done:
            return False
        request_class = request.request_class
        if request_class.effect is Effect.IDEMPOTENT:
            return True
        ran = self.may_have_run(request)
        if not ran:
            return True
        is_keyed = request_class.effect is Effect.IDEMPOTENT_WITH_KEY
        any_server = request_class.deduplication_scope is DeduplicationScope.ALL
        return is_keyed and any_server and retry_ms < self._deduplication_end_ms(request_class, ran)


@dataclass
class RetryBudget:
    """Balance of retries, earned by requests: limits the extra load of retries on a failing tier."""

    balance: float = MAX_RETRY_BALANCE / 2.0

    def earn(self) -> None:
        """Add the retry budget that a new request earns."""
        self.balance = min(MAX_RETRY_BALANCE, self.balance + RETRIES_PER_REQUEST)

    def spend(self, outcome: Outcome) -> bool:
        """Deduct the cost of a retry after this outcome; return False if the balance is too low."""
        cost = NEVER_RAN_RETRY_COST if outcome in NEVER_RAN else 1.0
        if self.balance < cost:
            return False
        self.balance -= cost
        return True
