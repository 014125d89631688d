"""When the list of servers is asked for, where it comes only to those that ask.

Nothing here does input or output, reads a clock or keeps state outside its objects. It decides of list calls
alone, never of requests.
"""

from __future__ import annotations

import math
from random import Random
from typing import Protocol

from mulleinhitch.interface import Action, ListKind, ServerState, SetTimer, Settings, WatchList

LIST_COOKIE = 1 << 40  # above every request id
DOUBT_COOKIE = LIST_COOKIE + 1
COOKIES = (LIST_COOKIE, DOUBT_COOKIE)


class Doubted(Protocol):
    """A listed server, as far as the list's age is judged by it. `strikes`: failures since it last served."""

    state: ServerState
    strikes: int


class Asking:
    """One copy's calls to discovery. Discovery has a fixed capacity for all copies together: guards against
    copies that ask in step, at their start or after a failure, and against asking in vain again and again.

    Each method returns the actions that it calls for.
    """

    SPREAD_MS = 250.0  # for each copy: about as long as a call takes discovery
    # After the first failure where no list has come yet: copies that start together would ask in step.
    FIRST_MS = 2_000.0
    # After the second in a row where one had. What a silent watch misses counts as told 2 s after its wait,
    # and the silence shows half a second after it: both calls fit in what is left, and in the grace.
    BACKOFF_MS = 500.0
    DOUBT_MS = 2_000.0  # about as long as news of a server take to come by the list

    def __init__(self, settings: Settings, rng: Random) -> None:
        self._settings = settings
        self._rng = rng
        self._booted = False
        self._backoff_ms = self.FIRST_MS  # 0: a list has come since the last failure
        self._at = math.inf  # when the list is to be asked for: one plan at a time
        self._old = False  # the cached list is all there is so far
        self._doubted: Doubted | None = None  # listed as ready, but turns calls away
        self._doubt_ms = 0.0  # from the last call for that reason to the next; 0: there was none
        self._doubt_at = 0.0

    def heard(self, kind: ListKind, now_ms: float) -> list[Action]:
        """A list event has come: subscribe once, spread out, and ask again after a failure."""
        if not self._settings.on_request_discovery:
            return []
        plan: list[Action] = []
        if kind is ListKind.FAILED:
            if self._at == math.inf:
                plan = self._in(self._pause(), now_ms)
        elif not self._booted:
            # The cached list serves at first. Spread by how many copies may start together; a quarter of the
            # duty's interval leaves time for calls that fail.
            spread = min(self.SPREAD_MS * self._settings.copies, self._settings.ask_within_ms / 4.0)
            plan = self._in(self._rng.random() * spread, now_ms)
            self._old = True
        elif kind is ListKind.MOVED:
            # What was planned is void with the old address; what the new one has counts as told soon.
            self._backoff_ms = self._doubt_ms = 0.0
            plan = self._ask()
        elif kind is not ListKind.CACHED:
            self._backoff_ms = self._doubt_ms = 0.0
        self._booted = True
        return plan

    def _pause(self) -> float:
        """From a failure to the next call. The first in a row after a list is a watch that broke or fell
        silent: all that came since is unknown, so it is opened anew at once.
        """
        if not self._backoff_ms:
            self._backoff_ms = self.BACKOFF_MS
            return self._rng.random() * self.SPREAD_MS
        pause = self._backoff_ms * (0.5 + self._rng.random())
        self._backoff_ms = min(self._settings.ask_within_ms, 2.0 * self._backoff_ms)
        return pause

    def doubt(self, server: Doubted, now_ms: float) -> list[Action]:
        """A listed server turned a call away unseen: it may be leaving or gone, and the list old.

        Guards against a subscription that has fallen silent, which nobody else tells of, while the servers on
        the list go and those that come stay unknown. What is on its way comes first: the list is asked for
        only if the server is still on it after a while, and has served nothing since.
        """
        if not self._settings.on_request_discovery:
            return []
        if self._old:
            # The cached list shows to be old. Not at once: copies that start together would all ask together.
            return self._in(max(0.0, self._at - now_ms) / 2.0, now_ms)
        if self._doubted is not None or now_ms < self._doubt_at:
            return []
        self._doubted = server
        return [SetTimer(DOUBT_COOKIE, self.DOUBT_MS * (0.5 + self._rng.random()))]

    def fired(self, cookie: int, now_ms: float) -> list[Action]:
        """One of the timers has come due."""
        if cookie == DOUBT_COOKIE:
            return self._settle(now_ms)
        # Half a tick: a caller's clock may round below what was asked for. Timers of older plans are ignored.
        return self._ask() if now_ms + self._settings.tick_ms / 2.0 >= self._at else []

    def _settle(self, now_ms: float) -> list[Action]:
        server, self._doubted = self._doubted, None
        if server is None or server.state is not ServerState.READY or not server.strikes:
            return []
        if self._at < math.inf:
            return []  # it is going to be asked for anyway
        # Each call that brought nothing new doubles the time to the next: it may not be the list at all.
        self._doubt_ms = min(4.0 * self._settings.ask_within_ms, 2.0 * (self._doubt_ms or self.DOUBT_MS))
        self._doubt_at = now_ms + self._doubt_ms * (0.5 + self._rng.random())
        return self._ask()

    def _in(self, delay_ms: float, now_ms: float) -> list[Action]:
        self._at = now_ms + delay_ms
        return [SetTimer(LIST_COOKIE, delay_ms)]

    def _ask(self) -> list[Action]:
        self._old, self._at = False, math.inf
        return [WatchList(True)]
