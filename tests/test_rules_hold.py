"""Plays random histories of events against the controller and checks the seven rules.

Queries arrive at random; engines answer, fail, time out, drain, vanish and restart. ``Checker`` raises at
the first action that violates a rule.
"""

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
from tests.checker import Checker, RuleViolationError

STEP_S = 0.005
OUTCOMES = [
    outcome for outcome in api.Outcome if outcome not in (api.Outcome.NOT_STARTED, api.Outcome.CANCELLED)
]


@dataclass(frozen=True)
class Variation:
    """The limits, rules and classes that differ between histories."""

    limits: api.Limits
    rules: api.Rules
    classes: tuple[api.QueryClass, ...]


def draw_variation(random: Random) -> Variation:
    """Draws deduplication per class, order and retry rules, and whether cancels are allowed."""
    repeat_safeties = [random.choice(list(api.RepeatSafety)) for _ in build.CLASSES]
    scopes = [random.choice(list(api.DedupScope)) for _ in build.CLASSES]
    classes = tuple(
        replace(
            query_class,
            repeat_safety=repeat_safety,
            dedup_scope=scope,
            dedup_window_s=random.uniform(0.3, 3.0),
            deadline_s=3.0,
        )
        for query_class, repeat_safety, scope in zip(build.CLASSES, repeat_safeties, scopes, strict=True)
    )
    restricted = replace(
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
    return Variation(limits, rules, (classes[0], restricted, classes[2]))


class History:
    """One gateway with five engines in virtual time; all events follow from the seed."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        variation = draw_variation(self.random)
        self.settings = build.settings(
            limits=variation.limits, rules=variation.rules, classes=variation.classes
        )
        self.controller = Controller(self.settings, seed)
        self.checker = Checker(self.settings)
        self.now = 50.0
        self.sequence = count()
        self.pending_events: list[tuple[float, int, api.Event]] = []
        self.attempts: dict[int, int] = {}
        self.open_attempts: dict[tuple[int, int], str] = {}
        self.queries: dict[int, api.QueryArrived] = {}
        self.arrivals_per_step = self.random.choice([0.2, 0.6, 1.5])
        self.failure_rates = {f"e{number}": self.random.random() ** 2 for number in range(5)}
        self.action_log: list[tuple[float, list[api.Action]]] = []

    def schedule(self, delay: float, event: api.Event) -> None:
        """Delivers an event ``delay`` seconds from now."""
        heappush(self.pending_events, (self.now + delay, next(self.sequence), event))

    def run(self, steps: int = 500) -> None:
        """Runs the steps, then four more seconds without arrivals so that every query must be answered."""
        self.handle_batch([build.engines(5)])
        for step in range(steps):
            self.now = 50.0 + (step + 1) * STEP_S
            events: list[api.Event] = []
            while self.pending_events and self.pending_events[0][0] <= self.now:
                events.append(heappop(self.pending_events)[2])
            events = [event for event in map(self.resolve, events) if event is not None]
            if step < steps - 700 // 5 and self.random.random() < self.arrivals_per_step:
                events.append(self.arrival())
            if self.random.random() < 0.01:
                events.append(self.list_update())
            if events:
                self.handle_batch(events)
        end = self.now
        while self.now < end + 4.0:
            self.now += STEP_S
            events = []
            while self.pending_events and self.pending_events[0][0] <= self.now:
                events.append(heappop(self.pending_events)[2])
            events = [event for event in map(self.resolve, events) if event is not None]
            if events:
                self.handle_batch(events)
        self.checker.check_all_answered(self.now)

    def arrival(self) -> api.QueryArrived:
        """A new query, which the client may drop before its deadline."""
        class_index = self.random.choices([0, 1, 2], [6, 2, 2])[0]
        lifetime_s = self.random.choice([0.004, 0.3, 1.0, 3.0])
        event = api.QueryArrived(
            query=next(self.sequence),
            class_index=class_index,
            tenant_index=self.random.randrange(2),
            deadline=self.now + lifetime_s,
            ordering_key=self.random.randrange(3) if class_index == 2 else None,
            estimated_cost_s=self.random.expovariate(3.0) + 0.01,
            estimated_memory_mb=self.random.choice([None, 300.0]),
            table_group=self.random.randrange(6),
        )
        self.queries[event.query] = event
        if self.random.random() < 0.03:
            self.schedule(self.random.uniform(0, lifetime_s), api.QueryDropped(event.query))
        return event

    def list_update(self) -> api.ListUpdate:
        """A change of one engine's state or start, or a full list that holds this engine alone."""
        number = self.random.randrange(5)
        state = self.random.choice([api.EngineState.UP, *api.EngineState])
        started_at = self.random.choice([0.0, self.now - 0.1, self.now - 9.8])
        entry = build.entry(number, state=state, started_at=started_at)
        kind = self.random.choice([api.ListKind.CHANGES, api.ListKind.CHANGES, api.ListKind.FULL])
        return api.ListUpdate(kind, next(self.sequence), (entry,))

    def resolve(self, event: api.Event) -> api.Event | None:
        """The event as it is delivered, or None if its attempt has already ended."""
        if isinstance(event, api.AttemptEnded):
            if self.open_attempts.pop((event.query, event.attempt), None) is None:
                return None
            return replace(
                event,
                query_settled=event.outcome is api.Outcome.OK or self.checker.queries[event.query].finished,
            )
        if isinstance(event, api.AttemptStatus) and (event.query, event.attempt) not in self.open_attempts:
            return None
        return event

    def handle_batch(self, events: list[api.Event]) -> None:
        """Passes one batch to checker and controller, checks the actions and carries them out."""
        self.checker.check_events(self.now, events)
        actions = self.controller.handle(self.now, events)
        self.action_log.append((self.now, actions))
        self.checker.check_actions(self.now, actions)
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.schedule(max(STEP_S, action.delay), api.TimerFired(action.timer))
            elif isinstance(action, api.Send):
                self.run_attempt(action)
            elif isinstance(action, api.Cancel):
                engine = self.open_attempts.get((action.query, action.attempt))
                if engine is not None:
                    ended = api.AttemptEnded(action.query, action.attempt, engine, api.Outcome.CANCELLED, 0.1)
                    self.schedule(STEP_S, ended)

    def run_attempt(self, action: api.Send) -> None:
        """Draws the outcome of an attempt and schedules a status message halfway and the end."""
        arrival = self.queries[action.query]
        attempt = self.attempts[action.query] = self.attempts.get(action.query, -1) + 1
        self.open_attempts[(action.query, attempt)] = action.engine
        expires_in_s = min(action.expires or arrival.deadline, arrival.deadline) - self.now
        fails = self.random.random() < self.failure_rates[action.engine]
        outcome = self.random.choice(OUTCOMES) if fails else api.Outcome.OK
        duration_s = self.random.expovariate(2.0) if outcome is not api.Outcome.TIMEOUT else expires_in_s
        if duration_s >= expires_in_s:
            outcome, duration_s = api.Outcome.TIMEOUT, expires_in_s
        status = api.AttemptStatus(
            action.query, attempt, action.engine, api.AttemptStatusKind.PROGRESS, self.random.random()
        )
        self.schedule(duration_s / 2, status)
        self.schedule(duration_s, api.AttemptEnded(action.query, attempt, action.engine, outcome, duration_s))


@settings(max_examples=60)
@given(st.integers(0, 2**32))
def test_random_histories_keep_the_seven_rules(seed: int) -> None:
    History(seed).run()


def test_same_history_gives_the_same_actions() -> None:
    first, second = History(7), History(7)
    first.run()
    second.run()
    assert first.action_log == second.action_log


def violated_rule(
    classes: tuple[api.QueryClass, ...], batches: list[tuple[float, api.Event | api.Action]]
) -> str:
    """The label of the rule that a hand-made history of events and actions violates."""
    checker = Checker(build.settings(classes=classes))
    checker.check_events(0.0, [build.engines(4)])
    with pytest.raises(RuleViolationError) as violation:
        for at, happening in batches:
            if isinstance(happening, api.Send | api.Refuse | api.Fail):
                checker.check_actions(at, [happening])
            elif not isinstance(happening, api.SetTerms):
                checker.check_events(at, [happening])  # type: ignore[list-item]
        checker.check_all_answered(1000.0)
    return str(violation.value).split(":")[0]


def test_the_checker_detects_violations_of_the_rules() -> None:
    """Guards against a checker that accepts everything, which would make the random histories worthless."""
    arrival = api.QueryArrived(1, 0, 0, 10.0, estimated_cost_s=0.1)
    load = api.QueryArrived(2, 2, 0, 20.0, ordering_key=5, estimated_cost_s=0.1)
    send = api.Send(1, "e0")
    failed = api.AttemptEnded(1, 0, "e0", api.Outcome.ERROR, 0.1)
    unsafe = build.change_class(0, repeat_safety=api.RepeatSafety.UNSAFE)
    restricted = build.change_class(0, allowed_kinds=frozenset({1}))
    draining = api.ListUpdate(api.ListKind.CHANGES, 2, (build.entry(0, state=api.EngineState.DRAINING),))
    cold = api.ListUpdate(api.ListKind.CHANGES, 2, (build.entry(0, started_at=0.5),))
    expensive = replace(arrival, estimated_cost_s=50.0)
    assert violated_rule(build.CLASSES, [(0.0, arrival)]) == "lost"
    assert violated_rule(build.CLASSES, [(0.0, arrival), (0.0, api.Refuse(1)), (0.0, api.Fail(1))]) == "lost"
    assert violated_rule(unsafe, [(0.0, arrival), (0.0, send), (1.0, failed), (1.0, send)]) == "twice"
    assert (
        violated_rule(unsafe, [(0.0, arrival), (0.0, send), (1.0, failed), (1.0, api.Refuse(1))]) == "twice"
    )
    assert violated_rule(build.CLASSES, [(0.0, draining), (0.0, arrival), (2.0, send)]) == "drain"
    assert violated_rule(build.CLASSES, [(0.0, cold), (1.0, expensive), (1.0, send)]) == "cold"
    second = replace(load, query=3)
    assert violated_rule(build.CLASSES, [(0.0, load), (0.0, second), (0.0, api.Send(3, "e0"))]) == "order"
    assert violated_rule(restricted, [(0.0, arrival), (0.0, send)]) == "placement"
