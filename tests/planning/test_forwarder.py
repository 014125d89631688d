"""The forwarder's side alone: leases by its own clock, whom it lends to, what it refuses."""

from __future__ import annotations

from typing import Any

from sandhatch.balancing.events import Guidance, ListKind, ListUpdate, OwnSharesLeased, ServerEntry
from sandhatch.balancing.settings import Effect, RequestClass, Settings
from sandhatch.planning.forwarder import Action, Advise, Drop, Forwarder, ForwarderTerms, Note, SendReport
from sandhatch.planning.messages import Advice, PartRow, PoolAdvice, Report, WeightRow
from sandhatch.planning.observer import Observer

CLASS = RequestClass(objective_ms=100.0, deadline_ms=1000.0, effect=Effect.IDEMPOTENT, name="view")
SETTINGS = Settings(classes=[CLASS], instances=4, instance_index=2, ramp_per_s=10.0)


class Desk:
    """A forwarder with planners that say what they are told to."""

    def __init__(self, *planners: str, quiet_ms: float = 0.0, **terms: Any) -> None:
        self.now = 0.0
        self.machine = Forwarder("f2", planners, 0.0, ForwarderTerms(**terms), quiet_ms)
        observer = Observer(["view"], 10_000.0)
        rows = [ServerEntry(n) for n in range(2)]
        observer.on_endpoint_list(ListUpdate(ListKind.FULL, 1, rows), ["10.0.0.1:80", "10.0.0.2:80"])
        self.versions = dict.fromkeys(planners, 0)
        self.epochs = dict.fromkeys(planners, 0)
        self.reports: dict[str, Report] = {}
        self.guidances: list[Guidance] = []
        self.leased: list[float] = []
        self.drops: list[Drop] = []
        self.notes: list[str] = []
        self.hear(self.machine.add_pool("core", SETTINGS, observer))

    def hear(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendReport):
                self.reports[action.planner] = action.report
            elif isinstance(action, Drop):
                self.drops.append(action)
            elif isinstance(action, Note):
                self.notes.append(action.text)
            elif isinstance(action, Advise) and isinstance(action.event, Guidance):
                self.guidances.append(action.event)
            elif isinstance(action, Advise) and isinstance(action.event, OwnSharesLeased):
                self.leased.append(action.event.until_ms)

    def connect(self, planner: str, epoch: int = 1) -> None:
        self.epochs[planner] = epoch
        self.versions[planner] = 0
        self.hear(self.machine.connected(planner, epoch, self.now))
        self.tick(0.0)

    def tick(self, span: float) -> None:
        self.now += span
        self.hear(self.machine.tick(self.now))

    def answer(self, planner: str, after: float = 1.0, **more: Any) -> None:
        """Advice on its last report."""
        self.now += after
        self.versions[planner] += 1
        fields = {"lending": True, "pools": [PoolAdvice("core")]} | more
        version, epoch = self.versions[planner], self.epochs[planner]
        advice = Advice(epoch, version, self.reports[planner].serial, 2_000.0, 3_000.0)
        for name, value in fields.items():
            setattr(advice, name, value)
        self.hear(self.machine.advice(planner, advice, self.now))

    def rounds(self, count: int, *planners: str, **more: Any) -> None:
        for _ in range(count):
            self.tick(250.0)
            for planner in planners:
                self.answer(planner, 0.0, **more)


def test_advice_counts_from_when_the_report_that_it_answers_was_sent() -> None:
    desk = Desk("p0")
    desk.connect("p0")
    sent = desk.now
    desk.answer("p0", 900.0, pools=[PoolAdvice("core", [WeightRow(0, 0.5)])])
    assert desk.guidances[0].report_sent_ms == sent
    assert desk.guidances[0].until_ms == sent + 1_980.0


def test_nothing_is_lent_until_advice_has_come_and_the_bound_is_told_before_it_is_used() -> None:
    desk = Desk("p0")
    desk.connect("p0")
    assert not desk.reports["p0"].lends
    desk.answer("p0", lending=False)
    received = desk.now
    desk.tick(0.0)
    assert desk.reports["p0"].lends and desk.reports["p0"].version == 1
    assert desk.leased[-1] == received + 3_030.0
    assert not desk.guidances[0].leased
    desk.answer("p0", pools=[PoolAdvice("core", None, [PartRow(0, 0.5, 2.0)], 0.3)])
    assert desk.guidances[-1].leased and desk.guidances[-1].parts[0].rate == 0.5


def test_parts_of_a_planner_that_it_is_not_lent_to_do_not_count() -> None:
    desk = Desk("p0", "p1")
    desk.connect("p0")
    desk.connect("p1")
    desk.rounds(4, "p0", "p1")
    assert desk.machine.leased_to == "p0"
    desk.answer("p1", pools=[PoolAdvice("core", None, [PartRow(0, 1.0, 4.0)], 0.5)])
    assert not desk.guidances[-1].leased and desk.guidances[-1].own_part is None


def test_a_lost_planner_keeps_the_parts_until_the_bound_is_over_and_the_next_waits_for_it() -> None:
    desk = Desk("p0", "p1")
    desk.connect("p0")
    desk.connect("p1")
    desk.rounds(4, "p0", "p1")
    desk.machine.lost("p0")
    bound = desk.machine.bound_ms
    while desk.machine.leased_to != "p1":
        desk.rounds(1, "p1")
        assert desk.now < bound + 300.0
    assert desk.now >= bound


def test_a_planner_that_hangs_is_no_longer_lent_to_when_its_advice_has_lapsed() -> None:
    desk = Desk("p0")
    desk.connect("p0")
    desk.rounds(4, "p0")
    assert desk.machine.leased_to == "p0"
    desk.tick(250.0)  # names the last advice that came
    bound = desk.machine.bound_ms
    for _ in range(20):
        desk.tick(250.0)
    assert desk.machine.leased_to is None
    assert desk.machine.bound_ms == bound  # reports that name no newer advice lend no longer
    assert not desk.reports["p0"].lends


def test_a_new_life_of_its_planner_goes_on_with_what_it_holds() -> None:
    desk = Desk("p0")
    desk.connect("p0")
    desk.rounds(4, "p0", pools=[PoolAdvice("core", None, [PartRow(0, 0.5, 2.0)], 0.3)])
    desk.machine.lost("p0")
    desk.now += 100.0
    desk.connect("p0", epoch=2)
    report = desk.reports["p0"]
    assert (report.epoch, report.version) == (0, 0)
    assert [(part.rate, part.burst) for part in report.pools[0].held] == [(0.5, 2.0)]
    desk.answer("p0", learning=True, lending=False)
    desk.tick(0.0)
    assert desk.reports["p0"].lends and desk.reports["p0"].epoch == 2


def test_a_new_life_that_is_not_its_own_planners_is_not_lent_to_while_it_learns() -> None:
    desk = Desk("p0")
    desk.connect("p0")
    desk.rounds(3, "p0", learning=True, lending=False)
    assert desk.machine.leased_to is None
    desk.rounds(2, "p0", lending=False)
    assert desk.machine.leased_to == "p0"


def test_nothing_is_lent_while_an_earlier_life_of_the_forwarder_may_have() -> None:
    desk = Desk("p0", quiet_ms=3_000.0)
    assert desk.leased == [3_000.0]
    desk.connect("p0")
    desk.rounds(8, "p0", lending=False)
    assert desk.machine.leased_to is None
    desk.rounds(6, "p0", lending=False)
    assert desk.machine.leased_to == "p0"


def test_what_it_refuses_and_why() -> None:
    def why(**more: Any) -> str:
        desk = Desk("p0")
        desk.connect("p0")
        desk.answer("p0", lending=False)
        count = len(desk.guidances)
        desk.tick(250.0)
        desk.answer("p0", **more)
        assert len(desk.guidances) == count
        assert desk.machine.sides["p0"].refusals == 1
        return desk.machine.sides["p0"].last_why

    assert why(version=1) == "advice 1 after 1"
    assert why(epoch=9) == "advice of epoch 9 in a session of epoch 1"
    assert why(answers=77) == "advice 2 answers report 77, unknown"
    assert why(lend_ms=60_000.0) == "a lease of 2000 ms within 60000 ms; 10000 ms is the most"
    assert why(lease_ms=5_000.0) == "a lease of 5000 ms within 3000 ms; 10000 ms is the most"


def test_late_advice_is_no_advice_and_no_fault() -> None:
    desk = Desk("p0")
    desk.connect("p0")
    desk.answer("p0", 5_000.0)
    side = desk.machine.sides["p0"]
    assert (side.late, side.refusals, desk.guidances) == (1, 0, [])
    desk.tick(250.0)
    assert desk.reports["p0"].version == 0


def test_a_planner_is_shunned_after_some_faults_for_ever_longer() -> None:
    desk = Desk("p0", shun_ms=1_000.0, faults=2)
    spans = []
    for _ in range(3):
        desk.connect("p0")
        for _ in range(2):
            desk.answer("p0", epoch=9)
            desk.tick(1.0)
        assert len(desk.drops) == len(spans) + 1
        desk.machine.lost("p0")
        assert not desk.machine.may_connect("p0", desk.now)
        side = desk.machine.sides["p0"]
        spans.append(round(side.shunned_until_ms - desk.now, -2))
        desk.now = side.shunned_until_ms
        assert desk.machine.may_connect("p0", desk.now)
    assert spans == [1_000.0, 2_000.0, 4_000.0]


def test_refused_advice_is_not_acknowledged() -> None:
    """What the planner may count as superseded by it must not be."""
    desk = Desk("p0")
    desk.connect("p0")
    desk.answer("p0")
    desk.tick(250.0)
    desk.answer("p0")
    desk.hear(desk.machine.rejected("p0", "out of bounds", desk.now))
    desk.tick(250.0)
    assert desk.reports["p0"].version == 1


def test_an_earlier_epoch_is_refused_and_the_session_dropped() -> None:
    desk = Desk("p0")
    desk.connect("p0", 5)
    desk.machine.lost("p0")
    desk.connect("p0", 4)
    assert desk.drops and desk.drops[0].why == "epoch 4 is before 5"


def test_a_note_of_the_planner_is_logged_once() -> None:
    desk = Desk("p0")
    desk.connect("p0")
    desk.rounds(3, "p0", note="place 2 is f7's")
    assert [note for note in desk.notes if "place 2" in note] == ["planner p0: place 2 is f7's"]


def test_reports_stay_within_their_bytes_a_second() -> None:
    from sandhatch.planning.messages import encode

    desk = Desk("p0", bytes_per_s=2_000.0)
    desk.connect("p0")
    total = 0
    for _ in range(400):
        desk.tick(50.0)
        report = desk.reports.pop("p0", None)
        total += len(encode(report)) if report is not None else 0
    assert total <= 20.0 * 2_000.0 + 4.0 * 2_000.0
