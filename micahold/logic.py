"""All decisions of micahold; the types that go in and out are in ``micahold/interface.py``.

One ``Controller`` is one gateway. It sees its own traffic alone, keeps no clock and does no I/O: the same
events give the same actions. ``docs/design.md`` says where each part comes from and how far it departs.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from heapq import heappop, heappush
from random import Random

from micahold import interface as api

LEARN_RUNS = 50  # runs over which a mean of ln(seconds / cost) is taken
FACTOR_LIMIT = 100.0  # a factor stays between 1 / this and this
BURST_S = 2.0  # a bucket holds at most this many seconds of its rate
USE_HALF_LIFE_S = 10.0  # use fades by half in this time
HINT_JITTER = 0.5  # a retry hint grows by up to this share of itself
BOUND_THREADS = 1.5  # threads a core at which an engine with one gateway alone is full
HOMES = 3  # engines of a table group's hash order that are tried first
PRESSURE = 2.0  # latency above best, as a multiple, from which bounds bind
BUSY = 0.95  # busy share in a fresh report from which bounds bind
REPORT_FRESH_S = 1.0  # older reports say nothing
SHARE_STEP = 0.1  # step by which this gateway's share of an engine follows pressure
BEST_DRIFT = 0.01  # the best latency known rises by this share a second, to forget a lucky spell
SHUN_ABOVE, TRUST_BELOW = 0.25, 0.1  # failing share at which an engine is quarantined, and let back
FAIL_WEIGHT, CUT_WEIGHT = 0.2, 0.5  # weight of one error, of one broken or refused connection
PATIENCE = 4.0  # silence is held against an engine after this many times the expected time
TRIAL_GAP_S, TRIAL_GAP_MOST_S = 0.25, 4.0  # pause between trial queries to a quarantined engine
COLD_SAFETY = 0.5  # part of the cold-start allowance that is spent; the rest covers estimates
TICK_S = 0.05  # pace of the controller's own checks
RUNAWAY = 3.0  # an attempt projected to last this many times the expected is begun anew, where allowed


LineId = tuple[bool, int, int, bool]  # late, tenant, class, tried before


class WeightedMean:
    """Mean over about ``LEARN_RUNS`` runs, weighted by cost: both sums fade alike."""

    __slots__ = ("total", "weight")

    def __init__(self) -> None:
        self.total = 0.0
        self.weight = 0.0

    def learn(self, value: float, weight: float) -> None:
        keep = 1.0 - 1.0 / LEARN_RUNS
        self.total = self.total * keep + value * weight
        self.weight = self.weight * keep + weight

    @property
    def mean(self) -> float:
        return self.total / self.weight if self.weight > 0 else 0.0


@dataclass(slots=True, eq=False)
class Query:
    """A query that this gateway has taken and not yet finished with."""

    id: int
    kind: api.QueryClass
    class_index: int
    tenant: int
    deadline: float
    arrived: float
    key: int | None
    tables: int
    cost: float
    memory_mb: float
    price: float = 0.0
    aim: float = 0.0
    attempts: int = 0
    engine: EngineView | None = None
    sent: float = 0.0
    expected: float = 0.0
    cancelled: bool = False
    charged: bool = False
    done: bool = False
    may_have_run: list[tuple[float, api.EngineEntry]] = field(default_factory=list)
    tried: set[str] = field(default_factory=set)


class Calibration:
    """Prices: the told cost, or the class's learned mean, times the factor of class and table group."""

    def __init__(self, classes: Sequence[api.QueryClass]) -> None:
        self.classes = classes
        self.groups: dict[tuple[int, int], WeightedMean] = {}
        self.all = WeightedMean()
        self.class_cost = [WeightedMean() for _ in classes]
        self.class_unit = [WeightedMean() for _ in classes]
        self.best: list[float | None] = [None] * len(classes)
        self.runs = [0] * len(classes)
        self.usual = [kind.aim / 2 for kind in classes]
        self.mean_price = WeightedMean()

    def cost(self, class_index: int, told: float | None) -> float:
        if told:
            return told
        learned = self.class_cost[class_index]
        return learned.mean if learned.weight else self.classes[class_index].aim

    def price(self, query: Query) -> float:
        group = self.groups.get((query.class_index, query.tables))
        if group is None or not self.all.weight:
            return query.cost
        factor = math.exp(group.mean - self.all.mean)
        return query.cost * min(FACTOR_LIMIT, max(1 / FACTOR_LIMIT, factor))

    def expected(self, query: Query) -> float:
        """Time the query takes on an engine at its best."""
        unit = self.best[query.class_index] or 0.0
        return query.cost * math.exp(unit) / query.kind.threads

    def learn(self, query: Query, elapsed: float, told_cost: bool, engine_pace: float) -> None:
        """One run that ended well; the engine's own pace is taken out, so a slow one inflates no price."""
        index = query.class_index
        seconds = elapsed * query.kind.threads
        if not told_cost:
            self.class_cost[index].learn(seconds / max(1.0, engine_pace), 1.0)
        unit = math.log(max(seconds, 1e-6) / max(query.cost, 1e-6))
        self.class_unit[index].learn(unit, 1.0)
        self.usual[index] += (elapsed - self.usual[index]) / LEARN_RUNS
        self.runs[index] += 1
        if self.runs[index] >= LEARN_RUNS // 2:
            mean = self.class_unit[index].mean
            best = self.best[index]
            self.best[index] = mean if best is None else min(best, mean)
        paced = unit - math.log(engine_pace)
        self.groups.setdefault((index, query.tables), WeightedMean()).learn(paced, 1.0)
        self.all.learn(paced, query.cost)

    def drift(self, passed: float) -> None:
        for index, best in enumerate(self.best):
            if best is not None:
                self.best[index] = min(best + BEST_DRIFT * passed, self.class_unit[index].mean)


class TokenBucket:
    """A tenant's budget; it may be owed to, and fills at its rate up to its burst."""

    __slots__ = ("level", "rate", "at")

    def __init__(self) -> None:
        self.level = 0.0
        self.rate = 0.0
        self.at: float | None = None

    def fill(self, now: float, rate: float) -> None:
        if self.at is None:
            self.level = rate * BURST_S
        else:
            self.level = min(rate * BURST_S, self.level + self.rate * (now - self.at))
        self.rate, self.at = rate, now

    def owes(self) -> bool:
        return self.level < 0

    def debt_time(self) -> float:
        return max(0.0, -self.level) / self.rate if self.rate > 0 else 0.0


class Use:
    """What a tenant was charged of late, fading by half-life."""

    __slots__ = ("value", "at")

    def __init__(self) -> None:
        self.value = 0.0
        self.at = 0.0

    def read(self, now: float) -> float:
        self.value *= 0.5 ** ((now - self.at) / USE_HALF_LIFE_S)
        self.at = now
        return self.value


class RetryBudget:
    """Further attempts within the rationed window; no ration where the window is 0."""

    def __init__(self, rules: api.Rules) -> None:
        self.rules = rules
        self.taken: deque[float] = deque()
        self.extra: deque[float] = deque()

    def take(self, now: float) -> None:
        if self.rules.retry_window > 0:
            self.taken.append(now)

    def allows(self, now: float) -> bool:
        window = self.rules.retry_window
        if window <= 0:
            return True
        while self.taken and self.taken[0] <= now - window + TICK_S:
            self.taken.popleft()
        while self.extra and self.extra[0] < now - window - TICK_S:
            self.extra.popleft()
        return len(self.extra) + 1 <= self.rules.retry_free + self.rules.retry_share * len(self.taken)

    def spend(self, now: float) -> None:
        if self.rules.retry_window > 0:
            self.extra.append(now)


class EngineView:
    """What this gateway knows of one engine."""

    def __init__(self, entry: api.EngineEntry, settings: api.Settings, now: float) -> None:
        self.settings = settings
        self.entry = entry
        self.out: dict[int, Query] = {}
        self.threads = 0
        self.share = 1.0 / settings.gateways
        self.slow = 0.0  # ln of latency over best
        self.failing = 0.0
        self.shunned = False
        self.silent = False
        self.sign = now
        self.full_at = -math.inf
        self.report: api.LoadReport | None = None
        self.report_at = -math.inf
        self.trial_at = 0.0
        self.trial_gap = TRIAL_GAP_S
        self.cold_sent: deque[tuple[float, float]] = deque()
        kinds = settings.kinds
        told = kinds[entry.kind].cores if entry.kind < len(kinds) else 0.0
        self.cores = told or 1.0

    def is_cold(self, now: float) -> bool:
        return 0 < self.entry.started and now < self.entry.started + self.settings.rules.cold_time

    def cold_room(self, now: float, work: float) -> bool:
        """Rule 4, kept alone: this gateway's part of what a cold engine takes in any window."""
        if not self.is_cold(now):
            return True
        rules = self.settings.rules
        while self.cold_sent and self.cold_sent[0][0] < now - rules.cold_window - TICK_S:
            self.cold_sent.popleft()
        total = rules.cold_multiple * rules.cold_from * self.cores * rules.cold_window
        spent = sum(sent for _, sent in self.cold_sent)
        return spent + work <= total * COLD_SAFETY / self.settings.gateways

    def bound(self) -> float:
        return max(1.0, BOUND_THREADS * self.cores * self.share)

    def pressed(self, now: float) -> bool:
        if self.slow > math.log(PRESSURE) or now - self.full_at < REPORT_FRESH_S:
            return True
        report = self.report if now - self.report_at < REPORT_FRESH_S else None
        return report is not None and report.busy is not None and report.busy > BUSY

    def has_room(self, now: float, always: bool) -> bool:
        return self.threads < self.bound() or not (always or self.pressed(now))

    def quarantined(self) -> bool:
        return self.shunned or self.silent

    def failed(self, weight: float) -> None:
        self.failing += (1 - self.failing) * weight
        self.shunned = self.shunned or self.failing > SHUN_ABOVE

    def answered(self) -> None:
        self.failing *= 1 - FAIL_WEIGHT
        self.trial_gap = TRIAL_GAP_S
        if self.failing < TRUST_BELOW:
            self.shunned = False

    def follow_pressure(self, now: float) -> None:
        """The share of this engine that is ours: 1 / gateways until latency tells otherwise."""
        held = self.threads / (BOUND_THREADS * self.cores)
        if not self.pressed(now):
            if held > self.share * (1 - SHARE_STEP):
                self.share = min(1.0, max(self.share * (1 + SHARE_STEP), held))
        elif self.threads >= self.bound() * (1 - SHARE_STEP):
            self.share = max(1.0 / (BOUND_THREADS * self.cores), self.share * (1 - SHARE_STEP))

    def watch_silence(self, now: float, note_period: float) -> None:
        """No sign for longer than some attempt should have taken: held against it until it gives one."""
        self.silent = False
        for query in self.out.values():
            due = PATIENCE * query.expected * math.exp(max(0.0, self.slow)) + TRIAL_GAP_S
            if note_period > 0:
                due = min(due, 2 * note_period)
            if now - max(query.sent, self.sign) > max(due, 2 * note_period):
                self.silent = True


class Router:
    """Which engine a query goes to: hash order by table group, alike at all gateways."""

    def __init__(self, settings: api.Settings, calibration: Calibration) -> None:
        self.settings = settings
        self.calibration = calibration
        self.engines: dict[str, EngineView] = {}
        self.orders: dict[int, list[EngineView]] = {}

    def order(self, tables: int) -> list[EngineView]:
        known = self.orders.get(tables)
        if known is None:
            ranked = sorted(
                (blake2b(f"{tables}:{name}".encode(), digest_size=8).digest(), name) for name in self.engines
            )
            known = self.orders[tables] = [self.engines[name] for _, name in ranked]
        return known

    def update(self, now: float, news: api.ListUpdate) -> None:
        if news.kind is api.ListKind.UNAVAILABLE:
            return
        if news.kind is not api.ListKind.CHANGES:
            named = {entry.engine for entry in news.entries}
            for name in [name for name in self.engines if name not in named]:
                del self.engines[name]
        for entry in news.entries:
            if entry.state is api.EngineState.GONE:
                self.engines.pop(entry.engine, None)
                continue
            known = self.engines.get(entry.engine)
            if known is None or entry.started > known.entry.started:
                fresh = EngineView(entry, self.settings, now)
                if known is not None:
                    fresh.out, fresh.threads, fresh.cold_sent = known.out, known.threads, known.cold_sent
                    for query in fresh.out.values():
                        query.engine = fresh
                self.engines[entry.engine] = fresh
            else:
                known.entry = entry
        self.orders.clear()

    def allowed(self, query: Query, engine: EngineView) -> bool:
        """Rules 2, 3 and 6: placement, drains, and the group that drops a keyed query's repeats."""
        kind, entry = query.kind, engine.entry
        if entry.state is not api.EngineState.UP:
            return False
        if kind.allowed_kinds is not None and entry.kind not in kind.allowed_kinds:
            return False
        if kind.allowed_zones is not None and entry.zone not in kind.allowed_zones:
            return False
        for _, earlier in query.may_have_run:
            if kind.effect is api.Effect.KEYED:
                if kind.dedup_scope is api.DedupScope.ZONE and entry.zone != earlier.zone:
                    return False
                if kind.dedup_scope is api.DedupScope.CELL and entry.cell != earlier.cell:
                    return False
        return True

    def weight(self, engine: EngineView, now: float, usual: float) -> float:
        """Cores at the pace seen; only an engine well off the fleet's middle, or a cold one, counts less."""
        behind = engine.slow - usual
        cores = engine.cores * (math.exp(-behind) if behind > math.log(PRESSURE) / 2 else 1.0)
        return cores * self.settings.rules.cold_from if engine.is_cold(now) else cores

    def choose(self, query: Query, now: float, needs_room: bool) -> EngineView | None:
        work = self.calibration.expected(query) * query.kind.threads
        allowed = [engine for engine in self.order(query.tables) if self.allowed(query, engine)]
        able = [engine for engine in allowed if engine.cold_room(now, work)]
        sound = [engine for engine in able if not engine.quarantined()]
        trial = self.trial(query, able, now)
        if trial is not None:
            return trial
        # Never shun so many that nothing is left: with every engine under suspicion all are used again.
        usable = sound or able
        if query.tried and any(engine.entry.engine not in query.tried for engine in usable):
            usable = [engine for engine in usable if engine.entry.engine not in query.tried]
        if not usable:
            return None
        slows = sorted(engine.slow for engine in usable)
        usual = slows[len(slows) // 2]
        loads = {e.entry.engine: e.threads / self.weight(e, now, usual) for e in usable}
        mean = sum(e.threads for e in usable) / sum(self.weight(e, now, usual) for e in usable)
        free = [engine for engine in usable if engine.has_room(now, needs_room)]
        homes = [engine for engine in usable[:HOMES] if engine in free]
        best = min(homes, key=lambda e: loads[e.entry.engine], default=None)
        if best is not None and loads[best.entry.engine] <= mean:
            return best
        further = [engine for engine in free if loads[engine.entry.engine] < mean]
        if further:
            return further[0]
        if best is not None:
            return best
        return min(free, key=lambda e: loads[e.entry.engine], default=None)

    def trial(self, query: Query, able: Iterable[EngineView], now: float) -> EngineView | None:
        """The way back: now and then a cheap query that is safe to repeat goes to a quarantined engine."""
        if query.kind.effect is not api.Effect.SAFE or query.attempts or query.price > self.calibration.mean_price.mean:
            return None
        for engine in able:
            if engine.quarantined() and now >= engine.trial_at:
                engine.trial_at = now + engine.trial_gap
                engine.trial_gap = min(TRIAL_GAP_MOST_S, engine.trial_gap * 2)
                return engine
        return None


class KeyOrder:
    """Rule 5: of the queries with one key only the first taken may be out; a doubtful end rests the key."""

    def __init__(self) -> None:
        self.lines: dict[int, deque[Query]] = {}
        self.rests: dict[int, float] = {}

    def enter(self, query: Query) -> None:
        if query.kind.in_order and query.key is not None:
            self.lines.setdefault(query.key, deque()).append(query)

    def may_run(self, query: Query, now: float) -> bool:
        if not query.kind.in_order or query.key is None:
            return True
        line = self.lines.get(query.key)
        return line is not None and line[0] is query and (query.attempts > 0 or now >= self.rests.get(query.key, 0.0))

    def rest(self, query: Query, until: float) -> None:
        if query.kind.in_order and query.key is not None:
            self.rests[query.key] = until

    def leave(self, query: Query) -> Query | None:
        """Called once a query is over and has no attempt out; the one that is first now, if that changed."""
        line = self.lines.get(query.key) if query.kind.in_order and query.key is not None else None
        if line is None or query not in line:
            return None
        was_first = line[0] is query
        line.remove(query)
        if not line:
            assert query.key is not None
            del self.lines[query.key]
            return None
        return line[0] if was_first else None


class FairRelease:
    """Held queries by tenant and class, the most worth for its price first; lowest use over share goes."""

    def __init__(self, settings: api.Settings) -> None:
        self.tenants = settings.tenants
        self.held: dict[LineId, list[tuple[float, int, Query]]] = {}
        self.use: dict[int, Use] = {}
        self.serial = 0

    def share(self, tenant: int) -> float:
        return max(1e-9, self.tenants[tenant].share) if tenant < len(self.tenants) else 1.0

    def hold(self, query: Query, late: bool) -> None:
        worth = query.kind.worth * (query.kind.late_share if late else 1.0)
        self.serial += 1
        line = self.held.setdefault((late, query.tenant, query.class_index, query.attempts > 0), [])
        heappush(line, (-worth / max(query.price, 1e-9), self.serial, query))

    def score(self, tenant: int, now: float) -> float:
        return self.use.setdefault(tenant, Use()).read(now) / self.share(tenant)

    def charge(self, query: Query, now: float) -> None:
        use = self.use.setdefault(query.tenant, Use())
        use.read(now)
        use.value += query.price


class Controller:
    """One gateway's decisions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.calibration = Calibration(settings.classes)
        self.router = Router(settings, self.calibration)
        self.release = FairRelease(settings)
        self.order = KeyOrder()
        self.retries = RetryBudget(settings.rules)
        self.buckets: dict[tuple[str, int], TokenBucket] = {}
        self.queries: dict[int, Query] = {}
        self.waits: list[tuple[float, int, Query]] = []
        self.actions: list[api.Action] = []
        self.now = 0.0
        self.ticked: float | None = None
        self.told: dict[int, bool] = {}

    def handle(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Take the events of one moment, in turn, and answer with the actions of that moment."""
        self.now = now
        self.actions = []
        if self.ticked is None:
            self.start_tick()
            if not self.settings.list_is_pushed:
                self.actions.append(api.WatchList())
        for event in events:
            match event:
                case api.QueryArrived():
                    self.arrived(event)
                case api.AttemptEnded():
                    self.ended(event)
                case api.AttemptNote():
                    self.noted(event)
                case api.TimerFired():
                    self.tick()
                case api.ListUpdate():
                    self.router.update(now, event)
                    if event.kind is api.ListKind.UNAVAILABLE and not self.settings.list_is_pushed:
                        self.actions.append(api.WatchList())
                case api.QueryDropped():
                    self.dropped(event.query)
                case _:
                    pass
        self.pump()
        return self.actions

    # What arrives

    def arrived(self, event: api.QueryArrived) -> None:
        kind = self.settings.classes[event.query_class]
        self.retries.take(self.now)
        query = Query(
            event.query, kind, event.query_class, event.tenant, event.deadline, self.now, event.key, event.tables,
            self.calibration.cost(event.query_class, event.cost), event.memory_mb or 0.0,
        )
        query.price = self.calibration.price(query)
        self.calibration.mean_price.learn(query.price, 1.0)
        query.aim = self.now + kind.aim + kind.aim_stretch * self.calibration.expected(query)
        self.told[query.id] = bool(event.cost)
        self.queries[query.id] = query
        if self.now >= query.deadline:
            self.give_up(query)
            return
        self.order.enter(query)
        usual = max(self.calibration.usual[query.class_index], 2 * TICK_S)
        heappush(self.waits, (max(self.now, query.deadline - usual), query.id, query))
        if self.order.may_run(query, self.now):
            self.release.hold(query, False)

    def ended(self, event: api.AttemptEnded) -> None:
        query = self.queries.get(event.query)
        if query is None or query.engine is None or query.attempts != event.attempt + 1:
            return
        engine, query.engine = query.engine, None
        engine.out.pop(query.id, None)
        engine.threads -= query.kind.threads
        self.judge(query, engine, event)
        doubtful = event.outcome in (api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED)
        if doubtful:
            self.order.rest(query, self.now + self.settings.rules.order_settle)
        if doubtful or event.outcome is api.Outcome.ERROR:
            query.may_have_run.append((query.sent, engine.entry))
        if event.settled or event.outcome is api.Outcome.OK or query.done:
            self.over(query)
        elif self.may_try_again(query):
            self.release.hold(query, self.now > query.aim)
        else:
            self.give_up(query)

    def judge(self, query: Query, engine: EngineView, event: api.AttemptEnded) -> None:
        if event.report is not None:
            engine.report, engine.report_at = event.report, self.now
        outcome = event.outcome
        if outcome in (api.Outcome.OK, api.Outcome.ERROR, api.Outcome.FULL):
            engine.sign = self.now
        if outcome is api.Outcome.OK:
            engine.answered()
            self.observe(engine, query, event.elapsed)
            slows = sorted(one.slow for one in self.router.engines.values())
            pace = math.exp(engine.slow - slows[len(slows) // 2]) if slows else 1.0
            self.calibration.learn(query, event.elapsed, self.told.get(query.id, False), pace)
        elif outcome is api.Outcome.ERROR:
            engine.failed(FAIL_WEIGHT)
        elif outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.RESET):
            engine.failed(CUT_WEIGHT)
        elif outcome is api.Outcome.FULL:
            engine.full_at = self.now

    def observe(self, engine: EngineView, query: Query, elapsed: float) -> None:
        """Latency over best, weighted by price: cheap queries run past the crowd and show little of it."""
        if self.calibration.best[query.class_index] is None or query.expected <= 0:
            return
        mean = self.calibration.mean_price.mean
        weight = min(0.3, 0.1 * query.price / mean) if mean > 0 else 0.1
        engine.slow += (math.log(max(elapsed / query.expected, 1e-3)) - engine.slow) * weight

    def noted(self, event: api.AttemptNote) -> None:
        query = self.queries.get(event.query)
        if query is None or query.engine is None or query.attempts != event.attempt + 1:
            return
        query.engine.sign = self.now
        if event.kind is not api.NoteKind.PROGRESS or query.done:
            return
        elapsed = self.now - query.sent
        projected = elapsed / max(event.value, 1e-3)
        crowd = math.exp(max(0.0, query.engine.slow))
        if projected - elapsed > RUNAWAY * query.expected * crowd:
            self.begin_anew(query)

    def begin_anew(self, query: Query) -> None:
        """Call an attempt off whose end is out of reach; its outcome then leads to another attempt."""
        able = self.settings.limits.cancel and not query.cancelled and query.kind.effect is not api.Effect.UNSAFE
        if able and self.retries.allows(self.now) and self.may_try_again(query):
            query.cancelled = True
            self.actions.append(api.Cancel(query.id, query.attempts - 1))

    def dropped(self, query_id: int) -> None:
        query = self.queries.get(query_id)
        if query is not None:
            query.done = True
            if query.engine is None:
                self.over(query)

    # Ends

    def over(self, query: Query) -> None:
        """Nothing is owed and nothing is out: forget the query, and let the next of its key go."""
        query.done = True
        self.queries.pop(query.id, None)
        self.told.pop(query.id, None)
        following = self.order.leave(query)
        if following is not None and self.order.may_run(following, self.now):
            self.release.hold(following, False)

    def may_try_again(self, query: Query) -> bool:
        """Rule 2, and whether there is time left for another attempt."""
        kind = query.kind
        if query.attempts >= self.settings.limits.max_attempts:
            return False
        if query.may_have_run and kind.effect is api.Effect.UNSAFE:
            return False
        if query.may_have_run and kind.effect is api.Effect.KEYED:
            if self.now >= query.may_have_run[0][0] + kind.dedup_window - 2 * TICK_S:
                return False
        return self.now + query.expected < query.deadline

    def give_up(self, query: Query) -> None:
        """The final answer, at once: refused where the client may safely try again, else failed."""
        if query.done:
            return
        kind = query.kind
        harmless = not query.may_have_run and query.engine is None
        if kind.effect is api.Effect.SAFE or harmless:
            self.actions.append(api.Refuse(query.id, self.hint(query)))
        elif kind.effect is api.Effect.KEYED and kind.dedup_scope is api.DedupScope.ALL and query.engine is None:
            self.actions.append(api.Refuse(query.id, self.hint(query)))
        else:
            self.actions.append(api.Fail(query.id))
        query.done = True
        if query.engine is None:
            self.over(query)

    def hint(self, query: Query) -> float:
        """When the tenant will have paid its debt, plus jitter so that the refused do not come back as one."""
        limits = self.settings.limits
        if not limits.retry_hints:
            return 0.0
        wait = max(self.bucket(query).debt_time(), self.calibration.usual[query.class_index])
        return min(limits.max_retry_after, wait * (1 + HINT_JITTER * self.random.random()))

    # Budgets and release

    def bucket(self, query: Query) -> TokenBucket:
        """The tenant's bucket, or the class's where there are no tenants."""
        tenants = self.settings.tenants
        owner = ("tenant", query.tenant) if tenants else ("class", query.class_index)
        share = self.release.share(query.tenant) if tenants else 1.0 / max(1, len(self.settings.classes))
        bucket = self.buckets.setdefault(owner, TokenBucket())
        bucket.fill(self.now, share * sum(e.cores * e.share for e in self.router.engines.values()))
        return bucket

    def pump(self) -> None:
        """Release held queries while engines have room: in time before late, out of debt before owing."""
        blocked: set[LineId] = set()
        while True:
            heads: list[tuple[bool, bool, float, float, LineId, Query]] = []
            for line_id, line in list(self.release.held.items()):
                query = None if line_id in blocked else self.head(line, line_id[0])
                if query is not None:
                    owing = not query.charged and self.bucket(query).owes()
                    use = self.release.score(query.tenant, self.now)
                    heads.append((line_id[0], owing, use, line[0][0], line_id, query))
            if not heads:
                return
            late, owing, _, _, line_id, query = min(heads, key=lambda one: one[:5])
            if query.attempts and not self.may_try_again(query):
                heappop(self.release.held[line_id])
                self.give_up(query)
                continue
            rationed = query.attempts > 0 and not self.retries.allows(self.now)
            engine = None if rationed else self.router.choose(query, self.now, owing or late)
            if engine is None:
                blocked.add(line_id)
                continue
            heappop(self.release.held[line_id])
            self.send(query, engine)

    def head(self, line: list[tuple[float, int, Query]], late: bool) -> Query | None:
        while line:
            query = line[0][2]
            if not query.done and query.engine is None and (late or self.now + self.calibration.expected(query) <= query.aim):
                return query
            heappop(line)
            if not query.done and query.engine is None:
                self.release.hold(query, True)
        return None

    def send(self, query: Query, engine: EngineView) -> None:
        """Every attempt leaves through here."""
        if query.attempts:
            self.retries.spend(self.now)
        if not query.charged:
            query.charged = True
            self.bucket(query).level -= query.price
            self.release.charge(query, self.now)
        query.engine, query.sent, query.cancelled = engine, self.now, False
        query.expected = self.calibration.expected(query)
        query.attempts += 1
        query.tried.add(engine.entry.engine)
        if not engine.out:
            engine.sign = max(engine.sign, self.now)
        engine.out[query.id] = query
        engine.threads += query.kind.threads
        if engine.is_cold(self.now):
            engine.cold_sent.append((self.now, query.expected * query.kind.threads))
        if self.settings.priorities_heeded:
            self.actions.append(api.SetTerms(query.id, 0.0, self.priority(query)))
        self.actions.append(api.Send(query.id, engine.entry.engine, query.deadline))

    def priority(self, query: Query) -> int:
        """By worth for the price against the usual: what earns more for less goes before."""
        mean = self.calibration.mean_price.mean
        if query.price <= 0 or mean <= 0:
            return 1
        usual = sum(one.worth for one in self.settings.classes) / max(1, len(self.settings.classes)) / mean
        ratio = query.kind.worth / query.price / usual
        return 3 if ratio > 2 else 2 if ratio > 0.5 else 1 if ratio > 0.125 else 0

    # Time

    def start_tick(self) -> None:
        self.ticked = self.now
        self.actions.append(api.SetTimer(1, TICK_S))

    def tick(self) -> None:
        passed = self.now - (self.ticked or self.now)
        self.start_tick()
        self.calibration.drift(passed)
        for engine in self.router.engines.values():
            engine.follow_pressure(self.now)
            engine.watch_silence(self.now, self.settings.note_period)
            if engine.silent:
                for query in list(engine.out.values()):
                    self.begin_anew(query)
        for key in [key for key, until in self.order.rests.items() if self.now >= until]:
            del self.order.rests[key]
            line = self.order.lines.get(key)
            if line and line[0].attempts == 0:
                self.release.hold(line[0], False)
        while self.waits and self.waits[0][0] <= self.now:
            _, _, query = heappop(self.waits)
            if not query.done and query.engine is None:
                self.give_up(query)
