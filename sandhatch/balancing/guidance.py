"""What advice from planners may change in a balancer's draws, and what it never may.

Advice narrows or weighs who may be drawn; it never replaces the draw, never names a server of its own, and
what is legal is asked first. Three things are advised: weights of servers, this copy's part in the ramp of a
cold server, and its part of what the tier bears. All of them lapse by themselves, and move by slides, not
steps. Nothing here does input or output, reads a clock or keeps state outside its objects.

Sources: arrival curves (Cruz 1991) for the ramp, leases (Gray and Cheriton 1989) for the parts.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from random import Random
from typing import Protocol

from sandhatch.balancing.actions import GuidanceRejected
from sandhatch.balancing.events import Guidance, RampShare, ServerState, ServerWeight
from sandhatch.balancing.settings import Settings


class Listed(Protocol):
    """A server of the balancer's list, as far as advice asks."""

    id: int
    label: int
    started_ms: float
    state: ServerState


class Slide:
    """A number that moves evenly to where it is set, so that no change of advice is a step."""

    __slots__ = ("_begin_ms", "_from", "end_ms", "to")

    def __init__(self, value: float) -> None:
        self.to = self._from = value
        self._begin_ms = self.end_ms = 0.0

    def at(self, now_ms: float) -> float:
        if now_ms >= self.end_ms:  # asked for at every draw: nothing is reckoned where nothing moves
            return self.to
        part = max(0.0, now_ms - self._begin_ms) / (self.end_ms - self._begin_ms)
        return self._from + part * (self.to - self._from)

    def move(self, to: float, now_ms: float, over_ms: float) -> None:
        """From what it is now. Told the same goal again, it goes on as it was going."""
        if to == self.to:
            return
        self._from, self.to = self.at(now_ms), to
        self._begin_ms, self.end_ms = now_ms, now_ms + over_ms

    def drop(self, to: float, now_ms: float, over_ms: float) -> None:
        """Down at once, up by a slide."""
        if to <= self.at(now_ms):
            self.to = self._from = to
            self.end_ms = 0.0
        else:
            self.move(to, now_ms, over_ms)


# ---------------------------------------------------------------- a ramp that copies share


def safe_part(copies: int, me: int, burst: float, label: int) -> tuple[float, float]:
    """The part of copy `me`, without any advice, in the ramp of the server with this label: of its rate, and
    of the `burst` calls that may come at once.

    The parts of all copies sum to the whole, for any number of them up to `copies`, without a word between
    them. A call can't be divided: where fewer calls than copies may come at once, that many copies have a
    part and the others none, each server's others.
    """
    holders = min(copies, int(burst))
    if (me + label) % copies >= holders:
        return 0.0, 0.0
    return 1.0 / holders, burst / holders


def ramp_burst(settings: Settings) -> float:
    """Calls that all copies together may send a cold server at once, beyond its ramp's rate."""
    return settings.ramp_burst or float(settings.instances)


class Warming:
    """How a server that has started grows: from a share of its capacity evenly to all of it."""

    def __init__(self, settings: Settings) -> None:
        self._share, self._ms = settings.initial_capacity_share, settings.warm_up_ms

    def is_cold(self, server: Listed, now_ms: float) -> bool:
        return server.started_ms > 0.0 and now_ms - server.started_ms < self._ms

    def share(self, server: Listed, now_ms: float) -> float:
        """Of the capacity of a warm server."""
        age = max(0.0, now_ms - server.started_ms)
        return self._share + (1.0 - self._share) * min(1.0, age / self._ms) if self._ms else 1.0


class _Bucket:
    """Credit for one process of a server: calls that this copy may send it now."""

    __slots__ = ("at_ms", "credit", "started_ms")

    def __init__(self, started_ms: float, now_ms: float) -> None:
        self.started_ms = started_ms
        self.credit = 0.0  # nothing is saved up before the first look
        self.at_ms = now_ms


class SharedRamp(Warming):
    """The slow start of a tier whose cold servers have a stated ramp, kept by all copies together.

    The ramp of a server is a rate that grows evenly from `cold_share` of `ramp_per_s` to all of it within
    `cold_ms`. In any window all copies together send a cold server at most the rate's integral over it and
    `ramp_burst` calls: each keeps a bucket that fills with its part of the rate and holds its part of the
    burst, and the parts never sum to more than one. Without advice the parts are `safe_part`. With it they
    are what a planner has granted, until that lapses; a copy has then lent its own part, and has it back
    from `leased_until_ms` on, when whatever was granted out of it has lapsed everywhere.
    """

    SETTLE_MS = 1_000.0  # over which a part grows

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        self._settings = settings
        self._burst = ramp_burst(settings)
        self._cold: dict[int, Listed] = {}
        self._buckets: dict[int, _Bucket] = {}
        self._granted: dict[int, RampShare] = {}
        self._granted_until_ms = 0.0
        self._fade_ms = 1.0  # before its end, over which what is granted fades
        self._leased_until_ms = 0.0
        self._slides: dict[int, Slide] = {}

    def watch(self, servers: Sequence[Listed], now_ms: float) -> None:
        for server in servers:
            if self.is_cold(server, now_ms):
                self._cold[server.id] = server
                self._buckets[server.id] = _Bucket(server.started_ms, now_ms)
                self._slides.pop(server.id, None)

    def earn(self, ready: int, now_ms: float) -> None:
        """Credit is of time alone, not of requests."""

    def cold(self, now_ms: float) -> list[int]:
        """The listed servers that are cold now."""
        over = [n for n, server in self._cold.items() if self._gone(server, now_ms)]
        for number in over:
            del self._cold[number]
            self._buckets.pop(number, None)
            self._slides.pop(number, None)
        return list(self._cold)

    def lack(self, now_ms: float) -> float:
        """What the ready servers that are cold can't do yet, in warm servers."""
        ready = [s for s in self._cold.values() if s.state is ServerState.READY and self.is_cold(s, now_ms)]
        return sum(1.0 - self.share(server, now_ms) for server in ready)

    def _gone(self, server: Listed, now_ms: float) -> bool:
        return server.state is ServerState.GONE or not self.is_cold(server, now_ms)

    def grant(
        self,
        parts: Iterable[RampShare],
        begun_ms: float,
        until_ms: float,
        leased_until_ms: float,
        now_ms: float,
    ) -> None:
        """Parts granted from `begun_ms`, when what they answer was sent, until `until_ms`. What is not named
        is not granted. This copy's own parts are others' until `leased_until_ms`.
        """
        self._settle(now_ms)
        self._granted = {part.server: part for part in parts}
        self._granted_until_ms = until_ms
        self._fade_ms = max(1.0, (until_ms - begun_ms) / 2.0)
        self._leased_until_ms = max(self._leased_until_ms, leased_until_ms)

    def lend(self, until_ms: float, now_ms: float) -> None:
        """This copy's own parts are others' until then; what is granted stays."""
        if until_ms > self._leased_until_ms:
            self._settle(now_ms)
            self._leased_until_ms = until_ms

    def part(self, server: Listed, at_ms: float) -> tuple[float, float]:
        """This copy's part of the rate, and the most calls of credit, at a time from now on."""
        return self._part_in(self._phase(at_ms), server, at_ms)

    def _phase(self, at_ms: float) -> int:
        """0: what is granted counts; 1: nothing does; 2: the own part does."""
        if at_ms < self._granted_until_ms:
            return 0
        return 1 if at_ms < self._leased_until_ms else 2

    def _part_in(self, phase: int, server: Listed, at_ms: float) -> tuple[float, float]:
        if phase == 2:
            return safe_part(
                self._settings.instances, self._settings.instance_index, self._burst, server.label
            )
        granted = self._granted.get(server.id) if phase == 0 else None
        if granted is None or granted.burst < 1.0:
            return 0.0, 0.0
        return granted.rate * min(1.0, (self._granted_until_ms - at_ms) / self._fade_ms), granted.burst

    def _settle(self, now_ms: float) -> None:
        """Fill the buckets by the parts as they were, before these change."""
        for number in self.cold(now_ms):
            self._credit(self._cold[number], now_ms)

    def _credit(self, server: Listed, now_ms: float) -> _Bucket:
        """The server's bucket, filled up to now.

        The time since the last look is cut where a part lapses or has grown. Within a piece it counts at its
        mean, or at its end if it fades: the sum over all copies must not pass the integral of the rate.
        """
        bucket = self._buckets.get(server.id)
        if bucket is None or bucket.started_ms != server.started_ms:
            bucket = self._buckets[server.id] = _Bucket(server.started_ms, now_ms)
        slide = self._slides.get(server.id)
        if slide is None:
            slide = self._slides[server.id] = Slide(0.0)
        begin = bucket.at_ms
        while True:
            phase = self._phase(begin)
            first, burst = self._part_in(phase, server, begin)
            slide.drop(first, begin, self.SETTLE_MS)
            cuts = (self._granted_until_ms, self._leased_until_ms, slide.end_ms)
            end = min((cut for cut in cuts if begin < cut < now_ms), default=now_ms)
            part = min((slide.at(begin) + slide.at(end)) / 2.0, self._part_in(phase, server, end)[0])
            share = (self.share(server, begin) + self.share(server, end)) / 2.0
            rate = self._settings.ramp_per_s / 1000.0 * share
            bucket.credit = min(burst, bucket.credit + part * rate * (end - begin))
            begin = end
            if begin >= now_ms:
                break
        bucket.credit = min(bucket.credit, self.part(server, now_ms)[1])
        bucket.at_ms = now_ms
        return bucket

    def inherit(self, past: SharedRamp) -> None:
        """Go on where another ramp of these servers ends, which from now on has nothing but its grants."""
        self._buckets, self._slides, self._granted = past._buckets, past._slides, past._granted
        self._granted_until_ms, self._fade_ms = past._granted_until_ms, past._fade_ms
        self._leased_until_ms, past._leased_until_ms = past._leased_until_ms, math.inf

    def admits(self, server: Listed, now_ms: float) -> bool:
        return not self.is_cold(server, now_ms) or self._credit(server, now_ms).credit >= 1.0

    def spend(self, server: Listed, now_ms: float) -> None:
        if self.is_cold(server, now_ms):
            self._credit(server, now_ms).credit -= 1.0


# ---------------------------------------------------------------- weights, the part of the tier, and bounds


class _Voice:
    """What one planner said last of the servers' weights."""

    __slots__ = ("until_ms", "weights")

    def __init__(self, weights: dict[int, float], until_ms: float) -> None:
        self.weights = weights  # those that are not 1
        self.until_ms = until_ms


class GuidanceState:
    """The advice that counts now, for one balancer.

    Weights are the median over the planners whose advice lives: guards against one that is wrong. A server
    of weight w is passed over in a draw with odds 1 - w; where every draw ends so, the weights are left
    aside, and the choice is that without advice.
    """

    FLOOR = 0.5  # of the servers that are ready and warm, that keep at least this much of the most weight
    LEAST_PART = 0.5  # of an even part of what the tier bears, that a copy keeps whatever is advised
    MOST_PART = 8.0
    FOLLOW_MS = 400.0  # over which a weight goes to what is newly advised
    SETTLE_MS = 3_000.0  # over which it goes back when advice has lapsed

    def __init__(self, settings: Settings, rng: Random) -> None:
        self._settings = settings
        self._rng = rng
        self._voices: dict[str, _Voice] = {}
        self._slides: dict[int, Slide] = {}
        self._next_ms = math.inf  # when the next planner's weights lapse
        self._even = 1.0 / settings.instances
        self._own = Slide(self._even)
        self._own_until_ms = math.inf
        self.ramp = SharedRamp(settings) if settings.ramp_per_s > 0.0 else None

    # ------------------------------------------------ advice in

    def take(
        self, event: Guidance, servers: Mapping[int, Listed], warm: Sequence[int], now_ms: float
    ) -> GuidanceRejected | None:
        """Take advice whole or not at all; says why not. `warm` are the ready servers that are not cold."""
        if now_ms >= event.until_ms:
            return None  # it has lapsed: as if it had not come
        why = self._wrong(event, warm)
        if why is not None:
            return GuidanceRejected(event.planner, why)
        if event.weights is not None:
            most = max([1.0 if len(event.weights) < len(warm) else 0.0, *(w.weight for w in event.weights)])
            scale = 1.0 / most if most else 1.0
            weights = {w.server: min(1.0, w.weight * scale) for w in event.weights if w.server in servers}
            self._voices[event.planner] = _Voice(weights, event.until_ms)
        elif event.planner in self._voices:
            self._voices[event.planner].until_ms = event.until_ms
        self._combine(now_ms, self.FOLLOW_MS)
        if event.leased and self.ramp is not None:
            parts = [part for part in event.parts if part.server in servers]
            self.ramp.grant(parts, event.report_sent_ms, event.until_ms, event.leased_until_ms, now_ms)
        if event.leased and (event.own_part is not None or self._own_until_ms < math.inf):
            self._own_until_ms = event.until_ms  # None leaves the part before
            if event.own_part is not None:
                self._own.move(event.own_part, now_ms, self.SETTLE_MS)
        return None

    def _wrong(self, event: Guidance, warm: Sequence[int]) -> str | None:
        """What is out of bounds in it."""
        weights = event.weights or ()
        if any(not 0.0 <= weight.weight <= 1.0 for weight in weights):
            return "a weight is not between 0 and 1"
        burst = ramp_burst(self._settings)
        for part in event.parts:
            if not (0.0 <= part.rate <= 1.0 and 0.0 <= part.burst <= burst):
                return f"a part of a ramp is not between 0 and 1, or its burst not up to {burst:g}"
        own = event.own_part
        if own is not None:
            low, high = self.LEAST_PART * self._even, min(1.0, self.MOST_PART * self._even)
            # A little beyond: sums of parts that were divided are not exact.
            if not low * (1.0 - 1e-9) <= own <= high * (1.0 + 1e-9):
                return f"the part of what the tier bears is {own:g}, not between {low:g} and {high:g}"
        return self._empties(weights, warm)

    def _empties(self, weights: Sequence[ServerWeight], warm: Sequence[int]) -> str | None:
        named = {weight.server: weight.weight for weight in weights}
        if len(named) != len(weights):
            return "a server has two weights"
        told = [named.get(number, 1.0) for number in warm]
        if not told:
            return None
        most = max(told)
        kept = sum(weight >= self.FLOOR * most for weight in told)
        if most > 0.0 and kept < self.FLOOR * len(told):
            return f"only {kept} of {len(told)} ready servers keep half of the most weight"
        return None

    def lend(self, until_ms: float, now_ms: float) -> None:
        if self.ramp is not None:
            self.ramp.lend(until_ms, now_ms)

    def fits(self, other: GuidanceState) -> bool:
        """Whether the settings that advice looks at are the same."""

        def terms(settings: Settings) -> tuple[float, ...]:
            ramp = (
                settings.initial_capacity_share,
                settings.warm_up_ms,
                settings.ramp_per_s,
                settings.ramp_burst,
            )
            return settings.instances, settings.instance_index, *ramp

        return terms(self._settings) == terms(other._settings)

    def inherit(self, past: GuidanceState) -> None:
        """Go on with the advice that counts for the balancer before, under other settings."""
        self._voices, self._next_ms = dict(past._voices), past._next_ms
        self._slides = past._slides
        if self.ramp is not None and past.ramp is not None:
            self.ramp.inherit(past.ramp)

    # ------------------------------------------------ what counts now

    def _combine(self, now_ms: float, over_ms: float) -> None:
        self._voices = {name: voice for name, voice in self._voices.items() if voice.until_ms > now_ms}
        voices = [voice.weights for voice in self._voices.values()]
        self._next_ms = min((voice.until_ms for voice in self._voices.values()), default=math.inf)
        for number in set(self._slides).union(*voices):
            goal = _median([weights.get(number, 1.0) for weights in voices])
            slide = self._slides.get(number)
            if slide is None:
                if goal == 1.0:
                    continue
                slide = self._slides[number] = Slide(1.0)
            slide.move(goal, now_ms, over_ms)
            if goal == 1.0 and slide.at(now_ms) == 1.0:
                del self._slides[number]

    def weight(self, server: int, now_ms: float) -> float:
        while now_ms >= self._next_ms:
            self._combine(self._next_ms, self.SETTLE_MS)
        slide = self._slides.get(server)
        return 1.0 if slide is None else slide.at(now_ms)

    def declines(self, server: int, now_ms: float) -> bool:
        """Whether a server that was drawn is passed over, as its weight has it."""
        if server not in self._slides:
            return False
        weight = self.weight(server, now_ms)
        return weight < 1.0 and self._rng.random() >= weight

    def own_part(self, now_ms: float) -> float:
        """This copy's part of what the tier bears. An even one without advice."""
        if now_ms >= self._own_until_ms:
            self._own.move(self._even, self._own_until_ms, self.SETTLE_MS)
            self._own_until_ms = math.inf
        return self._own.at(now_ms)


def _median(values: list[float]) -> float:
    if not values:
        return 1.0
    values.sort()
    middle = len(values) // 2
    return values[middle] if len(values) % 2 else (values[middle - 1] + values[middle]) / 2.0
