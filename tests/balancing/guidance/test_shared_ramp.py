"""The ramp of warming servers that all instances share: allocations, leases and credit."""

from __future__ import annotations

from dataclasses import replace

from sandhatch.balancing.events import RampShare
from sandhatch.balancing.guidance.ramp_allocation import RampAllocation
from sandhatch.balancing.guidance.shared_ramp import SharedRamp
from tests.balancing.guidance.harness import SETTINGS, FakeServer


def count_admitted(ramp: SharedRamp, server: FakeServer, begin_ms: int, end_ms: int) -> int:
    """Return how many requests the ramp admits, with one attempt per millisecond."""
    count = 0
    for now_ms in range(begin_ms, end_ms):
        if ramp.admits(server, float(now_ms)):
            ramp.spend_credit(server, float(now_ms))
            count += 1
    return count


def integrate_ramp(begin_ms: float, end_ms: float) -> float:
    """Return the integral of the ramp's rate, for a server that started at 1,000 ms."""
    share = 0.1 + 0.9 * ((begin_ms + end_ms) / 2.0 - 1_000.0) / 10_000.0
    return 100.0 * share * (end_ms - begin_ms) / 1_000.0


def test_instance_without_guidance_sends_at_its_own_allocation() -> None:
    ramp, server = SharedRamp(SETTINGS), FakeServer(7)
    ramp.add_servers([server], 1_000.0)
    count = count_admitted(ramp, server, 1_000, 6_000)
    assert 0.8 * integrate_ramp(1_000, 6_000) / 4.0 <= count <= integrate_ramp(1_000, 6_000) / 4.0 + 1.0


def test_grant_is_used_until_it_expires_and_no_share_until_the_own_share_is_back() -> None:
    ramp, server = SharedRamp(SETTINGS), FakeServer(7)
    ramp.add_servers([server], 1_000.0)
    ramp.grant([RampShare(7, 1.0, 2.0)], 2_000.0, 4_000.0, 5_000.0, 2_100.0)
    assert ramp.allocation(server, 2_500.0) == RampAllocation(1.0, 2.0)
    # The leased share of the ramp decays in the second half of the lease.
    assert ramp.allocation(server, 3_500.0) == RampAllocation(0.5, 2.0)
    assert ramp.allocation(server, 4_000.0) == RampAllocation(0.0, 0.0)
    assert ramp.allocation(server, 5_000.0) == RampAllocation(0.25, 1.0)
    assert count_admitted(ramp, server, 2_100, 4_000) > 2.0 * integrate_ramp(2_100, 4_000) / 4.0
    assert count_admitted(ramp, server, 4_000, 5_000) == 0


def test_credit_for_the_time_between_updates_accrues_by_the_shares_of_that_time() -> None:
    """An instance that sends rarely must not accrue credit for a time when others had leased the share."""
    ramp, server = SharedRamp(replace(SETTINGS, ramp_per_s=10_000.0, ramp_burst=400.0)), FakeServer(7)
    ramp.add_servers([server], 1_000.0)
    ramp.grant([], 1_000.0, 3_000.0, 4_000.0, 1_000.0)
    ramp.grant([RampShare(7, 1.0, 400.0)], 3_990.0, 5_990.0, 6_990.0, 3_990.0)
    assert count_admitted(ramp, server, 3_990, 3_991) == 0


def test_credit_is_capped_by_the_burst_of_the_current_grant() -> None:
    ramp, server = SharedRamp(replace(SETTINGS, ramp_burst=40.0)), FakeServer(7)
    ramp.add_servers([server], 1_000.0)
    assert ramp.admits(server, 9_000.0)  # the server's bucket is full, with credit for ten sends
    ramp.grant([RampShare(7, 0.1, 1.0)], 9_000.0, 11_000.0, 12_000.0, 9_000.0)
    assert count_admitted(ramp, server, 9_000, 9_001) == 1
    assert not ramp.admits(server, 9_001.0)


def test_credit_expires_with_its_grant() -> None:
    ramp, server = SharedRamp(replace(SETTINGS, ramp_per_s=10_000.0)), FakeServer(7)
    ramp.add_servers([server], 1_000.0)
    ramp.grant([RampShare(7, 1.0, 4.0)], 2_000.0, 4_000.0, 5_000.0, 2_000.0)
    assert ramp.admits(server, 3_999.0)
    assert not ramp.admits(server, 4_000.0)


def test_restarted_server_starts_a_new_ramp() -> None:
    ramp, server = SharedRamp(SETTINGS), FakeServer(7)
    ramp.add_servers([server], 1_000.0)
    assert ramp.admits(server, 9_000.0)
    server.started_ms = 9_000.0
    assert not ramp.admits(server, 9_000.0)


def test_warm_server_is_admitted_without_credit() -> None:
    ramp, server = SharedRamp(SETTINGS), FakeServer(7)
    ramp.add_servers([server], 1_000.0)
    assert count_admitted(ramp, server, 11_000, 11_010) == 10
    assert ramp.warming_servers(11_000.0) == []
