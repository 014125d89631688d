"""Guidance at the balancer: what it changes in the draw, and what it never may."""

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
from sandhatch.balancing.state_transfer import inherit
from tests.balancing.guidance.harness import CLASS, SETTINGS, guidance


def entries(count: int, **fresh: float) -> list[ServerEntry]:
    return [ServerEntry(n, started_ms=fresh.get(f"s{n}", 0.0)) for n in range(count)]


def served(balancer: Balancer, now: float, number: int) -> int | None:
    """The server that a new request was sent to, which answers at once; None if it was not sent."""
    for action in balancer.handle(now, RequestArrived(number, 0, 1_000.0)):
        if isinstance(action, Send):
            balancer.handle(now, AttemptEnded(number, 0, action.server, Outcome.OK, False, 5.0))
            return action.server
    return None


def test_draws_follow_the_weights_and_never_leave_the_endpoint_list() -> None:
    balancer = Balancer(SETTINGS, 1)
    balancer.handle(1_000.0, ListUpdate(ListKind.FULL, 1, entries(4)))
    event = guidance({3: 0.2, 99: 0.5}, until_ms=60_000.0)
    assert balancer.handle(1_000.0, event) == []
    drawn = [served(balancer, 10_000.0 + n, n) for n in range(4_000)]
    assert set(drawn) == {0, 1, 2, 3}
    assert 0.8 * 250 < drawn.count(3) < 1.2 * 250


def test_guidance_never_sends_to_a_draining_server() -> None:
    balancer = Balancer(SETTINGS, 1)
    rows = [*entries(3), ServerEntry(3, ServerState.DRAINING)]
    balancer.handle(1_000.0, ListUpdate(ListKind.FULL, 1, rows))
    balancer.handle(
        1_000.0, guidance({0: 0.5}, until_ms=60_000.0, leased=True, parts=[RampShare(3, 1.0, 4.0)])
    )
    assert 3 not in {served(balancer, 10_000.0 + n, n) for n in range(1_000)}


def test_a_server_of_weight_zero_is_drawn_where_there_is_no_other() -> None:
    balancer = Balancer(SETTINGS, 1)
    balancer.handle(1_000.0, ListUpdate(ListKind.FULL, 1, entries(2)))
    balancer.handle(1_000.0, guidance({1: 0.0}, until_ms=60_000.0))
    assert served(balancer, 9_000.0, 1) == 0
    balancer.handle(9_500.0, ListUpdate(ListKind.DELTA, 2, [ServerEntry(0, ServerState.GONE)]))
    assert served(balancer, 9_501.0, 2) == 1


def test_a_rejection_of_guidance_is_an_action() -> None:
    balancer = Balancer(SETTINGS, 1)
    balancer.handle(1_000.0, ListUpdate(ListKind.FULL, 1, entries(4)))
    (action,) = balancer.handle(1_000.0, guidance({0: 2.0}))
    assert action == GuidanceRejected("one", "a weight is not between 0 and 1")


def test_a_leased_own_share_is_not_used_and_a_successor_shares_the_bucket() -> None:
    balancer, successor = Balancer(SETTINGS, 1), Balancer(SETTINGS, 2)
    update = ListUpdate(ListKind.FULL, 1, entries(1, s0=1_000.0))
    balancer.handle(1_000.0, update)
    balancer.handle(1_000.0, OwnSharesLeased(9_000.0))
    assert served(balancer, 8_999.0, 1) is None
    successor.handle(9_000.0, update)
    inherit(successor, balancer)
    both = [served(b, 9_900.0, n) for n, b in enumerate((balancer, successor), 10)]
    assert sorted(both, key=str) == [0, None]


def test_guidance_never_changes_which_requests_may_be_retried() -> None:
    """A non-idempotent request that may have run fails, whatever is advised; an idempotent one is retried."""
    for effect, response in ((Effect.NON_IDEMPOTENT, Fail), (Effect.IDEMPOTENT, Send)):
        request_class = replace(CLASS, effect=effect)
        balancer = Balancer(replace(SETTINGS, classes=[request_class]), 3)
        balancer.handle(1_000.0, ListUpdate(ListKind.FULL, 1, entries(3)))
        (send,) = balancer.handle(9_000.0, RequestArrived(1, 0, 1_000.0))
        assert isinstance(send, Send)
        event = guidance({send.server: 0.0}, until_ms=60_000.0, leased=True, own_part=0.5)
        assert balancer.handle(9_001.0, event) == []
        ended = AttemptEnded(1, 0, send.server, Outcome.RESET, False, 5.0)
        assert [type(action) for action in balancer.handle(9_005.0, ended)] == [response]


def test_guidance_that_has_expired_leaves_every_draw_unchanged() -> None:
    unguided, guided = Balancer(SETTINGS, 5), Balancer(SETTINGS, 5)
    for balancer in (unguided, guided):
        balancer.handle(1_000.0, ListUpdate(ListKind.FULL, 1, entries(8)))
    guided.handle(2_000.0, guidance({3: 0.1}))
    drawn = [[served(b, 9_000.0 + n, n) for n in range(200)] for b in (unguided, guided)]
    assert drawn[0] == drawn[1]
