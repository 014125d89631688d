"""The ramp of warming servers that all instances keep together: allocations, leases and credit."""

from __future__ import annotations

from dataclasses import replace

from sandhatch.balancing.events import RampShare
from sandhatch.balancing.guidance.ramp_allocation import RampAllocation
from sandhatch.balancing.guidance.shared_ramp import SharedRamp
from tests.balancing.guidance.harness import SETTINGS, FakeServer


def sent(ramp: SharedRamp, server: FakeServer, begin: int, end: int) -> int:
    """Requests that the ramp admits, where one is tried each millisecond."""
    count = 0
    for now in range(begin, end):
        if ramp.admits(server, float(now)):
            ramp.spend(server, float(now))
            count += 1
    return count


def integral(begin: float, end: float) -> float:
    """The integral of the ramp's rate, for a server that started at 1,000 ms."""
    share = 0.1 + 0.9 * ((begin + end) / 2.0 - 1_000.0) / 10_000.0
    return 100.0 * share * (end - begin) / 1_000.0


def test_without_guidance_an_instance_sends_by_its_own_allocation() -> None:
    ramp, server = SharedRamp(SETTINGS), FakeServer(7)
    ramp.watch([server], 1_000.0)
    count = sent(ramp, server, 1_000, 6_000)
    assert 0.8 * integral(1_000, 6_000) / 4.0 <= count <= integral(1_000, 6_000) / 4.0 + 1.0


def test_a_granted_share_counts_until_its_lease_expires_and_none_until_the_own_share_is_back() -> None:
    ramp, server = SharedRamp(SETTINGS), FakeServer(7)
    ramp.watch([server], 1_000.0)
    ramp.grant([RampShare(7, 1.0, 2.0)], 2_000.0, 4_000.0, 5_000.0, 2_100.0)
    assert ramp.part(server, 2_500.0) == RampAllocation(1.0, 2.0)
    assert ramp.part(server, 3_500.0) == RampAllocation(0.5, 2.0)  # decays over the second half
    assert ramp.part(server, 4_000.0) == RampAllocation(0.0, 0.0)
    assert ramp.part(server, 5_000.0) == RampAllocation(0.25, 1.0)
    assert sent(ramp, server, 2_100, 4_000) > 2.0 * integral(2_100, 4_000) / 4.0
    assert sent(ramp, server, 4_000, 5_000) == 0


def test_time_between_two_updates_counts_by_the_shares_of_that_time() -> None:
    """An instance that sends seldom must not accrue for the gap what others had leased then."""
    ramp, server = SharedRamp(replace(SETTINGS, ramp_per_s=10_000.0, ramp_burst=400.0)), FakeServer(7)
    ramp.watch([server], 1_000.0)
    ramp.grant([], 1_000.0, 3_000.0, 4_000.0, 1_000.0)
    ramp.grant([RampShare(7, 1.0, 400.0)], 3_990.0, 5_990.0, 6_990.0, 3_990.0)
    assert sent(ramp, server, 3_990, 3_991) == 0


def test_credit_is_capped_by_the_share_that_is_granted_now() -> None:
    ramp, server = SharedRamp(replace(SETTINGS, ramp_burst=40.0)), FakeServer(7)
    ramp.watch([server], 1_000.0)
    assert ramp.admits(server, 9_000.0)  # full: ten calls
    ramp.grant([RampShare(7, 0.1, 1.0)], 9_000.0, 11_000.0, 12_000.0, 9_000.0)
    assert sent(ramp, server, 9_000, 9_001) == 1
    assert not ramp.admits(server, 9_001.0)


def test_credit_of_a_grant_expires_with_the_grant() -> None:
    ramp, server = SharedRamp(replace(SETTINGS, ramp_per_s=10_000.0)), FakeServer(7)
    ramp.watch([server], 1_000.0)
    ramp.grant([RampShare(7, 1.0, 4.0)], 2_000.0, 4_000.0, 5_000.0, 2_000.0)
    assert ramp.admits(server, 3_999.0)
    assert not ramp.admits(server, 4_000.0)


def test_a_new_process_of_a_server_starts_a_new_ramp() -> None:
    ramp, server = SharedRamp(SETTINGS), FakeServer(7)
    ramp.watch([server], 1_000.0)
    assert ramp.admits(server, 9_000.0)
    server.started_ms = 9_000.0
    assert not ramp.admits(server, 9_000.0)


def test_a_warm_server_is_admitted_without_credit() -> None:
    ramp, server = SharedRamp(SETTINGS), FakeServer(7)
    ramp.watch([server], 1_000.0)
    assert sent(ramp, server, 11_000, 11_010) == 10
    assert ramp.warming_servers(11_000.0) == []
