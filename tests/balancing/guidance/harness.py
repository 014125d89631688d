"""Shared parts of the guidance tests: settings with a ramp, a fake server, and guidance events."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from sandhatch.balancing.actions import GuidanceRejected
from sandhatch.balancing.events import Guidance, ServerState, ServerWeight
from sandhatch.balancing.guidance.state import GuidanceState
from sandhatch.balancing.settings import Effect, RequestClass, Settings

CLASS = RequestClass(objective_ms=100.0, deadline_ms=1000.0, effect=Effect.IDEMPOTENT, name="view")
SETTINGS = Settings(
    classes=[CLASS],
    instances=4,
    instance_index=1,
    initial_capacity_share=0.1,
    warm_up_ms=10_000.0,
    ramp_per_s=100.0,
    max_attempts=2,
    tier=1,
)


@dataclass
class FakeServer:
    """A server with the attributes that guidance depends on."""

    id: int
    started_ms: float = 1_000.0
    label: int = 0
    state: ServerState = ServerState.READY


def make_guidance(weights: dict[int, float] | None = None, **fields: object) -> Guidance:
    """Return guidance of planner "one" that expires at 3,000 ms; `fields` sets further fields."""
    server_weights = (
        None if weights is None else [ServerWeight(server, weight) for server, weight in weights.items()]
    )
    event = Guidance("one", 1_000.0, 3_000.0, server_weights)
    for name, value in fields.items():
        setattr(event, name, value)
    return event


class GuidedServers:
    """Warm servers with ids from 0, and a state that starts without guidance."""

    def __init__(self, count: int) -> None:
        """Create `count` servers."""
        self.state = GuidanceState(SETTINGS, Random(1))
        self.servers = {number: FakeServer(number, 0.0) for number in range(count)}

    def apply(self, event: Guidance, now_ms: float) -> GuidanceRejected | None:
        """Apply guidance with all servers warm; return the rejection if there is one."""
        return self.state.apply(event, self.servers, list(self.servers), now_ms)

    def weights(self, now_ms: float) -> list[float]:
        """Return the weight of each server."""
        return [self.state.weight(number, now_ms) for number in self.servers]
