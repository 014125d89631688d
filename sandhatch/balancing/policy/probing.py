"""Probing: whether a load report of a drawn server is worth its price, and what reports show."""

from random import Random

from sandhatch.balancing.events import Outcome, ProbeEnded
from sandhatch.balancing.records import Request, Server
from sandhatch.balancing.settings import ReportMode, Settings

EWMA_WEIGHT = 1.0 / 16.0  # weight of a new sample in the running means
IDLE_FIELD = "running_and_waiting"  # the only report value that shows whether a server is idle
WAITING_FIELD = "waiting"
IDLE_THRESHOLD = 0.5  # reported requests below which a server is idle
SERIAL_THRESHOLD = 1.5  # maximum concurrently running requests, below which servers count as serial
MAX_PROBES = 8  # maximum probes in one round of draws
MAX_REDISPATCH_PROBES = 2  # maximum probes in a round after queuing, as such rounds are frequent
EXPLORATION_PROBABILITY = 0.03  # probability of a probe that seems not worthwhile, to detect changes
MIN_QUEUE_PAUSE_FRACTION = 1.0 / 32.0  # minimum pause of a queued request, as a fraction of the mean latency
MAX_CONTENTION_FACTOR = 16.0  # maximum factor on a queued request's minimum pause
BUSY_PAUSE_FRACTION = 0.25  # time without a token after a busy report, as a fraction of the mean latency


class Probing:
    """Statistics of load reports: the fraction of idle servers, and how many requests servers run at once.

    Attributes:
        enabled: Whether probes are allowed and load reports show idle servers.
        servers_are_serial: Whether servers were only seen to run one request at a time.
    """

    def __init__(self, settings: Settings, rng: Random) -> None:
        """Look up the positions of the values in a load report."""
        self._rng = rng
        self._settings = settings
        reports = settings.may_probe and settings.report_mode is not ReportMode.OFF
        fields = list(settings.report_fields) if reports else []
        self._load_index = fields.index(IDLE_FIELD) if IDLE_FIELD in fields else -1
        self._waiting_index = fields.index(WAITING_FIELD) if WAITING_FIELD in fields else -1
        self.enabled = self._load_index >= 0
        self._max_running = 0.0  # largest number of requests seen running at once on a server
        self.servers_are_serial = True
        self._idle_fraction = 0.5  # fraction of the reports that showed an idle server
        self._round_trip_ms = 2.0 * settings.tick_ms
        # Requests that wait for a server's load report, by server, in the order of their probes.
        self._waiting_by_server: dict[int, list[Request]] = {}

    @property
    def timeout_ms(self) -> float:
        """Time-out of a probe, after which the server counts as busy."""
        return 2.0 * self._settings.tick_ms + 3.0 * self._round_trip_ms

    def is_worthwhile(self, request: Request, mean_ms: float, now_ms: float) -> bool:
        """Return whether the expected gain of probing the drawn server exceeds its price."""
        if not self.enabled or request.probes >= (
            MAX_REDISPATCH_PROBES if request.was_queued else MAX_PROBES
        ):
            return False
        if request.idle_only:
            return True  # without a probe the request may be queued at a busy server
        if not self.servers_are_serial:
            return not request.probes and self._rng.random() < EXPLORATION_PROBABILITY
        # Behind one more request the response arrives one mean latency later. The probability that it then
        # misses the objective grows with that fraction of the time left, faster than linearly while small.
        fraction_of_time_left = min(1.0, mean_ms / (request.objective_deadline_ms - now_ms))
        gain = self._idle_fraction * fraction_of_time_left * min(1.0, 2.0 * fraction_of_time_left)
        if not request.probes:
            gain *= 1.0 - self._idle_fraction
        if gain > self._settings.price_probe:
            # A busy server is certain to delay the request only if it runs one request at a time.
            request.idle_only = self.servers_are_serial
            return True
        return not request.probes and self._rng.random() < EXPLORATION_PROBABILITY

    def record_probe_sent(self, request: Request, server: Server) -> None:
        """Record that a server is probed for a request."""
        request.probes += 1
        request.probed_server = server
        self._waiting_by_server.setdefault(server.id, []).append(request)

    def pop_waiting(self, server_id: int) -> Request | None:
        """Remove and return the request that has waited longest for a report of this server."""
        waiting_requests = self._waiting_by_server.pop(server_id, None)
        if waiting_requests is None:
            return None
        if len(waiting_requests) > 1:
            self._waiting_by_server[server_id] = waiting_requests[1:]
        return waiting_requests[0]

    def record(self, event: ProbeEnded) -> float | None:
        """Record the outcome of a probe; return the reported requests at the server, None if unknown."""
        if event.outcome is not Outcome.OK:
            return None
        self._round_trip_ms += EWMA_WEIGHT * (event.spent_ms - self._round_trip_ms)
        report = event.report
        if not 0 <= self._load_index < len(report):
            return None
        load = report[self._load_index]
        self._idle_fraction += EWMA_WEIGHT * ((load < IDLE_THRESHOLD) - self._idle_fraction)
        queued = report[self._waiting_index] if 0 <= self._waiting_index < len(report) else 0.0
        self._max_running = max(self._max_running, load - queued)
        self.servers_are_serial = self._max_running < SERIAL_THRESHOLD
        return load

    def draw_queue_pause_ms(self, mean_ms: float) -> float:
        """Draw the pause until a queued request is dispatched again.

        The pause grows as fewer servers are idle, because more instances then find the same one (thundering
        herd).
        """
        contention = (
            4.0 * (self._round_trip_ms + self._settings.tick_ms) / (mean_ms * max(self._idle_fraction, 0.001))
        )
        return (
            mean_ms
            * MIN_QUEUE_PAUSE_FRACTION
            * max(1.0, min(contention, MAX_CONTENTION_FACTOR))
            * (0.5 + self._rng.random())
        )
