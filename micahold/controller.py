"""All decisions of micahold; types in ``micahold/interface.py``, and docs/design.md tells of each part."""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from hashlib import blake2b
from heapq import heappop, heappush
from itertools import count, islice
from random import Random

from micahold import interface as api
from micahold.records import Query

LEARN_RUNS, FACTOR_LIMIT = 50, 100.0  # runs in a mean of ln(seconds / cost); factors stay within 1 / this
BURST_S, USE_HALF_LIFE_S = 2.0, 10.0  # a bucket holds this many seconds of its rate; a use fades by half
HINT_JITTER = 0.5  # a retry hint grows by up to this share of itself
BOUND_THREADS = 1.5  # threads a core at which an engine with one gateway alone is full
HOMES = 3  # engines of a table group's hash order that are tried first
PRESSURE = 1.6  # latency above best, as a multiple, from which bounds bind
BUSY, BUSY_FRESH_S = 0.95, 4.0  # busy share that is pressure, for so long or until a better report
SHARE_STEP, SHARE_LEAST = 0.1, 0.5  # how our share of an engine follows pressure; the least of the even part
SHUN_ABOVE, FAIL_WEIGHT, CUT_WEIGHT = 0.25, 0.2, 0.9  # failing that quarantines; by an error, a cut
SHUN_DOUBTED, WELL_S = 0.1, 1.0  # quarantines where others doubt it, without a good answer for so long
STRAINED, STRAIN_BOUND = 0.5, 0.5  # part without an answer that is strain; part of the bound kept then
PAUSE_S, PAUSE_MOST_S = 0.25, 2.0  # half the first, and the longest pause from a full engine
PATIENCE, TRUST_S = (4.0, 0.25)  # silence counts after this many times the expected time, and this beyond it
REPORT_HALF_LIFE_S, VIEW_HALF_LIFE_S = 2.0, 5.0  # for a report; for pace and failures of an engine
COLD_SAFETY, COLD_ONE = 1 / 3, 1 / 16  # parts of a cold engine's allowance: spent in all, by one lot
GRANT = 1.4  # memory granted, times the estimate: a spill costs the work again, a wait costs less
TICK_S, WATCH_S = 0.05, 0.1  # pace of the checks while queries wait, while attempts are out
PLACES = 0.75  # part of the queries a gateway can have open that is there for classes which earn nothing
RUNAWAY = 3.0  # an attempt projected to last this many times the expected is begun anew, where allowed
MOST_RUNS = 4  # attempts that may have run and brought nothing: then it is the query, not the engines


LineId = tuple[bool, int, int, bool]  # late, tenant, class, tried before


@dataclass(slots=True)
class WeightedMean:
    """Mean over about the last ``LEARN_RUNS`` runs; the sum and its weight fade alike."""

    total: float = 0.0
    weight: float = 0.0

    def learn(self, value: float, weight: float = 1.0) -> None:
        self.total += value * weight - self.total / LEARN_RUNS
        self.weight += weight - self.weight / LEARN_RUNS

    @property
    def mean(self) -> float:
        return self.total / self.weight if self.weight > 0 else 0.0


class Calibration:
    """Prices: the told cost, or the class's learned mean, times the factor of class and table group."""

    def __init__(self, classes: Sequence[api.QueryClass]) -> None:
        self.groups: dict[tuple[int, int], WeightedMean] = {}
        # By class: learned cost, mean of ln(seconds / cost), and how far runs lie from that mean, either way.
        self.class_cost, self.class_unit, self.spread = ([WeightedMean() for _ in classes] for _ in range(3))
        self.best = [math.inf] * len(classes)  # lowest mean of ln(seconds / cost) so far
        self.usual = [kind.aim / 2 for kind in classes]
        self.all, self.mean_price, self.mean_worth = WeightedMean(), WeightedMean(), WeightedMean()

    def price(self, query: Query) -> float:
        group = self.groups.get((query.asked.query_class, query.asked.tables))
        factor = math.exp(group.mean - self.all.mean) if group is not None else 1.0
        return query.cost * min(FACTOR_LIMIT, max(1 / FACTOR_LIMIT, factor))

    def expected(self, query: Query) -> float:
        """Time the query takes on an engine at its best."""
        best = self.best[query.asked.query_class]
        return query.cost * (math.exp(best) if best < math.inf else 1.0) / query.kind.threads

    def learnt(self, query: Query) -> bool:
        return self.best[query.asked.query_class] < math.inf

    def learn(self, query: Query, elapsed: float, engine_pace: float) -> None:
        """One run that ended well; the engine's own pace is taken out, so a slow one inflates no price."""
        index, seconds = query.asked.query_class, elapsed * query.kind.threads
        if query.asked.cost is None:
            self.class_cost[index].learn(seconds / max(1.0, engine_pace))
        unit = math.log(max(seconds, 1e-6) / max(query.cost, 1e-6))
        self.class_unit[index].learn(unit)
        self.spread[index].learn(abs(unit - self.class_unit[index].mean))
        self.usual[index] += (elapsed - self.usual[index]) / LEARN_RUNS
        if self.class_unit[index].weight >= LEARN_RUNS / 6:
            self.best[index] = min(self.class_unit[index].mean, self.best[index])
        paced = unit - math.log(engine_pace)
        self.groups.setdefault((index, query.asked.tables), WeightedMean()).learn(paced)
        self.all.learn(paced, query.cost)


class Account:
    """A tenant's token bucket, which may go into debt, and its use of late, which fades by half-life."""

    def __init__(self, share: float) -> None:
        self.share, self.rate, self.use, self.level, self.at = max(share, 1e-9), 0.0, 0.0, math.inf, -math.inf

    def advance(self, now: float, rate: float) -> None:
        passed, self.at, self.rate = now - self.at, now, rate
        self.level = min(rate * BURST_S, self.level + rate * passed)
        self.use *= 0.5 ** (passed / USE_HALF_LIFE_S)


class Places:
    """Worth earned with a second of an open query, also of those open still; both fade by half-life."""

    def __init__(self) -> None:
        self.open, self.worth, self.seconds, self.at = 0, 0.0, 0.0, 0.0

    def change(self, now: float, more: int, worth: float = 0.0) -> float:
        fade = 0.5 ** ((now - self.at) / USE_HALF_LIFE_S)
        self.seconds = (self.seconds + self.open * (now - self.at)) * fade
        self.worth, self.open, self.at = self.worth * fade + worth, self.open + more, now
        return self.worth / max(self.seconds, 1e-9)


class RetryBudget:
    """Further attempts within the rationed window; no ration where the window is 0."""

    def __init__(self, rules: api.Rules) -> None:
        self.rules, self.taken, self.extra = rules, deque[float](), deque[float]()

    def allows(self, now: float) -> bool:
        """Taken queries leave the window a bit early, attempts a bit late: an edge breaks no rule."""
        since = now - self.rules.retry_window
        while self.taken and self.taken[0] <= since + TICK_S:
            self.taken.popleft()
        while self.extra and self.extra[0] < since - TICK_S:
            self.extra.popleft()
        most = self.rules.retry_free + self.rules.retry_share * len(self.taken)
        return self.rules.retry_window <= 0 or len(self.extra) + 1 <= most


class EngineView:
    """What this gateway knows of one engine."""

    def __init__(
        self, entry: api.EngineEntry, settings: api.Settings, now: float, random: Random, size: api.GroupSize
    ) -> None:
        self.settings, self.entry, self.size = settings, entry, size
        self.out: dict[int, Query] = {}
        self.cores = next((kind.cores for kind in settings.kinds[entry.kind :]), 0.0) or 1.0
        self.share, self.threads, self.pause = 1.0 / size.living, 0, PAUSE_S
        self.slow = self.aged = 0.0  # ln of latency over best, by ended runs; by those out, which only grows
        self.failing = self.crowd = self.cold_window = self.cold_spent = self.lot = 0.0
        self.silent = self.on_trial = self.mute = False  # by those out; till it answers; by the last end
        self.sign = self.faded = now
        self.paced = self.reported = self.busy_until = self.rest_until = -math.inf
        self.doubted = self.drained = self.well = -math.inf  # heard so until then; its last good answer
        self.random, self.cold_phase = random, random.random() * settings.rules.cold_window

    def is_cold(self, now: float) -> bool:
        return self.entry.started > 0 and now < self.entry.started + self.settings.rules.cold_time

    def cold_room(self, now: float, work: float) -> bool:
        """Rule 4: this gateway's even part; one query that is more goes by lot, as often as adds up to it."""
        rules = self.settings.rules
        if not self.is_cold(now):
            return True
        window = (now + self.cold_phase) // (rules.cold_window + TICK_S)
        if window != self.cold_window:
            self.cold_window, self.cold_spent, self.lot = window, 0.0, self.random.random()
        total = rules.cold_multiple * rules.cold_from * self.cores * rules.cold_window
        part = total * COLD_SAFETY / self.size.bound
        by_lot = work <= max(part, total * COLD_ONE) and work * self.lot <= part
        return self.cold_spent + work <= part if self.cold_spent > 0 else by_lot

    def pressed(self, now: float) -> bool:
        return max(self.slow, self.aged) > math.log(PRESSURE) or now < self.busy_until

    def shun_above(self, now: float) -> float:
        """Hearsay shuns nobody: it takes fewer failures of our own, unless it has just answered well."""
        return SHUN_DOUBTED if now < self.doubted and now > self.well + WELL_S else SHUN_ABOVE

    def has_room(self, now: float, always: bool) -> bool:
        if self.on_trial and self.failing <= self.shun_above(now):
            return not self.out  # just back: one query at a time until it has answered one
        bound = max(1.0, BOUND_THREADS * self.cores * self.share)
        return now >= self.rest_until and (self.threads < bound or not (always or self.pressed(now)))

    def holds(self, tables: int) -> bool:
        """A load of ours has that group there: other loads and readers that wait would stand still."""
        return any(query.kind.is_load and query.asked.tables == tables for query in self.out.values())

    def quarantined(self, now: float) -> bool:
        """The way back is by time alone: failures fade, so each gateway tries again now and then."""
        self.failing, self.faded = self.failing * 0.5 ** ((now - self.faded) / VIEW_HALF_LIFE_S), now
        shunned = self.failing > self.shun_above(now)
        self.on_trial = self.on_trial or shunned
        return self.silent or shunned

    def follow_pressure(self, now: float, step: float) -> float:
        """The share of this engine that is ours: 1 / gateways until latency tells otherwise; cores gained."""
        one, before, even = 1.0 / (BOUND_THREADS * self.cores), self.share, 1.0 / self.size.living
        held, pressed = self.threads * one, self.pressed(now)
        if not pressed and held > self.share * (1 - SHARE_STEP):
            self.share = min(1.0, max(self.share * (1 + step), held))
        elif pressed and held >= max(one, self.share) * (1 - SHARE_STEP):
            self.share = max(min(even, max(one, SHARE_LEAST * even)), self.share * (1 - step))
        return (self.share - before) * self.cores

    def watch_silence(self, now: float, note_period: float) -> None:
        """No sign for longer than some attempt should have taken: held against it until it gives one."""
        waited = sum(now - query.sent for query in self.out.values())
        best = sum(query.expected for query in self.out.values())
        # What is out is out because it is long: the same crowd shows about twice as strong as in ended runs.
        self.aged = math.log(max(waited / best / 2, 1.0)) if best > 0 else 0.0
        # Nobody knows how long a class takes that is not learnt: while the engine has its runs, they go on.
        pace = PATIENCE * math.exp(max(0.0, self.slow))
        dues = [(2 * note_period or pace * one.expected + TRUST_S, one) for one in self.out.values()]
        self.silent = any(
            now - max(one.sent, self.sign) > due and (one.learnt or now > one.alive + PATIENCE * TRUST_S)
            for due, one in dues
        )


Views = list[EngineView]


class Router:
    """Which engine a query goes to: hash order by table group, alike at all gateways."""

    def __init__(self, settings: api.Settings, calibration: Calibration, random: Random) -> None:
        self.settings, self.calibration, self.random = settings, calibration, random
        self.engines, self.listed = dict[str, EngineView](), dict[str, EngineView]()  # all; those not gone
        self.size, self.others, self.heard = api.GroupSize(1, 1), 0.0, frozenset[str]()
        self.resize(api.GroupSize(settings.gateways, settings.gateways))
        self.strain = 0.0  # part of the attempts of late that no answer came to in time
        self.orders, self.active = dict[int, Views](), dict[str, EngineView]()  # active: attempts of ours out
        # Our threads, on all engines; cores of all up; our share of those not gone; others' queries a core.
        self.threads, self.cores, self.own_cores, self.crowd = 0, 0.0, 0.0, 0.0
        self.paces, self.usual = list[float](), 0.0  # slowness of engines seen, in order, and its middle

    def resize(self, size: api.GroupSize) -> None:
        """What a rule allows is divided by ``bound``, all else by ``living``."""
        self.size.bound, self.size.living = max(1, size.bound), max(1, size.living)
        self.others = max(0.0, 1.0 - 4.0 / self.size.living)  # among few, own threads tell more than reports

    def hear(self, said: api.Hearsay) -> None:
        before, self.heard = self.heard, said.failing | said.draining
        for view in [self.engines[one] for one in before | self.heard if one in self.engines]:
            view.doubted = said.until if view.entry.engine in said.failing else -math.inf
            view.drained = said.until if view.entry.engine in said.draining else -math.inf

    def order(self, tables: int) -> list[EngineView]:
        if tables not in self.orders:
            rank = {one: blake2b(f"{tables}:{one}".encode(), digest_size=8).digest() for one in self.listed}
            self.orders[tables] = sorted(self.listed.values(), key=lambda one: rank[one.entry.engine])
        return self.orders[tables]

    def update(self, now: float, news: api.ListUpdate) -> None:
        """Ids are ever new: a view outlasts its engine until what it knows has faded; a restart clears it."""
        if news.kind in (api.ListKind.FULL, api.ListKind.RESTORED):
            for view in self.engines.values():
                view.entry = replace(view.entry, state=api.EngineState.GONE)
        for entry in news.entries:
            fresh = EngineView(entry, self.settings, now, self.random, self.size)
            view = self.engines.setdefault(entry.engine, fresh)
            if entry.started > view.entry.started:
                view.failing, view.slow, view.on_trial, view.paced = (0.0, 0.0, False, -math.inf)
                view.doubted = -math.inf
            view.entry = entry
        before, gone = self.listed, api.EngineState.GONE
        self.listed = {name: view for name, view in self.engines.items() if view.entry.state is not gone}
        self.orders = self.orders if before.keys() == self.listed.keys() else {}
        kept = {n: v for n, v in self.engines.items() if v.out or now < v.faded + 10 * VIEW_HALF_LIFE_S}
        self.engines = self.listed | kept
        self.cores = sum(one.cores for one in self.listed.values() if one.entry.state is api.EngineState.UP)
        self.own_cores = sum(view.cores * view.share for view in self.listed.values())
        self.paces = sorted(view.slow for view in self.engines.values() if view.paced > -math.inf)

    def allowed(self, query: Query, engine: EngineView) -> bool:
        """Rules 2, 3 and 6: placement, drains, and the group that drops a keyed query's repeats."""
        kind, entry, ran = (query.kind, engine.entry, [one for _, one in query.may_have_run])
        kinds, zones, scope = kind.allowed_kinds, kind.allowed_zones, kind.dedup_scope
        placed = (kinds is None or entry.kind in kinds) and (zones is None or entry.zone in zones)
        if ran and kind.effect is api.Effect.KEYED and scope is not api.DedupScope.ALL:
            zoned = scope is api.DedupScope.ZONE
            placed &= all(entry.zone == one.zone if zoned else entry.cell == one.cell for one in ran)
        return placed and entry.state is api.EngineState.UP

    def learn_pace(self, query: Query, engine: EngineView, elapsed: float, now: float) -> None:
        """By price: cheap queries run past the crowd and show little of it. By age: an old view gives way."""
        if self.calibration.best[query.asked.query_class] == math.inf:
            return
        if engine.paced > -math.inf:
            del self.paces[bisect_left(self.paces, engine.slow)]
        ratio = min(3.0, query.price / max(self.calibration.mean_price.mean, 1e-9))
        aged = 1.0 - 0.5 ** ((now - engine.paced) / VIEW_HALF_LIFE_S)
        seen = math.log(max(elapsed, 1e-6) / max(query.expected, 1e-6))
        engine.slow += (seen - engine.slow) * max(0.1 * ratio, min(1.0, ratio) * aged)
        engine.paced = now
        insort(self.paces, engine.slow)
        self.usual = self.paces[len(self.paces) // 2]

    def weight(self, engine: EngineView, now: float) -> float:
        """Cores at the pace seen; only an engine well off the usual, or a cold one, counts less."""
        behind = engine.slow - self.usual
        cores = engine.cores * (math.exp(-behind) if behind > math.log(PRESSURE) / 2 else 1.0)
        return cores * max(0.1, self.settings.rules.cold_from) if engine.is_cold(now) else cores

    def choose(self, query: Query, now: float, needs_room: bool, may_fail: bool) -> EngineView | None:
        """The least loaded home; the order is walked on only while homes are full or busy."""

        def load(engine: EngineView) -> float:
            fresh: float = 0.5 ** ((now - engine.reported) / REPORT_HALF_LIFE_S)
            theirs = (self.crowd + (engine.crowd - self.crowd) * fresh) * engine.cores * self.others
            weight = self.weight(engine, now)
            return (engine.threads + theirs) / weight + one * (engine.cores / weight)

        # A jam feeds itself: with many gateways even one query from each on each engine is too much.
        most = STRAIN_BOUND * BOUND_THREADS * self.cores / self.size.living / max(self.others, 1e-9)
        if self.strain > STRAINED and self.threads >= max(1.0, most):
            return None
        mean = self.threads / max(self.cores, 1e-9) + self.crowd * self.others
        one = query.kind.threads * len(self.listed) / max(self.cores, 1e-9)  # this query, a core
        shunned, passed = Views(), Views()
        walk = self.walk(query, now, shunned, passed)
        homes = list(islice(walk, HOMES))
        # Homes are alike at all gateways: quiet ones, for which all look idle, would pile on the first.
        turn = self.settings.gateway % max(1, len(homes))
        homes = homes[turn:] + homes[:turn]
        # Never shun so many that nothing is left: with every engine under suspicion all are used again.
        free = [one for one in homes or passed or shunned if one.has_room(now, needs_room)]
        best = min(free, key=load, default=None)
        # "Busier than the mean" by more than one query: below that a quiet gateway would lose its homes.
        if best is None or load(best) - 2 * one > mean:
            further = [] if best is None else [best]
            for engine in walk:
                if engine.has_room(now, needs_room):
                    if load(engine) < mean:
                        return engine
                    further += [] if free else [engine]
            best = min(further, key=load, default=None)
        if best is None and may_fail:
            # What a failing engine still answers beats a wait; its errors come back fast.
            part = (one for one in shunned if not one.mute and one.has_room(now, True))
            best = min(part, key=lambda one: one.failing, default=None)
        return best

    def walk(self, query: Query, now: float, shunned: Views, passed: Views) -> Iterator[EngineView]:
        """The usable engines in the group's order; the others that are allowed are set aside on the way."""
        work = max(query.cost, self.calibration.expected(query) * query.kind.threads)
        kept_apart = query.kind.is_load or query.kind.waits_for_loads
        # Readers stand still where a load holds their group: loads start from the order's far end.
        far = query.kind.is_load and any(kind.waits_for_loads for kind in self.settings.classes)
        for engine in self.order(query.asked.tables)[:: -1 if far else 1]:
            if now < engine.drained or not self.allowed(query, engine) or not engine.cold_room(now, work):
                continue
            if engine.quarantined(now):
                shunned.append(engine)
            elif engine.entry.engine in query.tried or (kept_apart and engine.holds(query.asked.tables)):
                passed.append(engine)
            else:
                yield engine


class KeyOrder:
    """Rule 5: of the queries with one key only the first taken may be out; a doubtful end rests the key."""

    def __init__(self) -> None:
        self.lines, self.rests = dict[int | None, deque[Query]](), dict[int | None, float]()

    def may_run(self, query: Query, now: float) -> bool:
        line = self.lines.get(query.key)
        rested = query.attempts > 0 or now >= self.rests.get(query.key, now)
        return line is None or (line[0] is query and rested)

    def leave(self, query: Query) -> Query | None:
        """For a query that is over and has no attempt out; answers with the one that is first now."""
        line = self.lines.get(query.key, deque([query]))
        line.remove(query)
        if not line:
            self.lines.pop(query.key, None)
        return line[0] if line else None


class FairRelease:
    """Held queries in lines, in each the most worth for its price first."""

    def __init__(self) -> None:
        self.lines, self.serial = dict[LineId, list[tuple[float, int, Query]]](), count()

    def hold(self, query: Query, late: bool) -> None:
        worth = query.kind.worth * (query.kind.late_share if late else 1.0)
        line_id = (late, query.asked.tenant, query.asked.query_class, query.attempts > 0)
        line = self.lines.setdefault(line_id, [])
        if len(line) % 64 == 63:  # those given up meanwhile may lie too deep ever to be met
            line[:] = sorted(one for one in line if one[2].waiting())
        heappush(line, (-worth / max(query.price, 1e-9), next(self.serial), query))

    def head(self, line_id: LineId, now: float) -> Query | None:
        """The first of a line that still waits; one that can no longer be in time moves to the late line."""
        while line := self.lines[line_id]:
            query = line[0][2]
            if query.waiting() and (line_id[0] or now + query.expected <= query.aim):
                return query
            heappop(line)
            if query.waiting():
                self.hold(query, True)
        return None


class Controller:
    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, Random(seed)
        self.calibration = Calibration(settings.classes)
        self.router = Router(settings, self.calibration, self.random)
        self.release, self.order, self.retries = FairRelease(), KeyOrder(), RetryBudget(settings.rules)
        self.queries, self.accounts = dict[int, Query](), dict[int, Account]()
        self.waits: list[tuple[float, int, Query]] = []
        self.places, self.all_places = [Places() for _ in settings.classes], Places()
        self.actions, self.blocked = list[api.Action](), set[LineId]()  # blocked: lines that found no room
        self.now, self.ticked, self.timer_at = 0.0, -1.0, math.inf

    def handle(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Take the events of one moment, in turn, and answer with the actions of that moment."""
        self.now, self.actions = now, []
        if unwatched := self.ticked < 0:
            self.tick()
        for event in events:
            match event:
                case api.QueryArrived():
                    self.arrived(event)
                case api.AttemptEnded():
                    self.ended(event)
                case api.AttemptNote():
                    self.noted(event)
                case api.TimerFired():
                    self.timer_at = math.inf if now > self.timer_at - TICK_S / 2 else self.timer_at
                    self.tick()
                case api.ListUpdate():
                    self.router.update(now, event)
                    self.blocked.clear()
                    unwatched = unwatched or event.kind is api.ListKind.UNAVAILABLE
                case api.Hearsay():
                    self.router.hear(event)
                    self.blocked.clear()
                case api.GroupSize():
                    self.router.resize(event)
                case api.Closing():
                    for query in list(self.queries.values()):
                        query.asked.deadline = min(query.asked.deadline, event.by)
                        self.hold(query) if query.waiting() else None
                case api.QueryDropped() if event.query in self.queries:
                    query = self.queries[event.query]
                    query.done = True
                    if query.engine is None:
                        self.over(query)
                    elif self.settings.limits.cancel and not query.cancelled:
                        query.cancelled = True  # nobody waits for this work any more
                        self.actions.append(api.Cancel(event.query, query.attempts - 1))
        if unwatched and not self.settings.list_is_pushed:
            self.actions.append(api.WatchList())
        self.pump()
        self.end_waits()
        soon = self.waits or self.order.rests  # timers by what is due: an idle gateway needs none
        due = now + (TICK_S if soon else WATCH_S if self.router.active else math.inf)
        if due < self.timer_at - TICK_S / 2:
            self.timer_at = due
            self.actions.append(api.SetTimer(1, due - now))
        return self.actions

    def arrived(self, event: api.QueryArrived) -> None:
        kind = self.settings.classes[event.query_class]
        self.retries.taken.append(self.now)
        cost = event.cost or self.calibration.class_cost[event.query_class].mean or kind.aim
        query = Query(event, kind, event.key if kind.in_order else None, cost)
        query.price = self.calibration.price(query)
        self.calibration.mean_price.learn(query.price)
        self.calibration.mean_worth.learn(kind.worth)
        query.expected = self.calibration.expected(query)
        query.aim = self.now + kind.aim + kind.aim_stretch * query.expected
        self.queries[query.asked.query] = query
        if query.key is not None:
            self.order.lines.setdefault(query.key, deque()).append(query)
        # Where places run out, what comes is turned away unseen: who earns little with them leaves some free.
        earned, usual = (one.change(self.now, 1) for one in (self.places[event.query_class], self.all_places))
        most = self.settings.limits.max_open * (PLACES + (1 - PLACES) * min(1.0, earned / max(usual, 1e-9)))
        full = 0 < most < len(self.queries)
        self.give_up(query, api.Reason.PLACES) if full else self.hold(query)

    def hold(self, query: Query) -> None:
        """Hold a query until its deadline less its class's usual time; each time anew, or it is lost."""
        doubt = math.exp(-2 * self.calibration.spread[query.asked.query_class].mean)
        if self.now + query.expected * doubt > query.asked.deadline:
            return self.give_up(
                query, api.Reason.REACH
            )  # out of reach even if told too high: it would stand in the way
        usual = max(self.calibration.usual[query.asked.query_class], 2 * TICK_S)
        heappush(self.waits, (query.asked.deadline - usual, next(self.release.serial), query))
        if self.order.may_run(query, self.now):
            self.release.hold(query, self.now > query.aim)

    def ended(self, event: api.AttemptEnded) -> None:
        query = self.queries.get(event.query)
        if query is None or query.engine is None or query.attempts != event.attempt + 1:
            return
        self.blocked.clear()
        engine, query.engine = self.router.engines[query.engine], None
        del engine.out[query.asked.query]
        engine.threads -= query.kind.threads
        self.router.threads -= query.kind.threads
        if not engine.out:
            del self.router.active[engine.entry.engine]
            engine.silent, engine.aged = False, 0.0
        self.judge(query, engine, event)
        if event.outcome in (api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED):
            self.order.rests[query.key] = self.now + self.settings.rules.order_settle
        if event.outcome not in (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.MOOT):
            query.may_have_run.append((query.sent, engine.entry))
        if event.settled or event.outcome is api.Outcome.OK or query.done:
            on_time = 1.0 if self.now <= query.aim else query.kind.late_share
            self.over(query, query.kind.worth * on_time if event.outcome is api.Outcome.OK else 0.0)
        else:
            self.hold(query) if self.may_try_again(query) else self.give_up(query, api.Reason.TRIES)

    def judge(self, query: Query, engine: EngineView, event: api.AttemptEnded) -> None:
        outcome, report = event.outcome, event.report or api.LoadReport()
        busy = max(report.busy or 0.0, report.memory_granted or 0.0) > BUSY or outcome is api.Outcome.FULL
        if busy or event.report is not None:
            engine.busy_until = self.now + (BUSY_FRESH_S if busy else 0.0)
        if report.in_flight is not None:
            engine.crowd, engine.reported = (report.in_flight - len(engine.out)) / engine.cores, self.now
            self.router.crowd += (engine.crowd - self.router.crowd) / LEARN_RUNS
        if outcome in (api.Outcome.OK, api.Outcome.ERROR, api.Outcome.FULL):
            engine.sign = self.now
        if outcome is api.Outcome.OK:
            engine.failing, engine.on_trial, engine.pause = engine.failing * (1 - FAIL_WEIGHT), False, PAUSE_S
            engine.well = self.now
            self.router.learn_pace(query, engine, event.elapsed, self.now)
            self.calibration.learn(query, event.elapsed, math.exp(engine.slow - self.router.usual))
        unheard = outcome is api.Outcome.TIMEOUT and engine.sign <= query.sent
        if outcome is api.Outcome.OK or query.cancelled or (outcome is api.Outcome.TIMEOUT and not unheard):
            self.router.strain += ((outcome is not api.Outcome.OK) - self.router.strain) * FAIL_WEIGHT / 2
        engine.mute = outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.RESET) or unheard
        error = outcome is api.Outcome.ERROR and not query.may_have_run  # what fails everywhere is the query
        weight = CUT_WEIGHT if engine.mute else FAIL_WEIGHT if error else 0.0
        engine.failing += (1 - engine.failing) * weight
        if outcome is api.Outcome.FULL and self.now >= engine.rest_until:
            # One query from each of many gateways keeps it full: left alone ever longer, until it answers.
            engine.pause = min(PAUSE_MOST_S, 2 * engine.pause)
            engine.rest_until = self.now + engine.pause * (0.5 + self.random.random())

    def noted(self, event: api.AttemptNote) -> None:
        query = self.queries.get(event.query)
        if query is None or query.engine is None or query.attempts != event.attempt + 1:
            return
        engine, elapsed = self.router.engines[query.engine], self.now - query.sent
        if event.kind is api.NoteKind.ALIVE:
            query.alive = self.now
            return
        engine.sign = self.now
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

    def over(self, query: Query, worth: float = 0.0) -> None:
        """Nothing is owed and nothing is out: forget the query, and let the next of its key go."""
        query.done = True
        for places in (self.places[query.asked.query_class], self.all_places):
            places.change(self.now, -1, worth)
        self.queries.pop(query.asked.query, None)
        if (following := self.order.leave(query)) is not None and following.waiting():
            self.hold(following)

    def may_try_again(self, query: Query, ran: bool = False) -> bool:
        """Rule 2, and whether there is time left for another attempt; ``ran`` if the one out may have run."""
        if query.kind.effect is not api.Effect.SAFE and (ran or query.may_have_run):
            first = query.may_have_run[0][0] if query.may_have_run else query.sent
            dropped_until = first + query.kind.dedup_window - 2 * TICK_S
            if query.kind.effect is api.Effect.UNSAFE or self.now >= dropped_until:
                return False
        able = len(query.may_have_run) < MOST_RUNS and query.attempts < self.settings.limits.max_attempts
        return able and self.now + query.expected < query.asked.deadline

    def give_up(self, query: Query, why: api.Reason) -> None:
        """The final answer, at once: refused where the client may safely try again, else failed."""
        kind, limits, account = query.kind, self.settings.limits, self.account(query)
        dropped_by_all = kind.effect is api.Effect.KEYED and kind.dedup_scope is api.DedupScope.ALL
        wait = max(-account.level / max(account.rate, 1e-9), self.calibration.usual[query.asked.query_class])
        wait *= 1 + HINT_JITTER * self.random.random()  # when the debt is paid; the refused come back apart
        hint = min(limits.max_retry_after, wait) if limits.retry_hints else 0.0
        harmless = kind.effect is api.Effect.SAFE or dropped_by_all or not query.may_have_run
        asked = query.asked.query
        self.actions.append(api.Refuse(asked, hint, why) if harmless else api.Fail(asked, why))
        self.over(query)

    def account(self, query: Query) -> Account:
        """The tenant's account, or the class's where there are no tenants, at its share of our cores."""
        tenants = self.settings.tenants
        owner = query.asked.tenant if tenants else query.asked.query_class
        share = tenants[owner].share if owner < len(tenants) else 1.0 / len(self.settings.classes)
        account = self.accounts.setdefault(owner, Account(share))
        account.advance(self.now, account.share * self.router.own_cores)
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
            if query.attempts > 0 and not self.may_try_again(query):
                self.give_up(query, api.Reason.TRIES)
                continue
            allows = self.retries.allows(self.now)
            may_fail = allows and query.kind.effect is api.Effect.SAFE
            stopped = query.attempts > 0 and not allows
            engine = None if stopped else self.router.choose(query, self.now, owing or late, may_fail)
            if engine is None:
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
            account = self.account(query)
            account.level, account.use = account.level - query.price, account.use + query.price
        query.engine, query.sent, query.cancelled = engine.entry.engine, self.now, False
        query.attempts, query.expected = query.attempts + 1, self.calibration.expected(query)
        query.learnt = self.calibration.learnt(query)
        query.tried.add(engine.entry.engine)
        engine.sign = engine.sign if engine.out else self.now
        self.router.active[engine.entry.engine] = engine
        engine.out[query.asked.query] = query
        engine.threads += query.kind.threads
        self.router.threads += query.kind.threads
        engine.cold_spent += max(query.cost, query.expected * query.kind.threads)
        if self.settings.priorities_heeded or self.settings.grants_heeded:
            grant = GRANT * (query.asked.memory_mb or 0.0)
            self.actions.append(api.SetTerms(query.asked.query, grant, self.priority(query)))
        self.actions.append(api.Send(query.asked.query, engine.entry.engine, query.asked.deadline))

    def priority(self, query: Query) -> int:
        usual = self.calibration.mean_worth.mean / max(self.calibration.mean_price.mean, 1e-9)
        ratio = query.kind.worth / max(query.price, 1e-9) / max(usual, 1e-9)
        return 3 if ratio > 2 else 2 if ratio > 0.5 else 1 if ratio > 0.125 else 0

    def tick(self) -> None:
        passed, self.ticked = self.now - max(self.ticked, 0.0), self.now
        step = min(0.5, SHARE_STEP * passed / TICK_S)
        self.blocked.clear()
        for engine in list(self.router.active.values()):
            self.router.own_cores += engine.follow_pressure(self.now, step)
            engine.watch_silence(self.now, self.settings.note_period)
            for query in list(engine.out.values()) if engine.silent else ():
                self.begin_anew(query)
        for key in [key for key, until in self.order.rests.items() if self.now >= until]:
            del self.order.rests[key]
            if key in self.order.lines and self.order.lines[key][0].waiting():
                self.hold(self.order.lines[key][0])

    def end_waits(self) -> None:
        """After each release: a query may arrive with less time left than one tick."""
        while self.waits and (self.waits[0][0] <= self.now or not self.waits[0][2].waiting()):
            if (query := heappop(self.waits)[2]).waiting():
                self.give_up(query, api.Reason.WAIT)
