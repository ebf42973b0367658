"""All decisions of micahold; the types that go in and out are in ``micahold/interface.py``.

One ``Controller`` is one gateway, which sees its own traffic alone. ``docs/design.md`` tells where each
part comes from.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from hashlib import blake2b
from heapq import heappop, heappush
from itertools import count
from random import Random

from micahold import interface as api
from micahold.records import Query

LEARN_RUNS = 50  # runs over which a mean of ln(seconds / cost) is taken
FACTOR_LIMIT = 100.0  # a factor stays between 1 / this and this
BURST_S = 2.0  # a bucket holds at most this many seconds of its rate
USE_HALF_LIFE_S = 10.0  # use fades by half in this time
HINT_JITTER = 0.5  # a retry hint grows by up to this share of itself
BOUND_THREADS = 1.5  # threads a core at which an engine with one gateway alone is full
HOMES = 3  # engines of a table group's hash order that are tried first
PRESSURE = 1.6  # latency above best, as a multiple, from which bounds bind
BUSY = 0.95  # busy share in a fresh report from which bounds bind
BUSY_FRESH_S = 1.0  # a busy report or a full engine is believed for this long
SHARE_STEP = 0.1  # step by which this gateway's share of an engine follows pressure
BEST_DRIFT = 0.01  # the best latency known rises by this share a second, to forget a lucky spell
SHUN_ABOVE = 0.25  # failing share above which an engine is quarantined
HOPELESS = 0.9  # failing share from which an engine has nothing to give even when all else is full
FAIL_WEIGHT, CUT_WEIGHT = 0.2, 0.9  # weight of one error, of one broken or refused connection
PATIENCE = 4.0  # silence is held against an engine after this many times the expected time
TRIAL_GAP_S, TRIAL_GAP_MOST_S = 0.25, 4.0  # pause between trial queries to a quarantined engine
COLD_SAFETY = 0.5  # part of the cold-start allowance that is spent; the rest covers estimates
GRANT = 1.4  # memory granted, times the estimate: a spill costs the work again, a wait costs less
TICK_S = 0.05  # pace of the controller's own checks
RUNAWAY = 3.0  # an attempt projected to last this many times the expected is begun anew, where allowed


LineId = tuple[bool, int, int, bool]  # late, tenant, class, tried before


def middle(values: Sequence[float]) -> float:
    return sorted(values)[len(values) // 2] if values else 0.0


@dataclass(slots=True)
class WeightedMean:
    """Mean over about the last ``LEARN_RUNS`` runs; the sum and its weight fade alike."""

    total: float = 0.0
    weight: float = 0.0

    def learn(self, value: float, weight: float = 1.0) -> None:
        keep = 1.0 - 1.0 / LEARN_RUNS
        self.total = self.total * keep + value * weight
        self.weight = self.weight * keep + weight

    @property
    def mean(self) -> float:
        return self.total / self.weight if self.weight > 0 else 0.0


class Calibration:
    """Prices: the told cost, or the class's learned mean, times the factor of class and table group."""

    def __init__(self, classes: Sequence[api.QueryClass]) -> None:
        self.classes = classes
        self.groups: dict[tuple[int, int], WeightedMean] = {}
        self.all = WeightedMean()
        self.class_cost = [WeightedMean() for _ in classes]
        self.class_unit = [WeightedMean() for _ in classes]
        self.spread = [WeightedMean() for _ in classes]  # how far runs lie from that mean, either way
        self.best = [math.inf] * len(classes)  # lowest mean of ln(seconds / cost) so far
        self.usual = [kind.aim / 2 for kind in classes]
        self.mean_price = WeightedMean()
        self.mean_worth = WeightedMean()

    def cost(self, class_index: int, told: float | None) -> float:
        return told or self.class_cost[class_index].mean or self.classes[class_index].aim

    def price(self, query: Query) -> float:
        group = self.groups.get((query.asked.query_class, query.asked.tables))
        factor = math.exp(group.mean - self.all.mean) if group is not None else 1.0
        return query.cost * min(FACTOR_LIMIT, max(1 / FACTOR_LIMIT, factor))

    def expected(self, query: Query) -> float:
        """Time the query takes on an engine at its best."""
        best = self.best[query.asked.query_class]
        return query.cost * (math.exp(best) if best < math.inf else 1.0) / query.kind.threads

    def learn(self, query: Query, elapsed: float, engine_pace: float) -> None:
        """One run that ended well; the engine's own pace is taken out, so a slow one inflates no price."""
        index, seconds = query.asked.query_class, elapsed * query.kind.threads
        if query.asked.cost is None:
            self.class_cost[index].learn(seconds / max(1.0, engine_pace))
        unit = math.log(max(seconds, 1e-6) / max(query.cost, 1e-6))
        self.class_unit[index].learn(unit)
        self.spread[index].learn(abs(unit - self.class_unit[index].mean))
        self.usual[index] += (elapsed - self.usual[index]) / LEARN_RUNS
        if self.class_unit[index].weight >= LEARN_RUNS / 3:
            self.best[index] = min(self.class_unit[index].mean, self.best[index])
        paced = unit - math.log(engine_pace)
        self.groups.setdefault((index, query.asked.tables), WeightedMean()).learn(paced)
        self.all.learn(paced, query.cost)


class Account:
    """A tenant's token bucket, which may go into debt, and its use of late, which fades by half-life."""

    def __init__(self, share: float) -> None:
        self.share = max(share, 1e-9)
        self.rate = self.level = self.use = 0.0
        self.at: float | None = None

    def advance(self, now: float, rate: float) -> None:
        if self.at is None:
            self.level, self.at = rate * BURST_S, now
        passed, self.at, self.rate = now - self.at, now, rate
        self.level = min(rate * BURST_S, self.level + rate * passed)
        self.use *= 0.5 ** (passed / USE_HALF_LIFE_S)

    def charge(self, price: float) -> None:
        self.level -= price
        self.use += price

    def debt_time(self) -> float:
        return max(0.0, -self.level) / max(self.rate, 1e-9)


class RetryBudget:
    """Further attempts within the rationed window; no ration where the window is 0."""

    def __init__(self, rules: api.Rules) -> None:
        self.rules = rules
        self.taken: deque[float] = deque()
        self.extra: deque[float] = deque()

    def allows(self, now: float) -> bool:
        self.forget(now)
        most = self.rules.retry_free + self.rules.retry_share * len(self.taken)
        return self.rules.retry_window <= 0 or len(self.extra) + 1 <= most

    def forget(self, now: float) -> None:
        """Taken queries leave the window a bit early, attempts a bit late: an edge breaks no rule."""
        since = now - self.rules.retry_window
        while self.taken and self.taken[0] <= since + TICK_S:
            self.taken.popleft()
        while self.extra and self.extra[0] < since - TICK_S:
            self.extra.popleft()


class EngineView:
    """What this gateway knows of one engine."""

    def __init__(self, entry: api.EngineEntry, settings: api.Settings, now: float) -> None:
        self.settings, self.entry = settings, entry
        self.out: dict[int, Query] = {}
        self.threads = 0
        self.share = 1.0 / settings.gateways
        self.slow = 0.0  # ln of latency over best, by the runs that ended
        self.aged = 0.0  # the same by those still out, which only grows: a crowd that ends nothing shows here
        self.failing = 0.0
        self.silent = False
        self.sign = now
        self.busy_until = 0.0
        self.trial_at, self.trial_gap = 0.0, TRIAL_GAP_S
        self.cold_sent: list[tuple[float, float]] = []
        self.cores = next((kind.cores for kind in settings.kinds[entry.kind :]), 0.0) or 1.0

    def is_cold(self, now: float) -> bool:
        return self.entry.started > 0 and now < self.entry.started + self.settings.rules.cold_time

    def cold_room(self, now: float, work: float) -> bool:
        """Rule 4, kept alone: this gateway's part of what a cold engine takes in any window."""
        rules = self.settings.rules
        spent = sum(sent for at, sent in self.cold_sent if at >= now - rules.cold_window - TICK_S)
        total = rules.cold_multiple * rules.cold_from * self.cores * rules.cold_window
        return not self.is_cold(now) or spent + work <= total * COLD_SAFETY / self.settings.gateways

    def bound(self) -> float:
        return max(1.0, BOUND_THREADS * self.cores * self.share)

    def pressed(self, now: float) -> bool:
        return max(self.slow, self.aged) > math.log(PRESSURE) or now < self.busy_until

    def has_room(self, now: float, always: bool) -> bool:
        return self.threads < self.bound() or not (always or self.pressed(now))

    def holds(self, tables: int) -> bool:
        """A load of ours has that group there: other loads and readers that wait would stand still."""
        return any(query.kind.is_load and query.asked.tables == tables for query in self.out.values())

    def quarantined(self) -> bool:
        return self.silent or self.failing > SHUN_ABOVE

    def failed(self, weight: float) -> None:
        self.failing += (1 - self.failing) * weight

    def answered(self) -> None:
        self.failing *= 1 - FAIL_WEIGHT
        self.trial_gap = TRIAL_GAP_S

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
        waited = sum(now - query.sent for query in self.out.values())
        best = sum(query.expected for query in self.out.values())
        # What is out is out because it is long: the same crowd shows about twice as strong as in ended runs.
        self.aged = math.log(max(waited / best / 2, 1.0)) if best > 0 else 0.0
        for query in self.out.values():
            due = PATIENCE * query.expected * math.exp(max(0.0, self.slow)) + TRIAL_GAP_S
            due = 2 * note_period if note_period > 0 else due
            self.silent = self.silent or now - max(query.sent, self.sign) > due


class Router:
    """Which engine a query goes to: hash order by table group, alike at all gateways."""

    def __init__(self, settings: api.Settings, calibration: Calibration) -> None:
        self.settings, self.calibration = settings, calibration
        self.engines: dict[str, EngineView] = {}
        self.orders: dict[int, list[EngineView]] = {}

    def order(self, tables: int) -> list[EngineView]:
        known = self.orders.get(tables)
        if known is None:
            ranked = sorted(
                (blake2b(f"{tables}:{name}".encode(), digest_size=8).digest(), name)
                for name, view in self.engines.items()
                if view.entry.state is not api.EngineState.GONE
            )
            known = self.orders[tables] = [self.engines[name] for _, name in ranked]
        return known

    def update(self, now: float, news: api.ListUpdate) -> None:
        """A view is kept for good, and with it what a cold engine was sent; a restart clears its record."""
        if news.kind in (api.ListKind.FULL, api.ListKind.RESTORED):
            for view in self.engines.values():
                view.entry = replace(view.entry, state=api.EngineState.GONE)
        for entry in news.entries:
            view = self.engines.setdefault(entry.engine, EngineView(entry, self.settings, now))
            if entry.started > view.entry.started:
                view.failing, view.slow = 0.0, 0.0
                view.cold_sent = [
                    one for one in view.cold_sent if one[0] > now - self.settings.rules.cold_window
                ]
            view.entry = entry
        self.orders.clear()

    def allowed(self, query: Query, engine: EngineView) -> bool:
        """Rules 2, 3 and 6: placement, drains, and the group that drops a keyed query's repeats."""
        kind, entry = query.kind, engine.entry
        for _, ran in query.may_have_run if kind.effect is api.Effect.KEYED else ():
            strays = {
                api.DedupScope.ZONE: entry.zone != ran.zone,
                api.DedupScope.CELL: entry.cell != ran.cell,
            }
            if strays.get(kind.dedup_scope, False):
                return False
        kind_fits = kind.allowed_kinds is None or entry.kind in kind.allowed_kinds
        zone_fits = kind.allowed_zones is None or entry.zone in kind.allowed_zones
        return entry.state is api.EngineState.UP and kind_fits and zone_fits

    def weight(self, engine: EngineView, now: float, usual: float) -> float:
        """Cores at the pace seen; only an engine well off the fleet's middle, or a cold one, counts less."""
        behind = engine.slow - usual
        cores = engine.cores * (math.exp(-behind) if behind > math.log(PRESSURE) / 2 else 1.0)
        return cores * max(0.1, self.settings.rules.cold_from) if engine.is_cold(now) else cores

    def choose(self, query: Query, now: float, needs_room: bool, may_fail: bool) -> EngineView | None:
        work = max(query.cost, self.calibration.expected(query) * query.kind.threads)
        allowed = [engine for engine in self.order(query.asked.tables) if self.allowed(query, engine)]
        if query.kind.is_load and any(kind.waits_for_loads for kind in self.settings.classes):
            # Readers stand still where a load holds their group: loads start from the order's far end.
            allowed.reverse()
        able = [engine for engine in allowed if engine.cold_room(now, work)]
        sound = [engine for engine in able if not engine.quarantined()]
        if (trial := self.trial(query, able, now)) is not None:
            return trial
        # Never shun so many that nothing is left: with every engine under suspicion all are used again.
        usable = sound or able
        if query.tried and any(engine.entry.engine not in query.tried for engine in usable):
            usable = [engine for engine in usable if engine.entry.engine not in query.tried]
        if query.kind.is_load or query.kind.waits_for_loads:
            usable = [engine for engine in usable if not engine.holds(query.asked.tables)] or usable
        usual = middle([engine.slow for engine in usable])
        weights = [self.weight(engine, now, usual) for engine in usable]
        mean = sum(engine.threads for engine in usable) / max(sum(weights), 1e-9)
        loads = [engine.threads / weight for engine, weight in zip(usable, weights, strict=True)]
        free = [index for index, engine in enumerate(usable) if engine.has_room(now, needs_room)]
        best = min((index for index in free if index < HOMES), key=loads.__getitem__, default=None)
        # "Busier than the mean" by more than one query: below that a quiet gateway would lose its homes.
        if best is None or loads[best] - query.kind.threads / weights[best] > mean:
            least = min(free, key=loads.__getitem__, default=None) if best is None else best
            best = next((index for index in free if loads[index] < mean), least)
        if best is None and may_fail:
            # What a failing engine still answers beats a wait; its errors come back fast.
            part = (one for one in able if one.failing < HOPELESS and one.has_room(now, True))
            return min((one for one in part if not one.silent), key=lambda one: one.failing, default=None)
        return None if best is None else usable[best]

    def trial(self, query: Query, able: Iterable[EngineView], now: float) -> EngineView | None:
        """The way back: now and then a cheap query that is safe to repeat goes to a quarantined engine."""
        cheap = query.price <= self.calibration.mean_price.mean
        fit = cheap and query.kind.effect is api.Effect.SAFE and not query.attempts
        for engine in able:
            if fit and engine.quarantined() and now >= engine.trial_at:
                engine.trial_at = now + engine.trial_gap
                engine.trial_gap = min(TRIAL_GAP_MOST_S, engine.trial_gap * 2)
                return engine
        return None


class KeyOrder:
    """Rule 5: of the queries with one key only the first taken may be out; a doubtful end rests the key."""

    def __init__(self) -> None:
        self.lines: dict[int | None, deque[Query]] = {}
        self.rests: dict[int | None, float] = {}

    def may_run(self, query: Query, now: float) -> bool:
        line = self.lines.get(query.key)
        rested = query.attempts > 0 or now >= self.rests.get(query.key, now)
        return line is None or (line[0] is query and rested)

    def leave(self, query: Query) -> Query | None:
        """For a query that is over and has no attempt out; answers with the one that is first now."""
        line = self.lines.get(query.key, deque())
        if query in line:
            line.remove(query)
        if not line:
            self.lines.pop(query.key, None)
        return line[0] if line else None


class FairRelease:
    """Held queries in lines, in each the most worth for its price first."""

    def __init__(self) -> None:
        self.lines: dict[LineId, list[tuple[float, int, Query]]] = {}
        self.serial = count()

    def hold(self, query: Query, late: bool) -> None:
        worth = query.kind.worth * (query.kind.late_share if late else 1.0)
        line_id = (late, query.asked.tenant, query.asked.query_class, query.attempts > 0)
        entry = (-worth / max(query.price, 1e-9), next(self.serial), query)
        heappush(self.lines.setdefault(line_id, []), entry)

    def head(self, line_id: LineId, now: float) -> Query | None:
        """The first of a line that still waits; one that can no longer be in time moves to the late line."""
        line = self.lines[line_id]
        while line:
            query = line[0][2]
            if query.waiting() and (line_id[0] or now + query.expected <= query.aim):
                return query
            heappop(line)
            if query.waiting():
                self.hold(query, True)
        return None


class Controller:
    """One gateway's decisions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, Random(seed)
        self.calibration = Calibration(settings.classes)
        self.router = Router(settings, self.calibration)
        self.release = FairRelease()
        self.order = KeyOrder()
        self.retries = RetryBudget(settings.rules)
        self.queries: dict[int, Query] = {}
        self.accounts: dict[int, Account] = {}
        self.waits: list[tuple[float, int, Query]] = []
        self.blocked: set[LineId] = set()  # lines no engine had room for since the last change
        self.cores = 0.0  # this gateway's share of all cores
        self.actions: list[api.Action] = []
        self.now, self.ticked = 0.0, -1.0

    def handle(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Take the events of one moment, in turn, and answer with the actions of that moment."""
        self.now, self.actions = now, []
        if self.ticked < 0:
            self.tick()
            self.watch_list()
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
                    self.refresh()
                    if event.kind is api.ListKind.UNAVAILABLE:
                        self.watch_list()
                case api.QueryDropped() if event.query in self.queries:
                    self.dropped(self.queries[event.query])
        self.pump()
        self.end_waits()
        return self.actions

    def refresh(self) -> None:
        """What is kept between batches to spare work: a surge of arrivals must not cost a round each."""
        self.blocked.clear()
        self.cores = sum(engine.cores * engine.share for engine in self.router.order(0))

    def watch_list(self) -> None:
        if not self.settings.list_is_pushed:
            self.actions.append(api.WatchList())

    def arrived(self, event: api.QueryArrived) -> None:
        kind = self.settings.classes[event.query_class]
        self.retries.taken.append(self.now)
        cost = self.calibration.cost(event.query_class, event.cost)
        query = Query(event, kind, event.key if kind.in_order else None, cost)
        query.price = self.calibration.price(query)
        self.calibration.mean_price.learn(query.price)
        self.calibration.mean_worth.learn(kind.worth)
        query.expected = self.calibration.expected(query)
        query.aim = self.now + kind.aim + kind.aim_stretch * query.expected
        self.queries[query.asked.query] = query
        if query.key is not None:
            self.order.lines.setdefault(query.key, deque()).append(query)
        if self.now >= query.asked.deadline:
            self.give_up(query)
        else:
            self.hold(query)

    def hold(self, query: Query) -> None:
        """Hold a query until its deadline less its class's usual time; each time anew, or it is lost."""
        doubt = math.exp(-2 * self.calibration.spread[query.asked.query_class].mean)
        if self.now + query.expected * doubt > query.asked.deadline:
            self.give_up(query)  # out of reach though the estimate may be high: it would stand in the way
            return
        usual = max(self.calibration.usual[query.asked.query_class], 2 * TICK_S)
        heappush(self.waits, (max(self.now, query.asked.deadline - usual), next(self.release.serial), query))
        if self.order.may_run(query, self.now):
            self.release.hold(query, self.now > query.aim)

    def ended(self, event: api.AttemptEnded) -> None:
        query = self.queries.get(event.query)
        if query is None or query.engine is None or query.attempts != event.attempt + 1:
            return
        self.blocked.clear()
        engine, query.engine = self.router.engines[query.engine], None
        engine.out.pop(query.asked.query, None)
        engine.threads -= query.kind.threads
        self.judge(query, engine, event)
        doubtful = event.outcome in (api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED)
        if doubtful and query.key is not None:
            self.order.rests[query.key] = self.now + self.settings.rules.order_settle
        if doubtful or event.outcome is api.Outcome.ERROR:
            query.may_have_run.append((query.sent, engine.entry))
        if event.settled or event.outcome is api.Outcome.OK or query.done:
            self.over(query)
        elif self.may_try_again(query):
            self.hold(query)
        else:
            self.give_up(query)

    def judge(self, query: Query, engine: EngineView, event: api.AttemptEnded) -> None:
        outcome = event.outcome
        report = event.report or api.LoadReport()
        reported_busy = max(report.busy or 0.0, report.memory_granted or 0.0) > BUSY
        if reported_busy or outcome is api.Outcome.FULL:
            engine.busy_until = self.now + BUSY_FRESH_S
        if outcome in (api.Outcome.OK, api.Outcome.ERROR, api.Outcome.FULL):
            engine.sign = self.now
        if outcome is api.Outcome.OK:
            engine.answered()
            if self.calibration.best[query.asked.query_class] < math.inf:
                # Weighted by price: cheap queries run past the crowd and show little of it.
                weight = min(0.3, 0.1 * query.price / max(self.calibration.mean_price.mean, 1e-9))
                seen = math.log(max(event.elapsed, 1e-6) / max(query.expected, 1e-6))
                engine.slow += (seen - engine.slow) * weight
            usual = middle([one.slow for one in self.router.order(query.asked.tables)])
            self.calibration.learn(query, event.elapsed, math.exp(engine.slow - usual))
        elif outcome is api.Outcome.ERROR:
            engine.failed(FAIL_WEIGHT)
        elif outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.RESET):
            engine.failed(CUT_WEIGHT)

    def noted(self, event: api.AttemptNote) -> None:
        query = self.queries.get(event.query)
        if query is None or query.engine is None or query.attempts != event.attempt + 1:
            return
        engine = self.router.engines[query.engine]
        engine.sign = self.now
        elapsed = self.now - query.sent
        to_go = elapsed / max(event.value, 1e-3) - elapsed
        out_of_reach = to_go > RUNAWAY * query.expected * math.exp(max(0.0, engine.slow))
        if event.kind is api.NoteKind.PROGRESS and out_of_reach and not query.done:
            self.begin_anew(query)

    def begin_anew(self, query: Query) -> None:
        """Call an attempt off whose end is out of reach; its outcome then leads to another attempt."""
        able = self.settings.limits.cancel and not query.cancelled and self.retries.allows(self.now)
        if able and self.may_try_again(query, ran=True):
            query.cancelled = True
            self.actions.append(api.Cancel(query.asked.query, query.attempts - 1))

    def dropped(self, query: Query) -> None:
        if query.engine is None:
            self.over(query)
        query.done = True

    def over(self, query: Query) -> None:
        """Nothing is owed and nothing is out: forget the query, and let the next of its key go."""
        query.done = True
        self.queries.pop(query.asked.query, None)
        following = self.order.leave(query)
        if following is not None and following.waiting():
            self.hold(following)

    def may_try_again(self, query: Query, ran: bool = False) -> bool:
        """Rule 2, and whether there is time left for another attempt; ``ran`` if the one out may have run."""
        kind = query.kind
        if kind.effect is not api.Effect.SAFE and (ran or query.may_have_run):
            first = query.may_have_run[0][0] if query.may_have_run else query.sent
            dropped_until = first + kind.dedup_window - 2 * TICK_S
            if kind.effect is api.Effect.UNSAFE or self.now >= dropped_until:
                return False
        left = query.attempts < self.settings.limits.max_attempts
        return left and self.now + query.expected < query.asked.deadline

    def give_up(self, query: Query) -> None:
        """The final answer, at once: refused where the client may safely try again, else failed."""
        kind = query.kind
        dropped_by_all = kind.effect is api.Effect.KEYED and kind.dedup_scope is api.DedupScope.ALL
        harmless = kind.effect is api.Effect.SAFE or dropped_by_all or not query.may_have_run
        answer = api.Refuse(query.asked.query, self.hint(query)) if harmless else api.Fail(query.asked.query)
        self.actions.append(answer)
        self.over(query)

    def hint(self, query: Query) -> float:
        """When the tenant's debt will be paid, plus jitter so that the refused do not come back as one."""
        wait = max(self.account(query).debt_time(), self.calibration.usual[query.asked.query_class])
        wait *= 1 + HINT_JITTER * self.random.random()
        return min(self.settings.limits.max_retry_after, wait) if self.settings.limits.retry_hints else 0.0

    def account(self, query: Query) -> Account:
        """The tenant's account, or the class's where there are no tenants, at its share of our cores."""
        tenants = self.settings.tenants
        owner = query.asked.tenant if tenants else query.asked.query_class
        if owner not in self.accounts:
            even = 1.0 / max(1, len(self.settings.classes))
            self.accounts[owner] = Account(tenants[owner].share if owner < len(tenants) else even)
        account = self.accounts[owner]
        account.advance(self.now, account.share * self.cores)
        return account

    def pump(self) -> None:
        """Release held queries while engines have room: in time before late, out of debt before owing."""
        while True:
            heads: list[tuple[bool, bool, float, float, LineId, Query]] = []
            for line_id in list(self.release.lines):
                query = None if line_id in self.blocked else self.release.head(line_id, self.now)
                if query is not None:
                    account = self.account(query)
                    owing = account.level < 0 and not query.charged
                    merit = self.release.lines[line_id][0][0]
                    heads.append((line_id[0], owing, account.use / account.share, merit, line_id, query))
            if not heads:
                return
            late, owing, _, _, line_id, query = min(heads, key=lambda one: one[:5])
            hopeless = query.attempts > 0 and not self.may_try_again(query)
            allows = self.retries.allows(self.now)
            stopped = hopeless or (query.attempts > 0 and not allows)
            may_fail = allows and query.kind.effect is api.Effect.SAFE
            engine = None if stopped else self.router.choose(query, self.now, owing or late, may_fail)
            if hopeless:
                self.give_up(query)
            elif engine is None:
                self.blocked.add(line_id)
            else:
                heappop(self.release.lines[line_id])
                self.send(query, engine)

    def send(self, query: Query, engine: EngineView) -> None:
        """Every attempt leaves through here."""
        if query.attempts:
            self.retries.extra.append(self.now)
        if not query.charged:
            query.charged = True
            self.account(query).charge(query.price)
        query.engine, query.sent, query.cancelled = engine.entry.engine, self.now, False
        query.expected = self.calibration.expected(query)
        query.attempts += 1
        query.tried.add(engine.entry.engine)
        if not engine.out:
            engine.sign = max(engine.sign, self.now)
        engine.out[query.asked.query] = query
        engine.threads += query.kind.threads
        if engine.is_cold(self.now):
            engine.cold_sent.append((self.now, max(query.cost, query.expected * query.kind.threads)))
        if self.settings.priorities_heeded or self.settings.grants_heeded:
            grant = GRANT * (query.asked.memory_mb or 0.0)
            self.actions.append(api.SetTerms(query.asked.query, grant, self.priority(query)))
        self.actions.append(api.Send(query.asked.query, engine.entry.engine, query.asked.deadline))

    def priority(self, query: Query) -> int:
        """By worth for the price against the usual: what earns more for less goes before."""
        usual = self.calibration.mean_worth.mean / max(self.calibration.mean_price.mean, 1e-9)
        ratio = query.kind.worth / max(query.price, 1e-9) / max(usual, 1e-9)
        return 3 if ratio > 2 else 2 if ratio > 0.5 else 1 if ratio > 0.125 else 0

    def tick(self) -> None:
        drift = BEST_DRIFT * (self.now - self.ticked)
        self.calibration.best = [best + drift for best in self.calibration.best]
        self.ticked = self.now
        self.retries.forget(self.now)
        self.refresh()
        self.actions.append(api.SetTimer(1, TICK_S))
        for engine in self.router.engines.values():
            engine.follow_pressure(self.now)
            engine.watch_silence(self.now, self.settings.note_period)
            for query in list(engine.out.values()) if engine.silent else ():
                self.begin_anew(query)
        for key in [key for key, until in self.order.rests.items() if self.now >= until]:
            del self.order.rests[key]
            if key in self.order.lines and self.order.lines[key][0].waiting():
                self.hold(self.order.lines[key][0])

    def end_waits(self) -> None:
        """After each release: a query may arrive with less time left than one tick."""
        while self.waits and self.waits[0][0] <= self.now:
            query = heappop(self.waits)[2]
            if query.waiting():
                self.give_up(query)
