"""What the tests of guidance share: settings with a ramp, a server, and guidance events."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

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
    id: int
    started_ms: float = 1_000.0
    label: int = 0
    state: ServerState = ServerState.READY


def guidance(weights: dict[int, float] | None = None, **other: object) -> Guidance:
    """Guidance of planner "one" that expires at 3,000 ms; `other` are fields to set."""
    server_weights = (
        None if weights is None else [ServerWeight(server, weight) for server, weight in weights.items()]
    )
    event = Guidance("one", 1_000.0, 3_000.0, server_weights)
    for name, value in other.items():
        setattr(event, name, value)
    return event


def guidance_state_of(
    count: int, settings: Settings = SETTINGS
) -> tuple[GuidanceState, dict[int, FakeServer], list[int]]:
    """A state without guidance, its servers, which are all warm, and the numbers of these."""
    servers = {number: FakeServer(number, 0.0) for number in range(count)}
    return GuidanceState(settings, Random(1)), servers, list(servers)
