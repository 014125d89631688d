"""Tenant quotas: which requests admission control rejects first. Nothing is rejected here."""

import math

from sandhatch.balancing.events import RequestArrived
from sandhatch.balancing.settings import Settings

SHARE_EWMA_WEIGHT = 1.0 / 32.0  # weight of a new request in the traffic shares of tenants
RETRY_EWMA_WEIGHT = 1.0 / 16.0  # weight of a new request in the retry fraction of its tenant
OVER_QUOTA_FACTOR = 1.5  # ratio of traffic share to quota share, above which a tenant is over its quota
MAX_RETRY_FRACTION = 0.5  # fraction of retries in a tenant's requests, above which its retries are over quota


class TenantQuotas:
    """Traffic share and retry fraction of each tenant at this instance.

    A tenant is over its quota if its share of the traffic is clearly above its share of all quotas, whatever
    the request rate.

    Attributes:
        shares: Share of each tenant in the requests at this instance.
        retry_fractions: Fraction of retries in each tenant's requests.
    """

    def __init__(self, settings: Settings) -> None:
        """Start with the traffic share of each tenant equal to its quota share."""
        total = sum(tenant.quota_per_s for tenant in settings.tenants) or 1.0
        self.shares = [tenant.quota_per_s / total for tenant in settings.tenants]
        self.retry_fractions = [0.0] * len(self.shares)
        # Standard deviations of the running means of traffic share and retry fraction.
        deviations = [math.sqrt(share * SHARE_EWMA_WEIGHT / 2.0) for share in self.shares]
        limits = zip(self.shares, deviations, strict=True)
        self._limits = [OVER_QUOTA_FACTOR * share + 2.0 * deviation for share, deviation in limits]

    def is_over_quota(self, event: RequestArrived) -> bool:
        """Record a request; return whether it counts as over its tenant's quota.

        A retry also counts as over quota if most of the tenant's requests are retries. This covers clients
        that retry at once whatever wait a rejection asks for.
        """
        tenant = event.tenant
        if not 0 <= tenant < len(self.shares):
            return False
        for index in range(len(self.shares)):
            self.shares[index] += SHARE_EWMA_WEIGHT * ((index == tenant) - self.shares[index])
        self.retry_fractions[tenant] += RETRY_EWMA_WEIGHT * (
            event.client_retry - self.retry_fractions[tenant]
        )
        if event.client_retry and self.retry_fractions[tenant] > MAX_RETRY_FRACTION:
            return True
        return self.shares[tenant] > self._limits[tenant]
