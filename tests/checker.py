"""Checks the seven rules from events and actions alone, independently of the controller's code.

The labels of the rules are: ``lost`` (each query gets one final answer, in time), ``twice`` (no harmful
repeat), ``drain`` (nothing is sent to an engine that leaves), ``cold`` (work sent to a cold engine),
``order`` (one query of a key at a time), ``placement`` (allowed engine kinds and zones) and ``ration`` (the
retry budget). Breaches of the site's limits are labelled ``limits``.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from micahold import interface as api

NEVER_RAN = (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_STARTED)
MAY_STILL_RUN = (api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED)


class RuleViolationError(AssertionError):
    """A rule does not hold; the text begins with the rule's label."""


@dataclass
class TrackedQuery:
    """What the checker records of one query."""

    arrival: api.QueryArrived
    arrival_order: int
    finished: bool = False
    in_flight: bool = False
    attempt_count: int = 0
    sent_to: str = ""
    sent_at: float = 0.0
    possible_runs: list[tuple[float, str]] = field(default_factory=list)  # when and where it may have run


class Checker:
    """Takes each batch of events and then the actions that answer it; raises at the first violation.

    ``check_all_answered`` is called at the end.
    """

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.queries: dict[int, TrackedQuery] = {}
        self.entries: dict[str, api.EngineEntry] = {}
        self.unavailable_since: dict[str, float] = {}
        self.arrivals: list[float] = []
        self.further_attempts: list[float] = []
        self.cold_sends: dict[str, list[tuple[float, float]]] = {}  # by engine: when, and how much work
        self.rest_until: dict[int, float] = {}  # by ordering key

    def report_violation(self, rule: str, text: str) -> None:
        raise RuleViolationError(f"{rule}: {text}")

    def check_events(self, now: float, events: list[api.Event]) -> None:
        """Updates the state by the events of one batch."""
        for event in events:
            if isinstance(event, api.QueryArrived):
                self.queries[event.query] = TrackedQuery(event, len(self.queries))
                self.arrivals.append(now)
            elif isinstance(event, api.ListUpdate):
                self.update_engines(now, event)
            elif isinstance(event, api.QueryDropped):
                self.queries[event.query].finished = True
            elif isinstance(event, api.AttemptEnded):
                self.record_outcome(now, event)

    def update_engines(self, now: float, event: api.ListUpdate) -> None:
        """Records the entries of the engine list, and since when each engine is draining or gone."""
        if event.kind is api.ListKind.UNAVAILABLE:
            return
        if event.kind is not api.ListKind.CHANGES:
            for name in self.entries.keys() - {entry.engine for entry in event.entries}:
                self.unavailable_since.setdefault(name, now)
        for entry in event.entries:
            self.entries[entry.engine] = entry
            if entry.state is api.EngineState.UP:
                self.unavailable_since.pop(entry.engine, None)
            else:
                self.unavailable_since.setdefault(entry.engine, now)

    def record_outcome(self, now: float, event: api.AttemptEnded) -> None:
        """Records the end of an attempt, whether it may have run, and the rest of its key."""
        query = self.queries[event.query]
        query.in_flight = False
        query.finished = query.finished or event.query_settled
        if event.outcome not in NEVER_RAN:
            query.possible_runs.append((query.sent_at, event.engine))
        key = query.arrival.ordering_key
        if event.outcome in MAY_STILL_RUN and key is not None:
            self.rest_until[key] = now + self.settings.rules.order_settle_s

    def check_actions(self, now: float, actions: list[api.Action]) -> None:
        """Checks the actions of one batch in order."""
        for action in actions:
            if isinstance(action, api.Send):
                self.check_send(now, action)
            elif isinstance(action, api.Refuse | api.Fail):
                self.check_final_answer(now, action)
            elif isinstance(action, api.Cancel) and not self.settings.limits.cancel_allowed:
                self.report_violation("limits", "a cancel where none is allowed")

    def check_final_answer(self, now: float, action: api.Refuse | api.Fail) -> None:
        """A query has one final answer by its deadline, and is refused only where a repeat does no harm."""
        query = self.queries[action.query]
        query_class = self.settings.classes[query.arrival.class_index]
        if query.finished:
            self.report_violation("lost", f"query {action.query} is answered twice")
        if now > query.arrival.deadline + self.settings.rules.answer_slack_s:
            self.report_violation("lost", f"query {action.query} is answered late")
        query.finished = True
        if isinstance(action, api.Refuse) and (query.possible_runs or query.in_flight):
            dropped_by_all = (
                query_class.repeat_safety is api.RepeatSafety.KEYED
                and query_class.dedup_scope is api.DedupScope.ALL
            )
            if query_class.repeat_safety is not api.RepeatSafety.SAFE and not dropped_by_all:
                self.report_violation("twice", f"query {action.query} is refused and may have run")

    def check_send(self, now: float, action: api.Send) -> None:
        """Checks an attempt against all rules and records it."""
        query = self.queries[action.query]
        if query.finished:
            self.report_violation("lost", f"query {action.query} is sent after its end")
        if query.in_flight:
            self.report_violation("twice", f"query {action.query} has two attempts in flight")
        query.attempt_count += 1
        if query.attempt_count > self.settings.limits.max_attempts:
            self.report_violation("limits", f"query {action.query} has too many attempts")
        self.check_repeat_safety(now, query, action.engine)
        self.check_engine(now, query, action.engine)
        self.check_order(now, query)
        if query.attempt_count > 1:
            self.check_retry_budget(now)
        query.in_flight = True
        query.sent_to = action.engine
        query.sent_at = now

    def check_repeat_safety(self, now: float, query: TrackedQuery, engine: str) -> None:
        """A query that may have run is repeated only where its class permits it."""
        query_class = self.settings.classes[query.arrival.class_index]
        for sent_at, earlier_engine in query.possible_runs:
            entry = self.entries[engine]
            earlier_entry = self.entries[earlier_engine]
            if query_class.repeat_safety is api.RepeatSafety.UNSAFE:
                self.report_violation("twice", "an unsafe query that may have run is sent again")
            if (
                query_class.repeat_safety is api.RepeatSafety.KEYED
                and now > sent_at + query_class.dedup_window_s
            ):
                self.report_violation("twice", "a keyed query is sent again after its window")
            outside_scope = (
                query_class.dedup_scope is api.DedupScope.ZONE and entry.zone != earlier_entry.zone
            ) or (query_class.dedup_scope is api.DedupScope.CELL and entry.cell != earlier_entry.cell)
            if query_class.repeat_safety is api.RepeatSafety.KEYED and outside_scope:
                self.report_violation("twice", "a keyed query is sent again outside its group")

    def check_engine(self, now: float, query: TrackedQuery, engine: str) -> None:
        """The engine is up or within its drain grace, allowed for the class, and within its cold budget."""
        query_class = self.settings.classes[query.arrival.class_index]
        rules = self.settings.rules
        entry = self.entries[engine]
        if engine in self.unavailable_since and now > self.unavailable_since[engine] + rules.drain_grace_s:
            self.report_violation("drain", f"{engine} is sent work after it left")
        if query_class.allowed_kinds is not None and entry.kind not in query_class.allowed_kinds:
            self.report_violation("placement", f"{engine} is of the wrong kind")
        if query_class.allowed_zones is not None and entry.zone not in query_class.allowed_zones:
            self.report_violation("placement", f"{engine} is in the wrong zone")
        if entry.started_at > 0 and now < entry.started_at + rules.cold_duration_s:
            sends = self.cold_sends.setdefault(engine, [])
            sends.append((now, query.arrival.estimated_cost_s or 0.0))
            work_s = sum(cost_s for sent_at, cost_s in sends if sent_at > now - rules.cold_window_s)
            cores = self.settings.engine_kinds[entry.kind].cores
            max_work_s = (
                rules.cold_budget_multiple
                * rules.cold_initial_speed
                * cores
                * rules.cold_window_s
                / self.settings.gateway_count
            )
            if work_s > max_work_s:
                self.report_violation("cold", f"{engine} is sent {work_s} where {max_work_s} is allowed")

    def check_order(self, now: float, query: TrackedQuery) -> None:
        """No earlier query of the same key is open or in flight, and the key has rested."""
        query_class = self.settings.classes[query.arrival.class_index]
        key = query.arrival.ordering_key
        if not query_class.ordered_by_key or key is None:
            return
        for other in self.queries.values():
            ordered = (
                self.settings.classes[other.arrival.class_index].ordered_by_key
                and other.arrival.ordering_key == key
            )
            if (
                ordered
                and other.arrival_order < query.arrival_order
                and (not other.finished or other.in_flight)
            ):
                self.report_violation("order", f"query {query.arrival.query} overtakes {other.arrival.query}")
        if query.attempt_count == 1 and now < self.rest_until.get(key, now):
            self.report_violation("order", f"the key of query {query.arrival.query} has not rested")

    def check_retry_budget(self, now: float) -> None:
        """Further attempts within the window stay within the floor plus the ratio of arrivals."""
        rules = self.settings.rules
        if rules.retry_window_s <= 0:
            return
        self.further_attempts.append(now)
        window_start = now - rules.retry_window_s
        further_count = sum(sent_at > window_start for sent_at in self.further_attempts)
        arrival_count = sum(arrived_at > window_start for arrived_at in self.arrivals)
        if further_count > rules.retry_budget_floor + rules.retry_budget_ratio * arrival_count:
            self.report_violation(
                "ration", f"{further_count} further attempts with {arrival_count} queries taken"
            )

    def check_all_answered(self, now: float) -> None:
        """Every query past its deadline has a final answer."""
        for query in self.queries.values():
            if not query.finished and now > query.arrival.deadline + self.settings.rules.answer_slack_s:
                self.report_violation("lost", f"query {query.arrival.query} has no final answer")
