"""The planners of a simulated tier and their links to the forwarders: delays, losses and partitions.

Does not influence the content of advice. Source: `docs/planning-link.md` for the messages, which are encoded
and decoded as on the wire.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from functools import partial
from random import Random
from typing import NamedTuple

from sandhatch.planning.messages import Advice, Report, decode, encode
from sandhatch.planning.planner import Planner
from testkit.simulation.clock import SimulatedClock
from testkit.simulation.plan import TierPlan
from testkit.simulation.planner import Script, SimPlanner
from testkit.simulation.protocols import ForwarderPort

TICK_MS = 100.0


class LinkEnds(NamedTuple):
    """The two ends of a link: a forwarder's number and a planner's name."""

    forwarder: int
    planner: str


class PlanningLink:
    """The planners of a tier and their sessions with the forwarders.

    Attributes:
        partitions: Pairs of a forwarder and a planner that cannot reach each other.
        planners: Planners by name.
    """

    def __init__(self, plan: TierPlan, clock: SimulatedClock, rng: Random) -> None:
        """Creates the planners of the plan, each in its first incarnation."""
        self._plan = plan
        self._clock = clock
        self._rng = rng
        self._last_session = 0
        self.partitions: set[LinkEnds] = set()
        self.planners = {name: SimPlanner(name, 1, clock.now_ms, plan) for name in planner_names(plan)}

    # ------------------------------------------------ planners

    def tick(self, name: str) -> None:
        """Ticks a planner's state machine, now and every `TICK_MS`."""
        planner = self.planners[name]
        if planner.up:
            planner.machine.tick(self._clock.now_ms)
        self._clock.after(TICK_MS, partial(self.tick, name))

    def kill_planner(self, name: str, forwarders: Iterable[ForwarderPort]) -> None:
        """Kills a planner's process and ends its sessions with the forwarders."""
        self.planners[name].up = False
        for forwarder in forwarders:
            self.disconnect(forwarder, name)

    def start_planner(self, name: str) -> None:
        """Starts a new incarnation of a planner, with its previous script but without its previous state."""
        previous = self.planners[name]
        planner = SimPlanner(name, previous.machine.epoch + 1, self._clock.now_ms, self._plan)
        planner.script = previous.script
        self.planners[name] = planner

    def follow(self, name: str, script: Script) -> None:
        """Passes a planner's advice through this script from now on."""
        self.planners[name].script = script

    # ------------------------------------------------ sessions

    def reaches(self, forwarder: ForwarderPort, planner: str) -> bool:
        """Whether a message from the forwarder would reach the planner."""
        return self.planners[planner].up and LinkEnds(forwarder.number, planner) not in self.partitions

    def connect(self, forwarder: ForwarderPort, planner: str) -> None:
        """Opens a session, which is established after the round trip and a random delay."""
        machine = forwarder.machine
        if machine is None or not machine.may_connect(planner, self._clock.now_ms):
            return
        self._last_session += 1
        session = self._last_session
        forwarder.sessions[planner] = session
        establish = partial(self._establish, forwarder, planner, session, self.planners[planner].machine)
        self._clock.after(2.0 * self._plan.link_ms + self._rng.random() * self._plan.reconnect_ms, establish)

    def _establish(
        self, forwarder: ForwarderPort, planner: str, session: int, planner_machine: Planner
    ) -> None:
        if forwarder.sessions.get(planner) != session or not self.reaches(forwarder, planner):
            forwarder.sessions.pop(planner, None)
            return
        now_ms = self._clock.now_ms
        planner_machine.forwarder_connected(forwarder_name(forwarder.number), now_ms)
        assert forwarder.machine is not None
        actions = forwarder.machine.connected(planner, planner_machine.epoch, now_ms)
        forwarder.perform_planning_actions(actions)

    def disconnect(self, forwarder: ForwarderPort, planner: str) -> None:
        """Ends a forwarder's session with a planner, if there is a session."""
        if forwarder.sessions.pop(planner, None) is not None and forwarder.machine is not None:
            forwarder.machine.disconnected(planner)

    def partition(self, pairs: Iterable[LinkEnds], forwarders: Sequence[ForwarderPort]) -> None:
        """Replaces the partitions and ends the sessions of partitioned pairs.

        Args:
            pairs: Pairs of a forwarder and a planner to partition.
            forwarders: All forwarders of the tier, by number.
        """
        self.partitions = set(pairs)
        for pair in self.partitions:
            self.disconnect(forwarders[pair.forwarder], pair.planner)

    # ------------------------------------------------ messages

    def report(self, forwarder: ForwarderPort, planner: str, report: Report) -> None:
        """Sends a forwarder's report; the planner's advice passes through its script on the way back."""
        if self._loses_message(forwarder, planner):
            return
        payload = encode(report)
        session = forwarder.sessions.get(planner)
        peer = self.planners[planner]
        self._clock.after(
            self._plan.link_ms, partial(self._on_report, forwarder, planner, peer, session, payload)
        )

    def _on_report(
        self, forwarder: ForwarderPort, planner: str, peer: SimPlanner, session: int | None, payload: bytes
    ) -> None:
        if self.planners[planner] is not peer or not self.reaches(forwarder, planner):
            self.disconnect(forwarder, planner)
            return
        message = decode(payload)
        assert isinstance(message, Report)
        now_ms = self._clock.now_ms
        try:
            advice = peer.machine.report(forwarder_name(forwarder.number), message, now_ms)
        except ValueError:
            self.disconnect(forwarder, planner)
            return
        for arriving in peer.script(advice):
            self._clock.after(
                self._plan.link_ms + arriving.delay_ms,
                partial(self._on_advice, forwarder, planner, session, arriving.advice),
            )

    def _on_advice(
        self, forwarder: ForwarderPort, planner: str, session: int | None, advice: Advice | None
    ) -> None:
        if forwarder.sessions.get(planner) != session or not forwarder.up:
            return
        is_partitioned = LinkEnds(forwarder.number, planner) in self.partitions
        if is_partitioned or self._loses_message(forwarder, planner):
            self.disconnect(forwarder, planner)
            return
        assert forwarder.machine is not None
        now_ms = self._clock.now_ms
        if advice is None:
            forwarder.perform_planning_actions(
                forwarder.machine.protocol_violated(planner, "garbage", now_ms)
            )
            self.disconnect(forwarder, planner)
            return
        forwarder.perform_planning_actions(forwarder.machine.handle_advice(planner, advice, now_ms))

    def _loses_message(self, forwarder: ForwarderPort, planner: str) -> bool:
        """Decides at random whether a message is lost; a loss ends the message's session."""
        if self._plan.link_loss and self._rng.random() < self._plan.link_loss:
            self.disconnect(forwarder, planner)
            return True
        return False


def planner_names(plan: TierPlan) -> list[str]:
    """Returns the planners' names, in the order in which forwarders prefer them."""
    return [f"p{number}" for number in range(plan.planners)]


def forwarder_name(number: int) -> str:
    """Returns the name under which planners know a forwarder."""
    return f"f{number}"
