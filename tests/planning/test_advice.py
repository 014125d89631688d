"""Advice at the decision module: what it changes, what it never may, and how it lapses."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from random import Random

import pytest

from sandhatch.balancing import Balancer
from sandhatch.balancing.actions import Fail, GuidanceRejected, Send
from sandhatch.balancing.errors import SettingsError
from sandhatch.balancing.events import (
    AttemptEnded,
    Guidance,
    ListKind,
    ListUpdate,
    Outcome,
    OwnSharesLeased,
    RampShare,
    RequestArrived,
    ServerEntry,
    ServerState,
    ServerWeight,
)
from sandhatch.balancing.guidance import GuidanceState, SharedRamp, Slide, safe_part
from sandhatch.balancing.settings import Effect, RequestClass, Settings
from sandhatch.balancing.state_transfer import inherit

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
class Node:
    id: int
    started_ms: float = 1_000.0
    label: int = 0
    state: ServerState = ServerState.READY


def guidance(weights: dict[int, float] | None = None, **other: object) -> Guidance:
    rows = None if weights is None else [ServerWeight(*item) for item in weights.items()]
    event = Guidance("one", 1_000.0, 3_000.0, rows)
    for name, value in other.items():
        setattr(event, name, value)
    return event


def guidance_state_of(
    servers: int, settings: Settings = SETTINGS
) -> tuple[GuidanceState, dict[int, Node], list[int]]:
    nodes = {n: Node(n, 0.0) for n in range(servers)}
    return GuidanceState(settings, Random(1)), nodes, list(nodes)


# ------------------------------------------------ slides


def test_a_slide_moves_evenly_and_goes_on_when_told_the_same_again() -> None:
    slide = Slide(1.0)
    slide.move(0.0, 100.0, 100.0)
    assert slide.at(150.0) == 0.5
    slide.move(0.0, 150.0, 100.0)
    assert slide.at(200.0) == 0.0
    slide.move(1.0, 150.0, 100.0)
    assert slide.at(200.0) == 0.75


def test_what_falls_falls_at_once() -> None:
    slide = Slide(1.0)
    slide.drop(0.25, 100.0, 100.0)
    assert slide.at(100.0) == 0.25
    slide.drop(1.0, 100.0, 100.0)
    assert slide.at(150.0) == 0.625


# ------------------------------------------------ safe parts


@pytest.mark.parametrize("copies", [1, 2, 7, 20])
@pytest.mark.parametrize("burst", [0.0, 1.0, 2.5, 19.0, 40.0])
def test_safe_parts_of_all_copies_sum_to_the_whole(copies: int, burst: float) -> None:
    for label in (0, 3, 12_345_678):
        parts = [safe_part(copies, n, burst or copies, label) for n in range(copies)]
        assert math.isclose(sum(rate for rate, _ in parts), 1.0)
        assert math.isclose(sum(calls for _, calls in parts), burst or copies)
        assert all(calls == 0.0 or calls >= 1.0 for _, calls in parts)


def test_a_copy_outside_the_configured_number_and_a_burst_of_no_call_are_refused() -> None:
    with pytest.raises(SettingsError, match="instance_index: 4 is not below the number of instances, 4"):
        replace(SETTINGS, instance_index=4)
    with pytest.raises(SettingsError, match=r"ramp_burst: 0\.5"):
        replace(SETTINGS, ramp_burst=0.5)


# ------------------------------------------------ the shared ramp


def sent(ramp: SharedRamp, node: Node, begin: int, end: int) -> int:
    """Calls let through, one tried each millisecond."""
    count = 0
    for now in range(begin, end):
        if ramp.admits(node, float(now)):
            ramp.spend(node, float(now))
            count += 1
    return count


def integral(begin: float, end: float) -> float:
    """Of the ramp's rate, for a server started at 1,000."""
    share = 0.1 + 0.9 * ((begin + end) / 2.0 - 1_000.0) / 10_000.0
    return 100.0 * share * (end - begin) / 1_000.0


def test_a_copy_alone_keeps_to_its_safe_part_of_the_ramp() -> None:
    ramp, node = SharedRamp(SETTINGS), Node(7)
    ramp.watch([node], 1_000.0)
    count = sent(ramp, node, 1_000, 6_000)
    assert 0.8 * integral(1_000, 6_000) / 4.0 <= count <= integral(1_000, 6_000) / 4.0 + 1.0


def test_a_granted_part_counts_while_its_lease_lives_and_none_after_it_until_the_own_is_back() -> None:
    ramp, node = SharedRamp(SETTINGS), Node(7)
    ramp.watch([node], 1_000.0)
    ramp.grant([RampShare(7, 1.0, 2.0)], 2_000.0, 4_000.0, 5_000.0, 2_100.0)
    assert ramp.part(node, 2_500.0) == (1.0, 2.0)
    assert ramp.part(node, 3_500.0) == (0.5, 2.0)  # fades over the last half
    assert ramp.part(node, 4_000.0) == (0.0, 0.0)
    assert ramp.part(node, 5_000.0) == (0.25, 1.0)
    assert sent(ramp, node, 2_100, 4_000) > 2.0 * integral(2_100, 4_000) / 4.0
    assert sent(ramp, node, 4_000, 5_000) == 0


def test_time_between_two_looks_is_counted_by_the_parts_as_they_were() -> None:
    """A copy that looks seldom must not be given for the gap what others had then."""
    ramp, node = SharedRamp(replace(SETTINGS, ramp_per_s=10_000.0, ramp_burst=400.0)), Node(7)
    ramp.watch([node], 1_000.0)
    ramp.grant([], 1_000.0, 3_000.0, 4_000.0, 1_000.0)
    ramp.grant([RampShare(7, 1.0, 400.0)], 3_990.0, 5_990.0, 6_990.0, 3_990.0)
    assert sent(ramp, node, 3_990, 3_991) == 0


def test_credit_is_cut_to_the_part_that_is_granted_now() -> None:
    ramp, node = SharedRamp(replace(SETTINGS, ramp_burst=40.0)), Node(7)
    ramp.watch([node], 1_000.0)
    assert ramp.admits(node, 9_000.0)  # full: ten calls
    ramp.grant([RampShare(7, 0.1, 1.0)], 9_000.0, 11_000.0, 12_000.0, 9_000.0)
    assert sent(ramp, node, 9_000, 9_001) == 1
    assert not ramp.admits(node, 9_001.0)


def test_credit_of_a_grant_is_gone_at_the_very_moment_of_its_end() -> None:
    ramp, node = SharedRamp(replace(SETTINGS, ramp_per_s=10_000.0)), Node(7)
    ramp.watch([node], 1_000.0)
    ramp.grant([RampShare(7, 1.0, 4.0)], 2_000.0, 4_000.0, 5_000.0, 2_000.0)
    assert ramp.admits(node, 3_999.0)
    assert not ramp.admits(node, 4_000.0)


def test_advice_that_comes_late_leaves_what_is_granted() -> None:
    guidance_state, nodes, warm = guidance_state_of(4)
    nodes[2].started_ms = 900.0
    part = RampShare(2, 0.9, 3.0)
    guidance_state.take(
        guidance(leased=True, parts=[part], leased_until_ms=9_000.0, until_ms=5_000.0), nodes, warm, 1_000.0
    )
    guidance_state.take(guidance(leased=True, leased_until_ms=9_000.0), nodes, warm, 3_500.0)
    assert guidance_state.ramp is not None
    assert guidance_state.ramp.part(nodes[2], 2_000.0) == (0.9, 3.0)


def test_a_new_process_of_a_server_begins_its_ramp_anew() -> None:
    ramp, node = SharedRamp(SETTINGS), Node(7)
    ramp.watch([node], 1_000.0)
    assert ramp.admits(node, 9_000.0)
    node.started_ms = 9_000.0
    assert not ramp.admits(node, 9_000.0)


def test_a_warm_server_is_admitted_without_credit() -> None:
    ramp, node = SharedRamp(SETTINGS), Node(7)
    ramp.watch([node], 1_000.0)
    assert sent(ramp, node, 11_000, 11_010) == 10
    assert ramp.cold(11_000.0) == []


# ------------------------------------------------ weights


def test_weights_slide_in_and_lapse_by_themselves() -> None:
    guidance_state, nodes, warm = guidance_state_of(4)
    assert guidance_state.take(guidance({2: 0.2}), nodes, warm, 1_000.0) is None
    assert guidance_state.weight(2, 1_000.0) == 1.0
    assert guidance_state.weight(2, 1_200.0) == pytest.approx(0.6)
    assert guidance_state.weight(2, 2_999.0) == pytest.approx(0.2)
    assert guidance_state.weight(2, 4_500.0) == pytest.approx(0.6)
    assert guidance_state.weight(2, 6_000.0) == 1.0


def test_a_server_is_passed_over_as_often_as_its_weight_has_it() -> None:
    guidance_state, nodes, warm = guidance_state_of(4)
    guidance_state.take(guidance({2: 0.25}, until_ms=10_000.0), nodes, warm, 1_000.0)
    passed = sum(guidance_state.declines(2, 9_000.0) for _ in range(4_000))
    assert 2_850 < passed < 3_150
    assert not any(guidance_state.declines(1, 9_000.0) for _ in range(100))


def test_two_planners_of_opposite_opinion_cancel_each_other() -> None:
    guidance_state, nodes, warm = guidance_state_of(4)
    for now in (1_000.0, 5_000.0):
        guidance_state.take(guidance({0: 0.2, 1: 0.2}, until_ms=9_000.0), nodes, warm, now)
        guidance_state.take(guidance({2: 0.2, 3: 0.2}, planner="two", until_ms=9_000.0), nodes, warm, now)
    weights = [guidance_state.weight(n, 8_500.0) for n in range(4)]
    assert max(weights) - min(weights) < 1e-9


def test_one_of_three_planners_that_is_wrong_changes_nothing() -> None:
    guidance_state, nodes, warm = guidance_state_of(4)
    for planner in ("one", "two"):
        guidance_state.take(guidance({3: 0.5}, planner=planner, until_ms=9_000.0), nodes, warm, 1_000.0)
    guidance_state.take(guidance({0: 0.0}, planner="three", until_ms=9_000.0), nodes, warm, 1_000.0)
    assert [guidance_state.weight(n, 8_000.0) for n in range(4)] == [1.0, 1.0, 1.0, 0.5]


def test_all_servers_slow_says_nothing() -> None:
    guidance_state, nodes, warm = guidance_state_of(4)
    assert guidance_state.take(guidance(dict.fromkeys(range(4), 0.05)), nodes, warm, 1_000.0) is None
    assert [guidance_state.weight(n, 2_900.0) for n in range(4)] == [1.0] * 4


def test_weights_of_none_let_those_before_live_on() -> None:
    guidance_state, nodes, warm = guidance_state_of(4)
    guidance_state.take(guidance({2: 0.5}), nodes, warm, 1_000.0)
    guidance_state.take(guidance(None, until_ms=20_000.0), nodes, warm, 2_900.0)
    assert guidance_state.weight(2, 9_000.0) == 0.5


# ------------------------------------------------ bounds


@pytest.mark.parametrize(
    ("event", "why"),
    [
        (guidance({0: 1.5}), "a weight is not between 0 and 1"),
        (guidance({0: math.nan}), "a weight is not between 0 and 1"),
        (guidance({0: 0.0, 1: 0.0, 2: 0.1}), "only 1 of 4 ready servers keep half"),
        (guidance(parts=[RampShare(0, 1.5, 1.0)]), "a part of a ramp is not"),
        (guidance(parts=[RampShare(0, 0.5, 5.0)]), "a part of a ramp is not"),
        (guidance(own_part=0.1), "the part of what the tier bears is 0.1, not between 0.125 and 1"),
        (guidance(own_part=math.nan), "the part of what the tier bears"),
    ],
)
def test_advice_out_of_bounds_is_refused_whole_with_a_reason(event: Guidance, why: str) -> None:
    guidance_state, nodes, warm = guidance_state_of(4)
    event.leased = True
    rejected = guidance_state.take(event, nodes, warm, 1_000.0)
    assert rejected is not None and rejected.planner == "one" and why in rejected.why
    assert [guidance_state.weight(n, 2_500.0) for n in range(4)] == [1.0] * 4
    assert guidance_state.own_part(2_500.0) == 0.25


def test_advice_that_comes_after_its_lease_does_not_count() -> None:
    guidance_state, nodes, warm = guidance_state_of(4)
    assert guidance_state.take(guidance({2: 0.5}), nodes, warm, 3_000.0) is None
    assert guidance_state.weight(2, 9_000.0) == 1.0


def test_the_part_of_what_the_tier_bears_slides_and_comes_back() -> None:
    guidance_state, nodes, warm = guidance_state_of(4)
    guidance_state.take(guidance(leased=True, own_part=0.5, until_ms=9_000.0), nodes, warm, 1_000.0)
    assert guidance_state.own_part(2_500.0) == pytest.approx(0.375)
    assert guidance_state.own_part(8_999.0) == 0.5
    assert guidance_state.own_part(10_500.0) == pytest.approx(0.375)
    assert guidance_state.own_part(12_000.0) == 0.25


def test_a_part_of_what_the_tier_bears_goes_on_while_its_planner_says_nothing_new_of_it() -> None:
    guidance_state, nodes, warm = guidance_state_of(4)
    guidance_state.take(guidance(leased=True, own_part=0.5, until_ms=3_000.0), nodes, warm, 1_000.0)
    guidance_state.take(guidance(leased=True, until_ms=9_000.0), nodes, warm, 2_900.0)
    assert guidance_state.own_part(8_900.0) == 0.5
    assert guidance_state.own_part(12_000.0) == 0.25


# ------------------------------------------------ in the balancer


def entries(count: int, **fresh: float) -> list[ServerEntry]:
    return [ServerEntry(n, started_ms=fresh.get(f"s{n}", 0.0)) for n in range(count)]


def served(balancer: Balancer, now: float, number: int) -> int | None:
    """The server that a request was sent to, which answers at once; None if none."""
    for action in balancer.handle(now, RequestArrived(number, 0, 1_000.0)):
        if isinstance(action, Send):
            balancer.handle(now, AttemptEnded(number, 0, action.server, Outcome.OK, False, 5.0))
            return action.server
    return None


def test_the_draw_follows_weights_and_never_leaves_the_list() -> None:
    balancer = Balancer(SETTINGS, 1)
    balancer.handle(1_000.0, ListUpdate(ListKind.FULL, 1, entries(4)))
    event = guidance({3: 0.2, 99: 0.5}, until_ms=60_000.0)
    assert balancer.handle(1_000.0, event) == []
    drawn = [served(balancer, 10_000.0 + n, n) for n in range(4_000)]
    assert set(drawn) == {0, 1, 2, 3}
    assert 0.8 * 250 < drawn.count(3) < 1.2 * 250


def test_advice_never_sends_to_a_draining_server() -> None:
    balancer = Balancer(SETTINGS, 1)
    rows = [*entries(3), ServerEntry(3, ServerState.DRAINING)]
    balancer.handle(1_000.0, ListUpdate(ListKind.FULL, 1, rows))
    balancer.handle(
        1_000.0, guidance({0: 0.5}, until_ms=60_000.0, leased=True, parts=[RampShare(3, 1.0, 4.0)])
    )
    assert 3 not in {served(balancer, 10_000.0 + n, n) for n in range(1_000)}


def test_a_server_of_no_weight_is_drawn_where_there_is_no_other() -> None:
    balancer = Balancer(SETTINGS, 1)
    balancer.handle(1_000.0, ListUpdate(ListKind.FULL, 1, entries(2)))
    balancer.handle(1_000.0, guidance({1: 0.0}, until_ms=60_000.0))
    assert served(balancer, 9_000.0, 1) == 0
    balancer.handle(9_500.0, ListUpdate(ListKind.DELTA, 2, [ServerEntry(0, ServerState.GONE)]))
    assert served(balancer, 9_501.0, 2) == 1


def test_a_refusal_of_advice_is_told_as_an_action() -> None:
    balancer = Balancer(SETTINGS, 1)
    balancer.handle(1_000.0, ListUpdate(ListKind.FULL, 1, entries(4)))
    (action,) = balancer.handle(1_000.0, guidance({0: 2.0}))
    assert action == GuidanceRejected("one", "a weight is not between 0 and 1")


def test_a_lent_part_is_not_used_and_a_heir_keeps_to_the_same_bucket() -> None:
    balancer, successor = Balancer(SETTINGS, 1), Balancer(SETTINGS, 2)
    update = ListUpdate(ListKind.FULL, 1, entries(1, s0=1_000.0))
    balancer.handle(1_000.0, update)
    balancer.handle(1_000.0, OwnSharesLeased(9_000.0))
    assert served(balancer, 8_999.0, 1) is None
    successor.handle(9_000.0, update)
    inherit(successor, balancer)
    both = [served(b, 9_900.0, n) for n, b in enumerate((balancer, successor), 10)]
    assert sorted(both, key=str) == [0, None]


def test_advice_never_changes_what_may_be_repeated() -> None:
    """An unsafe call that may have run is failed, whatever is advised meanwhile; a safe one goes on."""
    for effect, answer in ((Effect.NON_IDEMPOTENT, Fail), (Effect.IDEMPOTENT, Send)):
        cls = replace(CLASS, effect=effect)
        balancer = Balancer(replace(SETTINGS, classes=[cls]), 3)
        balancer.handle(1_000.0, ListUpdate(ListKind.FULL, 1, entries(3)))
        (sent,) = balancer.handle(9_000.0, RequestArrived(1, 0, 1_000.0))
        assert isinstance(sent, Send)
        event = guidance({sent.server: 0.0}, until_ms=60_000.0, leased=True, own_part=0.5)
        assert balancer.handle(9_001.0, event) == []
        ended = AttemptEnded(1, 0, sent.server, Outcome.RESET, False, 5.0)
        assert [type(action) for action in balancer.handle(9_005.0, ended)] == [answer]


def test_advice_that_has_lapsed_leaves_every_draw_as_it_was() -> None:
    plain, told = Balancer(SETTINGS, 5), Balancer(SETTINGS, 5)
    for balancer in (plain, told):
        balancer.handle(1_000.0, ListUpdate(ListKind.FULL, 1, entries(8)))
    told.handle(2_000.0, guidance({3: 0.1}))
    drawn = [[served(b, 9_000.0 + n, n) for n in range(200)] for b in (plain, told)]
    assert drawn[0] == drawn[1]
