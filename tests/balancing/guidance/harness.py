"""What the tests of guidance share: settings with a ramp, a server, and guidance events."""

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
    """A server with the fields that the ramp looks at."""

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


class GuidedServers:
    """Servers, numbered from 0, which are all warm, and a state without guidance so far."""

    def __init__(self, count: int) -> None:
        """Makes so many servers."""
        self.state = GuidanceState(SETTINGS, Random(1))
        self.servers = {number: FakeServer(number, 0.0) for number in range(count)}

    def take(self, event: Guidance, now_ms: float) -> GuidanceRejected | None:
        """Take in the guidance, for all servers; the reason if it is rejected."""
        return self.state.take(event, self.servers, list(self.servers), now_ms)

    def weights(self, now_ms: float) -> list[float]:
        """The weight of each server."""
        return [self.state.weight(number, now_ms) for number in self.servers]
