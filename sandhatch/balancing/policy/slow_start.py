"""Slow start of servers that are warming up, without a configured shared ramp (`guidance.shared_ramp`)."""

from random import Random

from sandhatch.balancing.events import ServerState
from sandhatch.balancing.guidance.warm_up import WarmUp
from sandhatch.balancing.records import Server
from sandhatch.balancing.settings import Settings

# Planned load as a fraction of the overload that makes a server fail. The rest is a margin for random
# variation, expensive requests, retries and instances with a different endpoint list.
PLANNED_OVERLOAD_FRACTION = 0.25
# Number of updates of the warming servers' total capacity; one per request would be expensive.
REFRESHES_PER_WARM_UP = 100.0


class SlowStart(WarmUp):
    """Credits of the servers that are warming up; each send costs one credit.

    Each request earns each warming server a credit in proportion to its present share of the capacity of all
    ready servers. Relative to its capacity, all instances together thus load it at most x times as much as
    the whole tier, where x is `PLANNED_OVERLOAD_FRACTION` of `Settings.overload_multiple`, but at most 1; and
    never more than a server of a warm tier. Sends are spaced and credits are not saved up; otherwise the sum
    over many instances could overload the server.

    Attributes:
        credits: Credit of each warming server by its id, and the `earned_credit` at which it was computed.
        earned_credit: Credit that a server at full capacity has earned since the start.
    """

    def __init__(self, settings: Settings, rng: Random) -> None:
        """Start without warming servers; the initial credits are seeded from `rng`."""
        super().__init__(settings)
        self._overload = min(1.0, settings.overload_multiple * PLANNED_OVERLOAD_FRACTION)
        self._phases = Random(rng.random())
        self._warming: list[Server] = []
        self._capacity = 0.0  # total capacity of the warming servers, in units of warm servers
        self._refresh_due_ms = 0.0
        self.credits: dict[int, tuple[float, float]] = {}
        self.earned_credit = 0.0

    def add_servers(self, servers: list[Server], now_ms: float) -> None:
        """Start credits for the added servers that are warming up."""
        warming = [server for server in servers if self.is_warming_up(server, now_ms)]
        for server in warming:
            # A random initial credit: low-rate instances must not all start with a send, nor all without.
            self.credits[server.id] = self._phases.random(), self.earned_credit
        if warming:
            self._warming.extend(warming)
            self._refresh_due_ms = now_ms

    def _refresh(self, now_ms: float) -> None:
        if self._warming and now_ms >= self._refresh_due_ms:
            listed = self._warming
            self._warming = [
                s for s in listed if s.state is ServerState.READY and self.is_warming_up(s, now_ms)
            ]
            self._capacity = sum(self.capacity_share(server, now_ms) for server in self._warming)
            self._refresh_due_ms = now_ms + self._warm_up_ms / REFRESHES_PER_WARM_UP

    def warm_up_deficit(self, now_ms: float) -> float:
        """Return the capacity that warming servers still lack, in units of warm servers."""
        self._refresh(now_ms)
        return len(self._warming) - self._capacity if self._warming else 0.0

    def earn_credit(self, ready: int, now_ms: float) -> None:
        """Earn credit for a request, before it is dispatched to one of `ready` servers."""
        self._refresh(now_ms)
        if not self._warming or not ready:
            return
        capacity = ready - len(self._warming) + self._capacity
        self.earned_credit += min(self._overload / capacity, 1.0 / ready)

    def credit(self, server: Server, now_ms: float) -> float:
        """Update and return the credit of a server that is warming up."""
        credit, earned_before = self.credits.get(server.id, (0.0, self.earned_credit))
        credit += (self.earned_credit - earned_before) * self.capacity_share(server, now_ms)
        if credit >= 2.0:
            credit %= 1.0  # unused whole credits expire; the fraction left keeps sends evenly spaced
        self.credits[server.id] = credit, self.earned_credit
        return credit

    def admits(self, server: Server, now_ms: float) -> bool:
        """Return whether slow start allows an attempt at a drawn server."""
        return not self.is_warming_up(server, now_ms) or self.credit(server, now_ms) >= 1.0

    def spend_credit(self, server: Server, now_ms: float) -> None:
        """Deduct one credit for an attempt at a server that is warming up."""
        if self.is_warming_up(server, now_ms):
            self.credits[server.id] = self.credit(server, now_ms) - 1.0, self.earned_credit
