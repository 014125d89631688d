"""How old the held list may be, and every call to discovery that keeps it younger: when to call, what for,
how long discovery may keep the call, and when to give it up.

`Freshness` owns the one bound. A list is current as of its last whole answer; the next whole answer is due
`notified_ms` later, when whatever discovery has counts as told. A watch waits for a third of that bound at
most, so that its silence shows early; the rest is for the calls behind it, which take their turn at
discovery. Nothing but a whole answer moves the bound: no failure, pause, refusal or malformed answer does.

A call is one of three, each told by `WatchList`:

    WHOLE   the whole list, where no version is held
    OPEN    changes since the version held, without a wait: takes its turn, and opens a watch
    RENEW   the same with a wait: goes on with that watch, takes no turn, and must follow at once

    state     event                      next       what is done
    --------  -------------------------  ---------  --------------------------------------------------------
    OFF       the list at the start      PLANNED    WHOLE or OPEN, spread over the copies that may start too
    PLANNED   its time has come          OUT        the call is made; one that is out ends
    OUT       answered: WHOLE            PLANNED    OPEN, after PACE_MS; the next answer is due anew
    OUT       answered: OPEN, RENEW      PLANNED    RENEW, after PACE_MS; the next answer is due anew
    OUT       failed, refused, given up  PLANNED    WHOLE or OPEN: the first spread out, then by pauses that
                                                    count from the begin of the call that failed
    any       moved                      PLANNED    WHOLE, spread out; its answer is due in MOVED_MS
    any       an answer of another call  as it was  the version held is that answer's

A standing subscription (the simulator's wire) needs no renewals: OPEN answered leads to SUBSCRIBED, from
where a failure leads to PLANNED as above, and so does a listed server that turns calls away (`doubt`): a
silent subscription shows by nothing else.

Does no input or output and reads no clock. Sources: the protocol's figures for lists (6 s, 200 ms from an
answer to the next call, 4 s after a change of address), and the settings.
"""

from __future__ import annotations

import math
from enum import Enum
from random import Random
from typing import NamedTuple, Protocol

from sandhatch.balancing.actions import Action, SetTimer, WatchList
from sandhatch.balancing.events import NO_VERSION, ListKind, ListUpdate, ServerState
from sandhatch.balancing.settings import Settings

LIST_COOKIE = 1 << 40  # above every request id
DOUBT_COOKIE = LIST_COOKIE + 1
COOKIES = (LIST_COOKIE, DOUBT_COOKIE)

NOTIFIED_MS = 6_000.0  # whatever discovery has counts as told so long after
MOVED_MS = 4_000.0  # the same after its address has changed
LEAST_MS = 1_000.0  # guards discovery against settings by which a list would be old at once


def notified_after_ms(settings: Settings) -> float:
    """How long after discovery has a change it counts as told, whatever the copy has heard: the bound. A copy
    that neither watches nor asks is told of all that is older than the settings' time for asking.
    """
    return (
        min(NOTIFIED_MS, max(LEAST_MS, settings.poll_interval_ms))
        if settings.polled_discovery
        else NOTIFIED_MS
    )


class Doubted(Protocol):
    """A listed server, as far as the list's age is judged by it. `strikes`: failures since it last served."""

    state: ServerState
    strikes: int


class State(Enum):
    OFF = "off"
    PLANNED = "planned"
    OUT = "out"
    SUBSCRIBED = "subscribed"


class Call(Enum):
    WHOLE = "whole"
    OPEN = "open"
    RENEW = "renew"


class Pace(NamedTuple):
    """How calls are kept apart, ms. Pauses are drawn from half of what is stated here to all of it."""

    spread_ms: float  # for each copy that may call in the same moment
    pause_ms: float  # from begin to begin of calls in a row that fail, until the bound has passed
    longest_ms: float  # the same from then on


class Freshness:
    """One copy's list. Each method returns the actions that it calls for.

    Discovery has one capacity for all copies, and a call that it refuses costs it as much as one that it
    takes: guards against copies that call in step at their start or after a failure, against turns that are
    given up and taken anew, and against refusals that are repeated so fast that nobody is served any more.
    """

    # For each copy of each tier: as long as a call takes discovery, twice over. Nothing tells how long.
    SPREAD_MS = 500.0
    USED = 0.9  # of what is left of the bound, over which a fleet's calls are spread at the most
    # Past a renewal's wait, for the answer to come: it takes no turn, and a copy may read late on a part of a
    # core.
    SEEN_MS = 500.0
    PACE_MS = 25.0  # from an answer to the next call: well under what ends a watch, and no busy loop
    DOUBT_MS = 2_000.0  # about as long as news of a server take to come by the list

    def __init__(self, settings: Settings, rng: Random) -> None:
        self._rng = rng
        self._fleet = settings.instances * settings.tiers  # about: each tier has its own number of copies
        self._half_tick_ms = settings.tick_ms / 2.0
        self._ask_within_ms = settings.poll_interval_ms
        self._renewed = settings.one_shot_watches
        self._asked = settings.polled_discovery
        self.notified_ms = notified_after_ms(settings)
        third = self.notified_ms / 3.0
        if self._asked:
            # Past the bound about one call a copy in each bound, so that a discovery that can serve the fleet
            # within it is not kept busy by refusals; but no longer than the grace leaves once it is back.
            grace_ms = min(settings.drain_grace_ms, self.notified_ms)  # guards against one without end
            self._pace = Pace(self.SPREAD_MS, 2.0 * third, self.notified_ms + grace_ms / 2.0)
        else:
            # Pushed lists come from the copy's own agent, whose word counts at once when it is back: nobody
            # else waits there, and a pause must fit into the shortest grace.
            self._pace = Pace(0.0, 100.0, 500.0)
        self._longest_wait_ms = third
        # Of a call that takes its turn: one given up loses it, so that it may take half of the bound.
        self._patience_ms = self.notified_ms / 2.0 + self.SEEN_MS
        self.state = State.OFF
        self._call = Call.OPEN  # the one planned or out
        self._number = 0  # of the call made last
        self._held = NO_VERSION
        self._due_ms = math.inf  # when the next whole answer is due: the bound
        self._at = math.inf  # when the call planned is to be made
        self._begun_ms = 0.0  # when the last one was
        # Whether no call has failed since the last list. Copies that start together have spread out already.
        self._spreads = not self._asked
        self._old = False  # the cached list is all there is so far, and no call was made
        self._doubted: Doubted | None = None  # listed as ready, but turns calls away
        self._doubt_ms = 0.0  # from the last call for that reason to the next; 0: there was none
        self._doubt_at = 0.0

    # ------------------------------------------------ events

    def heard(self, update: ListUpdate, now_ms: float) -> list[Action]:
        """A list event has come."""
        if not (self._asked or self._renewed):
            return []
        if update.kind is ListKind.RELOCATED:
            return self._moved(now_ms)
        if self.state is State.OFF:
            return self._begin(update, now_ms)
        if update.kind is ListKind.FAILED:
            return self._failed(update, now_ms)
        return self._answered(update, now_ms)

    def _begin(self, update: ListUpdate, now_ms: float) -> list[Action]:
        """The list held at the start serves at first. Copies may start together, by their number. One that
        holds none has nothing to serve from, and comes before the others.
        """
        self._held = update.version
        self._due_ms = now_ms + self.notified_ms
        self._old = True
        early = 3.0 if update.version == NO_VERSION else 1.0
        return self._plan(self._again(), self._spread(now_ms) / early, now_ms)

    def _moved(self, now_ms: float) -> list[Action]:
        """What was planned is void with the old address, and its versions with it."""
        self._held = NO_VERSION
        self._due_ms = min(self._due_ms, now_ms + MOVED_MS)
        self._spreads, self._doubt_ms = True, 0.0
        return self._plan(Call.WHOLE, self._spread(now_ms), now_ms)

    def _answered(self, update: ListUpdate, now_ms: float) -> list[Action]:
        self._held = update.version
        if self._renewed and not self._answers(update):
            return []  # of a call that was made elsewhere; the one out stays out
        self._due_ms = now_ms + self.notified_ms
        self._spreads, self._doubt_ms = True, 0.0
        if not self._renewed:
            self.state = State.SUBSCRIBED
            return []
        return self._plan(Call.OPEN if self._call is Call.WHOLE else Call.RENEW, self.PACE_MS, now_ms)

    def _failed(self, update: ListUpdate, now_ms: float) -> list[Action]:
        if self.state is State.PLANNED or (self._renewed and not self._answers(update)):
            return []
        if self.state is State.SUBSCRIBED:
            self._due_ms = now_ms + self.notified_ms  # it held until it broke
        self._held = update.version
        return self._plan(self._again(), self._pause(now_ms), now_ms)

    def _answers(self, update: ListUpdate) -> bool:
        return self.state is State.OUT and update.call == self._number

    def doubt(self, server: Doubted, now_ms: float) -> list[Action]:
        """A listed server turned a call away unseen: it may be leaving or gone, and the list old.

        Guards against a standing subscription that has fallen silent, which nobody else tells of, while the
        servers on the list go and those that come stay unknown. What is on its way comes first: the list is
        asked for only if the server is still on it after a while, and has served nothing since.
        """
        if not self._asked:
            return []
        if self._old and self.state is State.PLANNED:
            # The cached list shows to be old. Not at once: copies that start together would all ask together.
            return self._plan(self._call, max(0.0, self._at - now_ms) / 3.0, now_ms)
        if self._renewed or self._doubted is not None or now_ms < self._doubt_at:
            return []  # a renewed watch tells of its own silence, sooner than that
        self._doubted = server
        return [SetTimer(DOUBT_COOKIE, self.DOUBT_MS * (0.5 + self._rng.random()))]

    def fired(self, cookie: int, now_ms: float) -> list[Action]:
        """One of the timers has come due."""
        if cookie == DOUBT_COOKIE:
            return self._settle(now_ms)
        # Half a tick: a caller's clock may round below what was asked for. Timers of older plans are ignored.
        if self.state is not State.PLANNED or now_ms + self._half_tick_ms < self._at:
            return []
        return self._make(now_ms)

    def _settle(self, now_ms: float) -> list[Action]:
        server, self._doubted = self._doubted, None
        if server is None or server.state is not ServerState.READY or not server.strikes:
            return []
        if self.state is State.PLANNED:
            return []  # it is going to be asked for anyway
        # Each call that brought nothing new doubles the time to the next: it may not be the list at all.
        self._doubt_ms = min(4.0 * self._ask_within_ms, 2.0 * (self._doubt_ms or self.DOUBT_MS))
        self._doubt_at = now_ms + self._doubt_ms * (0.5 + self._rng.random())
        self._call = Call.OPEN
        return self._make(now_ms)

    # ------------------------------------------------ calls

    def _again(self) -> Call:
        """What a call is for where no watch goes on."""
        return Call.WHOLE if self._held == NO_VERSION and self._renewed else Call.OPEN

    def _spread(self, now_ms: float) -> float:
        """Until a call that other copies may make for the same reason in the same moment."""
        left = max(0.0, self._due_ms - now_ms)
        return self._rng.random() * min(self._pace.spread_ms * self._fleet, self.USED * left)

    def _pause(self, now_ms: float) -> float:
        """From a failure to the next call. The first in a row after a list is a watch that broke or fell
        silent: all that came since is unknown. Later ones keep calls apart, from begin to begin: one that was
        out until it was given up has spent that time already.
        """
        if self._spreads:
            self._spreads = False
            return self._spread(now_ms)
        longest = self._pace.pause_ms if now_ms < self._due_ms else self._pace.longest_ms
        pause = longest * (0.5 + 0.5 * self._rng.random())
        return max(0.0, self._begun_ms + pause - now_ms)

    def _plan(self, call: Call, delay_ms: float, now_ms: float) -> list[Action]:
        self.state, self._call = State.PLANNED, call
        self._at = now_ms + delay_ms
        return [SetTimer(LIST_COOKIE, delay_ms)]

    def _make(self, now_ms: float) -> list[Action]:
        self.state, self._old, self._at, self._begun_ms = State.OUT, False, math.inf, now_ms
        if not self._renewed:
            return [WatchList(True)]
        self._number += 1
        if self._call is not Call.RENEW:
            return [WatchList(True, self._number, self._held, 0.0, self._patience_ms)]
        # Drawn anew each time: watches that broke together are not renewed in step, nor found silent in step.
        wait_ms = self._longest_wait_ms * (0.5 + 0.5 * self._rng.random())
        return [WatchList(True, self._number, self._held, wait_ms, wait_ms + self.SEEN_MS)]
