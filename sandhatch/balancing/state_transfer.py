"""What a balancer that takes another's place learns from it, where the pool's settings have changed.

Without this a change of one key would make a pool forget which servers fail, how long its answers take and
how much they can take, and its slow start would begin anew with a fresh credit each time. It does no I/O and
reads no clock. Attempts in flight stay with the balancer that sent them; a server that has some there has no
token here for as long as an answer takes on average.
"""

from __future__ import annotations

from dataclasses import replace

from sandhatch.balancing.policy.admission_control import MIN_WINDOW
from sandhatch.balancing.policy.balancer import Balancer
from sandhatch.balancing.policy.slow_start import SlowStart
from sandhatch.balancing.records import Server


def inherit(successor: Balancer, predecessor: Balancer, connected: frozenset[int] = frozenset()) -> int:
    """Hand on what was learned of the servers that both know and whose process is the same.

    Args:
        successor: has its endpoint list, but no requests yet.
        predecessor: goes on until its requests have ended, and learns nothing from the successor.
        connected: the servers whose idle connections were handed over.

    Returns:
        The number of servers of which something was handed on.
    """
    same_classes = list(successor.settings.classes) == list(predecessor.settings.classes)
    _inherit_guidance(successor, predecessor)
    successor.retry_budget.balance = min(successor.retry_budget.balance, predecessor.retry_budget.balance)
    if same_classes:
        _inherit_latency(successor, predecessor)
    if list(successor.settings.tenants) == list(predecessor.settings.tenants):
        successor.quotas.shares = list(predecessor.quotas.shares)
        successor.quotas.retry_fractions = list(predecessor.quotas.retry_fractions)
        successor.admission.over_quota_fraction = predecessor.admission.over_quota_fraction
    _inherit_load(successor, predecessor)
    count = 0
    for server in successor.server_list.servers.values():
        known = predecessor.server_list.servers.get(server.id)
        if known is not None and known.started_ms == server.started_ms and known.zone == server.zone:
            _inherit_health(server, known, same_classes)
            _inherit_token(successor, server, known)
            if server.id in connected:
                successor.connections.use(server, known.last_used_ms)
            count += 1
    trusted_ms = min(successor.settings.connection_idle_ms, predecessor.connections.trusted_ms)
    successor.connections.trusted_ms = trusted_ms
    return count


def _inherit_guidance(successor: Balancer, predecessor: Balancer) -> None:
    if isinstance(successor.slow_start, SlowStart) and isinstance(predecessor.slow_start, SlowStart):
        _inherit_credit(successor.slow_start, predecessor.slow_start)
    if successor.guidance_state.fits(predecessor.guidance_state):
        successor.share_guidance(predecessor.guidance_state)
    else:
        successor.guidance_state.inherit(predecessor.guidance_state)


def _inherit_credit(successor: SlowStart, predecessor: SlowStart) -> None:
    """Hand on the credit left for the servers that both watch while they warm up."""
    for number, (credit, earned_before) in predecessor.credits.items():
        if number in successor.credits:
            left = credit + predecessor.earned - earned_before
            successor.credits[number] = left, successor.earned


def _inherit_latency(successor: Balancer, predecessor: Balancer) -> None:
    known = predecessor.latency
    successor.latency.mean_ms = list(known.mean_ms)
    successor.latency.responses = list(known.responses)
    successor.latency.hint_ms = list(known.hint_ms)
    successor.latency.time_left = [replace(value) for value in known.time_left]
    successor.latency.low_load_ms = list(known.low_load_ms)


def _inherit_load(successor: Balancer, predecessor: Balancer) -> None:
    """Hand on the window, by the ready servers, and the load: what is in flight there counts here too."""
    admission = successor.admission
    before = predecessor.admission
    ready = successor.server_list.ready_count
    ready_before = predecessor.server_list.ready_count
    if before.window_opened and ready_before and ready:
        admission.window = max(MIN_WINDOW, before.window * ready / ready_before)
    admission.window_opened = before.window_opened
    admission.mean_in_flight = before.mean_in_flight
    admission.load = before.load
    successor.gaps.mean_ms = predecessor.gaps.mean_ms
    successor.gaps.last_ms = predecessor.gaps.last_ms


def _inherit_health(server: Server, known: Server, same_classes: bool) -> None:
    server.consecutive_failures = known.consecutive_failures
    server.ejections = known.ejections
    server.failing_until_ms = known.failing_until_ms
    server.slowness = known.slowness
    if same_classes:
        server.circuits = dict(known.circuits)


def _inherit_token(successor: Balancer, server: Server, known: Server) -> None:
    """Withhold the token where the predecessor does, or where it has attempts in flight."""
    if known.ejected:
        successor.server_list.eject(server, known.withheld_until_ms)
    elif known.withheld_until_ms > successor.now:
        successor.server_list.withhold_token(server, known.withheld_until_ms)
    elif known.outstanding:
        # For a while, not until an attempt of its own ends: guards against a server that is never drawn
        # again, where others always hold a token.
        until_ms = successor.now + max(successor.latency.mean_ms)
        successor.server_list.withhold_token(server, until_ms)
