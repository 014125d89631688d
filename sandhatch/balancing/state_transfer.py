"""State transfer from a balancer to its successor when a pool's settings change.

Without a transfer the change of a single key would discard the known failures, latencies and capacity of a
pool, and slow start would restart with new credit each time. The transfer does no I/O and reads no clock.
Attempts in flight stay with the balancer that sent them; the successor withholds the tokens of their servers
for one mean latency.
"""

from __future__ import annotations

from dataclasses import replace

from sandhatch.balancing.policy.admission_control import MIN_WINDOW
from sandhatch.balancing.policy.balancer import Balancer
from sandhatch.balancing.policy.slow_start import SlowStart
from sandhatch.balancing.records import Server


def inherit_state(successor: Balancer, predecessor: Balancer, connected: frozenset[int] = frozenset()) -> int:
    """Transfer the state of the servers that both balancers know and whose process is the same.

    Args:
        successor: Balancer with an endpoint list, but without requests yet.
        predecessor: Balancer that runs until its requests have ended; it is not changed.
        connected: Servers whose idle connections were transferred.

    Returns:
        Number of servers whose state was transferred.
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
                successor.connections.mark_used(server, known.last_used_ms)
            count += 1
    idle_limit_ms = min(successor.settings.connection_idle_ms, predecessor.connections.idle_limit_ms)
    successor.connections.idle_limit_ms = idle_limit_ms
    return count


def _inherit_guidance(successor: Balancer, predecessor: Balancer) -> None:
    if isinstance(successor.slow_start, SlowStart) and isinstance(predecessor.slow_start, SlowStart):
        _inherit_credit(successor.slow_start, predecessor.slow_start)
    if successor.guidance_state.has_same_settings(predecessor.guidance_state):
        successor.share_guidance(predecessor.guidance_state)
    else:
        successor.guidance_state.inherit(predecessor.guidance_state)


def _inherit_credit(successor: SlowStart, predecessor: SlowStart) -> None:
    """Transfer the remaining credit of the servers that both balancers know as warming up."""
    for number, (credit, earned_before) in predecessor.credits.items():
        if number in successor.credits:
            left = credit + predecessor.earned_credit - earned_before
            successor.credits[number] = left, successor.earned_credit


def _inherit_latency(successor: Balancer, predecessor: Balancer) -> None:
    known = predecessor.latency
    successor.latency.mean_ms = list(known.mean_ms)
    successor.latency.responses = list(known.responses)
    successor.latency.hint_ms = list(known.hint_ms)
    successor.latency.time_left = [replace(value) for value in known.time_left]
    successor.latency.low_load_ms = list(known.low_load_ms)


def _inherit_load(successor: Balancer, predecessor: Balancer) -> None:
    """Transfer the admission window, the mean load and the mean time between arrivals of requests.

    The admission window is scaled by the number of ready servers. The load is transferred because the
    predecessor's attempts in flight still load the servers.
    """
    admission = successor.admission
    before = predecessor.admission
    ready = successor.server_list.ready_count
    ready_before = predecessor.server_list.ready_count
    if before.window_opened and ready_before and ready:
        admission.window = max(MIN_WINDOW, before.window * ready / ready_before)
    admission.window_opened = before.window_opened
    admission.mean_in_flight = before.mean_in_flight
    admission.load = before.load
    successor.interarrival.mean_ms = predecessor.interarrival.mean_ms
    successor.interarrival.last_ms = predecessor.interarrival.last_ms


def _inherit_health(server: Server, known: Server, same_classes: bool) -> None:
    server.consecutive_failures = known.consecutive_failures
    server.ejections = known.ejections
    server.failing_until_ms = known.failing_until_ms
    server.latency_ratio = known.latency_ratio
    if same_classes:
        server.circuits = dict(known.circuits)


def _inherit_token(successor: Balancer, server: Server, known: Server) -> None:
    """Withhold the server's token if the predecessor does, or has attempts in flight at the server."""
    if known.ejected:
        successor.server_list.eject(server, known.withheld_until_ms)
    elif known.withheld_until_ms > successor.now_ms:
        successor.server_list.withhold_token(server, known.withheld_until_ms)
    elif known.outstanding:
        # The token (mark of a server believed idle) is withheld for a limited time, not until the successor's
        # next attempt at the server ends: while other servers hold tokens, this server is never drawn.
        until_ms = successor.now_ms + max(successor.latency.mean_ms)
        successor.server_list.withhold_token(server, until_ms)
