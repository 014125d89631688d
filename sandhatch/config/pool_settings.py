"""Conversion of a pool's configuration into the settings of its balancer.

This is the only module that maps configuration keys to the names of `balancing.settings`; the keys are
documented in docs/operators/configuration.md. It checks nothing, since the model has been checked already.
"""

from __future__ import annotations

from sandhatch.balancing.settings import Effect, RequestClass, Settings, Tenant
from sandhatch.config.class_model import RequestClassModel
from sandhatch.config.model import Configuration
from sandhatch.config.pool_model import Pool

MAX_RETRY_AFTER_MS = 2_000.0


def pool_settings(model: Configuration, pool: Pool) -> Settings:
    """Return the settings of one pool's balancer; all pools share the classes and tenants."""
    return Settings(
        classes=[
            _request_class(class_name, request_class) for class_name, request_class in model.classes.items()
        ],
        tenants=[Tenant(tenant.quota_per_s, tenant.fraction, name) for name, tenant in model.tenants.items()],
        instance_index=model.planning.place if model.planning is not None else 0,
        instances=pool.copies,
        ramp_per_s=pool.ramp_per_s,
        ramp_burst=pool.ramp_burst,
        tier=pool.tier,
        tiers=pool.tier + 1,
        polled_discovery=bool(pool.source and pool.source.ask),
        one_shot_watches=pool.source is not None,
        initial_capacity_share=pool.cold_share,
        warm_up_ms=pool.cold_ms,
        max_attempts=pool.max_attempts,
        may_cancel=pool.may_cancel,
        hedging_allowed=pool.second_copies,
        connection_idle_ms=pool.idle_ms,
        connect_timeout_ms=pool.connect_timeout_ms,
        retry_advice=True,
        max_retry_after_ms=MAX_RETRY_AFTER_MS,
    )


def _request_class(class_name: str, request_class: RequestClassModel) -> RequestClass:
    return RequestClass(
        objective_ms=request_class.aim_ms,
        deadline_ms=request_class.deadline_ms,
        effect=Effect(request_class.effect),
        priority_weight=request_class.worth,
        deduplication_ms=request_class.memory_ms,
        name=class_name,
    )
