"""One pool that runs, and the fingerprint by which versions share it. No I/O."""

from __future__ import annotations

import json
from dataclasses import dataclass
from hashlib import sha256

from sandhatch.balancing.events import ServerState
from sandhatch.config.check import CheckedConfiguration
from sandhatch.config.pool_model import Pool
from sandhatch.dispatch.dispatcher import Dispatcher


def pool_fingerprints(checked: CheckedConfiguration) -> dict[str, str]:
    """A hash of everything that each pool is run by, by the pool's name.

    Pools of two versions with the same fingerprint are the same pool. The fingerprint also seeds the pool's
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
        fingerprint: Hash of what it is run by; see `pool_fingerprints`.
        spec: Its part of the configuration.
        dispatcher: Balancer, connections and endpoint list of the pool.
        version_count: How many versions use it; it ends at 0.
        started: Whether its endpoint list is being followed.
        superseded_at_ms: When the active version stopped using it, in Unix milliseconds; None while it does.
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
        table = self.dispatcher.connection_pool.table
        return frozenset(number for number, upstream in table.items() if upstream.state is ServerState.READY)
