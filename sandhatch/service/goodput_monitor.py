"""Compares the goodput under a new version with the goodput before it, from the service's requests.

Goodput is the priority weight of the requests served in time over that of all requests received.
`config.goodput_watch` decides whether a fall in goodput is significant; this module supplies the
requests.
"""

from __future__ import annotations

from sandhatch.config.check import CheckedConfiguration
from sandhatch.config.diff import diff
from sandhatch.config.goodput_watch import GoodputDrop, GoodputWatch
from sandhatch.config.version import Version
from sandhatch.runtime.clock import Clock
from sandhatch.service.request_record import RequestRecord
from sandhatch.service.running_version import RunningVersion

OVERLOAD_STATUSES = (429, 503)


class GoodputMonitor:
    """Supplies a `GoodputWatch` with the service's requests.

    Attributes:
        watch: Comparison of goodput; its window and block length come from the first version's configuration.
    """

    def __init__(self, clock: Clock, first: CheckedConfiguration) -> None:
        """Start counting requests; the comparison starts with `begin`."""
        self._clock = clock
        self.watch = GoodputWatch(first.model.watch.block_ms, first.model.watch.before_ms)

    def begin(self, version: Version, confirmed: Version) -> None:
        """Start the comparison; compare only the changed pools if nothing but pools has changed."""
        spec = version.checked.model.watch
        changes = diff(confirmed.data, version.data)
        changed_pools = frozenset(
            change.key[1] for change in changes if change.key[0] == "pools" and change.key[1:]
        )
        only_pools = changed_pools if all(change.key[0] == "pools" for change in changes) else None
        assert version.watch_until_ms is not None
        now_ms = self._clock.now_ms()
        self.watch.begin(
            now_ms, version.watch_until_ms - now_ms, spec.significance, spec.least_fall, only_pools
        )

    def request_received(
        self, received_at_ms: float, class_name: str, pool: str, version: RunningVersion
    ) -> None:
        """Count a request that was received and is routed to a pool."""
        self.watch.request_arrived(
            received_at_ms, class_name, pool, version.checked.model.classes[class_name].worth
        )

    def request_finished(self, record: RequestRecord, version: RunningVersion) -> None:
        """Count a finished request, unless a route served it as a fixed response."""
        if not record.pool:
            return
        request_class = version.checked.model.classes[record.request_class]
        within_objective = (
            record.status == 200 and record.responded_at_ms <= record.received_at_ms + request_class.aim_ms
        )
        self.watch.request_ended(
            record.received_at_ms,
            record.request_class,
            record.pool,
            request_class.worth,
            within_objective,
            record.status in OVERLOAD_STATUSES,
        )

    def check(self, now_ms: float, longest_objective_ms: float) -> GoodputDrop | None:
        """Return the fall in goodput that is significant by now, if any; called at regular intervals."""
        return self.watch.close(now_ms, longest_objective_ms)
