"""Whether a request may be sent to a server, or rejected, now, and the budget of retries."""

from dataclasses import dataclass

from sandhatch.balancing.events import NEVER_RAN, Outcome, ServerState
from sandhatch.balancing.records import Attempt, Request, Server
from sandhatch.balancing.settings import DeduplicationScope, Effect, Settings

RETRIES_PER_REQUEST = 0.25  # earned
MAX_RETRY_BALANCE = 8.0  # saved up: a burst of failures may be retried, an outage may not
NEVER_RAN_PRICE = 0.25  # an attempt that no server looked at cost no work


@dataclass(frozen=True)
class RetryRules:
    """What the effect of a request and the settings allow, whatever would be useful."""

    settings: Settings

    @staticmethod
    def may_have_run(request: Request) -> list[Attempt]:
        """Return the attempts not proven never to have run; outstanding and cancelled ones count."""
        return [a for a in request.attempts if a.outcome is None or a.outcome not in NEVER_RAN]

    def may_send(self, request: Request, server: Server, now_ms: float) -> bool:
        """Return whether an attempt at this server is allowed."""
        if server.state is not ServerState.READY:
            return False  # draining or removed: observed from the list update on
        return self.may_send_somewhere(request, now_ms) and self._in_scope(request, server)

    def may_send_somewhere(self, request: Request, now_ms: float) -> bool:
        """Return whether any further attempt is allowed, at a server still to be chosen."""
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
        return now_ms + settings.tick_ms < ran[0].sent_ms + request_class.deduplication_ms

    def _in_scope(self, request: Request, server: Server) -> bool:
        """Whether this server's group would drop what an earlier attempt has run already."""
        if request.request_class.effect is not Effect.IDEMPOTENT_WITH_KEY:
            return True
        scope = request.request_class.deduplication_scope
        any_zone = scope is DeduplicationScope.ALL
        any_cell = scope is not DeduplicationScope.CELL
        ran = self.may_have_run(request)
        return any_zone or all(a.zone == server.zone and (any_cell or a.cell == server.cell) for a in ran)

    def may_reject(self, request: Request) -> bool:
        """Return whether a rejection is true: it tells the client that a retry is harmless."""
        if request.done:
            return False
        request_class = request.request_class
        if request_class.effect is Effect.IDEMPOTENT or not self.may_have_run(request):
            return True
        keyed = request_class.effect is Effect.IDEMPOTENT_WITH_KEY
        return keyed and request_class.deduplication_scope is DeduplicationScope.ALL


@dataclass
class RetryBudget:
    """Retries, earned by requests and spent one by one: a tier that fails gets little more than those."""

    balance: float = MAX_RETRY_BALANCE / 2.0

    def earn(self) -> None:
        """Count a request."""
        self.balance = min(MAX_RETRY_BALANCE, self.balance + RETRIES_PER_REQUEST)

    def spend(self, outcome: Outcome) -> bool:
        """Pay for a retry after this end of an attempt; return False if the balance does not allow it."""
        price = NEVER_RAN_PRICE if outcome in NEVER_RAN else 1.0
        if self.balance < price:
            return False
        self.balance -= price
        return True
