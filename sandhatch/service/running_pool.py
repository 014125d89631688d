"""A running pool, and the fingerprint by which versions share it. No I/O."""

from __future__ import annotations

import json
from dataclasses import dataclass
from hashlib import sha256

from sandhatch.balancing.events import ServerState
from sandhatch.config.check import CheckedConfiguration
from sandhatch.config.pool_model import Pool
from sandhatch.dispatch.dispatcher import Dispatcher


def pool_fingerprints(checked: CheckedConfiguration) -> dict[str, str]:
    """Return a hash of the configuration that determines each pool's behaviour, by the pool's name.

    Two versions share a pool if its fingerprint is the same in both. The fingerprint also seeds the pool's
    random draws, so the keys of the hashed JSON must not change.
    """
    model = checked.model
    common = json.dumps(
        {
            "classes": [(name, item.model_dump()) for name, item in model.classes.items()],
            "tenants": [(name, item.model_dump()) for name, item in model.tenants.items()],
            "seed": model.seed,
            "place": model.planning.place if model.planning is not None else 0,
        }
    )
    return {
        name: sha256(json.dumps([common, name, pool.model_dump()]).encode()).hexdigest()
        for name, pool in model.pools.items()
    }


@dataclass(eq=False)
class RunningPool:
    """A dispatcher and the versions that use it.

    Attributes:
        name: The pool's name in the configuration.
        fingerprint: Hash of the pool's configuration; see `pool_fingerprints`.
        spec: Configuration of the pool.
        dispatcher: Balancer, connections and endpoint list of the pool.
        version_count: Number of versions that use the pool; at 0 the pool is closed.
        started: Whether the source of the pool's endpoint list has been started.
        superseded_at_ms: Time when the active version stopped using the pool, in Unix milliseconds; None as
            long as the active version uses the pool.
    """

    name: str
    fingerprint: str
    spec: Pool
    dispatcher: Dispatcher
    version_count: int = 0
    started: bool = False
    superseded_at_ms: float | None = None

    @property
    def ready_numbers(self) -> frozenset[int]:
        """Numbers of the servers that are ready."""
        table = self.dispatcher.connection_pool.servers
        return frozenset(number for number, upstream in table.items() if upstream.state is ServerState.READY)
