"""The draw of a server for a request: the PULL policy, and the exceptions to it, each with its condition.

Nothing is sent here, and no state of a server changes. Source: Stolyar, "Pull-based load distribution in
large-scale heterogeneous service systems", single-token form.
"""

import math
from dataclasses import dataclass
from random import Random

from sandhatch.balancing.events import Outcome
from sandhatch.balancing.guidance.shared_ramp import SharedRamp
from sandhatch.balancing.guidance.state import GuidanceState
from sandhatch.balancing.indexed_set import IndexedSet, draw_uniformly
from sandhatch.balancing.policy.admission_control import AdmissionControl
from sandhatch.balancing.policy.connection_reuse import ConnectionReuse
from sandhatch.balancing.policy.retry_rules import RetryRules
from sandhatch.balancing.policy.servers import ServerList
from sandhatch.balancing.policy.slow_start import SlowStart
from sandhatch.balancing.policy.zone_routing import ZoneRouting
from sandhatch.balancing.records import Request, Server
from sandhatch.balancing.settings import Settings

MAX_DRAWS = 8  # maximum draws from a set of servers until retry rules and slow start allow one


@dataclass
class ServerDraw:
    """Draws servers by the state of the components that a balancer consists of.

    Attributes:
        settings: Settings of the instance.
        rng: Source of randomness.
        server_list: Servers of the endpoint list, and the tokens of those believed to be idle.
        retry_rules: Which attempts are allowed.
        slow_start: Limits the attempts at servers that are warming up.
        guidance_state: Weights that planners give to the servers.
        connections: Servers with an open connection.
        admission: Load of the tier, and the limit of attempts in flight at a server.
        zone_routing: Whether servers of the own zone come first.
    """

    settings: Settings
    rng: Random
    server_list: ServerList
    retry_rules: RetryRules
    slow_start: SlowStart | SharedRamp
    guidance_state: GuidanceState
    connections: ConnectionReuse
    admission: AdmissionControl
    zone_routing: ZoneRouting
    # Maximum number of this instance's attempts in flight at a server that the current draw may choose.
    _per_server_limit: float = math.inf

    def draw(self, request: Request, now_ms: float) -> Server | None:
        """Draw a server by the rule of an exception that applies, else by the PULL policy.

        PULL draws uniformly from the servers with a token, else from all ready servers; in both cases servers
        of the own zone come first if `ZoneRouting` prefers them. If a few draws find no server that is
        allowed and not avoided, all allowed servers are considered. Returns None if there are none.
        """
        return (
            self._draw_by_exception(request, now_ms)
            or self._draw_from(self.server_list.tokens, request, now_ms)
            or self._draw_from(self.server_list.ready, request, now_ms)
            or self._draw_any(request, now_ms)
        )

    def _draw_from(self, zones: list[IndexedSet[Server]], request: Request, now_ms: float) -> Server | None:
        """Draw from all zones, but first from the own zone if `ZoneRouting` prefers it for this request."""
        if self.zone_routing.prefers_own_zone(request):
            server = self._draw_acceptable([zones[self.settings.own_zone]], request, now_ms)
            if server is not None:
                return server
        return self._draw_acceptable(zones, request, now_ms)

    def _draw_acceptable(
        self, sets: list[IndexedSet[Server]], request: Request, now_ms: float
    ) -> Server | None:
        for _ in range(MAX_DRAWS):
            server = draw_uniformly(sets, self.rng)
            if server is None:
                break
            if self._may_draw(request, server, now_ms) and not self._is_avoided(request, server, now_ms):
                return server
        return None

    def _may_draw(self, request: Request, server: Server, now_ms: float) -> bool:
        if server.outstanding + 1 > self._per_server_limit:
            return False
        allowed = self.retry_rules.may_send(request, server, now_ms)
        return allowed and self.slow_start.admits(server, now_ms)

    def _draw_by_exception(self, request: Request, now_ms: float) -> Server | None:
        """Draw by another rule than the PULL policy if the condition of an exception holds, else None."""
        loaded = self.admission.is_loaded(now_ms)
        self._per_server_limit = self.admission.server_limit(now_ms) if loaded else math.inf
        server = None
        if self.connections.is_connecting_expensive:
            # Exception while connecting is slow: servers with a token and an open connection are drawn first.
            server = self._draw_connected(request, now_ms)
        if server is None and (loaded or self.server_list.is_oversubscribed):
            # Exception while this instance has more attempts in flight than there are ready servers, so that
            # its own counts show the load, or while much of its capacity is in use: the servers with the
            # fewest own attempts are drawn.
            server = self._draw_fewest(request, now_ms)
        return server

    def _draw_connected(self, request: Request, now_ms: float) -> Server | None:
        for _ in range(MAX_DRAWS):
            server = draw_uniformly([self.connections.connected], self.rng)
            if server is None:
                break
            if server.has_token and self._may_draw(request, server, now_ms):
                return server
        return None

    def _draw_fewest(self, request: Request, now_ms: float) -> Server | None:
        """Draw uniformly from the healthy servers with the fewest own attempts.

        Each consecutive failure counts as an attempt; otherwise a server that does not respond would keep
        receiving its share of requests. Servers whose token (mark of a server believed idle) is withheld for
        slowness are drawn too; otherwise all requests would pile up on the few other servers.
        """
        candidates: list[Server] = []
        fewest = math.inf
        zone = self.settings.own_zone if self.zone_routing.prefers_own_zone(request) else None
        for server in self.server_list.iter_ready(zone):
            count = server.outstanding + server.consecutive_failures
            if (
                count > fewest
                or server.failing_until_ms > now_ms
                or self._is_avoided(request, server, now_ms)
            ):
                continue
            if not self._may_draw(request, server, now_ms):
                continue
            if count < fewest:
                candidates = []
                fewest = count
            candidates.append(server)
        return candidates[int(self.rng.random() * len(candidates))] if candidates else None

    def _draw_any(self, request: Request, now_ms: float) -> Server | None:
        """Draw uniformly from the allowed servers; avoided ones are drawn only if there are no others."""
        allowed = [s for s in self.server_list.iter_ready() if self._may_draw(request, s, now_ms)]
        candidates = [s for s in allowed if not self._is_avoided(request, s, now_ms)] or allowed
        return candidates[int(self.rng.random() * len(candidates))] if candidates else None

    def _is_avoided(self, request: Request, server: Server, now_ms: float) -> bool:
        """Return whether other servers are preferred for this request.

        A server is avoided while it is ejected, while its circuit for the request's class is open, where
        planners' weights decline it, or after it has failed an attempt of this request.
        """
        circuit = server.circuits.get(request.class_index)
        failing = server.ejected or (circuit is not None and circuit.open_until_ms > now_ms)
        if failing or self.guidance_state.is_passed_over(server.id, now_ms):
            return True
        return any(a.server is server and a.outcome is not Outcome.OK for a in request.attempts)
