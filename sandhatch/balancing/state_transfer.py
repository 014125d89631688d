"""What a balancer that takes another's place learns from it, where the pool's settings have changed.

Without this a change of one key would make a pool forget which servers fail, how long its answers take and
how much it bears, and its slow start would begin anew with a fresh credit each time. It does no I/O and
reads no clock. Calls that are out stay with the balancer that sent them; a server that has some there has no
token here for as long as such a call usually takes.
"""

from __future__ import annotations

from sandhatch.balancing.policy.balancer import Balancer, Server, SlowStart


def inherit(successor: Balancer, past: Balancer, linked: frozenset[int] = frozenset()) -> int:
    """Give `successor`, which has its list but no requests yet, what `past` knows of the servers that both
    have and whose process is the same. `linked` are those whose idle connections went over. Returns how many
    servers.
    """
    same_classes = list(successor.settings.classes) == list(past.settings.classes)
    if isinstance(successor.slow_start, SlowStart) and isinstance(past.slow_start, SlowStart):
        successor.slow_start.inherit(past.slow_start)
    if successor.guidance_state.fits(past.guidance_state):
        successor.guidance_state = (
            past.guidance_state
        )  # both follow the same advice, and send from the same buckets
        successor.slow_start = successor.guidance_state.ramp or successor.slow_start
    else:
        successor.guidance_state.inherit(past.guidance_state)
    successor._retries = min(successor._retries, past._retries)
    if same_classes:
        _inherit_latency(successor, past)
    if list(successor.settings.tenants) == list(past.settings.tenants):
        successor._part, successor._repeats = list(past._part), list(past._repeats)
        successor._over_part = past._over_part
    successor._window = _scaled_window(successor, past)
    successor._opened = past._opened
    # Both send to these servers until the past one's calls have ended: what it has out counts as load.
    successor._out_mean, successor._load = past._out_mean, past._load
    successor._pause_ms, successor._last_ms = past._pause_ms, past._last_ms
    count = 0
    for server in successor.fleet.servers.values():
        known = past.fleet.servers.get(server.id)
        if known is not None and known.started_ms == server.started_ms and known.zone == server.zone:
            _inherit_server(successor, server, known, same_classes)
            if server.id in linked:
                successor.links.use(server, known.used_ms)
            count += 1
    successor.links.keep_ms = min(successor.settings.connection_idle_ms, past.links.keep_ms)
    return count


def _inherit_latency(successor: Balancer, past: Balancer) -> None:
    successor._latency, successor._base = list(past._latency), list(past._base)
    successor._answers, successor._work = list(past._answers), list(past._work)
    for mine, theirs in zip(successor._usual, past._usual, strict=True):
        mine.value, mine.votes = theirs.value, theirs.votes


def _scaled_window(successor: Balancer, past: Balancer) -> float:
    """What a pool bears goes with its ready servers."""
    before, now = past.fleet.ready_count, successor.fleet.ready_count
    if not past._opened or not before or not now:
        return successor._window
    return max(successor.LEAST_WINDOW, past._window * now / before)


def _inherit_server(successor: Balancer, server: Server, known: Server, same_classes: bool) -> None:
    server.strikes, server.ejections = known.strikes, known.ejections
    server.failing_ms, server.slowness = known.failing_ms, known.slowness
    if same_classes:
        server.shunned = dict(known.shunned)
    if known.ejected:
        successor.fleet.eject(server, known.until_ms)
    elif known.until_ms > successor.now:
        successor.fleet.withhold(server, known.until_ms)
    elif known.outstanding:
        # A while, not until a call of its own ends: guards against a server that is never drawn again, where
        # others always hold a token.
        successor.fleet.withhold(server, successor.now + max(successor._latency))
