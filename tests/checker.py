"""The seven rules, checked from the outside: it knows events and actions, and nothing of the controller."""

from __future__ import annotations

from dataclasses import dataclass, field

from micahold import interface as api

NEVER_RAN = (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_STARTED)
MAY_RUN_ON = (api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED)


class BrokenRuleError(AssertionError):
    """A rule does not hold."""


@dataclass
class Taken:
    event: api.QueryArrived
    order: int
    ended: bool = False
    out: bool = False
    attempts: int = 0
    sent_to: str = ""
    sent_at: float = 0.0
    ran: list[tuple[float, str]] = field(default_factory=list)


class Checker:
    """Feed it each batch, events first and then the answer; call ``finish`` at the end."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.taken: dict[int, Taken] = {}
        self.entries: dict[str, api.EngineEntry] = {}
        self.left_at: dict[str, float] = {}
        self.arrivals: list[float] = []
        self.extra: list[float] = []
        self.cold: dict[str, list[tuple[float, float]]] = {}
        self.rest_until: dict[int, float] = {}

    def broken(self, rule: str, text: str) -> None:
        raise BrokenRuleError(f"{rule}: {text}")

    def events(self, now: float, events: list[api.Event]) -> None:
        for event in events:
            if isinstance(event, api.QueryArrived):
                self.taken[event.query] = Taken(event, len(self.taken))
                self.arrivals.append(now)
            elif isinstance(event, api.ListUpdate):
                self.listed(now, event)
            elif isinstance(event, api.QueryDropped):
                self.taken[event.query].ended = True
            elif isinstance(event, api.AttemptEnded):
                self.outcome(now, event)

    def listed(self, now: float, event: api.ListUpdate) -> None:
        if event.kind is api.ListKind.UNAVAILABLE:
            return
        if event.kind is not api.ListKind.CHANGES:
            for name in self.entries.keys() - {one.engine for one in event.entries}:
                self.left_at.setdefault(name, now)
        for one in event.entries:
            self.entries[one.engine] = one
            if one.state is api.EngineState.UP:
                self.left_at.pop(one.engine, None)
            else:
                self.left_at.setdefault(one.engine, now)

    def outcome(self, now: float, event: api.AttemptEnded) -> None:
        query = self.taken[event.query]
        query.out = False
        query.ended = query.ended or event.query_settled
        if event.outcome not in NEVER_RAN:
            query.ran.append((query.sent_at, event.engine))
        key = query.event.ordering_key
        if event.outcome in MAY_RUN_ON and key is not None:
            self.rest_until[key] = now + self.settings.rules.order_settle_s

    def actions(self, now: float, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self.send(now, action)
            elif isinstance(action, api.Refuse | api.Fail):
                self.final(now, action)
            elif isinstance(action, api.Cancel) and not self.settings.limits.cancel_allowed:
                self.broken("limits", "a cancel where none is allowed")

    def final(self, now: float, action: api.Refuse | api.Fail) -> None:
        query = self.taken[action.query]
        kind = self.settings.classes[query.event.class_index]
        if query.ended:
            self.broken("lost", f"query {action.query} is answered twice")
        if now > query.event.deadline + self.settings.rules.answer_slack_s:
            self.broken("lost", f"query {action.query} is answered late")
        query.ended = True
        if isinstance(action, api.Refuse) and (query.ran or query.out):
            dropped_by_all = (
                kind.repeat_safety is api.RepeatSafety.KEYED and kind.dedup_scope is api.DedupScope.ALL
            )
            if kind.repeat_safety is not api.RepeatSafety.SAFE and not dropped_by_all:
                self.broken("twice", f"query {action.query} is refused and may have run")

    def send(self, now: float, action: api.Send) -> None:
        query = self.taken[action.query]
        if query.ended:
            self.broken("lost", f"query {action.query} is sent after its end")
        if query.out:
            self.broken("twice", f"query {action.query} has two attempts out")
        query.attempts += 1
        if query.attempts > self.settings.limits.max_attempts:
            self.broken("limits", f"query {action.query} has too many attempts")
        self.check_effect(now, query, action.engine)
        self.check_engine(now, query, action.engine)
        self.check_order(now, query)
        if query.attempts > 1:
            self.check_ration(now)
        query.out, query.sent_to, query.sent_at = True, action.engine, now

    def check_effect(self, now: float, query: Taken, engine: str) -> None:
        kind = self.settings.classes[query.event.class_index]
        for sent_at, earlier in query.ran:
            here, there = self.entries[engine], self.entries[earlier]
            if kind.repeat_safety is api.RepeatSafety.UNSAFE:
                self.broken("twice", "an unsafe query that may have run is sent again")
            if kind.repeat_safety is api.RepeatSafety.KEYED and now > sent_at + kind.dedup_window_s:
                self.broken("twice", "a keyed query is sent again after its window")
            strays = (kind.dedup_scope is api.DedupScope.ZONE and here.zone != there.zone) or (
                kind.dedup_scope is api.DedupScope.CELL and here.cell != there.cell
            )
            if kind.repeat_safety is api.RepeatSafety.KEYED and strays:
                self.broken("twice", "a keyed query is sent again outside its group")

    def check_engine(self, now: float, query: Taken, engine: str) -> None:
        kind, rules, entry = (
            self.settings.classes[query.event.class_index],
            self.settings.rules,
            self.entries[engine],
        )
        if engine in self.left_at and now > self.left_at[engine] + rules.drain_grace_s:
            self.broken("drain", f"{engine} is sent work after it left")
        if kind.allowed_kinds is not None and entry.kind not in kind.allowed_kinds:
            self.broken("placement", f"{engine} is of the wrong kind")
        if kind.allowed_zones is not None and entry.zone not in kind.allowed_zones:
            self.broken("placement", f"{engine} is in the wrong zone")
        if entry.started_at > 0 and now < entry.started_at + rules.cold_duration_s:
            sent = self.cold.setdefault(engine, [])
            sent.append((now, query.event.estimated_cost_s or 0.0))
            work = sum(cost for at, cost in sent if at > now - rules.cold_window_s)
            cores = self.settings.engine_kinds[entry.kind].cores
            most = (
                rules.cold_budget_multiple
                * rules.cold_initial_speed
                * cores
                * rules.cold_window_s
                / self.settings.gateway_count
            )
            if work > most:
                self.broken("cold", f"{engine} is sent {work} where {most} is allowed")

    def check_order(self, now: float, query: Taken) -> None:
        kind, key = self.settings.classes[query.event.class_index], query.event.ordering_key
        if not kind.ordered_by_key or key is None:
            return
        for other in self.taken.values():
            ordered = (
                self.settings.classes[other.event.class_index].ordered_by_key
                and other.event.ordering_key == key
            )
            if ordered and other.order < query.order and (not other.ended or other.out):
                self.broken("order", f"query {query.event.query} overtakes {other.event.query}")
        if query.attempts == 1 and now < self.rest_until.get(key, now):
            self.broken("order", f"the key of query {query.event.query} has not rested")

    def check_ration(self, now: float) -> None:
        rules = self.settings.rules
        if rules.retry_window_s <= 0:
            return
        self.extra.append(now)
        since = now - rules.retry_window_s
        extra = sum(at > since for at in self.extra)
        taken = sum(at > since for at in self.arrivals)
        if extra > rules.retry_budget_floor + rules.retry_budget_ratio * taken:
            self.broken("ration", f"{extra} further attempts with {taken} queries taken")

    def finish(self, now: float) -> None:
        for query in self.taken.values():
            if not query.ended and now > query.event.deadline + self.settings.rules.answer_slack_s:
                self.broken("lost", f"query {query.event.query} has no final answer")
