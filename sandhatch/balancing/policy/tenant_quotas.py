"""Tenant quotas: whose requests are rejected before others. It rejects nothing itself."""

import math

from sandhatch.balancing.events import RequestArrived
from sandhatch.balancing.settings import Settings

SHARE_MEMORY = 1.0 / 32.0
RETRY_MEMORY = 1.0 / 16.0
OVER_QUOTA_FACTOR = 1.5  # times its share of all quotas, from which a tenant is over its own
MAX_RETRY_FRACTION = 0.5  # of a tenant's requests, up to which its retries count as others do


class TenantQuotas:
    """The share of each tenant in the requests that come to this instance, and of retries in its own.

    A tenant is over its quota if its share is clearly above its part of all quotas, at any rate.
    """

    def __init__(self, settings: Settings) -> None:
        """Start with every tenant at its share."""
        total = sum(tenant.quota_per_s for tenant in settings.tenants) or 1.0
        self.shares = [tenant.quota_per_s / total for tenant in settings.tenants]
        self.retry_fractions = [0.0] * len(self.shares)
        chance = [math.sqrt(share * SHARE_MEMORY / 2.0) for share in self.shares]  # of the running mean
        limits = zip(self.shares, chance, strict=True)
        self._limits = [OVER_QUOTA_FACTOR * share + 2.0 * deviation for share, deviation in limits]

    def is_over_quota(self, event: RequestArrived) -> bool:
        """Record a request; return whether it is over its tenant's quota, or a retry where most are.

        Guards against clients that retry at once, whatever wait they are given.
        """
        tenant = event.tenant
        if not 0 <= tenant < len(self.shares):
            return False
        for index in range(len(self.shares)):
            self.shares[index] += SHARE_MEMORY * ((index == tenant) - self.shares[index])
        self.retry_fractions[tenant] += RETRY_MEMORY * (event.client_retry - self.retry_fractions[tenant])
        if event.client_retry and self.retry_fractions[tenant] > MAX_RETRY_FRACTION:
            return True
        return self.shares[tenant] > self._limits[tenant]
