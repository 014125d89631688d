"""Outlier detection, as in Envoy: failing or slow servers lose their token; the worst are ejected."""

from dataclasses import dataclass, field
from random import Random

from sandhatch.balancing.events import NEVER_RAN, Outcome
from sandhatch.balancing.policy.latency_estimates import InterarrivalTime, LatencyEstimates
from sandhatch.balancing.policy.servers import ServerList
from sandhatch.balancing.records import Circuit, Request, Server

EWMA_WEIGHT = 1.0 / 32.0  # weight of a new sample in the means over all servers
SERVER_EWMA_WEIGHT = 0.25  # weight of a new sample in the mean of one server
MAX_EJECTION_MS = 30_000.0  # maximum time without an attempt, after which any server may have recovered
MAX_BACKOFF_DOUBLINGS = 16
# Probability of a run of failures by chance, below which the server is ejected.
EJECTION_SIGNIFICANCE_LEVEL = 0.05
SLOW_FACTOR = 4.0  # ratio of latency to the mean for class and size; a slower response is a failure
MIN_RELATIVE_SIZE = 0.25  # lower bound when latencies are normalized by size: small cost hints are inaccurate
MAX_LATENCY_RATIO = 8.0  # cap on the latency ratio of a single response
BASELINE_LATENCY_RATIO = 1.0  # mean latency ratio above which a server counts as slow
SLOW_TOKEN_VISITS = 2.0  # for a server of twice the baseline latency: time without draws, in visit intervals


@dataclass
class OutlierDetection:
    """Detects outliers by consecutive failures and by latency relative to the tier's mean.

    Never ejects more than half of the ready servers, and none because of the load of the whole tier.

    Attributes:
        rng: Source of randomness.
        servers: Endpoint list of the tier.
        latency: Latency estimates by request class.
        interarrival: Time between requests at this instance.
        failure_rate: Mean failure rate over all servers.
        latency_ratio_by_kind: Mean latency ratio of each kind of server.
    """

    rng: Random
    servers: ServerList
    latency: LatencyEstimates
    interarrival: InterarrivalTime
    failure_rate: float = 0.1
    latency_ratio_by_kind: dict[int, float] = field(default_factory=dict)

    def record_response(self, server: Server, request: Request, spent_ms: float, now_ms: float) -> None:
        """Record a response's latency relative to its class and size; far above the mean it is a failure."""
        mean_ms = self.latency.mean_ms[request.class_index]
        if spent_ms > SLOW_FACTOR * mean_ms * max(1.0, request.relative_size):
            self.record_failure(server, request.class_index, Outcome.OK, now_ms)
        else:
            self._record_success(server, request.class_index)
        ratio = min(spent_ms / (mean_ms * max(MIN_RELATIVE_SIZE, request.relative_size)), MAX_LATENCY_RATIO)
        kind_ratio = self.latency_ratio_by_kind.get(server.kind, 1.0)
        self.latency_ratio_by_kind[server.kind] = kind_ratio + EWMA_WEIGHT * (ratio - kind_ratio)
        # A server without a response so far starts with the mean ratio of its kind.
        known = kind_ratio if server.latency_ratio is None else server.latency_ratio
        server.latency_ratio = known + SERVER_EWMA_WEIGHT * (ratio - known)

    def withhold_slow_token(self, server: Server, now_ms: float) -> None:
        """Withhold the token of a slow server after a response, the longer the slower it is.

        Overloaded servers may stay slow as long as requests are drawn evenly: at a low-rate instance the own
        attempts have always ended by the next draw, so tokens don't show the load. A tier that is slow as a
        whole is not affected, because it is compared with its own mean.
        """
        excess = (server.latency_ratio or 0.0) - BASELINE_LATENCY_RATIO
        if excess > 0.0:
            visit_ms = self.interarrival.mean_ms * self.servers.ready_count
            self.servers.withhold_token(
                server, now_ms + min(MAX_EJECTION_MS, SLOW_TOKEN_VISITS * excess * visit_ms)
            )

    def _record_success(self, server: Server, class_index: int) -> None:
        """Halve the next ejection time, no more: a server that mostly fails may succeed by chance."""
        self.failure_rate += EWMA_WEIGHT * (0.0 - self.failure_rate)
        server.consecutive_failures = 0
        server.ejections = max(0, server.ejections - 1)
        circuit = server.circuits.pop(class_index, None)
        if circuit is not None and circuit.failures > 1:
            server.circuits[class_index] = Circuit(circuit.failures - 1, circuit.open_until_ms)

    def record_failure(self, server: Server, class_index: int, outcome: Outcome, now_ms: float) -> None:
        """Count a failure of the server, and withhold the server's token (mark of a server believed idle).

        The failure also opens the server's circuit for the request class, unless the server did not run the
        request (`NEVER_RAN`) or was only slow, and may eject the server (`_eject_outlier`). While this
        instance has more attempts in flight than there are ready servers, a slow response or a time-out is
        only counted.

        Args:
            server: The server that failed.
            class_index: Index of the request's class.
            outcome: Outcome of the attempt; `Outcome.OK` stands for a response that was far too slow.
            now_ms: The present time.
        """
        self.failure_rate += EWMA_WEIGHT * (1.0 - self.failure_rate)
        server.consecutive_failures += 1
        if self.servers.is_oversubscribed and outcome in (Outcome.OK, Outcome.TIMEOUT):
            # The server is slow, not broken: its attempts in flight already divert further requests. Ejecting
            # servers for the load of the whole tier would move that load to the other servers. With fewer
            # attempts in flight, a slow response is evidence against the single server.
            return
        if outcome not in NEVER_RAN and outcome is not Outcome.OK:
            # A circuit per request class, because successes in other classes would clear a server that fails
            # one class. One failure opens the circuit: other servers are drawn meanwhile, and if all
            # of them fail, the circuits change nothing.
            failures = server.circuits.get(class_index, Circuit()).failures + 1
            backoff_ms = self._backoff_ms(self.interarrival.mean_ms * self.servers.ready_count, failures)
            server.circuits[class_index] = Circuit(failures, now_ms + backoff_ms)
        # A server that fails fast would otherwise regain its token first and attract the next attempt.
        pause_ms = self.latency.mean_ms[class_index] * (0.25 + 0.5 * self.rng.random())
        server.failing_until_ms = now_ms + pause_ms
        self.servers.withhold_token(server, server.failing_until_ms)
        self._eject_outlier(server, class_index, now_ms)

    def _eject_outlier(self, server: Server, class_index: int, now_ms: float) -> None:
        """Eject a server whose run of failures is unlikely at the failure rate of all servers."""
        ready = self.servers.ready_count
        unlikely = self.failure_rate**server.consecutive_failures < EJECTION_SIGNIFICANCE_LEVEL
        if unlikely and 2 * self.servers.ejected_count < ready:
            # The ejection time doubles with each ejection, not with each failure: in a failing tier all
            # servers fail.
            server.ejections += 1
            # A low-rate instance visits a server seldom: a shorter ejection would have no effect.
            base_ms = max(self.latency.mean_ms[class_index], self.interarrival.mean_ms * ready)
            self.servers.eject(server, now_ms + self._backoff_ms(base_ms, server.ejections))

    def _backoff_ms(self, base_ms: float, doublings: int) -> float:
        backoff_ms = base_ms * 2.0 ** min(doublings, MAX_BACKOFF_DOUBLINGS)
        return min(MAX_EJECTION_MS, backoff_ms) * (0.5 + self.rng.random())
