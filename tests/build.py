"""Settings, engine lists and a simulated gateway for the tests of the controller."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from micahold import interface as api
from micahold.controller import Controller

LOOKUP, REPORT, LOAD = 0, 1, 2

CLASSES = (
    api.QueryClass(
        "lookup", worth=1, soft_deadline_s=1.0, soft_deadline_stretch=2, deadline_s=5.0, late_worth_share=0.1,
    ),
    api.QueryClass(
        "report", worth=10, soft_deadline_s=3.0, soft_deadline_stretch=2, deadline_s=15.0, threads=4,
        late_worth_share=0.3,
    ),
    api.QueryClass(
        "load", worth=5, soft_deadline_s=4.0, soft_deadline_stretch=2, deadline_s=20.0, threads=2,
        repeat_safety=api.RepeatSafety.KEYED, dedup_window_s=10.0, ordered_by_key=True, is_data_load=True,
    ),
)  # fmt: skip
KINDS = (api.EngineKind("big", 16, 32000), api.EngineKind("small", 12, 24000))
TENANTS = (api.Tenant("one", 0.6, 60), api.Tenant("two", 0.4, 40))
LIMITS = api.Limits(
    cancel_allowed=True,
    retry_hints_allowed=True,
    max_attempts=4,
    max_open_queries=1000,
    max_retry_after_s=1.0,
)
RULES = api.Rules(
    answer_slack_s=0.02,
    drain_grace_s=1.0,
    cold_initial_speed=0.3,
    cold_duration_s=10.0,
    cold_budget_multiple=3.0,
    cold_window_s=1.0,
)


def settings(**changes: Any) -> api.Settings:
    """Settings of two gateways with three classes and two tenants; ``changes`` replaces fields."""
    base = api.Settings(
        gateway_count=2,
        zones=("a", "b"),
        engine_kinds=KINDS,
        classes=CLASSES,
        tenants=TENANTS,
        limits=LIMITS,
        rules=RULES,
    )
    return replace(base, **changes)


def change_class(index: int, **changes: Any) -> tuple[api.QueryClass, ...]:
    """The default classes, with the fields of one of them replaced."""
    return tuple(
        replace(query_class, **changes) if class_index == index else query_class
        for class_index, query_class in enumerate(CLASSES)
    )


def entry(number: int, **changes: Any) -> api.EngineEntry:
    """The entry of engine ``e<number>``: zones and kinds alternate, and two engines share a cell."""
    return replace(
        api.EngineEntry(f"e{number}", zone=number % 2, kind=number % 2, cell=number // 2), **changes
    )


def engines(number: int) -> api.ListUpdate:
    """A whole list of engines ``e0`` to ``e<number - 1>``."""
    return api.ListUpdate(api.ListKind.RESTORED, 1, tuple(entry(index) for index in range(number)))


class GatewayHarness:
    """A controller with a clock and ``number`` engines, which records the attempts that it sends."""

    def __init__(self, number: int = 4, seed: int = 1, **changes: Any) -> None:
        self.settings = settings(**changes)
        self.controller = Controller(self.settings, seed)
        self.now = 100.0
        self.next_id = 1
        self.attempts: dict[int, int] = {}  # by query: the number of its last attempt
        self.engine_of: dict[int, str] = {}  # by query: the engine of its last attempt
        self.handle_events(engines(number))

    def handle_events(self, *events: api.Event, after: float = 0.0) -> list[api.Action]:
        """Passes one batch of events to the controller, ``after`` seconds later, and returns its actions."""
        self.now += after
        actions = self.controller.handle(self.now, events)
        for action in actions:
            if isinstance(action, api.Send):
                self.attempts[action.query] = self.attempts.get(action.query, -1) + 1
                self.engine_of[action.query] = action.engine
        return actions

    def build_arrival(self, query_class: int = LOOKUP, **changes: Any) -> api.QueryArrived:
        """The arrival event of a new query, which is not passed on yet."""
        self.next_id += 1
        deadline = self.now + self.settings.classes[query_class].deadline_s
        arrival = api.QueryArrived(
            self.next_id, query_class, 0, deadline, estimated_cost_s=0.1, table_group=1
        )
        return replace(arrival, **changes)

    def submit_query(self, query_class: int = LOOKUP, **changes: Any) -> tuple[int, list[api.Action]]:
        """Passes on a new query; returns its number and the actions."""
        event = self.build_arrival(query_class, **changes)
        return event.query, self.handle_events(event)

    def build_attempt_end(
        self, query: int, outcome: api.Outcome, elapsed_s: float = 0.1, **more: Any
    ) -> api.AttemptEnded:
        """The event that ends the last attempt of a query."""
        settled = outcome is api.Outcome.OK
        return api.AttemptEnded(
            query, self.attempts[query], self.engine_of[query], outcome, elapsed_s, settled, **more
        )

    def end_attempt(
        self, query: int, outcome: api.Outcome, after: float = 0.1, **more: Any
    ) -> list[api.Action]:
        """Ends the last attempt of a query ``after`` seconds from now."""
        self.now += after
        return self.handle_events(self.build_attempt_end(query, outcome, after, **more))

    def fire_timer(self, after: float = 0.05, times: int = 1) -> list[api.Action]:
        """Fires the timer ``times`` times, each ``after`` seconds later."""
        actions: list[api.Action] = []
        for _ in range(times):
            actions += self.handle_events(api.TimerFired(1), after=after)
        return actions


def sends(actions: list[api.Action]) -> list[api.Send]:
    """The attempts among the actions."""
    return [action for action in actions if isinstance(action, api.Send)]


def finals(actions: list[api.Action]) -> list[api.Refuse | api.Fail]:
    """The final answers among the actions."""
    return [action for action in actions if isinstance(action, api.Refuse | api.Fail)]
