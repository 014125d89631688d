"""The balancer of one tier: consumes `events` and returns `actions`; no I/O, no clock, no global state.

The common path is the PULL policy (Stolyar) in its single-token form: a request goes to a server drawn
uniformly from the token holders, which are the ready servers without an outstanding attempt of this instance,
except those whose token is withheld or removed for a probe. If no server holds a token, the request goes to a
uniformly random ready server. `server_draw` has the draw, with the exceptions to it. Here, the common path
comes first; time-outs, retries and queuing follow.
"""

import math
from collections.abc import Callable
from random import Random
from typing import Any

from sandhatch.balancing import events
from sandhatch.balancing.actions import Action, CloseIdle, Fail, Probe, Reject, Send, SetTimer
from sandhatch.balancing.endpoint_freshness import COOKIES, Freshness
from sandhatch.balancing.errors import ContractError
from sandhatch.balancing.events import NEUTRAL_OUTCOMES, NEVER_RAN, Event, ListKind, Outcome
from sandhatch.balancing.guidance.shared_ramp import SharedRamp
from sandhatch.balancing.guidance.state import GuidanceState
from sandhatch.balancing.policy.admission_control import AdmissionControl
from sandhatch.balancing.policy.connection_reuse import ConnectionReuse
from sandhatch.balancing.policy.latency_estimates import InterarrivalTime, LatencyEstimates
from sandhatch.balancing.policy.outlier_detection import SLOW_FACTOR, OutlierDetection
from sandhatch.balancing.policy.probing import BUSY_PAUSE_FRACTION, IDLE_THRESHOLD, Probing
from sandhatch.balancing.policy.retry_rules import RetryBudget, RetryRules
from sandhatch.balancing.policy.server_draw import ServerDraw
from sandhatch.balancing.policy.servers import ServerList
from sandhatch.balancing.policy.slow_start import SlowStart
from sandhatch.balancing.policy.tenant_quotas import TenantQuotas
from sandhatch.balancing.policy.zone_routing import ZoneRouting
from sandhatch.balancing.records import Attempt, Request, Server
from sandhatch.balancing.settings import Effect, Settings

# Minimum time left for an attempt, as a fraction of the mean latency. Prevents work whose result comes
# too late to be used, and time-outs that count as failures of servers which had no time to respond.
MIN_TIME_LEFT_FRACTION = 0.25
# Minimum time left, as a fraction of the mean latency, to retry or to stay queued.
MIN_RETRY_TIME_FRACTION = 0.75
# Maximum queue length without probing, as a fraction of attempts in flight: servers become free one by one.
MAX_QUEUED_FRACTION = 0.25


class Balancer:
    """The decision logic of one load balancer instance in front of one tier."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start without servers. The same seed and events give the same actions."""
        self.settings = settings
        self.rng = Random(seed)
        self.now_ms = -1.0
        self.actions: list[Action] = []  # actions returned for the event that is being handled
        self.requests: dict[int, Request] = {}
        self.queued: dict[int, Request] = {}  # requests that wait for a server
        self.server_list = ServerList(settings.zones)
        self.retry_rules = RetryRules(settings)
        self.retry_budget = RetryBudget()
        self.guidance_state = GuidanceState(settings, self.rng)
        self.slow_start: SlowStart | SharedRamp = self.guidance_state.ramp or SlowStart(settings, self.rng)
        self.connections = ConnectionReuse(settings)
        self.freshness = Freshness(settings, self.rng)
        self.latency = LatencyEstimates(settings)
        self.interarrival = InterarrivalTime()
        self.admission = AdmissionControl(
            settings, self.rng, self.server_list, self.latency, self.guidance_state, self.slow_start
        )
        self.quotas = TenantQuotas(settings)
        self.outliers = OutlierDetection(self.rng, self.server_list, self.latency, self.interarrival)
        self.zone_routing = ZoneRouting(settings, self.rng)
        self.probing = Probing(settings, self.rng)
        self.server_draw = ServerDraw(
            settings,
            self.rng,
            self.server_list,
            self.retry_rules,
            self.slow_start,
            self.guidance_state,
            self.connections,
            self.admission,
            self.zone_routing,
        )
        self._handlers = self._make_handlers()

    def _make_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return the handler of each type of event."""
        return {
            events.RequestArrived: self._on_request,
            events.AttemptEnded: self._on_attempt_ended,
            events.TimerFired: self._on_timer,
            events.ProbeEnded: self._on_probe_ended,
            events.ListUpdate: self._on_list_update,
            events.ClientDisconnected: self._on_client_disconnected,
            events.AnswerStarted: self._on_response_started,
            events.Unrepeatable: self._on_unrepeatable,
            events.PeerMessage: lambda _event: None,  # instances send each other no messages
            events.Guidance: self._on_guidance,
            events.OwnSharesLeased: lambda event: self.guidance_state.lease_own_shares(
                event.until_ms, self.now_ms
            ),
        }

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle one event; return the actions to carry out, in order, at the same time."""
        if not now_ms >= self.now_ms:
            raise ContractError(f"time went back from {self.now_ms} to {now_ms}")
        self.now_ms = now_ms
        handler = self._handlers.get(type(event))
        if handler is None:
            raise ContractError(f"unknown event {event!r}")
        self.actions = []
        self.server_list.release_withheld_tokens(now_ms)
        expired = self.connections.find_expired(now_ms)
        if expired is not None:
            self._close_connection(expired)
        handler(event)
        return self.actions

    def write_deadline_ms(self, request_id: int, attempt_number: int) -> float:
        """Return the time before which an attempt's request must be written; infinity if there is none.

        The retry rules hold when a request is written, which may be long after the attempt was decided.
        """
        request = self.requests.get(request_id)
        if request is None or not 0 <= attempt_number < len(request.attempts):
            return math.inf
        return self.retry_rules.write_deadline_ms(request, request.attempts[attempt_number])

    # ------------------------------------------------ the common path

    def _on_request(self, event: events.RequestArrived) -> None:
        if event.request in self.requests:
            raise ContractError(f"request id {event.request} used twice")
        if not 0 <= event.class_index < len(self.settings.classes):
            raise ContractError(f"request {event.request}: class {event.class_index} is not in the settings")
        class_index = event.class_index
        deadline_ms = self.now_ms + event.time_left_ms
        request_class = self.settings.classes[class_index]
        request = Request(event.request, request_class, class_index, deadline_ms, deadline_ms)
        self.requests[request.id] = request
        self.slow_start.earn_credit(self.server_list.ready_count, self.now_ms)
        self.admission.record_arrival(self.interarrival.record(self.now_ms))
        if event.expected_ms:
            request.relative_size = self.latency.relative_size(class_index, event.expected_ms)
        self.retry_budget.earn()
        if request_class.late_priority_weight <= 0.0:
            request.objective_deadline_ms = min(deadline_ms, self._objective_deadline_ms(request, event))
        over_quota = self.quotas.is_over_quota(event)
        min_left_ms = MIN_TIME_LEFT_FRACTION * self.latency.mean_ms[class_index]
        too_late = request.objective_deadline_ms - self.now_ms <= min_left_ms
        if too_late or not self.admission.admits(over_quota, self.now_ms):
            self._give_up(request)
        else:
            self._dispatch(request)

    def _dispatch(self, request: Request) -> None:
        """Start a round of draws for a request."""
        request.probes = 0
        request.cross_zone = self.zone_routing.draws_cross_zone()
        self._continue_dispatch(request)

    def _continue_dispatch(self, request: Request) -> None:
        """Draw a server, then probe it or send to it; queue the request if no server can be drawn."""
        if self.now_ms + self.settings.tick_ms >= request.objective_deadline_ms:
            self._give_up(request)
            return
        server = self.server_draw.draw(request, self.now_ms)
        if server is None:
            self._queue(request)
        elif self.probing.is_worthwhile(request, self.latency.mean_ms[request.class_index], self.now_ms):
            self._send_probe(request, server)
        elif request.probes and self.probing.servers_are_serial:
            # Each server probed in this round was busy, did not report in time or may no longer be sent the
            # request, and a probe of the server drawn last is not worthwhile.
            self._queue(request)
        else:
            self._send(request, server)

    def _send(self, request: Request, server: Server) -> None:
        if not self.retry_rules.may_send(request, server, self.now_ms):
            raise AssertionError("attempt dispatched although the retry rules forbid it")
        self.queued.pop(request.id, None)
        request.timer_due_ms = -1.0
        self.slow_start.spend_credit(server, self.now_ms)
        idle_ms = self.connections.idle_ms(server, self.now_ms)
        if idle_ms is not None and idle_ms > self.connections.idle_limit_ms:
            self._close_connection(server)
            idle_ms = None
        server.outstanding += 1
        self.server_list.update_token(server, self.now_ms)
        self.connections.mark_used(server, self.now_ms)
        request.attempts.append(Attempt(server, server.zone, server.cell, self.now_ms, idle_ms))
        request.outstanding += 1
        self.server_list.in_flight += 1
        self.actions.append(Send(request.id, server.id, self._attempt_timeout_ms(request)))

    def _close_connection(self, server: Server) -> None:
        self.connections.mark_closed(server)
        self.actions.append(CloseIdle(server.id))

    def _on_attempt_ended(self, event: events.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.outcome is not None:
            return
        attempt.outcome = event.outcome
        attempt.server.outstanding -= 1
        request.outstanding -= 1
        self.server_list.in_flight -= 1
        self._record_outcome(event, request, attempt)
        self.server_list.update_token(attempt.server, self.now_ms)
        if request.done or event.final or event.outcome is Outcome.OK:
            self._finish(request)
        elif event.outcome is Outcome.CLIENT_ERROR:
            # An invalid request is not retried: each server would reject it in turn.
            self.actions.append(Fail(request.id))
            self._finish(request)
        elif not request.outstanding:
            self._retry(request, event.outcome)

    def _record_outcome(self, event: events.AttemptEnded, request: Request, attempt: Attempt) -> None:
        """Report the outcome of an attempt to every component that learns from it."""
        outcome = event.outcome
        neutral = outcome in NEUTRAL_OUTCOMES
        server = attempt.server
        class_index = request.class_index
        mean_ms = self.latency.mean_ms[class_index]
        if not request.done and not neutral:
            self.admission.record_outcome(event, request)
            self.zone_routing.record_outcome(event, request, attempt)
        self.connections.record_outcome(attempt, event.spent_ms, mean_ms, request.request_class.objective_ms)
        self._update_connection(server, outcome)
        if outcome is Outcome.OK:
            self.outliers.record_response(server, request, event.spent_ms, self.now_ms)
            if not (self.probing.enabled and self.probing.servers_are_serial):
                # Needed unless load reports show which server is idle, as they do if servers run one request
                # at a time.
                self.outliers.withhold_slow_token(server, self.now_ms)
            self.latency.record_response(class_index, request.relative_size, event.spent_ms)
        elif not neutral:
            self.outliers.record_failure(server, class_index, outcome, self.now_ms)
            if outcome in NEVER_RAN:
                self.actions.extend(self.freshness.on_rejection(server, self.now_ms))

    def _update_connection(self, server: Server, outcome: Outcome) -> None:
        lost = outcome in (Outcome.RESET, Outcome.TIMEOUT, Outcome.CONNECT_FAILED)
        if server.connected and not lost:
            self.connections.mark_used(server, self.now_ms)
        elif server.connected and not server.outstanding:
            self.connections.mark_closed(server)
            if outcome is Outcome.TIMEOUT:  # after a time-out the connection may be dead without an error
                self.actions.append(CloseIdle(server.id))

    def _finish(self, request: Request) -> None:
        """Finish a request; its record is retained until its outstanding attempts have ended."""
        request.done = True
        self.queued.pop(request.id, None)
        if not request.outstanding:
            self.requests.pop(request.id, None)

    def _give_up(self, request: Request) -> None:
        """Send the final response of a request that will not be served."""
        rejectable = self.retry_rules.may_reject(request, self.now_ms)
        wait_ms = self._retry_after_ms(request) if rejectable else 0.0
        if rejectable and self.retry_rules.may_reject(request, self.now_ms + wait_ms):
            self.actions.append(Reject(request.id, wait_ms))
        else:
            self.actions.append(Fail(request.id))
        self._finish(request)

    def _retry_after_ms(self, request: Request) -> float:
        """Return the wait before a retry to suggest to the client of a rejected request.

        It is about the time until servers are free, if a response can still meet the objective after it;
        otherwise it is the longest wait that clients respect.
        """
        mean_ms = self.latency.mean_ms[request.class_index]
        # Many requests may be rejected at the same time: jitter spreads their retries. Where
        # `max_retry_after_ms` is suggested instead, the wait has no jitter.
        wait_ms = mean_ms * (0.75 + 0.5 * self.rng.random())
        if self.now_ms + wait_ms + mean_ms > request.objective_deadline_ms:
            wait_ms = self.settings.max_retry_after_ms
        return min(wait_ms, self.settings.max_retry_after_ms)

    # ------------------------------------------------ time-outs, retries and queuing

    def _objective_deadline_ms(self, request: Request, event: events.RequestArrived) -> float:
        """Return the estimated time after which a response has no value.

        A client's first attempt arrives with the time left that is common in its class. With any other value
        the client is taken to have spent the rest of its deadline on earlier attempts. In inner tiers the
        time left is what the instances of the tier above left.
        """
        spent_ms = 0.0
        left_ms = event.time_left_ms
        tick_ms = self.settings.tick_ms
        is_common = self.settings.tier or self.latency.time_left[event.class_index].vote(
            left_ms, 2.0 * tick_ms
        )
        if not is_common and (event.client_retry or not self.settings.clients_mark_retries):
            # A first attempt with little time left has a short deadline; no time was spent before it.
            spent_ms = max(0.0, request.request_class.deadline_ms - left_ms)
        return self.now_ms + request.request_class.objective_ms - spent_ms - 2.0 * tick_ms

    def _attempt_timeout_ms(self, request: Request) -> float:
        """Return the time-out of an attempt: below the time left if an idempotent retry can be in time."""
        left_ms = request.objective_deadline_ms - self.now_ms
        mean_ms = self.latency.mean_ms[request.class_index]
        slow_ms = SLOW_FACTOR * mean_ms * max(1.0, request.relative_size)
        is_idempotent = request.request_class.effect is Effect.IDEMPOTENT
        # Not under load: responses are slow then because servers are full, and retries add to their load.
        may_add_load = self.admission.is_lightly_loaded(self.now_ms) and self.retry_budget.balance >= 1.0
        retriable = is_idempotent and may_add_load and len(request.attempts) < self.settings.max_attempts
        return slow_ms if retriable and left_ms - slow_ms > mean_ms else left_ms

    def _retry(self, request: Request, outcome: Outcome) -> None:
        """Dispatch a failed request that has no outstanding attempts again, or reject or fail it."""
        min_left_ms = MIN_RETRY_TIME_FRACTION * self.latency.mean_ms[request.class_index]
        has_time = request.objective_deadline_ms - self.now_ms > min_left_ms
        allowed = has_time and self.retry_rules.may_send_somewhere(request, self.now_ms)
        if allowed and self.retry_budget.spend(outcome):
            self._dispatch(request)
        else:
            self._give_up(request)

    def _send_probe(self, request: Request, server: Server) -> None:
        # The server is reserved by removing its token: one load report must not send two requests to it.
        self.server_list.remove_token(server)
        self.probing.record_probe_sent(request, server)
        self.actions.append(Probe(server.id))
        self._set_timer(request, self.probing.timeout_ms)

    def _on_probe_ended(self, event: events.ProbeEnded) -> None:
        request = self.probing.pop_waiting(event.server)
        load = self.probing.record(event)
        server = self.server_list.servers.get(event.server)
        if server is None:
            return
        if load is None or load >= IDLE_THRESHOLD:
            mean_ms = sum(self.latency.mean_ms) / len(self.latency.mean_ms)
            pause_ms = BUSY_PAUSE_FRACTION * mean_ms * (0.5 + self.rng.random())
            self.server_list.withhold_token(server, self.now_ms + pause_ms)
        else:
            self.server_list.update_token(server, self.now_ms)
        if request is None or request.done or request.probed_server is not server:
            return
        request.probed_server = None
        idle = load is not None and load < IDLE_THRESHOLD
        # Slow start is checked again: requests dispatched while the probe was in flight may have spent the
        # credit of the server.
        admitted = self.slow_start.admits(server, self.now_ms)
        if idle and admitted and self.retry_rules.may_send(request, server, self.now_ms):
            self._send(request, server)
        else:
            self._continue_dispatch(request)

    def _set_timer(self, request: Request, delay_ms: float) -> None:
        # The timer fires while a response can still be in time, as less time than the delay may be left.
        latest_ms = request.objective_deadline_ms - self.settings.tick_ms - self.now_ms
        delay_ms = max(0.0, min(delay_ms, latest_ms))
        request.timer_due_ms = self.now_ms + delay_ms
        self.actions.append(SetTimer(request.id, delay_ms))

    def _queue(self, request: Request) -> None:
        """Queue a request for an idle server that may serve it, while a response can still be in time."""
        mean_ms = self.latency.mean_ms[request.class_index]
        latest_ms = request.objective_deadline_ms - MIN_RETRY_TIME_FRACTION * mean_ms
        is_late = self.now_ms >= latest_ms or not self.retry_rules.may_send_somewhere(request, self.now_ms)
        is_queue_full = len(self.queued) > MAX_QUEUED_FRACTION * self.server_list.in_flight
        if is_late or (is_queue_full and not self.settings.tier and not self.probing.enabled):
            self._give_up(request)
            return
        self.queued[request.id] = request
        pause_ms = self.probing.draw_queue_pause_ms(mean_ms)
        self._set_timer(request, max(self.settings.tick_ms, min(pause_ms, latest_ms - self.now_ms)))

    def _on_timer(self, event: events.TimerFired) -> None:
        if event.cookie in COOKIES:
            self.actions.extend(self.freshness.on_timer(event.cookie, self.now_ms))
            return
        request = self.requests.get(event.cookie)
        if request is None or request.done or request.timer_due_ms < 0.0:
            return
        # Tolerates half a tick: a clock may round below the delay that was set.
        if self.now_ms + self.settings.tick_ms / 2.0 < request.timer_due_ms:
            return
        if request.probed_server is not None:  # no report in time: the probed server counts as busy
            request.probed_server = None
            self._continue_dispatch(request)
        elif request.id in self.queued:
            del self.queued[request.id]
            request.was_queued = True
            self._dispatch(request)

    # ------------------------------------------------ other events

    def _on_list_update(self, event: events.ListUpdate) -> None:
        if event.kind is not ListKind.FAILED:
            change = self.server_list.update(event)
            for server in change.removed:  # the connections to a removed server end with its process
                self.connections.mark_closed(server)
            self.slow_start.add_servers(change.added, self.now_ms)
            self.admission.open_window(self.now_ms)
            for server in change.added:
                self.server_list.update_token(server, self.now_ms)
        self.actions.extend(self.freshness.on_list_update(event, self.now_ms))

    def _on_client_disconnected(self, event: events.ClientDisconnected) -> None:
        request = self.requests.get(event.request)
        if request is not None:
            self._finish(request)

    def _on_response_started(self, event: events.AnswerStarted) -> None:
        request = self.requests.get(event.request)
        if request is not None:
            request.done = True

    def _on_unrepeatable(self, event: events.Unrepeatable) -> None:
        request = self.requests.get(event.request)
        if request is not None:
            request.body_consumed = True

    def _on_guidance(self, event: events.Guidance) -> None:
        ready = self.server_list.iter_ready() if event.weights else ()
        warm = [server.id for server in ready if not self.slow_start.is_warming_up(server, self.now_ms)]
        rejected = self.guidance_state.apply(event, self.server_list.servers, warm, self.now_ms)
        if rejected is not None:
            self.actions.append(rejected)

    def share_guidance(self, guidance_state: GuidanceState) -> None:
        """Share the guidance and the slow-start credit of another balancer."""
        self.guidance_state = guidance_state
        self.slow_start = guidance_state.ramp or self.slow_start
        self.admission.guidance_state = self.guidance_state
        self.admission.slow_start = self.slow_start
        self.server_draw.guidance_state = self.guidance_state
        self.server_draw.slow_start = self.slow_start
