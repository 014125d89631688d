"""What a balancer that takes another's place learns from it, where the pool's settings have changed.

Without this a change of one key would make a pool forget which servers fail, how long its answers take and
how much it bears, and its slow start would begin anew with a fresh credit each time. It does no I/O and
reads no clock. Calls that are out stay with the balancer that sent them; a server that has some there has no
token here for as long as such a call usually takes.
"""

from __future__ import annotations

from sandhatch.balancing.policy.balancer import Balancer, Server, SlowStart


def inherit(heir: Balancer, past: Balancer, linked: frozenset[int] = frozenset()) -> int:
    """Give `heir`, which has its list but no requests yet, what `past` knows of the servers that both have
    and whose process is the same. `linked` are those whose idle connections went over. Returns how many
    servers.
    """
    same_classes = list(heir.settings.classes) == list(past.settings.classes)
    if isinstance(heir.slow_start, SlowStart) and isinstance(past.slow_start, SlowStart):
        heir.slow_start.inherit(past.slow_start)
    if heir.guide.fits(past.guide):
        heir.guide = past.guide  # both follow the same advice, and send from the same buckets
        heir.slow_start = heir.guide.ramp or heir.slow_start
    else:
        heir.guide.inherit(past.guide)
    heir._retries = min(heir._retries, past._retries)
    if same_classes:
        _inherit_latency(heir, past)
    if list(heir.settings.tenants) == list(past.settings.tenants):
        heir._part, heir._repeats = list(past._part), list(past._repeats)
        heir._over_part = past._over_part
    heir._window = _scaled_window(heir, past)
    heir._opened = past._opened
    # Both send to these servers until the past one's calls have ended: what it has out counts as load.
    heir._out_mean, heir._load = past._out_mean, past._load
    heir._pause_ms, heir._last_ms = past._pause_ms, past._last_ms
    count = 0
    for server in heir.fleet.servers.values():
        known = past.fleet.servers.get(server.id)
        if known is not None and known.started_ms == server.started_ms and known.zone == server.zone:
            _inherit_server(heir, server, known, same_classes)
            if server.id in linked:
                heir.links.use(server, known.used_ms)
            count += 1
    heir.links.keep_ms = min(heir.settings.conn_idle_ms, past.links.keep_ms)
    return count


def _inherit_latency(heir: Balancer, past: Balancer) -> None:
    heir._latency, heir._base = list(past._latency), list(past._base)
    heir._answers, heir._work = list(past._answers), list(past._work)
    for mine, theirs in zip(heir._usual, past._usual, strict=True):
        mine.value, mine.votes = theirs.value, theirs.votes


def _scaled_window(heir: Balancer, past: Balancer) -> float:
    """What a pool bears goes with its ready servers."""
    before, now = past.fleet.ready_count, heir.fleet.ready_count
    if not past._opened or not before or not now:
        return heir._window
    return max(heir.LEAST_WINDOW, past._window * now / before)


def _inherit_server(heir: Balancer, server: Server, known: Server, same_classes: bool) -> None:
    server.strikes, server.ejections = known.strikes, known.ejections
    server.failing_ms, server.slowness = known.failing_ms, known.slowness
    if same_classes:
        server.shunned = dict(known.shunned)
    if known.ejected:
        heir.fleet.eject(server, known.until_ms)
    elif known.until_ms > heir.now:
        heir.fleet.withhold(server, known.until_ms)
    elif known.outstanding:
        # A while, not until a call of its own ends: guards against a server that is never drawn again, where
        # others always hold a token.
        heir.fleet.withhold(server, heir.now + max(heir._latency))
