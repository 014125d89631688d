"""Selection of the planner that a forwarder leases its own shares to, and moves of the lease."""

from __future__ import annotations

from tests.planning.machines import ForwarderDriver


def test_when_the_lease_holder_is_lost_the_next_planner_gets_the_lease_after_its_expiry() -> None:
    driver = ForwarderDriver("p0", "p1")
    driver.connect("p0")
    driver.connect("p1")
    driver.rounds(4, "p0", "p1")
    driver.machine.disconnected("p0")
    lease_end_ms = driver.machine.leased_until_ms
    while driver.machine.leased_to != "p1":
        driver.rounds(1, "p1")
        assert driver.now < lease_end_ms + 300.0
    assert driver.now >= lease_end_ms


def test_a_planner_that_stops_responding_loses_the_lease_when_its_advice_expires() -> None:
    driver = ForwarderDriver("p0")
    driver.connect("p0")
    driver.rounds(4, "p0")
    assert driver.machine.leased_to == "p0"
    driver.tick(250.0)  # the report sent here acknowledges the last received advice
    lease_end_ms = driver.machine.leased_until_ms
    for _ in range(20):
        driver.tick(250.0)
    assert driver.machine.leased_to is None
    # Reports that do not acknowledge newer advice do not extend the lease.
    assert driver.machine.leased_until_ms == lease_end_ms
    assert not driver.reports["p0"].leases_shares


def test_a_learning_planner_without_an_earlier_lease_does_not_get_the_lease() -> None:
    driver = ForwarderDriver("p0")
    driver.connect("p0")
    driver.rounds(3, "p0", learning=True, has_lease=False)
    assert driver.machine.leased_to is None
    driver.rounds(2, "p0", has_lease=False)
    assert driver.machine.leased_to == "p0"


def test_no_shares_are_leased_while_a_lease_of_an_earlier_process_may_be_valid() -> None:
    driver = ForwarderDriver("p0", previous_lease_ms=3_000.0)
    assert driver.lease_ends_ms == [3_000.0]
    driver.connect("p0")
    driver.rounds(8, "p0", has_lease=False)
    assert driver.machine.leased_to is None
    driver.rounds(6, "p0", has_lease=False)
    assert driver.machine.leased_to == "p0"
