"""Probing: whether a drawn server's load report is worth its price, and what reports show."""

from random import Random

from sandhatch.balancing.events import Outcome, ProbeEnded
from sandhatch.balancing.records import Request, Server
from sandhatch.balancing.settings import ReportMode, Settings

MEMORY = 1.0 / 16.0
IDLE_FIELD = "running_and_waiting"  # the one report value that shows an idle server; others say nothing of it
WAITING_FIELD = "waiting"
IDLE_BELOW = 0.5  # requests that a server reports
SERIAL_BELOW = 1.5  # requests seen running at once, below which servers run one at a time
MAX_PROBES = 8  # in one round of draws
MAX_RETRIED_PROBES = 2  # in a round of a request that was queued, which come soon and often
EXPLORATION = 0.03  # of the requests, which probe although it seems not to pay, to notice a change
QUEUE_FRACTION = 1.0 / 32.0  # of the latency, for which a queued request waits at the least
MAX_CROWD = 16.0  # times that, at the most
BUSY_FRACTION = 0.25  # of the latency, for which a server that reports itself busy has no token


class Probing:
    """What reports have shown so far: how many servers are idle, and how many requests they run at once."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        """Look up the places of the values in a report."""
        self._rng = rng
        self._settings = settings
        reports = settings.may_probe and settings.report_mode is not ReportMode.OFF
        fields = list(settings.report_fields) if reports else []
        self._load_index = fields.index(IDLE_FIELD) if IDLE_FIELD in fields else -1
        self._waiting_index = fields.index(WAITING_FIELD) if WAITING_FIELD in fields else -1
        self.enabled = self._load_index >= 0
        self._most_running = 0.0  # requests that any server was seen to run at once
        self.servers_are_serial = True
        self._idle_fraction = 0.5  # of the reports
        self._round_trip_ms = 2.0 * settings.tick_ms
        self._waiting: dict[int, list[Request]] = {}  # by server, in the order of their probes

    @property
    def timeout_ms(self) -> float:
        """How long a report is awaited; after that its silence counts as busy."""
        return 2.0 * self._settings.tick_ms + 3.0 * self._round_trip_ms

    def pays(self, request: Request, mean_ms: float, now_ms: float) -> bool:
        """Return whether to probe the drawn server, by what that may save of the time left."""
        if not self.enabled or request.probes >= (MAX_RETRIED_PROBES if request.was_queued else MAX_PROBES):
            return False
        if request.idle_only:
            return True  # once begun: a blind send of what finds only busy servers would queue it there
        if not self.servers_are_serial:
            return not request.probes and self._rng.random() < EXPLORATION
        # Behind one request more, the answer comes one mean latency later; the odds that this misses the
        # objective grow with that part of the time left, and faster than it while it is small.
        part = min(1.0, mean_ms / (request.objective_deadline_ms - now_ms))
        gain = self._idle_fraction * part * min(1.0, 2.0 * part)
        if not request.probes:
            gain *= 1.0 - self._idle_fraction
        if gain > self._settings.price_probe:
            # Only where servers run one request at a time is a busy one sure to let it wait.
            request.idle_only = self.servers_are_serial
            return True
        return not request.probes and self._rng.random() < EXPLORATION

    def await_report(self, request: Request, server: Server) -> None:
        """Record that a request has sent a probe to a server."""
        request.probes += 1
        request.probed_server = server
        self._waiting.setdefault(server.id, []).append(request)

    def next_waiting(self, server_id: int) -> Request | None:
        """Take the request that has waited for longest for a report of this server."""
        waiting = self._waiting.pop(server_id, None)
        if waiting is None:
            return None
        if len(waiting) > 1:
            self._waiting[server_id] = waiting[1:]
        return waiting[0]

    def record(self, event: ProbeEnded) -> float | None:
        """Learn from the end of a probe; return the requests at the server, None if it does not say."""
        if event.outcome is not Outcome.OK:
            return None
        self._round_trip_ms += MEMORY * (event.spent_ms - self._round_trip_ms)
        report = event.report
        if not 0 <= self._load_index < len(report):
            return None
        load = report[self._load_index]
        self._idle_fraction += MEMORY * ((load < IDLE_BELOW) - self._idle_fraction)
        queued = report[self._waiting_index] if 0 <= self._waiting_index < len(report) else 0.0
        self._most_running = max(self._most_running, load - queued)
        self.servers_are_serial = self._most_running < SERIAL_BELOW
        return load

    def queue_pause_ms(self, mean_ms: float) -> float:
        """Draw the pause until a queued request is dispatched anew.

        Guards against a thundering herd: the fewer servers are idle, the more instances find the same one.
        """
        crowd = (
            4.0 * (self._round_trip_ms + self._settings.tick_ms) / (mean_ms * max(self._idle_fraction, 0.001))
        )
        return mean_ms * QUEUE_FRACTION * max(1.0, min(crowd, MAX_CROWD)) * (0.5 + self._rng.random())
