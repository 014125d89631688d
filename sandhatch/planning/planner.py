"""The planner: reports and ticks in, advice out. No I/O, no clock: times are milliseconds of one clock that
the caller chooses, and only moves forward.

It advises three things, each bounded again by the forwarder (`sandhatch.balancing.guidance`): weights of
servers, from what all forwarders see together; parts in the ramps of cold servers, granted out of what was
lent to it (`ledger`); and parts of what the tier bears. Planners don't know of each other and need no leader.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import nsmallest
from typing import Any

from sandhatch.balancing.guidance.state import GuidanceState
from sandhatch.planning.ledger import DRIFT, Ledger, Lenders
from sandhatch.planning.load import MemberLoad, PoolLoad, ServerView
from sandhatch.planning.messages import Advice, PartRow, PoolAdvice, PoolReport, Report
from sandhatch.runtime.address import label_of


@dataclass(frozen=True)
class PlannerTerms:
    """Durations in milliseconds.

    `lease_ms`: how long advice counts. `lend_ms`: how long a forwarder's own parts are lent from each advice
    on; beyond the lease it must leave time for some reports. `look_ms`: between two looks at the weights.
    `enough`: the part of a pool's forwarders that must be heard before it says anything of weights.
    """

    lease_ms: float = 2_000.0
    lend_ms: float = 3_000.0
    look_ms: float = 250.0
    lost_ms: float = 3_000.0
    enough: float = 0.5
    plan_ms: float = 1_000.0
    most_holders: int = 64  # forwarders with a part in one server's ramp
    own_part_floor: float = 0.5  # of a forwarder's even part of what the tier bears, never granted to others


@dataclass
class Member:
    """One forwarder, in this planner's present life."""

    name: str
    heard_ms: float
    version: int = 0  # of the last advice given
    sent: deque[tuple[int, float, bool]] = field(default_factory=deque)  # version, when, lending
    taken: tuple[int, float] = (0, 0.0)  # the last advice that it has taken, and when that was sent
    conflict: str = ""


class PoolPlan:
    """A pool: its picture, who lends, who is granted what."""

    def __init__(self, name: str) -> None:
        self.load = PoolLoad(name)
        self.lenders: Lenders | None = None
        self.places: dict[int, str] = {}  # who is where
        self.ledgers: dict[str, Ledger] = {}  # of cold servers, by address
        self.shares: dict[str, dict[str, float]] = {}  # of cold servers' ramps, by address and forwarder
        self.demands: dict[str, float] = {}  # what each lender's demand counts for
        self.demand = 0.0  # their sum
        self.planned_ms = -math.inf
        self.members_planned = 0


class Planner:
    """`epoch` is this life's: above that of any earlier life."""

    PATIENCE = 4.0  # times the learning, for forwarders that are configured and do not come

    def __init__(self, name: str, epoch: int, now_ms: float, terms: PlannerTerms | None = None) -> None:
        self.name = name
        self.epoch = epoch
        self.terms = terms or PlannerTerms()
        self.begun_ms = now_ms
        self.members: dict[str, Member] = {}
        self.pools: dict[str, PoolPlan] = {}
        self.reports = 0
        self.rejected = 0
        self._version = 0  # of advice; one count for all, since a forwarder may be lost and come back
        self._applied: dict[str, int] = {}  # by forwarder; the ledgers look here
        self._looked_ms = now_ms

    # ------------------------------------------------ what has happened

    def learning(self, now_ms: float) -> bool:
        """Whether what an earlier life of this planner granted may still count somewhere."""
        return now_ms < self.begun_ms + self.terms.lend_ms * (1.0 + DRIFT)

    def joined(self, name: str, now_ms: float) -> None:
        """A forwarder's session begins."""
        member = self.members.get(name)
        if member is None:
            self.members[name] = Member(name, now_ms)
        else:
            member.heard_ms = now_ms
        for plan in self.pools.values():
            plan.load.new_session(name)

    def report(self, name: str, report: Report, now_ms: float) -> Advice:
        """Take a forwarder's report; returns the advice for it. ValueError says what is wrong with one that
        makes no sense: its session should end.
        """
        member = self.members.setdefault(name, Member(name, now_ms))
        member.heard_ms = now_ms
        self.reports += 1
        self._acknowledged(member, report)
        member.conflict = ""
        for item in report.pools:
            self._take(member, item, report, now_ms)
        named = {item.pool for item in report.pools}
        for pool, plan in self.pools.items():
            if pool not in named and name in plan.load.members:
                self._leave_pool(plan, name)
        lending = report.lends and member.taken[0] > 0 and not member.conflict
        until_ms = member.taken[1] + self.terms.lend_ms
        for plan in self.pools.values():
            self._lend(plan, member, lending, until_ms)
        return self._advise(member, report, lending, now_ms)

    def _acknowledged(self, member: Member, report: Report) -> None:
        if report.epoch != self.epoch:
            return
        if report.version > self._version:
            self.rejected += 1
            raise ValueError(f"report {report.serial} names advice {report.version}, which was not given")
        while member.sent and member.sent[0][0] <= report.version:
            version, sent_ms, lending = member.sent.popleft()
            if version == report.version:
                member.taken = (version, sent_ms)
                if lending:  # its parts count there, and those of before don't
                    self._applied[member.name] = version

    def _take(self, member: Member, item: PoolReport, report: Report, now_ms: float) -> None:
        if item.me >= item.copies:
            self.rejected += 1
            raise ValueError(f"pool {item.pool}: place {item.me} of {item.copies}")
        plan = self.pools.get(item.pool)
        if plan is None:
            plan = self.pools[item.pool] = PoolPlan(item.pool)
        if item.anew:
            plan.load.new_session(member.name)
        member.conflict = member.conflict or self._placed(plan, member, item)
        wrong = plan.load.take(member.name, item, report.span_ms)
        if wrong is not None:
            self.rejected += 1
            raise ValueError(wrong)
        if member.conflict or not self.learning(now_ms) or member.version:
            return
        for row in item.held:  # claims of an earlier life's grants, good for one lease at the most
            views = plan.load.members[member.name].numbering.views
            if row.server < len(views):
                view, burst = views[row.server], min(row.burst, item.burst)
                self._ledger(plan, view).claim(
                    member.name, row.rate, burst, now_ms, now_ms + self.terms.lend_ms
                )

    def _placed(self, plan: PoolPlan, member: Member, item: PoolReport) -> str:
        """Give a forwarder its place, one at a time; why it can't have it."""
        if plan.lenders is None:
            plan.lenders = Lenders(item.copies, item.burst)
        if (plan.lenders.copies, plan.lenders.burst) != (item.copies, item.burst):
            if any(name != member.name and name in self.members for name in plan.places.values()):
                return (
                    f"pool {item.pool}: {item.copies} forwarders and a burst of {item.burst:g}; others say"
                    f" {plan.lenders.copies} and {plan.lenders.burst:g}"
                )
            plan.lenders, plan.places = Lenders(item.copies, item.burst), {}
        holder = plan.places.get(item.me)
        if holder is not None and holder != member.name and holder in self.members:
            return f"pool {item.pool}: place {item.me} is {holder}'s"
        plan.places[item.me] = member.name
        return ""

    def _lend(self, plan: PoolPlan, member: Member, lending: bool, until_ms: float) -> None:
        load = plan.load.members.get(member.name)
        if load is None or plan.lenders is None or plan.places.get(load.me) != member.name:
            return
        if lending:
            plan.lenders.lend(load.me, until_ms)
        else:
            plan.lenders.end(load.me)

    def tick(self, now_ms: float) -> None:
        """Now and then, between the reports."""
        span = now_ms - self._looked_ms
        if span >= self.terms.look_ms:
            self._looked_ms = now_ms
            for plan in self.pools.values():
                plan.load.look(span, self.learning(now_ms))
        for name, member in list(self.members.items()):
            if now_ms - member.heard_ms >= self.terms.lost_ms:
                self._lose(name)

    def _lose(self, name: str) -> None:
        """Silent for too long, or gone: its grants run on to their ends, its own parts are its own again."""
        del self.members[name]
        self._applied.pop(name, None)
        for plan in self.pools.values():
            self._leave_pool(plan, name)

    @staticmethod
    def _leave_pool(plan: PoolPlan, name: str) -> None:
        load = plan.load.members.get(name)
        if load is not None and plan.lenders is not None and plan.places.get(load.me) == name:
            plan.lenders.end(load.me)
            del plan.places[load.me]
        plan.load.drop(name)

    # ------------------------------------------------ advice

    def _advise(self, member: Member, report: Report, lending: bool, now_ms: float) -> Advice:
        if lending and self.learning(now_ms) and not self._covered(member, now_ms):
            lending = False  # what it holds goes on; nothing is said of it until the others are back too
        self._version += 1
        member.version = self._version
        member.sent.append((member.version, now_ms, lending))
        while len(member.sent) > 64:  # a forwarder that takes none: the oldest can't be taken any more
            member.sent.popleft()
        pools = []
        for item in report.pools:
            plan = self.pools[item.pool]
            pools.append(self._pool_advice(plan, member, lending, now_ms))
        return Advice(
            self.epoch,
            member.version,
            report.serial,
            self.terms.lease_ms,
            self.terms.lend_ms,
            lending,
            self.learning(now_ms),
            member.conflict[:300],
            pools,
        )

    def _covered(self, member: Member, now_ms: float) -> bool:
        """Whether all that a forwarder holds from an earlier life may go on, on what is lent to this one."""
        until_ms = self._until(now_ms)
        for plan in self.pools.values():
            load = plan.load.members.get(member.name)
            if load is None or plan.lenders is None:
                continue
            for number in load.cold:
                ledger = plan.ledgers.get(load.numbering.views[number].address)
                if ledger is None:
                    continue
                held, others = ledger.held(member.name, now_ms), ledger.others(member.name, now_ms)
                leased = plan.lenders.parts(ledger.label, until_ms)
                if held[0] + others[0] > leased[0] + 1e-9 or held[1] + others[1] > leased[1] + 1e-9:
                    return False
        return True

    def _pool_advice(self, plan: PoolPlan, member: Member, lending: bool, now_ms: float) -> PoolAdvice:
        load = plan.load.members[member.name]
        advice = PoolAdvice(plan.load.name)
        version = plan.load.weights_version
        if self._heard_enough(plan, now_ms) and load.weights_told != version:
            load.weights_told = version
            advice.weights = load.numbering.weights(version)
        if lending and plan.lenders is not None:
            self._plan(plan, now_ms)
            advice.parts = list(self._parts(plan, plan.lenders, member, load, now_ms))
            advice.own_part = self._own_part(plan, plan.lenders, member, now_ms)
        return advice

    def _heard_enough(self, plan: PoolPlan, now_ms: float) -> bool:
        """Whether this life has heard enough for an opinion: for as long as it learns, its forwarders keep
        the one that its earlier life gave them; then most of them must speak, or have been waited for.
        """
        if plan.lenders is None or self.learning(now_ms):
            return False
        waited = now_ms >= self.begun_ms + self.PATIENCE * self.terms.lend_ms
        return waited or len(plan.load.members) >= self.terms.enough * plan.lenders.copies

    # ------------------------------------------------ parts in ramps

    def _ledger(self, plan: PoolPlan, view: ServerView) -> Ledger:
        ledger = plan.ledgers.get(view.address)
        if ledger is None:
            ledger = plan.ledgers[view.address] = Ledger(label_of(view.address), self._applied)
        return ledger

    def _until(self, now_ms: float) -> float:
        """When a grant of now has surely ended, and until when what it is made of must be lent."""
        return now_ms + self.terms.lease_ms * (1.0 + DRIFT)

    def _parts(
        self, plan: PoolPlan, lenders: Lenders, member: Member, load: MemberLoad, now_ms: float
    ) -> Iterator[PartRow]:
        until_ms = self._until(now_ms)
        learning = self.learning(now_ms)
        for number in load.cold:
            view = load.numbering.views[number]
            shares = plan.shares.get(view.address, {})
            ledger = self._ledger(plan, view)
            leased = lenders.parts(ledger.label, until_ms)
            if learning:
                wanted = ledger.held(member.name, now_ms)  # it goes on with what it has, and gets no more
            elif member.name in shares:
                each = max(1.0, math.floor(leased[1] / len(shares)))
                wanted = shares[member.name] * leased[0], each
            else:
                continue
            rate, burst = ledger.grant(member.name, member.version, wanted, leased, now_ms, until_ms)
            if burst:
                yield PartRow(number, rate, burst)

    def _plan(self, plan: PoolPlan, now_ms: float) -> None:
        """Who shall have how much of each cold server's ramp, by what each has to send.

        A call can't be divided: at most as many forwarders have a share as calls may come at once. Which ones
        is drawn by rendezvous hashing with the demand as weight: a forwarder that comes or goes moves its own
        shares only, and each server has others.
        """
        lenders, members = plan.lenders, len(plan.load.members)
        assert lenders is not None
        known: dict[str, dict[str, float]] = {}
        anew = now_ms - plan.planned_ms >= self.terms.plan_ms or members != plan.members_planned
        if anew:
            plan.planned_ms, plan.members_planned = now_ms, members
            plan.demands = plan.load.demands(name for me, name in plan.places.items() if me in lenders)
            plan.demand = sum(plan.demands.values())
            known, plan.shares = plan.shares, {}
            self._close_ledgers(plan, now_ms)
        until_ms = self._until(now_ms)
        for address, view in plan.load.cold.items():
            if address not in plan.shares:
                label = self._ledger(plan, view).label
                most = min(self.terms.most_holders, int(lenders.parts(label, until_ms)[1]))
                shares = _shares(plan.demands, label, most)
                before = known.get(address, {})
                plan.shares[address] = before if _alike(before, shares) else shares

    @staticmethod
    def _close_ledgers(plan: PoolPlan, now_ms: float) -> None:
        for address in [address for address in plan.ledgers if address not in plan.load.cold]:
            ledger = plan.ledgers[address]
            if not any(ledger.held(name, now_ms)[1] for name in ledger.holders):
                del plan.ledgers[address]

    # ------------------------------------------------ parts of what the tier bears

    def _own_part(self, plan: PoolPlan, lenders: Lenders, member: Member, now_ms: float) -> float | None:
        """A forwarder keeps a half of its even part whatever its demand; the other half is divided by it."""
        number = lenders.number(self._until(now_ms))
        if not number or self.learning(now_ms) or not plan.demand:
            return None
        even, floor = 1.0 / lenders.copies, self.terms.own_part_floor
        leased = number * even * (1.0 - floor)
        own = floor * even + leased * plan.demands.get(member.name, 0.0) / plan.demand
        return min(own, GuidanceState.MOST_PART * even, 1.0)

    # ------------------------------------------------ for people

    def explain(self, pool: str, address: str, now_ms: float) -> dict[str, Any] | None:
        """Why a server gets what it gets; None if it is not known."""
        plan = self.pools.get(pool)
        view = plan.load.servers.get(address) if plan is not None else None
        if plan is None or view is None:
            return None
        ledger = plan.ledgers.get(address)
        granted = {}
        if ledger is not None:
            granted = {name: ledger.held(name, now_ms) for name in ledger.holders}
        leased = (0.0, 0.0)
        if plan.lenders is not None:
            leased = plan.lenders.parts(label_of(address), now_ms + self.terms.lease_ms)
        return {
            "pool": pool,
            "server": address,
            "listed_by": view.listed_in,
            "cold": view.cold,
            "outstanding": view.outstanding,
            "load": round(view.load, 2),
            "slowness": round(view.slowness, 3),
            "failing": round(view.failing, 4),
            "calls": round(view.calls, 1),
            "weight": view.judgement.weight,
            "why": view.judgement.why or "nothing speaks against it",
            "ratio": round(view.judgement.ratio, 3),
            "reports": view.judgement.reports,
            "ramp_lent": round(leased[0], 4),
            "ramp_granted": {name: round(rate, 4) for name, (rate, _) in granted.items()},
        }

    def status(self, now_ms: float) -> dict[str, Any]:
        return {
            "name": self.name,
            "epoch": self.epoch,
            "learning": self.learning(now_ms),
            "reports": self.reports,
            "refused": self.rejected,
            "forwarders": [
                {
                    "name": member.name,
                    "heard_ms_ago": round(now_ms - member.heard_ms),
                    "advice": member.version,
                    "taken": member.taken[0],
                    "conflict": member.conflict,
                }
                for member in self.members.values()
            ],
            "pools": [
                {
                    "pool": name,
                    "forwarders": len(plan.load.members),
                    "of": plan.lenders.copies if plan.lenders is not None else 0,
                    "servers": len(plan.load.servers),
                    "cold": len(plan.load.cold),
                    "weighed_down": len(plan.load.weights()),
                    "demand_per_s": round(sum(m.demand_per_s for m in plan.load.members.values()), 1),
                }
                for name, plan in self.pools.items()
            ],
        }


def _shares(demands: dict[str, float], label: int, places: int) -> dict[str, float]:
    """What each of the forwarders chosen for this server should have of its ramp."""
    chosen = list(demands)
    if len(chosen) > places:
        chosen = nsmallest(places, chosen, key=lambda name: _score(name, label, demands[name]))
    whole = sum(demands[name] for name in chosen)
    return {name: demands[name] / whole for name in chosen}


def _alike(before: dict[str, float], shares: dict[str, float]) -> bool:
    """Whether the new shares are those of before, but for what demand varies by chance. Each move of a share
    costs some of the ramp: what one may still hold can't be another's yet.
    """
    return before.keys() == shares.keys() and all(
        0.75 * before[name] <= share <= 1.33 * before[name] for name, share in shares.items()
    )


def _score(name: str, label: int, weight: float) -> float:
    """Rendezvous hashing with weights (Schindelhauer and Schomaker 2005): the least scores win."""
    mixed = (label_of(f"{name} {label}") + 0.5) / 2.0**32
    return -math.log(mixed) / weight
