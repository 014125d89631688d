"""Outlier detection, as in Envoy: servers that fail or are slow lose their token; the worst are ejected."""

from dataclasses import dataclass, field
from random import Random

from sandhatch.balancing.events import NEVER_RAN, Outcome
from sandhatch.balancing.policy.latency_estimates import ArrivalGaps, LatencyEstimates
from sandhatch.balancing.policy.servers import ServerList
from sandhatch.balancing.records import Circuit, Request, Server

MEMORY = 1.0 / 32.0  # weight of a new sample in the means over all servers
SERVER_MEMORY = 0.25  # the same in the mean of one server
MAX_SPAN_MS = 30_000.0  # without an attempt: any server may be well again
MAX_DOUBLINGS = 16
MAX_CHANCE = 0.05  # that a run of failures is not the server's own, up to which it is ejected
SLOW_FACTOR = 4.0  # times the mean of its class and size, from which an answer counts as a failure
MIN_SIZE = 0.25  # by which an answer's time is divided: small hints are rough
MAX_RATIO = 8.0  # times the mean, as far as a single answer counts
ORDINARY_RATIO = 1.0  # times the mean, up to which a server is not slow
SLOW_VISITS = 2.0  # for which a server of twice the ordinary time keeps no token


@dataclass
class OutlierDetection:
    """The failures of all servers together, and the relative answer times of each kind of server.

    Never ejects more than half of the ready servers, nor any for the load of a whole tier.
    """

    rng: Random
    servers: ServerList
    latency: LatencyEstimates
    gaps: ArrivalGaps
    failure_rate: float = 0.1
    kind_ratios: dict[int, float] = field(default_factory=dict)

    def record_response(self, server: Server, request: Request, spent_ms: float, now_ms: float) -> None:
        """Learn from an answer's time, by the mean of its class and size; one far above it is a failure."""
        mean_ms = self.latency.mean_ms[request.class_index]
        if spent_ms > SLOW_FACTOR * mean_ms * max(1.0, request.relative_size):
            self.record_failure(server, request.class_index, Outcome.OK, now_ms)
        else:
            self._record_success(server, request.class_index)
        ratio = min(spent_ms / (mean_ms * max(MIN_SIZE, request.relative_size)), MAX_RATIO)
        kind_ratio = self.kind_ratios.get(server.kind, 1.0)
        self.kind_ratios[server.kind] = kind_ratio + MEMORY * (ratio - kind_ratio)
        # Its kind speaks for a server that this instance has hardly met.
        known = kind_ratio if server.slowness is None else server.slowness
        server.slowness = known + SERVER_MEMORY * (ratio - known)

    def withhold_slow(self, server: Server, now_ms: float) -> None:
        """Withhold a slower server's token after its answer, for longer the slower it is.

        Guards against servers that stay slow once crowded: an instance that comes by seldom always finds its
        own attempts there ended, so that even draws fill them. A tier slow as a whole is its own mean.
        """
        excess = (server.slowness or 0.0) - ORDINARY_RATIO
        if excess > 0.0:
            visit_ms = self.gaps.mean_ms * self.servers.ready_count
            self.servers.withhold_token(server, now_ms + min(MAX_SPAN_MS, SLOW_VISITS * excess * visit_ms))

    def _record_success(self, server: Server, class_index: int) -> None:
        """Halve the next span, no more: guards against the chance success of one that mostly fails."""
        self.failure_rate += MEMORY * (0.0 - self.failure_rate)
        server.consecutive_failures = 0
        server.ejections = max(0, server.ejections - 1)
        circuit = server.circuits.pop(class_index, None)
        if circuit is not None and circuit.failures > 1:
            server.circuits[class_index] = Circuit(circuit.failures - 1, circuit.open_until_ms)

    def record_failure(self, server: Server, class_index: int, outcome: Outcome, now_ms: float) -> None:
        """Withhold the token after a failure; `OK` is an answer that was far too slow."""
        self.failure_rate += MEMORY * (1.0 - self.failure_rate)
        server.consecutive_failures += 1
        if self.servers.is_outnumbered and outcome in (Outcome.OK, Outcome.TIMEOUT):
            # Slow, not broken: what it has in flight keeps others away. Guards against ejecting servers for
            # the load of a whole tier, which then falls on the rest; below, single servers may be slow.
            return
        if outcome not in NEVER_RAN and outcome is not Outcome.OK:
            # Guards against a server that fails one class and serves the others, whose successes would clear
            # it. One failure is enough: others are drawn meanwhile; if all of them fail it changes nothing.
            failures = server.circuits.get(class_index, Circuit()).failures + 1
            span_ms = self._span_ms(self.gaps.mean_ms * self.servers.ready_count, failures)
            server.circuits[class_index] = Circuit(failures, now_ms + span_ms)
        # Guards against the fast failure, which would regain its token first and attract the next attempt.
        pause_ms = self.latency.mean_ms[class_index] * (0.25 + 0.5 * self.rng.random())
        server.failing_until_ms = now_ms + pause_ms
        self.servers.withhold_token(server, server.failing_until_ms)
        self._eject_outlier(server, class_index, now_ms)

    def _eject_outlier(self, server: Server, class_index: int, now_ms: float) -> None:
        """Eject after a run of failures that the failure rate of all servers makes unlikely."""
        ready = self.servers.ready_count
        unlikely = self.failure_rate**server.consecutive_failures < MAX_CHANCE
        if unlikely and 2 * self.servers.ejected_count < ready:
            # Doubles with each ejection, not with each failure, which a bad tier gives to all.
            server.ejections += 1
            # An instance of low rate comes by seldom: less than a visit's time would be no ejection.
            base_ms = max(self.latency.mean_ms[class_index], self.gaps.mean_ms * ready)
            self.servers.eject(server, now_ms + self._span_ms(base_ms, server.ejections))

    def _span_ms(self, base_ms: float, doublings: int) -> float:
        span_ms = base_ms * 2.0 ** min(doublings, MAX_DOUBLINGS)
        return min(MAX_SPAN_MS, span_ms) * (0.5 + self.rng.random())
