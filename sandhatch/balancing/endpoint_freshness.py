"""Freshness of the endpoint list: a bound on its age, and the requests to discovery that keep it fresh.

`Freshness` decides when to send a request, of which kind, how long discovery may hold it, and when to abandon
it; `discovery_pacing` draws the delays. Neither does I/O or reads a clock. Sources: the protocol's limits for
lists (6 s until an instance is taken to know of a change, 200 ms from a response to the next request, 4 s
after a change of address), and the settings.

A single bound limits the list's age. A list is fresh as of its last complete response. The next complete
response is due `notified_ms` later: from then on this instance is taken to know of every change that
discovery has, whether or not the instance has received the change. Only a complete response moves this bound;
a failure, a pause, a rejection or a malformed response does not. A watch waits for at most a third of the
bound, so that a silent watch is detected early; the rest of the bound is for two requests, which queue at
discovery: the first is sent early enough that a second one, sent if discovery rejects the first, still gets
its response within the drain grace after the bound.

A request is one of three kinds, and each is sent as a `WatchList` action:

    COMPLETE_LIST  requests the complete list, where no version is known
    OPEN_WATCH     requests changes since the known version without a wait: queues at discovery, opens a watch
    RENEW_WATCH    requests these changes with a wait: continues the watch, doesn't queue, must follow at once

    state        event                              next         action
    -----------  ---------------------------------  -----------  ---------------------------------------------
    NOT_STARTED  cached list at the start           SCHEDULED    COMPLETE_LIST or OPEN_WATCH, spread over the
                                                                 instances that may start at the same time
    SCHEDULED    scheduled time reached             IN_FLIGHT    send the request; abandon one in flight
    IN_FLIGHT    response to COMPLETE_LIST          SCHEDULED    OPEN_WATCH, after NEXT_REQUEST_MS; the bound
                                                                 starts again
    IN_FLIGHT    response to another request        SCHEDULED    RENEW_WATCH, after NEXT_REQUEST_MS; the bound
                                                                 starts again
    IN_FLIGHT    failed, rejected or abandoned      SCHEDULED    COMPLETE_LIST or OPEN_WATCH: spread like a
                                                                 start after the first failure, then with a
                                                                 pause that counts from the failed request;
                                                                 after the second failure the pause is cut to
                                                                 the time in which a request is still useful
    any          discovery has a new address        SCHEDULED    COMPLETE_LIST, spread; due in RELOCATED_MS
    any          response to an earlier request     unchanged    adopt the version of that response

A standing subscription (in the simulator's wire protocol) needs no renewals. There a response to OPEN_WATCH
leads to the state SUBSCRIBED, from which a failure leads to SCHEDULED as above. The only sign of a silent
subscription is a listed server that rejects requests, which raises a suspicion; see `Freshness.on_rejection`.
"""

from __future__ import annotations

import math
from enum import Enum
from random import Random
from typing import Protocol

from sandhatch.balancing.actions import Action, SetTimer, WatchList
from sandhatch.balancing.discovery_pacing import DiscoveryPacing
from sandhatch.balancing.events import NO_VERSION, ListKind, ListUpdate, ServerState
from sandhatch.balancing.settings import Settings

REQUEST_COOKIE = 1 << 40  # timer cookies for discovery start here, above all ids of client requests
SUSPICION_COOKIE = REQUEST_COOKIE + 1
COOKIES = (REQUEST_COOKIE, SUSPICION_COOKIE)

NOTIFIED_MS = 6_000.0  # time from a change at discovery until instances are taken to know of the change
RELOCATED_MS = 4_000.0  # time from a change of discovery's address until the list there is taken to be known
MIN_NOTIFIED_MS = 1_000.0  # limits the request rate at discovery under settings with tiny intervals


def list_age_bound_ms(settings: Settings) -> float:
    """Return the bound on a list's age.

    This is the time after a change at discovery from which an instance is taken to know of the change, even
    if the change has not reached the instance. For pushed lists it is NOTIFIED_MS; for polled lists it is the
    settings' poll interval, but at least MIN_NOTIFIED_MS and at most NOTIFIED_MS. It holds also for an
    instance that neither watches nor polls.
    """
    if not settings.polled_discovery:
        return NOTIFIED_MS
    return min(NOTIFIED_MS, max(MIN_NOTIFIED_MS, settings.poll_interval_ms))


class Suspect(Protocol):
    """A listed server that rejected a request, which may mean that the list is out of date.

    Attributes:
        state: State of the server according to discovery.
        consecutive_failures: Number of failures since it last served a request.
    """

    state: ServerState
    consecutive_failures: int


class State(Enum):
    """State of the requests to discovery."""

    NOT_STARTED = "not started"
    SCHEDULED = "scheduled"
    IN_FLIGHT = "in flight"
    SUBSCRIBED = "subscribed"


class RequestKind(Enum):
    """Purpose of a request to discovery."""

    COMPLETE_LIST = "complete list"
    OPEN_WATCH = "open watch"
    RENEW_WATCH = "renew watch"


class Freshness:
    """Keeps the endpoint list of one instance fresh. Each public method returns actions to carry out.

    Attributes:
        notified_ms: The bound on the list's age.
        state: State of the requests to discovery.
    """

    # Time beyond a renewal's wait for its response to arrive. Renewals don't queue at discovery, but an
    # instance on a fraction of a core may read late.
    RESPONSE_MARGIN_MS = 500.0
    NEXT_REQUEST_MS = 25.0  # pause after discovery's response: too short to end the watch, but no busy loop
    # Mean delay of a check, about the time that a change takes to arrive with the list.
    SUSPICION_MS = 2_000.0

    def __init__(self, settings: Settings, rng: Random) -> None:
        """Start without a list; the first list event starts the requests."""
        self._rng = rng
        self._half_tick_ms = settings.tick_ms / 2.0
        self._poll_interval_ms = settings.poll_interval_ms
        self._has_one_shot_watches = settings.one_shot_watches
        self._is_polled = settings.polled_discovery
        self.notified_ms = list_age_bound_ms(settings)
        self._pacing = DiscoveryPacing(settings, self.notified_ms, rng)
        self._max_wait_ms = self.notified_ms / 3.0
        # A request that is abandoned loses its place in discovery's queue, so it may take half of the bound
        # on the list's age.
        self._response_timeout_ms = self.notified_ms / 2.0 + self.RESPONSE_MARGIN_MS

        self.state = State.NOT_STARTED
        self._kind = RequestKind.OPEN_WATCH  # kind of the request to discovery that is scheduled or in flight
        self._request_number = 0  # number of the request last sent to discovery
        self._version = NO_VERSION  # version of the known list
        self._due_ms = math.inf  # time at which discovery's next complete response is due
        self._relocated_due_ms = -math.inf  # time at which the list at discovery's present address is due
        self._scheduled_ms = math.inf  # time at which the scheduled request to discovery is sent
        self._sent_ms = 0.0  # time at which the last request to discovery was sent
        self._knows_only_cached = False  # only the cached list is known, and discovery was not asked yet
        self._suspect: Suspect | None = None  # server that is listed as ready, but rejects requests
        # Pause, before jitter, after the last poll caused by a suspect (listed server that rejects requests);
        # 0 if no suspect caused a poll since discovery's last response.
        self._suspicion_pause_ms = 0.0
        self._next_suspicion_ms = 0.0  # earliest time of the next poll that a rejecting server may cause

    # ------------------------------------------------ events

    def on_list_update(self, update: ListUpdate, now_ms: float) -> list[Action]:
        """Handle a list event."""
        if not (self._is_polled or self._has_one_shot_watches):
            return []
        if update.kind is ListKind.RELOCATED:
            return self._on_discovery_address_changed(now_ms)
        if self.state is State.NOT_STARTED:
            return self._on_first_list(update, now_ms)
        if update.kind is ListKind.FAILED:
            return self._on_failure(update, now_ms)
        return self._on_response(update, now_ms)

    def on_timer(self, cookie: int, now_ms: float) -> list[Action]:
        """Handle one of the timers in `COOKIES`."""
        if cookie == SUSPICION_COOKIE:
            return self._confirm_suspicion(now_ms)
        # Tolerates half a tick: clocks may round down. Timers of rescheduled requests are ignored.
        if self.state is not State.SCHEDULED or now_ms + self._half_tick_ms < self._scheduled_ms:
            return []
        return self._send(now_ms)

    def on_rejection(self, server: Suspect, now_ms: float) -> list[Action]:
        """Handle a rejection by a listed server before any work, which may mean that the list is out of date.

        This is the only sign of a standing subscription that has fallen silent while listed servers are
        removed and new ones stay unknown. A change that is already on its way has precedence: a request is
        sent only if the server is still listed as ready after a delay and has served nothing since.
        """
        if not self._is_polled:
            return []
        if self._knows_only_cached and self.state is State.SCHEDULED:
            # The cached list is out of date. The request is sent earlier, but not at once: instances that
            # start together would all poll.
            return self._schedule(self._kind, max(0.0, self._scheduled_ms - now_ms) / 3.0, now_ms)
        if self._has_one_shot_watches:
            return []  # renewals of a watch detect its silence earlier than rejections do
        if self._suspect is not None or now_ms < self._next_suspicion_ms:
            return []
        self._suspect = server
        return [SetTimer(SUSPICION_COOKIE, self.SUSPICION_MS * (0.5 + self._rng.random()))]

    # ------------------------------------------------ transitions

    def _on_first_list(self, update: ListUpdate, now_ms: float) -> list[Action]:
        """Use the cached list at first, and spread the first requests of the fleet.

        An instance without any list can't serve, so its request is sent earlier than instances with one send
        theirs.
        """
        self._version = update.version
        self._due_ms = now_ms + self.notified_ms
        self._knows_only_cached = True
        precedence = 3.0 if update.version == NO_VERSION else 1.0
        delay_ms = self._pacing.spread_ms(now_ms, self._due_ms) / precedence
        return self._schedule(self._first_kind(), delay_ms, now_ms)

    def _on_discovery_address_changed(self, now_ms: float) -> list[Action]:
        """Start again at the new address, where earlier requests and versions are unknown."""
        self._version = NO_VERSION
        self._relocated_due_ms = now_ms + RELOCATED_MS
        self._due_ms = min(self._due_ms, self._relocated_due_ms)
        self._reset_failures()
        return self._schedule(RequestKind.COMPLETE_LIST, self._pacing.spread_ms(now_ms, self._due_ms), now_ms)

    def _on_response(self, update: ListUpdate, now_ms: float) -> list[Action]:
        self._version = update.version
        if self._has_one_shot_watches and not self._is_response_to_request(update):
            return []  # response to an earlier request; the request now in flight continues
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
        # A list that was due before discovery's address changed is not there in time any more; the list at
        # the new address can be.
        self._due_ms = max(self._due_ms, self._relocated_due_ms)
        self._version = update.version
        delay_ms = self._pacing.retry_delay_ms(now_ms, self._sent_ms, self._due_ms)
        return self._schedule(self._first_kind(), delay_ms, now_ms)

    def _confirm_suspicion(self, now_ms: float) -> list[Action]:
        """Poll discovery if the rejecting server is still listed as ready and has served nothing since."""
        suspect = self._suspect
        self._suspect = None
        if suspect is None or suspect.state is not ServerState.READY or not suspect.consecutive_failures:
            return []
        if self.state is State.SCHEDULED:
            return []  # a request to discovery is about to be sent anyway
        # The pause doubles with each poll caused by rejections until discovery responds: the rejections may
        # have a cause other than a list that is out of date.
        max_pause_ms = 4.0 * self._poll_interval_ms
        next_pause_ms = 2.0 * (self._suspicion_pause_ms or self.SUSPICION_MS)
        self._suspicion_pause_ms = min(max_pause_ms, next_pause_ms)
        self._next_suspicion_ms = now_ms + self._suspicion_pause_ms * (0.5 + self._rng.random())
        self._kind = RequestKind.OPEN_WATCH
        return self._send(now_ms)

    def _is_response_to_request(self, update: ListUpdate) -> bool:
        """Return whether a list event is the response to the request in flight."""
        return self.state is State.IN_FLIGHT and update.call == self._request_number

    def _reset_failures(self) -> None:
        self._pacing.reset()
        self._suspicion_pause_ms = 0.0

    # ------------------------------------------------ requests

    def _first_kind(self) -> RequestKind:
        """Return the kind of a request that does not continue a watch."""
        if self._version == NO_VERSION and self._has_one_shot_watches:
            return RequestKind.COMPLETE_LIST
        return RequestKind.OPEN_WATCH

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
        # Random for each renewal: watches that broke together are not renewed or found silent in step.
        wait_ms = self._max_wait_ms * (0.5 + 0.5 * self._rng.random())
        response_timeout_ms = wait_ms + self.RESPONSE_MARGIN_MS
        return [WatchList(True, self._request_number, self._version, wait_ms, response_timeout_ms)]
