"""Settings of a balancer instance: request classes, tenants, limits and prices.

Settings never change while an instance runs. Defaults are conservative. The names in the simulator's wire
protocol are defined in `WIRE-sandhatch.md` and translated in `sandhatch.simulator`.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, fields
from enum import Enum

from sandhatch.balancing.errors import SettingsError


class Effect(Enum):
    """Effect of running a request twice."""

    IDEMPOTENT = "safe"  # no effect: may be repeated freely
    IDEMPOTENT_WITH_KEY = "keyed"  # no effect within a group of servers that deduplicate requests for a while
    NON_IDEMPOTENT = "unsafe"  # harmful: must never run twice


class DeduplicationScope(Enum):
    """Group of servers that deduplicates a request which is idempotent with a key."""

    ALL = "all"  # all servers of the tier
    ZONE = "zone"  # the servers in one zone
    CELL = "cell"  # the servers in one cell: a few servers that share the keys they have seen


class ReportMode(Enum):
    """Occasions on which servers report their load."""

    INLINE = "inline"  # reports arrive with the outcomes of attempts and of probes
    ON_PROBE = "on_probe"  # reports arrive with the outcomes of probes only
    OFF = "off"


def _check_range(owner: str, name: str, value: float, low: float, high: float = math.inf) -> None:
    """Check that a value is a finite number between two bounds.

    Raises:
        SettingsError: The value is not a number, not finite, or out of bounds.
    """
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        bound = f"at least {low:g}" if high == math.inf else f"between {low:g} and {high:g}"
        raise SettingsError(f"{owner}{name}: {value!r} is not a number {bound}")
    if value == math.inf:
        raise SettingsError(f"{owner}{name}: {value!r} is not finite")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests with its objective and retry semantics.

    Attributes:
        objective_ms: Latency objective: a response within this time earns the full priority weight.
        deadline_ms: Total time for which a client waits, over all its retries.
        effect: Effect of running a request twice.
        priority_weight: Value of a response within the objective.
        late_priority_weight: Fraction of that weight that a response after the objective still earns.
        deduplication_scope: Group of servers that deduplicates requests which are idempotent with a key.
        deduplication_ms: Duration of deduplication, from the first attempt that may have run.
        streaming: Whether responses are streamed, so that `AnswerStarted` is sent.
        objective_stretch: Multiple of a request's own work by which its objective grows, up to its deadline.
        name: Human-readable label.
    """

    objective_ms: float
    deadline_ms: float
    effect: Effect
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_ms: float = 0.0
    streaming: bool = False
    objective_stretch: float = 0.0
    name: str = ""

    def __post_init__(self) -> None:
        """Check the ranges of the numbers; raises SettingsError."""
        _check_range("class.", "objective_ms", self.objective_ms, 0.001)
        _check_range("class.", "deadline_ms", self.deadline_ms, 0.001)
        for name in ("priority_weight", "late_priority_weight", "deduplication_ms", "objective_stretch"):
            _check_range("class.", name, getattr(self, name), 0.0)


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant of the service and its quota.

    Attributes:
        quota_per_s: Quota in requests per second, over all instances together.
        fraction: Fraction of the service's traffic.
        name: Human-readable label.
    """

    quota_per_s: float
    fraction: float = 0.0
    name: str = ""

    def __post_init__(self) -> None:
        """Check the ranges of the numbers; raises SettingsError."""
        _check_range("tenant.", "quota_per_s", self.quota_per_s, 0.0)
        _check_range("tenant.", "fraction", self.fraction, 0.0)


# Minimum values of numbers that must not be 0.
_MIN_VALUES = {
    "instances": 1,
    "zones": 1,
    "tiers": 1,
    "max_attempts": 1,
    "overload_multiple": 0.001,
    "overload_window_ms": 0.001,
    "tick_ms": 0.001,
}


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of one instance. Indexes of zones, tiers and instances start at 0."""

    # ---- the service
    classes: Sequence[RequestClass]  # at least one class; requests refer to classes by index
    tenants: Sequence[Tenant] = ()  # requests refer to tenants by index; no quotas if empty

    # ---- where this instance is
    zones: int = 1  # number of zones in which servers may run
    own_zone: int = 0  # this instance's zone
    instance_index: int = 0  # this instance's index in its tier
    instances: int = 1  # number of instances in its tier
    tier: int = 0  # index of the tier that this instance sends to
    tiers: int = 1  # number of tiers whose instances call the same discovery service
    tick_ms: float = 1.0  # minimum time between two batches of events

    # ---- discovery
    polled_discovery: bool = False  # endpoint lists are received only on request
    one_shot_watches: bool = False  # a watch ends with each response and has to be renewed
    poll_interval_ms: float = 10_000.0  # age from which a change is taken to be known, even without a poll
    drain_grace_ms: float = 0.0  # maximum time from the notification of draining to the last send

    # ---- responses
    response_slack_ms: float = 5.0  # time after a client's deadline in which a final response still counts

    # ---- servers that are warming up
    initial_capacity_share: float = 0.1  # capacity of a starting server, as a fraction of its full capacity
    warm_up_ms: float = 30_000.0  # time from a server's start to its full capacity
    # Requests per second that all instances together may send to a server at the end of its warm-up. 0 means
    # that there is no shared ramp, and each instance limits its sends by its own traffic.
    ramp_per_s: float = 0.0
    # Requests that all instances together may send to a warming server at once beyond the ramp's rate; 0
    # means one per instance.
    ramp_burst: float = 0.0
    overload_multiple: float = 2.0  # multiple of a warming server's capacity at which it fails
    overload_window_ms: float = 2_000.0  # duration of the overload after which a warming server fails

    # ---- permissions
    max_attempts: int = 1  # attempts per request, the first included
    may_cancel: bool = False  # attempts in flight may be cancelled
    may_probe: bool = False  # servers may be probed
    hedging_allowed: bool = False  # two attempts of a request may be in flight at once

    # ---- connections
    connection_idle_ms: float = 60_000.0  # idle connections are closed after this time
    connect_timeout_ms: float = 250.0  # time-out of connection establishment

    # ---- clients
    retry_advice: bool = False  # rejections may carry a suggested wait before a retry
    max_retry_after_ms: float = 0.0  # longest suggested wait before a retry that clients respect
    clients_mark_retries: bool = False  # clients mark requests that are retries
    propagates_deadline: bool = False  # servers forward the time left to the next tier

    # ---- load reports
    report_mode: ReportMode = ReportMode.OFF
    # Meaning of the values in a load report: "running_and_waiting" or "waiting" requests; "" is ignored.
    report_fields: Sequence[str] = ()

    # ---- weights and prices
    over_quota_weight: float = 1.0  # priority weight of a request over quota, as a fraction of its class's
    # Prices from the section `Deductions` of the settings text that simulator and platform give. Decisions
    # weigh only those of cross-zone attempts and probes.
    price_cross_zone: float = 0.0  # price of cross-zone attempts, per first attempt
    price_probe: float = 0.0  # price of probes, per first attempt
    price_waste: float = 0.0  # price of server work without a response, as a fraction of all work
    price_late_fail: float = 0.0  # price of priority weight without a response after its objective

    def __post_init__(self) -> None:
        """Check the ranges of all numbers and their consistency; raises SettingsError."""
        if not self.classes:
            raise SettingsError("classes: the list is empty")
        self._check_numbers()
        _check_range("", "initial_capacity_share", self.initial_capacity_share, 0.0, 1.0)
        if self.own_zone >= self.zones:
            raise SettingsError(f"own_zone: {self.own_zone!r} is not below the number of zones, {self.zones}")
        if self.ramp_per_s and self.instance_index >= self.instances:
            raise SettingsError(
                f"instance_index: {self.instance_index!r} is not below the number of instances, "
                f"{self.instances}"
            )
        if 0.0 < self.ramp_burst < 1.0:
            raise SettingsError(f"ramp_burst: {self.ramp_burst!r} allows no request; the minimum is 1")

    def _check_numbers(self) -> None:
        """Check each field that is, or should be, a number against its minimum value."""
        for setting in fields(self):
            value = getattr(self, setting.name)
            is_number = isinstance(value, int | float) and not isinstance(value, bool)
            if is_number or setting.type in ("int", "float"):
                _check_range("", setting.name, value, _MIN_VALUES.get(setting.name, 0.0))
