"""What a balancer instance knows from its start: classes of requests, tenants, limits and prices.

Settings never change while an instance runs. Every default is the cautious one. The names on the simulator's
wire are those of its page (`WIRE-sandhatch.md`) and are translated in `sandhatch.simulator`.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, fields
from enum import Enum

from sandhatch.balancing.errors import SettingsError


class Effect(Enum):
    """What it would do to run a request twice."""

    IDEMPOTENT = "safe"  # nothing: may be repeated freely
    IDEMPOTENT_WITH_KEY = "keyed"  # nothing within a group of servers, which drop repeats for a while
    NON_IDEMPOTENT = "unsafe"  # harm: must never run twice


class DeduplicationScope(Enum):
    """Which servers drop the repeats of a request that is idempotent with a key."""

    ALL = "all"  # all servers of the tier
    ZONE = "zone"  # the servers in one zone
    CELL = "cell"  # the servers in one cell: a handful that share the keys they have seen


class ReportMode(Enum):
    """When servers report their load."""

    INLINE = "inline"  # with the outcomes of attempts and of probes
    ON_PROBE = "on_probe"  # with the outcomes of probes only
    OFF = "off"


def _check(owner: str, name: str, value: float, low: float, high: float = math.inf) -> None:
    """Reject a value that is not a finite number between these bounds."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        bound = f"at least {low:g}" if high == math.inf else f"between {low:g} and {high:g}"
        raise SettingsError(f"{owner}{name}: {value!r} is not a number {bound}")
    if value == math.inf:
        raise SettingsError(f"{owner}{name}: {value!r} is not finite")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests and what may be done with it.

    Attributes:
        objective_ms: Latency objective: an answer within this time earns the full priority weight.
        deadline_ms: How long a client waits in total, over all its retries.
        effect: What it would do to run a request twice.
        priority_weight: What an answer within the objective is worth.
        late_priority_weight: Share of that weight that an answer after the objective still earns.
        deduplication_scope: Which servers drop repeats, where requests are idempotent with a key.
        deduplication_ms: For how long they do, from the first attempt that may have run.
        streaming: Whether answers are streams, so that `AnswerStarted` is sent.
        objective_stretch: The objective grows by this many times the request's own work, up to the deadline.
        name: A label for people.
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
        """Check the numbers; raises SettingsError."""
        _check("class.", "objective_ms", self.objective_ms, 0.001)
        _check("class.", "deadline_ms", self.deadline_ms, 0.001)
        for name in ("priority_weight", "late_priority_weight", "deduplication_ms", "objective_stretch"):
            _check("class.", name, getattr(self, name), 0.0)


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant of the service and its quota.

    Attributes:
        quota_per_s: Requests per second, over all instances together, that are within its quota.
        fraction: Its fraction of the service's traffic.
        name: A label for people.
    """

    quota_per_s: float
    fraction: float = 0.0
    name: str = ""

    def __post_init__(self) -> None:
        """Check the numbers; raises SettingsError."""
        _check("tenant.", "quota_per_s", self.quota_per_s, 0.0)
        _check("tenant.", "fraction", self.fraction, 0.0)


# The least values of numbers that may not be 0.
_LEAST_VALUES = {
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
    """All settings of one instance. Zones, tiers and instances are counted from 0."""

    # ---- the service
    classes: Sequence[RequestClass]  # at least one; a request names its class by index
    tenants: Sequence[Tenant] = ()  # a request names its tenant by index; none: there are no quotas

    # ---- where this instance is
    zones: int = 1  # number of zones
    own_zone: int = 0  # this instance's zone
    instance_index: int = 0  # this instance's index in its tier
    instances: int = 1  # number of instances in its tier
    tier: int = 0  # index of the tier that this instance sends to
    tiers: int = 1  # number of tiers
    tick_ms: float = 1.0  # the shortest time between two batches of events

    # ---- discovery
    polled_discovery: bool = False  # endpoint lists arrive only on request
    one_shot_watches: bool = False  # a watch ends with each of its answers and has to be renewed
    poll_interval_ms: float = 10_000.0  # without a request for so long, older changes count as notified
    drain_grace_ms: float = 0.0  # from the notification that a server drains to the last send to it

    # ---- answers
    response_slack_ms: float = 5.0  # so long after a client's deadline a final answer still counts

    # ---- servers that are warming up
    initial_capacity_share: float = 0.1  # of its full capacity, that a server has when it starts
    warm_up_ms: float = 30_000.0  # from a server's start until it has its full capacity
    # Requests per second that all instances together may send to a server at the end of its warm-up. 0: there
    # is no shared ramp, and each instance goes by its own traffic.
    ramp_per_s: float = 0.0
    ramp_burst: float = 0.0  # requests at once beyond that rate, from all instances; 0: one for each instance
    overload_multiple: float = 2.0  # a warming server fails when sent this many times its capacity
    overload_window_ms: float = 2_000.0  # for this long

    # ---- what is allowed
    max_attempts: int = 1  # attempts per request, the first included
    may_cancel: bool = False  # attempts in flight may be cancelled
    may_probe: bool = False  # servers may be probed
    hedging_allowed: bool = False  # two attempts of a request may be in flight at once

    # ---- connections
    connection_idle_ms: float = 60_000.0  # idle connections close after this
    connect_timeout_ms: float = 250.0  # a connection attempt that takes longer fails

    # ---- clients
    retry_advice: bool = False  # a rejection may tell the client how long to wait
    max_retry_after_ms: float = 0.0  # the longest wait that clients respect
    clients_mark_retries: bool = False  # clients mark requests that are retries
    propagates_deadline: bool = False  # servers pass the time left on to the next tier

    # ---- load reports
    report_mode: ReportMode = ReportMode.OFF
    # What the values of a load report count: requests "running_and_waiting" or "waiting"; "" is not used.
    report_fields: Sequence[str] = ()

    # ---- weights and prices
    over_quota_weight: float = 1.0  # of a request over its tenant's quota, as a share of the class's weight
    # Deductions from the result:
    price_cross_zone: float = 0.0  # for attempts across zones, per first attempt
    price_probe: float = 0.0  # for probes, per first attempt
    price_waste: float = 0.0  # for the servers' work that gave no answer, as a share of all work
    price_late_fail: float = 0.0  # for weight that was still unanswered after its objective

    def __post_init__(self) -> None:
        """Check the numbers and how they fit together; raises SettingsError."""
        if not self.classes:
            raise SettingsError("classes: the list is empty")
        self._check_numbers()
        _check("", "initial_capacity_share", self.initial_capacity_share, 0.0, 1.0)
        if self.own_zone >= self.zones:
            raise SettingsError(f"own_zone: {self.own_zone!r} is not below the number of zones, {self.zones}")
        if self.ramp_per_s and self.instance_index >= self.instances:
            raise SettingsError(
                f"instance_index: {self.instance_index!r} is not below the number of instances, "
                f"{self.instances}"
            )
        if 0.0 < self.ramp_burst < 1.0:
            raise SettingsError(f"ramp_burst: {self.ramp_burst!r} lets no call through; 1 is the least")

    def _check_numbers(self) -> None:
        """Check each field that is, or should be, a number against its least value."""
        for setting in fields(self):
            value = getattr(self, setting.name)
            is_number = isinstance(value, int | float) and not isinstance(value, bool)
            if is_number or setting.type in ("int", "float"):
                _check("", setting.name, value, _LEAST_VALUES.get(setting.name, 0.0))
