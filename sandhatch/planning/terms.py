"""Durations and limits in the configuration of planners and forwarders.

Holds values only: no I/O, no clock. The configuration keys are documented in docs/operators/planning.md.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class PlannerTerms:
    """Settings of a planner.

    Attributes:
        lease_ms: Validity period of advice.
        share_lease_ms: Time for which a forwarder's own shares stay leased to the planner after each advice.
            It must exceed `lease_ms` by the time of a few reports.
        weights_interval_ms: Interval at which server weights are updated.
        member_timeout_ms: Silence after which a forwarder is no longer a member.
        min_reporting_fraction: Fraction of a pool's forwarders that must report before weights are advised.
        assignment_interval_ms: Interval at which ramp shares are reassigned.
        max_ramp_holders: Maximum number of forwarders with a share in one server's warm-up ramp.
        own_share_floor: Fraction of a forwarder's even share of the tier's capacity that is never assigned to
            other forwarders.
    """

    lease_ms: float = 2_000.0
    share_lease_ms: float = 3_000.0
    weights_interval_ms: float = 250.0
    member_timeout_ms: float = 3_000.0
    min_reporting_fraction: float = 0.5
    assignment_interval_ms: float = 1_000.0
    max_ramp_holders: int = 64
    own_share_floor: float = 0.5


@dataclass(frozen=True)
class ForwarderTerms:
    """Settings of a forwarder's side of the link.

    Attributes:
        report_ms: Interval between reports to a planner.
        bytes_per_s: Maximum rate of the reports to each planner, in bytes per second.
        max_lease_ms: Longest lease that is accepted.
        hold_ms: Time for which a planner earlier in the configured order must be healthy before the lease
            returns to that planner.
        fault_limit: Number of faults within `fault_window_ms` that opens the circuit of a planner.
        fault_window_ms: Length of the sliding window in which faults are counted.
        min_backoff_ms: Backoff when the circuit opens for the first time; doubled each further time.
        max_backoff_ms: Upper bound of the backoff.
    """

    report_ms: float = 250.0
    bytes_per_s: float = 65_536.0
    max_lease_ms: float = 10_000.0
    hold_ms: float = 5_000.0
    fault_limit: int = 3
    fault_window_ms: float = 60_000.0
    min_backoff_ms: float = 10_000.0
    max_backoff_ms: float = 600_000.0
