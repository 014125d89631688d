"""Pacing of an instance's requests to discovery: how long each request is delayed.

All instances share discovery's capacity, and a rejected request costs it as much as one that it serves. The
pacing prevents instances from sending requests in step at their start or after a failure, requests from
leaving discovery's queue and joining it again, and rejected requests from being retried so fast that no
instance is served. It decides nothing else, does no I/O and reads no clock. `endpoint_freshness` decides what
is requested, and until when the list is due.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from sandhatch.balancing.settings import Settings

# Width of the spread of first polls, per instance of each tier: twice the assumed service time of a request
# at discovery. No setting states that time.
SPREAD_MS = 500.0


@dataclass(slots=True, frozen=True)
class Pauses:
    """Pauses between requests. They are drawn uniformly between half of the stated value and the full value.

    Attributes:
        spread_ms: Width of the spread per instance that may send a request at the same time.
        pause_ms: Time between the starts of consecutive failing requests until the list is due.
        overdue_pause_ms: Time between the starts of consecutive failing requests once the list is overdue.
        overdue_margin_ms: Time after the list is due until which a request is sent early enough for its
            response to arrive within the drain grace period.
    """

    spread_ms: float
    pause_ms: float
    overdue_pause_ms: float
    overdue_margin_ms: float


# Pushed lists come from the instance's own agent. As soon as the agent is back, the instance is taken to know
# of the agent's changes, received or not. No other instance queues at the agent, and a pause must fit into
# the shortest grace period.
PUSHED_LIST_PAUSES = Pauses(spread_ms=0.0, pause_ms=100.0, overdue_pause_ms=500.0, overdue_margin_ms=0.0)


def polled_list_pauses(drain_grace_ms: float, notified_ms: float) -> Pauses:
    """Return the pauses for a discovery service that all instances share.

    Once the list is overdue, each instance sends about one request per bound, so that a discovery service
    that can serve all instances within the bound is not saturated by rejections. The pause must leave time
    for a response within the grace period once discovery is back.

    Args:
        drain_grace_ms: Time from the notification of draining to the last send; may be arbitrarily large.
        notified_ms: Bound on the age of a list.
    """
    overdue_margin_ms = min(drain_grace_ms, notified_ms) / 2.0
    return Pauses(
        spread_ms=SPREAD_MS,
        pause_ms=2.0 * (notified_ms / 3.0),
        overdue_pause_ms=notified_ms + overdue_margin_ms,
        overdue_margin_ms=overdue_margin_ms,
    )


class DiscoveryPacing:
    """Draws the delays of one instance's requests to discovery. All times are in milliseconds."""

    # Longest random delay of a poll, as a fraction of the time until a list is due. The rest of that time is
    # kept for a second poll, since discovery may reject the first one.
    SPREAD_FRACTION = 0.6
    # Earliest time of a second poll, as a fraction of the time in which it has to be sent: a discovery that
    # is busy enough to reject a poll is likely to reject one that follows at once.
    RETRY_FRACTION = 0.25
    # Shortest spread, as a fraction of the bound on a list's age: polls of all instances within a shorter
    # time would exceed discovery's capacity.
    MIN_SPREAD_FRACTION = 1.0 / 3.0

    def __init__(self, settings: Settings, notified_ms: float, rng: Random) -> None:
        """Create the pacing of an instance that has not sent a request yet.

        Args:
            settings: Settings of the instance.
            notified_ms: Bound on the age of a list.
            rng: Source of the random delays.
        """
        self._rng = rng
        # Estimated number of instances that call discovery; tiers may differ in size.
        self._fleet_size = settings.instances * settings.tiers
        self._pauses = PUSHED_LIST_PAUSES
        if settings.polled_discovery:
            self._pauses = polled_list_pauses(settings.drain_grace_ms, notified_ms)
        self._min_spread_ms = self.MIN_SPREAD_FRACTION * notified_ms
        # Number of failures since the last list. The retry after the first failure gets a random delay, so
        # that instances whose watches break together don't poll together. The first poll after a start
        # already has such a delay, and its failure counts as the second.
        self._failure_count = 1 if settings.polled_discovery else 0

    def reset(self) -> None:
        """Count failures from none again, after a list or a change of discovery's address."""
        self._failure_count = 0

    def spread_ms(self, now_ms: float, due_ms: float) -> float:
        """Return the random delay of a poll that other instances may send at the same time.

        The delay leaves time for a second poll, unless the list is due so soon that discovery could not
        respond to all instances before.

        Args:
            now_ms: Present time.
            due_ms: Time at which a list is due.
        """
        left_ms = due_ms - now_ms
        useful_ms = max(0.0, self._last_useful_ms(due_ms) - now_ms)
        window_ms = min(useful_ms, max(self._min_spread_ms, self.SPREAD_FRACTION * left_ms))
        return self._rng.random() * min(self._pauses.spread_ms * self._fleet_size, window_ms)

    def retry_delay_ms(self, now_ms: float, sent_ms: float, due_ms: float) -> float:
        """Count a failure, and return the delay until the next request.

        The first failure after a list is a watch that broke or fell silent: all changes since then are
        unknown, and the retry is spread. Later failures are paced from the start of one request to the start
        of the next: the time that a request was in flight counts towards the pause. The pause after the
        second failure ends while a request is still useful; later pauses don't, since shorter ones would
        keep a busy discovery busy.

        Args:
            now_ms: Present time.
            sent_ms: Time at which the failed request was sent.
            due_ms: Time at which a list is due.
        """
        self._failure_count += 1
        if self._failure_count == 1:
            return self.spread_ms(now_ms, due_ms)
        is_due = now_ms >= due_ms
        max_pause_ms = self._pauses.overdue_pause_ms if is_due else self._pauses.pause_ms
        earliest_ms = max(now_ms, sent_ms + 0.5 * max_pause_ms)
        latest_ms = max(now_ms, sent_ms + max_pause_ms)
        if self._failure_count == 2 and not is_due:
            latest_ms = min(latest_ms, self._last_useful_ms(due_ms))
            earliest_ms = min(earliest_ms, now_ms + self.RETRY_FRACTION * (latest_ms - now_ms))
        return self._rng.uniform(earliest_ms, latest_ms) - now_ms

    def _last_useful_ms(self, due_ms: float) -> float:
        """Return the last time at which a request gets its response before the list is too old to use."""
        return due_ms + self._pauses.overdue_margin_ms
