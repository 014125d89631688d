"""Slow start of servers that are warming up, where no stated ramp is shared (`guidance.shared_ramp`)."""

from random import Random

from sandhatch.balancing.events import ServerState
from sandhatch.balancing.guidance.warm_up import WarmUp
from sandhatch.balancing.records import Server
from sandhatch.balancing.settings import Settings

# Of the overload that topples a server, what is planned for; the rest is left to chance, heavy requests,
# retries and instances with another view.
PLANNED_OVERLOAD_FRACTION = 0.25
REFRESHES_PER_WARM_UP = 100.0  # of the sum over the servers that are warming up; never once a request


class SlowStart(WarmUp):
    """Credit for the servers that are warming up; a send spends a whole one.

    Each request earns each of them what it can do by now, of what all ready servers can do. All instances
    together then load it `overload` times as much as the whole tier, by what it can do, and never more than a
    tier of warm ones. Sends are spaced, and none is saved up: guards against the sum over many instances.
    """

    def __init__(self, settings: Settings, rng: Random) -> None:
        """Draw the seed of the phases from `rng`."""
        super().__init__(settings)
        self._overload = min(1.0, settings.overload_multiple * PLANNED_OVERLOAD_FRACTION)
        self._phases = Random(rng.random())
        self._warming: list[Server] = []
        self._capacity = 0.0  # of those, in warm servers
        self._refresh_due_ms = 0.0
        # By server: its credit, and `earned` as of then.
        self.credits: dict[int, tuple[float, float]] = {}
        self.earned = 0.0  # since the start, by a server that does all that a warm one does

    def watch(self, servers: list[Server], now_ms: float) -> None:
        """Begin with those of the added servers that are warming up."""
        warming = [server for server in servers if self.is_warming_up(server, now_ms)]
        for server in warming:
            # The phase: instances of low rate must not all start with a free send, nor all without.
            self.credits[server.id] = self._phases.random(), self.earned
        if warming:
            self._warming.extend(warming)
            self._refresh_due_ms = now_ms

    def _refresh(self, now_ms: float) -> None:
        if self._warming and now_ms >= self._refresh_due_ms:
            listed = self._warming
            self._warming = [
                s for s in listed if s.state is ServerState.READY and self.is_warming_up(s, now_ms)
            ]
            self._capacity = sum(self.share(server, now_ms) for server in self._warming)
            self._refresh_due_ms = now_ms + self._ms / REFRESHES_PER_WARM_UP

    def warm_up_deficit(self, now_ms: float) -> float:
        """Return what the ready servers that are warming up can't do yet, in warm servers."""
        self._refresh(now_ms)
        return len(self._warming) - self._capacity if self._warming else 0.0

    def earn(self, ready: int, now_ms: float) -> None:
        """Count a request, before it is dispatched to one of `ready` servers."""
        self._refresh(now_ms)
        if not self._warming or not ready:
            return
        capacity = ready - len(self._warming) + self._capacity
        self.earned += min(self._overload / capacity, 1.0 / ready)

    def credit(self, server: Server, now_ms: float) -> float:
        """Return the credit of a server that is warming up, brought up to date."""
        credit, earned_before = self.credits.get(server.id, (0.0, self.earned))
        credit += (self.earned - earned_before) * self.share(server, now_ms)
        if credit >= 2.0:
            credit %= 1.0  # not used until the next one came: lost, with its place in the spacing kept
        self.credits[server.id] = credit, self.earned
        return credit

    def admits(self, server: Server, now_ms: float) -> bool:
        """Return whether a drawn server may be sent to."""
        return not self.is_warming_up(server, now_ms) or self.credit(server, now_ms) >= 1.0

    def spend(self, server: Server, now_ms: float) -> None:
        """Count a send."""
        if self.is_warming_up(server, now_ms):
            self.credits[server.id] = self.credit(server, now_ms) - 1.0, self.earned
