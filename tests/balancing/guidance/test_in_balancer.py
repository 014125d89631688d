"""Guidance in a balancer: its effect on draws, and the decisions that it must not change."""

from __future__ import annotations

from dataclasses import replace

from sandhatch.balancing import Balancer
from sandhatch.balancing.actions import Fail, GuidanceRejected, Send
from sandhatch.balancing.events import (
    AttemptEnded,
    ListKind,
    ListUpdate,
    Outcome,
    OwnSharesLeased,
    RampShare,
    RequestArrived,
    ServerEntry,
    ServerState,
)
from sandhatch.balancing.settings import Effect
from sandhatch.balancing.state_transfer import inherit_state
from tests.balancing.guidance.harness import CLASS, SETTINGS, make_guidance


def make_entries(count: int, **started_ms: float) -> list[ServerEntry]:
    """Return entries of `count` servers; `s0=1_000.0` sets the start time of server 0."""
    return [ServerEntry(n, started_ms=started_ms.get(f"s{n}", 0.0)) for n in range(count)]


def serve_request(balancer: Balancer, now_ms: float, number: int) -> int | None:
    """Handle a new request and an immediate response; return its server, or None if it was not sent."""
    for action in balancer.handle(now_ms, RequestArrived(number, 0, 1_000.0)):
        if isinstance(action, Send):
            balancer.handle(now_ms, AttemptEnded(number, 0, action.server, Outcome.OK, False, 5.0))
            return action.server
    return None


def test_draws_follow_the_weights_and_stay_within_the_endpoint_list() -> None:
    balancer = Balancer(SETTINGS, 1)
    balancer.handle(1_000.0, ListUpdate(ListKind.FULL, 1, make_entries(4)))
    event = make_guidance({3: 0.2, 99: 0.5}, until_ms=60_000.0)
    assert balancer.handle(1_000.0, event) == []
    drawn = [serve_request(balancer, 10_000.0 + n, n) for n in range(4_000)]
    assert set(drawn) == {0, 1, 2, 3}
    assert 0.8 * 250 < drawn.count(3) < 1.2 * 250


def test_guidance_for_a_draining_server_does_not_make_it_eligible() -> None:
    balancer = Balancer(SETTINGS, 1)
    rows = [*make_entries(3), ServerEntry(3, ServerState.DRAINING)]
    balancer.handle(1_000.0, ListUpdate(ListKind.FULL, 1, rows))
    balancer.handle(
        1_000.0, make_guidance({0: 0.5}, until_ms=60_000.0, leased=True, parts=[RampShare(3, 1.0, 4.0)])
    )
    assert 3 not in {serve_request(balancer, 10_000.0 + n, n) for n in range(1_000)}


def test_server_of_weight_zero_is_drawn_if_it_is_the_only_one() -> None:
    balancer = Balancer(SETTINGS, 1)
    balancer.handle(1_000.0, ListUpdate(ListKind.FULL, 1, make_entries(2)))
    balancer.handle(1_000.0, make_guidance({1: 0.0}, until_ms=60_000.0))
    assert serve_request(balancer, 9_000.0, 1) == 0
    balancer.handle(9_500.0, ListUpdate(ListKind.DELTA, 2, [ServerEntry(0, ServerState.GONE)]))
    assert serve_request(balancer, 9_501.0, 2) == 1


def test_out_of_bounds_guidance_results_in_a_rejection_action() -> None:
    balancer = Balancer(SETTINGS, 1)
    balancer.handle(1_000.0, ListUpdate(ListKind.FULL, 1, make_entries(4)))
    (action,) = balancer.handle(1_000.0, make_guidance({0: 2.0}))
    assert action == GuidanceRejected("one", "a weight is not between 0 and 1")


def test_own_share_is_unused_while_leased_and_successor_shares_the_bucket() -> None:
    balancer, successor = Balancer(SETTINGS, 1), Balancer(SETTINGS, 2)
    update = ListUpdate(ListKind.FULL, 1, make_entries(1, s0=1_000.0))
    balancer.handle(1_000.0, update)
    balancer.handle(1_000.0, OwnSharesLeased(9_000.0))
    assert serve_request(balancer, 8_999.0, 1) is None
    successor.handle(9_000.0, update)
    inherit_state(successor, balancer)
    both = [serve_request(b, 9_900.0, n) for n, b in enumerate((balancer, successor), 10)]
    assert sorted(both, key=str) == [0, None]


def test_guidance_does_not_change_which_requests_may_be_retried() -> None:
    """A reset non-idempotent request may have run, so it fails; an idempotent one is retried."""
    for effect, expected_action in ((Effect.NON_IDEMPOTENT, Fail), (Effect.IDEMPOTENT, Send)):
        request_class = replace(CLASS, effect=effect)
        balancer = Balancer(replace(SETTINGS, classes=[request_class]), 3)
        balancer.handle(1_000.0, ListUpdate(ListKind.FULL, 1, make_entries(3)))
        (send,) = balancer.handle(9_000.0, RequestArrived(1, 0, 1_000.0))
        assert isinstance(send, Send)
        event = make_guidance({send.server: 0.0}, until_ms=60_000.0, leased=True, own_part=0.5)
        assert balancer.handle(9_001.0, event) == []
        ended = AttemptEnded(1, 0, send.server, Outcome.RESET, False, 5.0)
        assert [type(action) for action in balancer.handle(9_005.0, ended)] == [expected_action]


def test_expired_guidance_leaves_every_draw_unchanged() -> None:
    unguided, guided = Balancer(SETTINGS, 5), Balancer(SETTINGS, 5)
    for balancer in (unguided, guided):
        balancer.handle(1_000.0, ListUpdate(ListKind.FULL, 1, make_entries(8)))
    guided.handle(2_000.0, make_guidance({3: 0.1}))
    drawn = [[serve_request(b, 9_000.0 + n, n) for n in range(200)] for b in (unguided, guided)]
    assert drawn[0] == drawn[1]
