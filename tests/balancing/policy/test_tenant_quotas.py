"""Tenant quotas: requests that count as over their tenant's quota."""

from __future__ import annotations

from dataclasses import replace

from sandhatch.balancing.events import (
    RequestArrived,
)
from sandhatch.balancing.settings import (
    Tenant,
)
from tests.balancing.policy.harness import (
    PLAIN,
    make_driver,
)


def test_retries_of_a_tenant_that_mostly_retries_are_over_its_quota() -> None:
    # Guards against clients that retry at once whatever wait a rejection asks for.
    driver = make_driver(replace(PLAIN, tenants=(Tenant(100.0), Tenant(100.0)), clients_mark_retries=True))
    verdicts = {}
    for n in range(200):
        for tenant in (0, 1):
            event = RequestArrived(n, 0, 400.0, tenant, client_retry=tenant == 0 and n % 8 != 0)
            verdicts[tenant, event.client_retry] = driver.balancer.quotas.is_over_quota(event)
    assert verdicts == {(0, False): False, (0, True): True, (1, False): False}
