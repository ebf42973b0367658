"""Random histories of events against the checker of the seven rules."""

from __future__ import annotations

from dataclasses import dataclass, replace
from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from micahold import interface as api
from micahold.controller import Controller
from tests import build
from tests.checker import BrokenRuleError, Checker

STEP = 0.005
OUTCOMES = [one for one in api.Outcome if one not in (api.Outcome.NOT_STARTED, api.Outcome.CANCELLED)]


@dataclass(frozen=True)
class Setting:
    """What a history varies besides its events."""

    limits: api.Limits
    rules: api.Rules
    classes: tuple[api.QueryClass, ...]


def draw_setting(random: Random) -> Setting:
    effects = [random.choice(list(api.RepeatSafety)) for _ in build.CLASSES]
    scopes = [random.choice(list(api.DedupScope)) for _ in build.CLASSES]
    classes = tuple(
        replace(
            one,
            repeat_safety=effect,
            dedup_scope=scope,
            dedup_window_s=random.uniform(0.3, 3.0),
            deadline_s=3.0,
        )
        for one, effect, scope in zip(build.CLASSES, effects, scopes, strict=True)
    )
    bound = replace(
        classes[1], allowed_kinds=frozenset({0}), allowed_zones=random.choice([None, frozenset({0})])
    )
    rules = replace(
        build.RULES,
        order_settle_s=random.choice([0.0, 0.4]),
        retry_window_s=random.choice([0.0, 1.0]),
        retry_budget_floor=2.0,
        retry_budget_ratio=0.1,
    )
    limits = replace(build.LIMITS, cancel_allowed=random.random() < 0.5)
    return Setting(limits, rules, (classes[0], bound, classes[2]))


class History:
    """Plays one gateway's day from a seed: engines that answer, fail, hang, drain and restart."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        drawn = draw_setting(self.random)
        self.settings = build.settings(limits=drawn.limits, rules=drawn.rules, classes=drawn.classes)
        self.controller = Controller(self.settings, seed)
        self.checker = Checker(self.settings)
        self.now = 50.0
        self.serial = count()
        self.coming: list[tuple[float, int, api.Event]] = []
        self.attempts: dict[int, int] = {}
        self.open: dict[tuple[int, int], str] = {}
        self.queries: dict[int, api.QueryArrived] = {}
        self.rate = self.random.choice([0.2, 0.6, 1.5])
        self.sick = {f"e{number}": self.random.random() ** 2 for number in range(5)}
        self.log: list[tuple[float, list[api.Action]]] = []

    def later(self, delay: float, event: api.Event) -> None:
        heappush(self.coming, (self.now + delay, next(self.serial), event))

    def play(self, steps: int = 500) -> None:
        self.batch([build.engines(5)])
        for step in range(steps):
            self.now = 50.0 + (step + 1) * STEP
            events: list[api.Event] = []
            while self.coming and self.coming[0][0] <= self.now:
                events.append(heappop(self.coming)[2])
            events = [one for one in map(self.settle, events) if one is not None]
            if step < steps - 700 // 5 and self.random.random() < self.rate:
                events.append(self.arrival())
            if self.random.random() < 0.01:
                events.append(self.list_news())
            if events:
                self.batch(events)
        end = self.now
        while self.now < end + 4.0:
            self.now += STEP
            events = []
            while self.coming and self.coming[0][0] <= self.now:
                events.append(heappop(self.coming)[2])
            events = [one for one in map(self.settle, events) if one is not None]
            if events:
                self.batch(events)
        self.checker.finish(self.now)

    def arrival(self) -> api.QueryArrived:
        query_class = self.random.choices([0, 1, 2], [6, 2, 2])[0]
        life = self.random.choice([0.004, 0.3, 1.0, 3.0])
        event = api.QueryArrived(
            query=next(self.serial),
            class_index=query_class,
            tenant_index=self.random.randrange(2),
            deadline=self.now + life,
            ordering_key=self.random.randrange(3) if query_class == 2 else None,
            estimated_cost_s=self.random.expovariate(3.0) + 0.01,
            estimated_memory_mb=self.random.choice([None, 300.0]),
            table_group=self.random.randrange(6),
        )
        self.queries[event.query] = event
        if self.random.random() < 0.03:
            self.later(self.random.uniform(0, life), api.QueryDropped(event.query))
        return event

    def list_news(self) -> api.ListUpdate:
        number = self.random.randrange(5)
        state = self.random.choice([api.EngineState.UP, *api.EngineState])
        started = self.random.choice([0.0, self.now - 0.1, self.now - 9.8])
        one = build.entry(number, state=state, started_at=started)
        kind = self.random.choice([api.ListKind.CHANGES, api.ListKind.CHANGES, api.ListKind.FULL])
        return api.ListUpdate(kind, next(self.serial), (one,))

    def settle(self, event: api.Event) -> api.Event | None:
        """An event as it happens: an attempt ends once, and a query that is over is settled."""
        if isinstance(event, api.AttemptEnded):
            if self.open.pop((event.query, event.attempt), None) is None:
                return None
            return replace(
                event, query_settled=event.outcome is api.Outcome.OK or self.checker.taken[event.query].ended
            )
        if isinstance(event, api.AttemptStatus) and (event.query, event.attempt) not in self.open:
            return None
        return event

    def batch(self, events: list[api.Event]) -> None:
        self.checker.events(self.now, events)
        actions = self.controller.handle(self.now, events)
        self.log.append((self.now, actions))
        self.checker.actions(self.now, actions)
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.later(max(STEP, action.delay), api.TimerFired(action.timer))
            elif isinstance(action, api.Send):
                self.run(action)
            elif isinstance(action, api.Cancel):
                engine = self.open.get((action.query, action.attempt))
                if engine is not None:
                    ended = api.AttemptEnded(action.query, action.attempt, engine, api.Outcome.CANCELLED, 0.1)
                    self.later(STEP, ended)

    def run(self, action: api.Send) -> None:
        asked = self.queries[action.query]
        number = self.attempts[action.query] = self.attempts.get(action.query, -1) + 1
        self.open[(action.query, number)] = action.engine
        expires = min(action.expires or asked.deadline, asked.deadline) - self.now
        sick = self.random.random() < self.sick[action.engine]
        outcome = self.random.choice(OUTCOMES) if sick else api.Outcome.OK
        took = self.random.expovariate(2.0) if outcome is not api.Outcome.TIMEOUT else expires
        if took >= expires:
            outcome, took = api.Outcome.TIMEOUT, expires
        note = api.AttemptStatus(
            action.query, number, action.engine, api.AttemptStatusKind.PROGRESS, self.random.random()
        )
        self.later(took / 2, note)
        self.later(took, api.AttemptEnded(action.query, number, action.engine, outcome, took))


@settings(max_examples=60)
@given(st.integers(0, 2**32))
def test_random_histories_keep_the_seven_rules(seed: int) -> None:
    History(seed).play()


def test_same_history_gives_the_same_actions() -> None:
    first, second = History(7), History(7)
    first.play()
    second.play()
    assert first.log == second.log


def broken_by(
    classes: tuple[api.QueryClass, ...], batches: list[tuple[float, api.Event | api.Action]]
) -> str:
    checker = Checker(build.settings(classes=classes))
    checker.events(0.0, [build.engines(4)])
    with pytest.raises(BrokenRuleError) as broken:
        for at, one in batches:
            if isinstance(one, api.Send | api.Refuse | api.Fail):
                checker.actions(at, [one])
            elif not isinstance(one, api.SetTerms):
                checker.events(at, [one])  # type: ignore[list-item]
        checker.finish(1000.0)
    return str(broken.value).split(":")[0]


def test_the_checker_sees_what_breaks_each_rule() -> None:
    """A checker that lets all pass would prove nothing."""
    ask = api.QueryArrived(1, 0, 0, 10.0, estimated_cost_s=0.1)
    load = api.QueryArrived(2, 2, 0, 20.0, ordering_key=5, estimated_cost_s=0.1)
    send = api.Send(1, "e0")
    failed = api.AttemptEnded(1, 0, "e0", api.Outcome.ERROR, 0.1)
    unsafe = build.change_class(0, repeat_safety=api.RepeatSafety.UNSAFE)
    bound = build.change_class(0, allowed_kinds=frozenset({1}))
    gone = api.ListUpdate(api.ListKind.CHANGES, 2, (build.entry(0, state=api.EngineState.DRAINING),))
    cold = api.ListUpdate(api.ListKind.CHANGES, 2, (build.entry(0, started_at=0.5),))
    huge = replace(ask, estimated_cost_s=50.0)
    assert broken_by(build.CLASSES, [(0.0, ask)]) == "lost"
    assert broken_by(build.CLASSES, [(0.0, ask), (0.0, api.Refuse(1)), (0.0, api.Fail(1))]) == "lost"
    assert broken_by(unsafe, [(0.0, ask), (0.0, send), (1.0, failed), (1.0, send)]) == "twice"
    assert broken_by(unsafe, [(0.0, ask), (0.0, send), (1.0, failed), (1.0, api.Refuse(1))]) == "twice"
    assert broken_by(build.CLASSES, [(0.0, gone), (0.0, ask), (2.0, send)]) == "drain"
    assert broken_by(build.CLASSES, [(0.0, cold), (1.0, huge), (1.0, send)]) == "cold"
    second = replace(load, query=3)
    assert broken_by(build.CLASSES, [(0.0, load), (0.0, second), (0.0, api.Send(3, "e0"))]) == "order"
    assert broken_by(bound, [(0.0, ask), (0.0, send)]) == "placement"
