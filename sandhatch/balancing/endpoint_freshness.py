"""How old the endpoint list may be, and every request to discovery that keeps it fresh.

`Freshness` decides when to send a request, what for, how long discovery may hold it, and when to abandon it.
It does no I/O and reads no clock. Sources: the protocol's figures for lists (6 s until a change counts as
notified, 200 ms from an answer to the next request, 4 s after a change of address), and the settings.

One bound matters. A list is fresh as of its last complete answer. The next complete answer is due
`notified_ms` later: from then on every change that discovery has counts as notified to this instance, whether
it was received or not. Nothing but a complete answer moves this bound: a failure, a pause, a rejection or a
malformed answer does not. A watch waits for a third of the bound at most, so that a silent watch is noticed
early; the rest of the bound is for the requests that follow it, which queue at discovery.

A request is one of three kinds, and each is sent as a `WatchList` action:

    COMPLETE_LIST  the complete list, where no version of it is known
    OPEN_WATCH     changes since the known version, without a wait: queues at discovery, and opens a watch
    RENEW_WATCH    the same with a wait: continues that watch, doesn't queue, and must follow at once

    state        event                              next         action
    -----------  ---------------------------------  -----------  ---------------------------------------------
    NOT_STARTED  the cached list at the start       SCHEDULED    COMPLETE_LIST or OPEN_WATCH, spread over the
                                                                 instances that may start in the same moment
    SCHEDULED    the scheduled time has come        IN_FLIGHT    send the request; one in flight is abandoned
    IN_FLIGHT    COMPLETE_LIST is answered          SCHEDULED    OPEN_WATCH, after NEXT_REQUEST_MS; the bound
                                                                 starts again
    IN_FLIGHT    another request is answered        SCHEDULED    RENEW_WATCH, after NEXT_REQUEST_MS; the bound
                                                                 starts again
    IN_FLIGHT    failed, rejected or abandoned      SCHEDULED    COMPLETE_LIST or OPEN_WATCH: after the first
                                                                 failure spread like a start, then with a
                                                                 pause that counts from the failed request
    any          discovery has a new address        SCHEDULED    COMPLETE_LIST, spread; due in RELOCATED_MS
    any          the answer to an earlier request   unchanged    the known version is that answer's

A standing subscription (the simulator's wire) needs no renewals. There an answer to OPEN_WATCH leads to the
state SUBSCRIBED, from which a failure leads to SCHEDULED as above. A subscription that has fallen silent
shows only by a listed server that rejects requests: that raises a suspicion, see `Freshness.on_rejection`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Protocol

from sandhatch.balancing.actions import Action, SetTimer, WatchList
from sandhatch.balancing.events import NO_VERSION, ListKind, ListUpdate, ServerState
from sandhatch.balancing.settings import Settings

REQUEST_COOKIE = 1 << 40  # above every request id
SUSPICION_COOKIE = REQUEST_COOKIE + 1
COOKIES = (REQUEST_COOKIE, SUSPICION_COOKIE)

NOTIFIED_MS = 6_000.0  # from a change at discovery until it counts as notified
RELOCATED_MS = 4_000.0  # the same after discovery has changed its address
LEAST_NOTIFIED_MS = 1_000.0  # guards discovery against settings by which a list would be old at once


def notified_after_ms(settings: Settings) -> float:
    """How long after a change at discovery it counts as notified, received or not: the bound on a list's age.

    An instance that neither watches nor polls counts as notified of all that is older than the settings' poll
    interval.
    """
    if not settings.polled_discovery:
        return NOTIFIED_MS
    return min(NOTIFIED_MS, max(LEAST_NOTIFIED_MS, settings.poll_interval_ms))


class Suspect(Protocol):
    """A listed server that rejected a request, as far as the list's age is judged by it.

    Attributes:
        state: What discovery says of it.
        consecutive_failures: Those since it last served a request.
    """

    state: ServerState
    consecutive_failures: int


class State(Enum):
    """Where the requests to discovery stand."""

    NOT_STARTED = "not started"
    SCHEDULED = "scheduled"
    IN_FLIGHT = "in flight"
    SUBSCRIBED = "subscribed"


class RequestKind(Enum):
    """What a request to discovery is for."""

    COMPLETE_LIST = "complete list"
    OPEN_WATCH = "open watch"
    RENEW_WATCH = "renew watch"


@dataclass(slots=True, frozen=True)
class Pacing:
    """How far requests are kept apart. Pauses are drawn from half of what is stated here up to all of it.

    Attributes:
        spread_ms: For each instance that may send a request in the same moment.
        pause_ms: Between the starts of requests in a row that fail, until the list is due.
        overdue_pause_ms: The same once the list is overdue.
    """

    spread_ms: float
    pause_ms: float
    overdue_pause_ms: float


# For each instance of each tier: twice the time that a request is taken to need at discovery. Nothing states
# that time.
SPREAD_MS = 500.0


def _pacing(settings: Settings, notified_ms: float) -> Pacing:
    if not settings.polled_discovery:
        # Pushed lists come from the instance's own agent, whose answers count at once when it is back: nobody
        # else waits there, and a pause must fit into the shortest grace period.
        return Pacing(0.0, 100.0, 500.0)
    # Once the list is overdue about one request an instance in each bound, so that a discovery that can serve
    # all instances within it is not kept busy by rejections; but no longer than the grace period leaves once
    # it is back.
    grace_ms = min(settings.drain_grace_ms, notified_ms)  # guards against one without end
    return Pacing(SPREAD_MS, 2.0 * (notified_ms / 3.0), notified_ms + grace_ms / 2.0)


class Freshness:
    """The freshness of one instance's endpoint list. Each method returns the actions to carry out.

    Discovery has one capacity for all instances, and a request that it rejects costs it as much as one that
    it serves. The pacing guards against instances that send requests in step at their start or after a
    failure, against requests that leave discovery's queue and join it anew, and against rejected requests
    that are retried so fast that no instance is served any more.

    Attributes:
        notified_ms: The bound on the list's age.
        state: Where the requests to discovery stand.
    """

    SPREAD_SHARE = 0.9  # of the time until the list is due, over which requests are spread at most
    # Beyond a renewal's wait, for its answer to arrive: it doesn't queue, and an instance on a part of a core
    # may read late.
    RESPONSE_MARGIN_MS = 500.0
    NEXT_REQUEST_MS = 25.0  # from an answer to the next request: far below what ends a watch, no busy loop
    SUSPICION_MS = 2_000.0  # about as long as a change of a server takes to arrive by the list

    def __init__(self, settings: Settings, rng: Random) -> None:
        """Start without a list; the first list event starts the requests."""
        self._rng = rng
        self._fleet_size = settings.instances * settings.tiers  # an estimate: tiers differ in size
        self._half_tick_ms = settings.tick_ms / 2.0
        self._poll_interval_ms = settings.poll_interval_ms
        self._has_one_shot_watches = settings.one_shot_watches
        self._is_polled = settings.polled_discovery
        self.notified_ms = notified_after_ms(settings)
        self._pacing = _pacing(settings, self.notified_ms)
        self._longest_wait_ms = self.notified_ms / 3.0
        # Of a request that queues: one that is abandoned loses its turn, and so may take half of the bound.
        self._response_timeout_ms = self.notified_ms / 2.0 + self.RESPONSE_MARGIN_MS

        self.state = State.NOT_STARTED
        self._kind = RequestKind.OPEN_WATCH  # of the request that is scheduled or in flight
        self._request_number = 0  # of the request sent last
        self._version = NO_VERSION  # of the known list
        self._due_ms = math.inf  # when the next complete answer is due: the bound
        self._scheduled_ms = math.inf  # when the scheduled request is to be sent
        self._sent_ms = 0.0  # when the last request was sent
        # Whether the next failure is the first since the last list, and is spread. Instances that start in
        # the same moment are spread already.
        self._spreads_failure = not self._is_polled
        self._knows_only_cached = False  # there is only the cached list, and no request was sent
        self._suspect: Suspect | None = None  # listed as ready, but rejects requests
        # From the last request that a suspect caused to the next one; 0 if there was none.
        self._suspicion_pause_ms = 0.0
        self._next_suspicion_ms = 0.0  # when the next one may be sent

    # ------------------------------------------------ events

    def on_list_update(self, update: ListUpdate, now_ms: float) -> list[Action]:
        """Handle a list event."""
        if not (self._is_polled or self._has_one_shot_watches):
            return []
        if update.kind is ListKind.RELOCATED:
            return self._on_relocated(now_ms)
        if self.state is State.NOT_STARTED:
            return self._on_first_list(update, now_ms)
        if update.kind is ListKind.FAILED:
            return self._on_failure(update, now_ms)
        return self._on_response(update, now_ms)

    def on_timer(self, cookie: int, now_ms: float) -> list[Action]:
        """Handle one of the timers in `COOKIES`."""
        if cookie == SUSPICION_COOKIE:
            return self._confirm_suspicion(now_ms)
        # Half a tick: a caller's clock may round down. Timers of requests that were rescheduled are ignored.
        if self.state is not State.SCHEDULED or now_ms + self._half_tick_ms < self._scheduled_ms:
            return []
        return self._send(now_ms)

    def on_rejection(self, server: Suspect, now_ms: float) -> list[Action]:
        """Handle that a listed server rejected a request unseen: it may be leaving, and the list be old.

        Guards against a standing subscription that has fallen silent, which nothing else reveals, while
        listed servers leave and new ones stay unknown. A change that is on its way has precedence: a request
        is sent only if the server is still listed after a while, and has served nothing since.
        """
        if not self._is_polled:
            return []
        if self._knows_only_cached and self.state is State.SCHEDULED:
            # The cached list turns out to be old. Not at once: instances that start together would all poll.
            return self._schedule(self._kind, max(0.0, self._scheduled_ms - now_ms) / 3.0, now_ms)
        if self._has_one_shot_watches:
            return []  # a watch that is renewed reveals its own silence, and sooner
        if self._suspect is not None or now_ms < self._next_suspicion_ms:
            return []
        self._suspect = server
        return [SetTimer(SUSPICION_COOKIE, self.SUSPICION_MS * (0.5 + self._rng.random()))]

    # ------------------------------------------------ transitions

    def _on_first_list(self, update: ListUpdate, now_ms: float) -> list[Action]:
        """Serve from the cached list at first, and spread the first request over the fleet.

        An instance that knows no list has nothing to serve from, and comes before the others.
        """
        self._version = update.version
        self._due_ms = now_ms + self.notified_ms
        self._knows_only_cached = True
        precedence = 3.0 if update.version == NO_VERSION else 1.0
        return self._schedule(self._first_kind(), self._spread_ms(now_ms) / precedence, now_ms)

    def _on_relocated(self, now_ms: float) -> list[Action]:
        """Start again at the new address, which knows neither the old requests nor the old versions."""
        self._version = NO_VERSION
        self._due_ms = min(self._due_ms, now_ms + RELOCATED_MS)
        self._reset_failures()
        return self._schedule(RequestKind.COMPLETE_LIST, self._spread_ms(now_ms), now_ms)

    def _on_response(self, update: ListUpdate, now_ms: float) -> list[Action]:
        self._version = update.version
        if self._has_one_shot_watches and not self._is_response_to_request(update):
            return []  # to an earlier request; the one in flight stays in flight
        self._due_ms = now_ms + self.notified_ms
        self._reset_failures()
        if not self._has_one_shot_watches:
            self.state = State.SUBSCRIBED
            return []
        was_complete = self._kind is RequestKind.COMPLETE_LIST
        next_kind = RequestKind.OPEN_WATCH if was_complete else RequestKind.RENEW_WATCH
        return self._schedule(next_kind, self.NEXT_REQUEST_MS, now_ms)

    def _on_failure(self, update: ListUpdate, now_ms: float) -> list[Action]:
        if self.state is State.SCHEDULED:
            return []
        if self._has_one_shot_watches and not self._is_response_to_request(update):
            return []
        if self.state is State.SUBSCRIBED:
            self._due_ms = now_ms + self.notified_ms  # the list was fresh until the subscription broke
        self._version = update.version
        return self._schedule(self._first_kind(), self._pause_after_failure_ms(now_ms), now_ms)

    def _confirm_suspicion(self, now_ms: float) -> list[Action]:
        """Send a request if the suspect is still listed as ready and has served nothing since."""
        suspect = self._suspect
        self._suspect = None
        if suspect is None or suspect.state is not ServerState.READY or not suspect.consecutive_failures:
            return []
        if self.state is State.SCHEDULED:
            return []  # a request is about to be sent anyway
        # Each request that brought nothing new doubles the pause to the next: the list may not be at fault.
        longest_pause_ms = 4.0 * self._poll_interval_ms
        next_pause_ms = 2.0 * (self._suspicion_pause_ms or self.SUSPICION_MS)
        self._suspicion_pause_ms = min(longest_pause_ms, next_pause_ms)
        self._next_suspicion_ms = now_ms + self._suspicion_pause_ms * (0.5 + self._rng.random())
        self._kind = RequestKind.OPEN_WATCH
        return self._send(now_ms)

    def _is_response_to_request(self, update: ListUpdate) -> bool:
        """Whether a list event answers the request in flight."""
        return self.state is State.IN_FLIGHT and update.call == self._request_number

    def _reset_failures(self) -> None:
        self._spreads_failure = True
        self._suspicion_pause_ms = 0.0

    # ------------------------------------------------ requests

    def _first_kind(self) -> RequestKind:
        """What a request is for where no watch continues."""
        if self._version == NO_VERSION and self._has_one_shot_watches:
            return RequestKind.COMPLETE_LIST
        return RequestKind.OPEN_WATCH

    def _spread_ms(self, now_ms: float) -> float:
        """The delay of a request that other instances may send for the same reason in the same moment."""
        left_ms = max(0.0, self._due_ms - now_ms)
        return self._rng.random() * min(
            self._pacing.spread_ms * self._fleet_size, self.SPREAD_SHARE * left_ms
        )

    def _pause_after_failure_ms(self, now_ms: float) -> float:
        """The delay from a failure to the next request.

        The first failure after a list is a watch that broke or fell silent: everything that changed since is
        unknown, and the delay is a spread. Later failures keep requests apart from start to start: a request
        that was in flight until it was abandoned has spent that time already.
        """
        if self._spreads_failure:
            self._spreads_failure = False
            return self._spread_ms(now_ms)
        is_due = now_ms >= self._due_ms
        longest_ms = self._pacing.overdue_pause_ms if is_due else self._pacing.pause_ms
        pause_ms = longest_ms * (0.5 + 0.5 * self._rng.random())
        return max(0.0, self._sent_ms + pause_ms - now_ms)

    def _schedule(self, kind: RequestKind, delay_ms: float, now_ms: float) -> list[Action]:
        self.state = State.SCHEDULED
        self._kind = kind
        self._scheduled_ms = now_ms + delay_ms
        return [SetTimer(REQUEST_COOKIE, delay_ms)]

    def _send(self, now_ms: float) -> list[Action]:
        self.state = State.IN_FLIGHT
        self._knows_only_cached = False
        self._scheduled_ms = math.inf
        self._sent_ms = now_ms
        if not self._has_one_shot_watches:
            return [WatchList(True)]
        self._request_number += 1
        if self._kind is not RequestKind.RENEW_WATCH:
            return [WatchList(True, self._request_number, self._version, 0.0, self._response_timeout_ms)]
        # Drawn anew each time: watches that broke together are neither renewed nor found silent in step.
        wait_ms = self._longest_wait_ms * (0.5 + 0.5 * self._rng.random())
        response_timeout_ms = wait_ms + self.RESPONSE_MARGIN_MS
        return [WatchList(True, self._request_number, self._version, wait_ms, response_timeout_ms)]
