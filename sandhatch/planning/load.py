"""What a planner knows of one pool: what its forwarders have reported, and what follows for the weights.

A report's share in the picture is bounded, so that one forwarder that reports wrongly moves it by little. No
I/O, no clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from heapq import nsmallest
from itertools import chain
from weakref import WeakValueDictionary

from sandhatch.planning.messages import PoolReport, WeightRow

MOST_SERVERS = 20_000  # that a session may name in a pool
MOST_WEIGHTS = 256  # told of a pool at once: an advice is bounded, however large the tier
STEP = 0.05  # weights are given in steps of it, so that they are not sent anew for nothing


@dataclass(slots=True, frozen=True)
class Judgement:
    """How much of its draws a server should keep, and the evidence."""

    weight: float
    why: str = ""
    ratio: float = 0.0
    reports: int = 0


class ServerView:
    """One server, over all forwarders of the pool."""

    __slots__ = (
        "_failed",
        "_ratio",
        "address",
        "calls",
        "cold_in",
        "judgement",
        "listed_in",
        "load",
        "merit",
        "outstanding",
        "reports",
    )

    def __init__(self, address: str) -> None:
        self.address = address
        self.outstanding = 0  # calls of all forwarders
        self.listed_in = 0  # forwarders that have it ready
        self.cold_in = 0  # those of them that say it is cold
        self.reports = 0  # that told of it since the last look
        self.judgement = Judgement(1.0)
        self.calls = 0.0  # ended, fading
        self._ratio = 0.0  # sum over them of the answer's time by what is usual at that forwarder
        self._failed = 0.0
        self.load = 0.0  # outstanding, averaged
        self.merit = 1.0  # the weight that what it is speaks for

    @property
    def cold(self) -> bool:
        """By the word of more than one forwarder where there are more, so that no one alone makes it so."""
        return 0 < self.cold_in >= min(2, self.listed_in)

    def count(self, ok: int, failed: int, spent_ms: float, weight: float, usual_ms: float) -> None:
        """Calls that ended here as one forwarder saw it, each counted as `weight` calls."""
        self.reports += 1
        self.calls += (ok + failed) * weight
        self._failed += failed * weight
        if ok:
            ratio = spent_ms / ok / usual_ms if usual_ms else 1.0
            if ratio > 8.0:
                ratio = 8.0
            elif ratio < 0.125:
                ratio = 0.125
            self._ratio += ratio * ok * weight

    def fade(self, keep: float, smooth: float) -> None:
        self.calls, self._failed, self._ratio = self.calls * keep, self._failed * keep, self._ratio * keep
        self.load += smooth * (self.outstanding - self.load)

    @property
    def slowness(self) -> float:
        """How many times the usual its answers take."""
        well = self.calls - self._failed
        return self._ratio / well if well > 0.5 else 1.0

    @property
    def failing(self) -> float:
        """The part of its calls that fail."""
        return self._failed / self.calls if self.calls else 0.0

    def judge(self, weight: float, why: str, ratio: float) -> bool:
        """Give it a weight; whether what is said of it has changed."""
        weight = min(1.0, max(0.0, round(weight / STEP) * STEP))
        changed = weight != self.judgement.weight
        if changed or (weight < 1.0 and why != self.judgement.why):
            self.judgement = Judgement(weight, why if weight < 1.0 else "", ratio, self.reports)
        return changed


class Numbering:
    """Servers by their numbers. Forwarders that name the same servers in the same order share one: with
    thousands of each, a table a forwarder would be most of a planner's memory.
    """

    __slots__ = ("__weakref__", "_rows", "_rows_version", "views")

    def __init__(self, views: list[ServerView]) -> None:
        self.views = views
        self._rows: list[WeightRow] = []
        self._rows_version = -1

    def weights(self, version: int) -> list[WeightRow]:
        """The servers weighed down, as of this version of the weights."""
        if version != self._rows_version:
            self._rows_version = version
            judged = ((number, view.judgement) for number, view in enumerate(self.views) if view.listed_in)
            low = [(found.weight, number, found) for number, found in judged if found.weight < 1.0]
            if len(low) > MOST_WEIGHTS:  # those that matter most
                low = nsmallest(MOST_WEIGHTS, low, key=lambda item: item[:2])
            self._rows = [
                WeightRow(number, found.weight, found.why, round(found.ratio, 3), found.reports)
                for _, number, found in low
            ]
        return self._rows


GONE, WARM, COLD = range(3)


class MemberLoad:
    """What one forwarder's reports of a pool say."""

    __slots__ = (
        "cold",
        "demand_per_s",
        "key",
        "me",
        "numbering",
        "outstanding",
        "state",
        "usual_ms",
        "weights_told",
    )

    def __init__(self, empty: Numbering) -> None:
        self.me = 0
        self.key = b""  # of the names that it has given in this session
        self.numbering = empty
        self.state = bytearray()  # GONE, WARM or COLD, by number
        self.cold: set[int] = set()
        self.outstanding: dict[int, int] = {}
        self.demand_per_s = 0.0
        self.usual_ms = 0.0  # an answer's time, over all servers
        self.weights_told = -1  # the last version of the weights that it was sent


class PoolLoad:
    """A pool, as all its forwarders' reports together tell it."""

    MEMORY_MS = 10_000.0  # over which evidence fades
    SMOOTH_MS = 400.0
    LEAST_CALLS = 8.0  # before an opinion of a server
    TOLERATED = 1.5  # times the usual, up to which a server is not slow
    LEAST_WEIGHT = 0.1
    LEAST_CROWD = 0.3
    DRAIN_MS = 1_000.0  # within which what a server has outstanding beyond the mean should be gone
    LAG_MS = 500.0  # from a call to the draws that know of it
    STEP_PER_S = 0.3
    DEMAND_MS = 5_000.0
    MOST_DEMAND = 4.0  # times the median, as far as any forwarder's demand counts

    def __init__(self, name: str) -> None:
        self.name = name
        self.servers: dict[str, ServerView] = {}
        self.members: dict[str, MemberLoad] = {}
        self.weights_version = 0
        self.cold: dict[str, ServerView] = {}
        self._row_mean = 1.0  # calls in a row, to bound what a single one counts
        self._empty = Numbering([])
        self._numberings: WeakValueDictionary[bytes, Numbering] = WeakValueDictionary()

    # ------------------------------------------------ reports in

    def new_session(self, name: str) -> None:
        """It begins to number servers and to count anew."""
        member = self.members.get(name)
        if member is None:
            return
        for number in range(len(member.state)):
            self._set(member, number, GONE)  # with what is out there
        member.key, member.numbering, member.state = b"", self._empty, bytearray()
        member.weights_told = -1

    def drop(self, name: str) -> None:
        self.new_session(name)
        self.members.pop(name, None)

    def take(self, name: str, report: PoolReport, span_ms: float) -> str | None:
        """A report of a forwarder; what is wrong with it, if something is."""
        member = self.members.get(name)
        if member is None:
            member = self.members[name] = MemberLoad(self._empty)
        member.me = report.me
        if report.names:
            if len(member.state) + len(report.names) > MOST_SERVERS:
                return f"pool {self.name}: more than {MOST_SERVERS} servers named in one session"
            self._name(member, report.names)
        known = len(member.state)
        rows = (row.server for row in report.rows)
        highest = max(chain(report.cold, report.warm, report.left, rows), default=-1)
        if highest >= known:
            return f"pool {self.name}: server {highest} has no name in this session"
        for state, numbers in ((COLD, report.cold), (WARM, report.warm), (GONE, report.left)):
            for number in numbers:
                self._set(member, number, state)
        self._count(member, report)
        if span_ms > 0.0:
            rate = sum(report.demand.values()) / span_ms * 1000.0
            keep = math.exp(-span_ms / self.DEMAND_MS)
            member.demand_per_s = keep * member.demand_per_s + (1.0 - keep) * rate
        return None

    def _name(self, member: MemberLoad, names: list[str]) -> None:
        digest = blake2b(member.key, digest_size=16)
        digest.update("\n".join(names).encode())
        key = digest.digest()
        numbering = self._numberings.get(key)
        if numbering is None:
            views = [*member.numbering.views, *map(self._server, names)]
            numbering = self._numberings[key] = Numbering(views)
        member.key, member.numbering = key, numbering
        member.state.extend(bytes(len(names)))

    def _server(self, address: str) -> ServerView:
        view = self.servers.get(address)
        if view is None:
            view = self.servers[address] = ServerView(address)
        return view

    def _set(self, member: MemberLoad, number: int, state: int) -> None:
        """What a forwarder's list says of a server."""
        before, view = member.state[number], member.numbering.views[number]
        if state == GONE:  # of what is out at one that drains, the rows go on telling; of one gone, nothing
            view.outstanding -= member.outstanding.pop(number, 0)
        if before == state:
            return
        member.state[number] = state
        view.listed_in += (state != GONE) - (before != GONE)
        view.cold_in += (state == COLD) - (before == COLD)
        if state == COLD:
            member.cold.add(number)
            self.cold[view.address] = view
        else:
            member.cold.discard(number)

    def _count(self, member: MemberLoad, report: PoolReport) -> None:
        views, outstanding, usual_ms = member.numbering.views, member.outstanding, member.usual_ms
        # Guards against a forwarder that reports many times its calls: it speaks for three at most.
        most = 3.0 * max(1.0, self._row_mean)
        ended = told = well = 0
        spent_ms = 0.0
        for row in report.rows:
            view = views[row.server]
            calls = row.ok + row.failed
            if calls:
                told += 1
                ended += calls
                well += row.ok
                spent_ms += row.spent_ms
                weight = 1.0 if calls <= most else most / calls
                view.count(row.ok, row.failed, row.spent_ms, weight, usual_ms)
            before = outstanding.get(row.server, 0)
            if row.outstanding != before:
                view.outstanding += row.outstanding - before
                if row.outstanding:
                    outstanding[row.server] = row.outstanding
                else:
                    del outstanding[row.server]
        if told:
            weight = 1.0 - 0.99**told
            self._row_mean += weight * (min(ended / told, 10.0 * self._row_mean) - self._row_mean)
        if well:
            weight = well / (well + 50.0) if usual_ms else 1.0
            member.usual_ms += weight * (spent_ms / well - usual_ms)

    # ------------------------------------------------ what follows

    def look(self, span_ms: float, first: bool = False) -> None:
        """Judge the servers, after each `span_ms` or so. At `first` they are what they show themselves to
        be; later they become so by small steps.
        """
        keep, smooth = math.exp(-span_ms / self.MEMORY_MS), 1.0 - math.exp(-span_ms / self.SMOOTH_MS)
        self._tidy()
        listed = [view for view in self.servers.values() if view.listed_in]
        for view in listed:
            view.fade(keep, smooth)
        warm = [view for view in listed if not view.cold]
        if warm:
            self._judge(warm, math.inf if first else span_ms)
        for view in listed:
            view.reports = 0

    def _tidy(self) -> None:
        for address in [address for address, view in self.cold.items() if not view.cold_in]:
            del self.cold[address]
        # A view stays for as long as a session numbers it, listed or not: it may be listed again.
        if len(self.servers) > 2 * MOST_SERVERS:
            numbered = {id(view) for item in self._numberings.values() for view in item.views}
            self.servers = {a: view for a, view in self.servers.items() if id(view) in numbered}

    def _judge(self, warm: list[ServerView], span_ms: float) -> None:
        """Two things make a weight. What a server is, slow or failing, moves it slowly, on evidence. What it
        has outstanding moves it at once: by so much that what is beyond the mean is gone after DRAIN_MS.

        (With calls of 20 ms and a third of the servers slow, following at once lost 0.02 of the worth.)
        """
        usual = _middle(view.slowness for view in warm if view.calls >= self.LEAST_CALLS) or 1.0
        mean = sum(view.load for view in warm) / len(warm)
        calls = sum(view.calls for view in warm)
        failing = sum(view.failing * view.calls for view in warm) / (calls or 1.0)
        # What is out is old news by the time that it is heard, the more so the shorter the calls are: then
        # it is followed slowly. Guards against steering by noise.
        usual_ms = _middle(member.usual_ms for member in self.members.values() if member.usual_ms) or 1.0
        drain_ms = self.DRAIN_MS * max(1.0, self.LAG_MS / usual_ms)
        drained = max(1.0, calls / len(warm) / self.MEMORY_MS * drain_ms)
        most = self.STEP_PER_S * span_ms / 1000.0
        found = []
        for view in warm:
            goal, why, ratio = self._goal(view, usual, failing)
            view.merit += max(-most, min(most, goal - view.merit))
            beyond = (view.load - mean) / drained
            crowd = max(self.LEAST_CROWD, min(2.0 - self.LEAST_CROWD, 1.0 - beyond))
            if crowd < view.merit:
                why, ratio = "crowded", (view.load + 1.0) / (mean + 1.0)
            found.append((view, view.merit * crowd, why, ratio))
        found.sort(key=lambda item: item[1])
        # Half of the servers keep a weight near the most: guards a tier that is bad as a whole, and servers
        # on which all would pile that are weighed down less.
        middle = found[len(found) // 2][1]
        changed = False
        for view, weight, why, ratio in found:
            changed |= view.judge(max(self.LEAST_WEIGHT, min(1.0, weight / middle)), why, ratio)
        if changed:
            self.weights_version += 1

    def _goal(self, view: ServerView, usual: float, failing: float) -> tuple[float, str, float]:
        """The weight that the evidence speaks for, what it is, and by how many times it is beyond the
        tier's.
        """
        goal, why, ratio = 1.0, "", 1.0
        if view.calls >= self.LEAST_CALLS:
            slow = view.slowness / usual
            if slow > self.TOLERATED:
                goal, why, ratio = self.TOLERATED / slow, "slow", slow
            beyond = view.failing - 2.0 * failing - 1.0 / view.calls
            if beyond > 0.05 and 1.0 - beyond < goal:
                goal, why, ratio = 1.0 - beyond, "failing", view.failing / max(failing, 0.01)
        return max(self.LEAST_WEIGHT, goal), why, ratio

    def weights(self) -> dict[str, Judgement]:
        """Those that are not 1, by address."""
        return {
            address: view.judgement
            for address, view in self.servers.items()
            if view.judgement.weight < 1.0 and view.listed_in
        }

    def demands(self, names: Iterable[str]) -> dict[str, float]:
        """What each of these forwarders' demand counts for: bounded by the median, so that one that reports
        wrongly does not starve the others.
        """
        told = {name: self.members[name].demand_per_s for name in names if name in self.members}
        middle = _middle(told.values()) or max(told.values(), default=0.0) or 1.0
        return {
            name: min(self.MOST_DEMAND * middle, max(middle / self.MOST_DEMAND, rate))
            for name, rate in told.items()
        }


def _middle(values: Iterable[float]) -> float:
    ordered = sorted(values)
    return ordered[len(ordered) // 2] if ordered else 0.0
