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
from micahold.query import Query

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
MAX_FRUITLESS_RUNS = (
    4  # attempts that may have run and brought nothing: then it is the query, not the engines
)


QueueKey = tuple[bool, int, int, bool]  # late, tenant, class, tried before


@dataclass(slots=True)
class WeightedMean:
    """Mean over about the last ``LEARN_RUNS`` runs; the sum and its weight fade alike."""

    total: float = 0.0
    weight: float = 0.0

    def add(self, value: float, weight: float = 1.0) -> None:
        self.total += value * weight - self.total / LEARN_RUNS
        self.weight += weight - self.weight / LEARN_RUNS

    @property
    def mean(self) -> float:
        return self.total / self.weight if self.weight > 0 else 0.0


class Calibration:
    """Prices: the told cost, or the class's learned mean, times the factor of class and table group."""

    def __init__(self, classes: Sequence[api.QueryClass]) -> None:
        self.group_log_ratio: dict[tuple[int, int], WeightedMean] = {}
        # By class: learned cost, mean of ln(seconds / cost), and how far runs lie from that mean, either way.
        self.class_cost_s, self.class_log_ratio, self.log_ratio_spread = (
            [WeightedMean() for _ in classes] for _ in range(3)
        )
        self.best_log_ratio = [math.inf] * len(classes)  # lowest mean of ln(seconds / cost) so far
        self.typical_elapsed_s = [kind.soft_deadline_s / 2 for kind in classes]
        self.overall_log_ratio, self.mean_price, self.mean_worth = (
            WeightedMean(),
            WeightedMean(),
            WeightedMean(),
        )

    def price(self, query: Query) -> float:
        group = self.group_log_ratio.get((query.arrival.class_index, query.arrival.table_group))
        factor = math.exp(group.mean - self.overall_log_ratio.mean) if group is not None else 1.0
        return query.estimated_cost_s * min(FACTOR_LIMIT, max(1 / FACTOR_LIMIT, factor))

    def expected_s(self, query: Query) -> float:
        """Time the query takes on an engine at its best."""
        best = self.best_log_ratio[query.arrival.class_index]
        return (
            query.estimated_cost_s * (math.exp(best) if best < math.inf else 1.0) / query.query_class.threads
        )

    def duration_known(self, query: Query) -> bool:
        return self.best_log_ratio[query.arrival.class_index] < math.inf

    def learn(self, query: Query, elapsed: float, engine_pace: float) -> None:
        """One run that ended well; the engine's own pace is taken out, so a slow one inflates no price."""
        index, seconds = query.arrival.class_index, elapsed * query.query_class.threads
        if query.arrival.estimated_cost_s is None:
            self.class_cost_s[index].add(seconds / max(1.0, engine_pace))
        unit = math.log(max(seconds, 1e-6) / max(query.estimated_cost_s, 1e-6))
        self.class_log_ratio[index].add(unit)
        self.log_ratio_spread[index].add(abs(unit - self.class_log_ratio[index].mean))
        self.typical_elapsed_s[index] += (elapsed - self.typical_elapsed_s[index]) / LEARN_RUNS
        if self.class_log_ratio[index].weight >= LEARN_RUNS / 6:
            self.best_log_ratio[index] = min(self.class_log_ratio[index].mean, self.best_log_ratio[index])
        paced = unit - math.log(engine_pace)
        self.group_log_ratio.setdefault((index, query.arrival.table_group), WeightedMean()).add(paced)
        self.overall_log_ratio.add(paced, query.estimated_cost_s)


class TokenBucket:
    """A tenant's token bucket, which may go into debt, and its use of late, which fades by half-life."""

    def __init__(self, share: float) -> None:
        self.share, self.rate, self.recent_use, self.level, self.updated_at = (
            max(share, 1e-9),
            0.0,
            0.0,
            math.inf,
            -math.inf,
        )

    def refill(self, now: float, rate: float) -> None:
        passed, self.updated_at, self.rate = now - self.updated_at, now, rate
        self.level = min(rate * BURST_S, self.level + rate * passed)
        self.recent_use *= 0.5 ** (passed / USE_HALF_LIFE_S)


class OpenQueryYield:
    """Worth earned with a second of an open query, also of those open still; both fade by half-life."""

    def __init__(self) -> None:
        self.open_count, self.earned_worth, self.open_seconds, self.updated_at = 0, 0.0, 0.0, 0.0

    def update(self, now: float, more: int, worth: float = 0.0) -> float:
        fade = 0.5 ** ((now - self.updated_at) / USE_HALF_LIFE_S)
        self.open_seconds = (self.open_seconds + self.open_count * (now - self.updated_at)) * fade
        self.earned_worth, self.open_count, self.updated_at = (
            self.earned_worth * fade + worth,
            self.open_count + more,
            now,
        )
        return self.earned_worth / max(self.open_seconds, 1e-9)


class RetryBudget:
    """Further attempts within the rationed window; no ration where the window is 0."""

    def __init__(self, rules: api.Rules) -> None:
        self.rules, self.arrivals, self.further_attempts = rules, deque[float](), deque[float]()

    def allows(self, now: float) -> bool:
        """Taken queries leave the window a bit early, attempts a bit late: an edge breaks no rule."""
        since = now - self.rules.retry_window_s
        while self.arrivals and self.arrivals[0] <= since + TICK_S:
            self.arrivals.popleft()
        while self.further_attempts and self.further_attempts[0] < since - TICK_S:
            self.further_attempts.popleft()
        most = self.rules.retry_budget_floor + self.rules.retry_budget_ratio * len(self.arrivals)
        return self.rules.retry_window_s <= 0 or len(self.further_attempts) + 1 <= most


class EngineView:
    """What this gateway knows of one engine."""

    def __init__(
        self, entry: api.EngineEntry, settings: api.Settings, now: float, random: Random, size: api.GroupSize
    ) -> None:
        self.settings, self.entry, self.group_size = settings, entry, size
        self.in_flight: dict[int, Query] = {}
        self.cores = next((kind.cores for kind in settings.engine_kinds[entry.kind :]), 0.0) or 1.0
        self.capacity_share, self.threads_in_flight, self.full_backoff_s = 1.0 / size.alive, 0, PAUSE_S
        self.log_slowness = self.log_slowness_in_flight = (
            0.0  # ln of latency over best, by ended runs; by those out, which only grows
        )
        self.failure_level = self.others_per_core = self.cold_window_index = self.cold_work_sent = (
            self.cold_draw
        ) = 0.0
        self.is_silent = self.half_open = self.last_attempt_unanswered = (
            False  # by those out; till it answers; by the last end
        )
        self.last_response_at = self.failure_decayed_at = now
        self.slowness_updated_at = self.reported_at = self.busy_until = self.backoff_until = -math.inf
        self.suspected_until = self.drain_reported_until = (
            self.last_ok_at
        ) = -math.inf  # heard so until then; its last good answer
        self.random, self.cold_phase = random, random.random() * settings.rules.cold_window_s

    def is_cold(self, now: float) -> bool:
        return self.entry.started_at > 0 and now < self.entry.started_at + self.settings.rules.cold_duration_s

    def cold_budget_allows(self, now: float, work: float) -> bool:
        """Rule 4: this gateway's even part; one query that is more goes by lot, as often as adds up to it."""
        rules = self.settings.rules
        if not self.is_cold(now):
            return True
        window = (now + self.cold_phase) // (rules.cold_window_s + TICK_S)
        if window != self.cold_window_index:
            self.cold_window_index, self.cold_work_sent, self.cold_draw = window, 0.0, self.random.random()
        total = rules.cold_budget_multiple * rules.cold_initial_speed * self.cores * rules.cold_window_s
        part = total * COLD_SAFETY / self.group_size.upper_bound
        by_lot = work <= max(part, total * COLD_ONE) and work * self.cold_draw <= part
        return self.cold_work_sent + work <= part if self.cold_work_sent > 0 else by_lot

    def is_under_pressure(self, now: float) -> bool:
        return (
            max(self.log_slowness, self.log_slowness_in_flight) > math.log(PRESSURE) or now < self.busy_until
        )

    def quarantine_threshold(self, now: float) -> float:
        """Hearsay shuns nobody: it takes fewer failures of our own, unless it has just answered well."""
        return SHUN_DOUBTED if now < self.suspected_until and now > self.last_ok_at + WELL_S else SHUN_ABOVE

    def has_room(self, now: float, always: bool) -> bool:
        if self.half_open and self.failure_level <= self.quarantine_threshold(now):
            return not self.in_flight  # just back: one query at a time until it has answered one
        bound = max(1.0, BOUND_THREADS * self.cores * self.capacity_share)
        return now >= self.backoff_until and (
            self.threads_in_flight < bound or not (always or self.is_under_pressure(now))
        )

    def has_data_load_on(self, tables: int) -> bool:
        """A load of ours has that group there: other loads and readers that wait would stand still."""
        return any(
            query.query_class.is_data_load and query.arrival.table_group == tables
            for query in self.in_flight.values()
        )

    def is_quarantined(self, now: float) -> bool:
        """The way back is by time alone: failures fade, so each gateway tries again now and then."""
        self.failure_level, self.failure_decayed_at = (
            self.failure_level * 0.5 ** ((now - self.failure_decayed_at) / VIEW_HALF_LIFE_S),
            now,
        )
        shunned = self.failure_level > self.quarantine_threshold(now)
        self.half_open = self.half_open or shunned
        return self.is_silent or shunned

    def adjust_share(self, now: float, step: float) -> float:
        """The share of this engine that is ours: 1 / gateways until latency tells otherwise; cores gained."""
        one, before, even = (
            1.0 / (BOUND_THREADS * self.cores),
            self.capacity_share,
            1.0 / self.group_size.alive,
        )
        held, pressed = self.threads_in_flight * one, self.is_under_pressure(now)
        if not pressed and held > self.capacity_share * (1 - SHARE_STEP):
            self.capacity_share = min(1.0, max(self.capacity_share * (1 + step), held))
        elif pressed and held >= max(one, self.capacity_share) * (1 - SHARE_STEP):
            self.capacity_share = max(
                min(even, max(one, SHARE_LEAST * even)), self.capacity_share * (1 - step)
            )
        return (self.capacity_share - before) * self.cores

    def update_silence(self, now: float, note_period: float) -> None:
        """No sign for longer than some attempt should have taken: held against it until it gives one."""
        waited = sum(now - query.sent_at for query in self.in_flight.values())
        best = sum(query.expected_s for query in self.in_flight.values())
        # What is out is out because it is long: the same crowd shows about twice as strong as in ended runs.
        self.log_slowness_in_flight = math.log(max(waited / best / 2, 1.0)) if best > 0 else 0.0
        # Nobody knows how long a class takes that is not learnt: while the engine has its runs, they go on.
        pace = PATIENCE * math.exp(max(0.0, self.log_slowness))
        dues = [(2 * note_period or pace * one.expected_s + TRUST_S, one) for one in self.in_flight.values()]
        self.is_silent = any(
            now - max(one.sent_at, self.last_response_at) > due
            and (one.duration_known or now > one.confirmed_at + PATIENCE * TRUST_S)
            for due, one in dues
        )


EngineViews = list[EngineView]


class Router:
    """Which engine a query goes to: hash order by table group, alike at all gateways."""

    def __init__(self, settings: api.Settings, calibration: Calibration, random: Random) -> None:
        self.settings, self.calibration, self.random = settings, calibration, random
        self.engines, self.listed = dict[str, EngineView](), dict[str, EngineView]()  # all; those not gone
        self.group_size, self.report_weight, self.peer_reported = api.GroupSize(1, 1), 0.0, frozenset[str]()
        self.set_group_size(api.GroupSize(settings.gateway_count, settings.gateway_count))
        self.unanswered_share = 0.0  # part of the attempts of late that no answer came to in time
        self.hash_orders, self.active_engines = (
            dict[int, EngineViews](),
            dict[str, EngineView](),
        )  # active: attempts of ours out
        # Our threads, on all engines; cores of all up; our share of those not gone; others' queries a core.
        self.threads_in_flight, self.total_cores, self.own_cores, self.mean_others_per_core = 0, 0.0, 0.0, 0.0
        self.sorted_slowness, self.median_slowness = (
            list[float](),
            0.0,
        )  # slowness of engines seen, in order, and its middle

    def set_group_size(self, size: api.GroupSize) -> None:
        """What a rule allows is divided by ``bound``, all else by ``living``."""
        self.group_size.upper_bound, self.group_size.alive = max(1, size.upper_bound), max(1, size.alive)
        self.report_weight = max(
            0.0, 1.0 - 4.0 / self.group_size.alive
        )  # among few, own threads tell more than reports

    def apply_peer_report(self, said: api.PeerReport) -> None:
        before, self.peer_reported = self.peer_reported, said.failing | said.draining
        for view in [self.engines[one] for one in before | self.peer_reported if one in self.engines]:
            view.suspected_until = said.valid_until if view.entry.engine in said.failing else -math.inf
            view.drain_reported_until = said.valid_until if view.entry.engine in said.draining else -math.inf

    def hash_order(self, tables: int) -> list[EngineView]:
        if tables not in self.hash_orders:
            rank = {one: blake2b(f"{tables}:{one}".encode(), digest_size=8).digest() for one in self.listed}
            self.hash_orders[tables] = sorted(self.listed.values(), key=lambda one: rank[one.entry.engine])
        return self.hash_orders[tables]

    def update_engine_list(self, now: float, news: api.ListUpdate) -> None:
        """Ids are ever new: a view outlasts its engine until what it knows has faded; a restart clears it."""
        if news.kind in (api.ListKind.FULL, api.ListKind.RESTORED):
            for view in self.engines.values():
                view.entry = replace(view.entry, state=api.EngineState.GONE)
        for entry in news.entries:
            fresh = EngineView(entry, self.settings, now, self.random, self.group_size)
            view = self.engines.setdefault(entry.engine, fresh)
            if entry.started_at > view.entry.started_at:
                view.failure_level, view.log_slowness, view.half_open, view.slowness_updated_at = (
                    0.0,
                    0.0,
                    False,
                    -math.inf,
                )
                view.suspected_until = -math.inf
            view.entry = entry
        before, gone = self.listed, api.EngineState.GONE
        self.listed = {name: view for name, view in self.engines.items() if view.entry.state is not gone}
        self.hash_orders = self.hash_orders if before.keys() == self.listed.keys() else {}
        kept = {
            n: v
            for n, v in self.engines.items()
            if v.in_flight or now < v.failure_decayed_at + 10 * VIEW_HALF_LIFE_S
        }
        self.engines = self.listed | kept
        self.total_cores = sum(
            one.cores for one in self.listed.values() if one.entry.state is api.EngineState.UP
        )
        self.own_cores = sum(view.cores * view.capacity_share for view in self.listed.values())
        self.sorted_slowness = sorted(
            view.log_slowness for view in self.engines.values() if view.slowness_updated_at > -math.inf
        )

    def is_allowed(self, query: Query, engine: EngineView) -> bool:
        """Rules 2, 3 and 6: placement, drains, and the group that drops a keyed query's repeats."""
        kind, entry, ran = (query.query_class, engine.entry, [one for _, one in query.possible_runs])
        kinds, zones, scope = kind.allowed_kinds, kind.allowed_zones, kind.dedup_scope
        placed = (kinds is None or entry.kind in kinds) and (zones is None or entry.zone in zones)
        if ran and kind.repeat_safety is api.RepeatSafety.KEYED and scope is not api.DedupScope.ALL:
            zoned = scope is api.DedupScope.ZONE
            placed &= all(entry.zone == one.zone if zoned else entry.cell == one.cell for one in ran)
        return placed and entry.state is api.EngineState.UP

    def update_slowness(self, query: Query, engine: EngineView, elapsed: float, now: float) -> None:
        """By price: cheap queries run past the crowd and show little of it. By age: an old view gives way."""
        if self.calibration.best_log_ratio[query.arrival.class_index] == math.inf:
            return
        if engine.slowness_updated_at > -math.inf:
            del self.sorted_slowness[bisect_left(self.sorted_slowness, engine.log_slowness)]
        ratio = min(3.0, query.price / max(self.calibration.mean_price.mean, 1e-9))
        aged = 1.0 - 0.5 ** ((now - engine.slowness_updated_at) / VIEW_HALF_LIFE_S)
        seen = math.log(max(elapsed, 1e-6) / max(query.expected_s, 1e-6))
        engine.log_slowness += (seen - engine.log_slowness) * max(0.1 * ratio, min(1.0, ratio) * aged)
        engine.slowness_updated_at = now
        insort(self.sorted_slowness, engine.log_slowness)
        self.median_slowness = self.sorted_slowness[len(self.sorted_slowness) // 2]

    def effective_cores(self, engine: EngineView, now: float) -> float:
        """Cores at the pace seen; only an engine well off the usual, or a cold one, counts less."""
        behind = engine.log_slowness - self.median_slowness
        cores = engine.cores * (math.exp(-behind) if behind > math.log(PRESSURE) / 2 else 1.0)
        return cores * max(0.1, self.settings.rules.cold_initial_speed) if engine.is_cold(now) else cores

    def choose_engine(self, query: Query, now: float, needs_room: bool, may_fail: bool) -> EngineView | None:
        """The least loaded home; the order is walked on only while homes are full or busy."""

        def load(engine: EngineView) -> float:
            fresh: float = 0.5 ** ((now - engine.reported_at) / REPORT_HALF_LIFE_S)
            theirs = (
                (self.mean_others_per_core + (engine.others_per_core - self.mean_others_per_core) * fresh)
                * engine.cores
                * self.report_weight
            )
            weight = self.effective_cores(engine, now)
            return (engine.threads_in_flight + theirs) / weight + one * (engine.cores / weight)

        # A jam feeds itself: with many gateways even one query from each on each engine is too much.
        most = (
            STRAIN_BOUND
            * BOUND_THREADS
            * self.total_cores
            / self.group_size.alive
            / max(self.report_weight, 1e-9)
        )
        if self.unanswered_share > STRAINED and self.threads_in_flight >= max(1.0, most):
            return None
        mean = (
            self.threads_in_flight / max(self.total_cores, 1e-9)
            + self.mean_others_per_core * self.report_weight
        )
        one = query.query_class.threads * len(self.listed) / max(self.total_cores, 1e-9)  # this query, a core
        shunned, passed = EngineViews(), EngineViews()
        walk = self.usable_engines(query, now, shunned, passed)
        homes = list(islice(walk, HOMES))
        # Homes are alike at all gateways: quiet ones, for which all look idle, would pile on the first.
        turn = self.settings.gateway_index % max(1, len(homes))
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
            part = (one for one in shunned if not one.last_attempt_unanswered and one.has_room(now, True))
            best = min(part, key=lambda one: one.failure_level, default=None)
        return best

    def usable_engines(
        self, query: Query, now: float, shunned: EngineViews, passed: EngineViews
    ) -> Iterator[EngineView]:
        """The usable engines in the group's order; the others that are allowed are set aside on the way."""
        work = max(query.estimated_cost_s, self.calibration.expected_s(query) * query.query_class.threads)
        kept_apart = query.query_class.is_data_load or query.query_class.waits_for_data_loads
        # Readers stand still where a load holds their group: loads start from the order's far end.
        far = query.query_class.is_data_load and any(
            kind.waits_for_data_loads for kind in self.settings.classes
        )
        for engine in self.hash_order(query.arrival.table_group)[:: -1 if far else 1]:
            if (
                now < engine.drain_reported_until
                or not self.is_allowed(query, engine)
                or not engine.cold_budget_allows(now, work)
            ):
                continue
            if engine.is_quarantined(now):
                shunned.append(engine)
            elif engine.entry.engine in query.tried_engines or (
                kept_apart and engine.has_data_load_on(query.arrival.table_group)
            ):
                passed.append(engine)
            else:
                yield engine


class KeySerializer:
    """Rule 5: of the queries with one key only the first taken may be out; a doubtful end rests the key."""

    def __init__(self) -> None:
        self.queues, self.rest_until = dict[int | None, deque[Query]](), dict[int | None, float]()

    def may_run(self, query: Query, now: float) -> bool:
        line = self.queues.get(query.ordering_key)
        rested = query.attempt_count > 0 or now >= self.rest_until.get(query.ordering_key, now)
        return line is None or (line[0] is query and rested)

    def remove(self, query: Query) -> Query | None:
        """For a query that is over and has no attempt out; answers with the one that is first now."""
        line = self.queues.get(query.ordering_key, deque([query]))
        line.remove(query)
        if not line:
            self.queues.pop(query.ordering_key, None)
        return line[0] if line else None


class FairQueue:
    """Held queries in lines, in each the most worth for its price first."""

    def __init__(self) -> None:
        self.queues, self.sequence = dict[QueueKey, list[tuple[float, int, Query]]](), count()

    def add(self, query: Query, late: bool) -> None:
        worth = query.query_class.worth * (query.query_class.late_worth_share if late else 1.0)
        line_id = (late, query.arrival.tenant_index, query.arrival.class_index, query.attempt_count > 0)
        line = self.queues.setdefault(line_id, [])
        if len(line) % 64 == 63:  # those given up meanwhile may lie too deep ever to be met
            line[:] = sorted(one for one in line if one[2].is_waiting())
        heappush(line, (-worth / max(query.price, 1e-9), next(self.sequence), query))

    def head(self, line_id: QueueKey, now: float) -> Query | None:
        """The first of a line that still waits; one that can no longer be in time moves to the late line."""
        while line := self.queues[line_id]:
            query = line[0][2]
            if query.is_waiting() and (line_id[0] or now + query.expected_s <= query.soft_deadline):
                return query
            heappop(line)
            if query.is_waiting():
                self.add(query, True)
        return None


class Controller:
    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, Random(seed)
        self.calibration = Calibration(settings.classes)
        self.router = Router(settings, self.calibration, self.random)
        self.held_queries, self.key_order, self.retry_budget = (
            FairQueue(),
            KeySerializer(),
            RetryBudget(settings.rules),
        )
        self.queries, self.token_buckets = dict[int, Query](), dict[int, TokenBucket]()
        self.wait_heap: list[tuple[float, int, Query]] = []
        self.class_yields, self.total_yield = [OpenQueryYield() for _ in settings.classes], OpenQueryYield()
        self.actions, self.blocked_queues = (
            list[api.Action](),
            set[QueueKey](),
        )  # blocked: lines that found no room
        self.now, self.last_tick_at, self.timer_due_at = 0.0, -1.0, math.inf

    def handle(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Take the events of one moment, in turn, and answer with the actions of that moment."""
        self.now, self.actions = now, []
        if unwatched := self.last_tick_at < 0:
            self.tick()
        for event in events:
            match event:
                case api.QueryArrived():
                    self.on_query_arrived(event)
                case api.AttemptEnded():
                    self.on_attempt_ended(event)
                case api.AttemptStatus():
                    self.on_attempt_status(event)
                case api.TimerFired():
                    self.timer_due_at = (
                        math.inf if now > self.timer_due_at - TICK_S / 2 else self.timer_due_at
                    )
                    self.tick()
                case api.ListUpdate():
                    self.router.update_engine_list(now, event)
                    self.blocked_queues.clear()
                    unwatched = unwatched or event.kind is api.ListKind.UNAVAILABLE
                case api.PeerReport():
                    self.router.apply_peer_report(event)
                    self.blocked_queues.clear()
                case api.GroupSize():
                    self.router.set_group_size(event)
                case api.GatewayClosing():
                    for query in list(self.queries.values()):
                        query.arrival.deadline = min(query.arrival.deadline, event.answer_by)
                        self.hold(query) if query.is_waiting() else None
                case api.QueryDropped() if event.query in self.queries:
                    query = self.queries[event.query]
                    query.finished = True
                    if query.engine is None:
                        self.finish(query)
                    elif self.settings.limits.cancel_allowed and not query.cancel_requested:
                        query.cancel_requested = True  # nobody waits for this work any more
                        self.actions.append(api.Cancel(event.query, query.attempt_count - 1))
        if unwatched and not self.settings.list_is_pushed:
            self.actions.append(api.WatchList())
        self.release_held()
        self.expire_waits()
        soon = (
            self.wait_heap or self.key_order.rest_until
        )  # timers by what is due: an idle gateway needs none
        due = now + (TICK_S if soon else WATCH_S if self.router.active_engines else math.inf)
        if due < self.timer_due_at - TICK_S / 2:
            self.timer_due_at = due
            self.actions.append(api.SetTimer(1, due - now))
        return self.actions

    def on_query_arrived(self, event: api.QueryArrived) -> None:
        kind = self.settings.classes[event.class_index]
        self.retry_budget.arrivals.append(self.now)
        cost = (
            event.estimated_cost_s
            or self.calibration.class_cost_s[event.class_index].mean
            or kind.soft_deadline_s
        )
        query = Query(event, kind, event.ordering_key if kind.ordered_by_key else None, cost)
        query.price = self.calibration.price(query)
        self.calibration.mean_price.add(query.price)
        self.calibration.mean_worth.add(kind.worth)
        query.expected_s = self.calibration.expected_s(query)
        query.soft_deadline = self.now + kind.soft_deadline_s + kind.soft_deadline_stretch * query.expected_s
        self.queries[query.arrival.query] = query
        if query.ordering_key is not None:
            self.key_order.queues.setdefault(query.ordering_key, deque()).append(query)
        # Where places run out, what comes is turned away unseen: who earns little with them leaves some free.
        earned, usual = (
            one.update(self.now, 1) for one in (self.class_yields[event.class_index], self.total_yield)
        )
        most = self.settings.limits.max_open_queries * (
            PLACES + (1 - PLACES) * min(1.0, earned / max(usual, 1e-9))
        )
        full = 0 < most < len(self.queries)
        self.give_up(query, api.GiveUpReason.NO_OPEN_SLOT) if full else self.hold(query)

    def hold(self, query: Query) -> None:
        """Hold a query until its deadline less its class's usual time; each time anew, or it is lost."""
        doubt = math.exp(-2 * self.calibration.log_ratio_spread[query.arrival.class_index].mean)
        if self.now + query.expected_s * doubt > query.arrival.deadline:
            return self.give_up(
                query, api.GiveUpReason.DEADLINE_UNREACHABLE
            )  # out of reach even if told too high: it would stand in the way
        usual = max(self.calibration.typical_elapsed_s[query.arrival.class_index], 2 * TICK_S)
        heappush(self.wait_heap, (query.arrival.deadline - usual, next(self.held_queries.sequence), query))
        if self.key_order.may_run(query, self.now):
            self.held_queries.add(query, self.now > query.soft_deadline)

    def on_attempt_ended(self, event: api.AttemptEnded) -> None:
        query = self.queries.get(event.query)
        if query is None or query.engine is None or query.attempt_count != event.attempt + 1:
            return
        self.blocked_queues.clear()
        engine, query.engine = self.router.engines[query.engine], None
        del engine.in_flight[query.arrival.query]
        engine.threads_in_flight -= query.query_class.threads
        self.router.threads_in_flight -= query.query_class.threads
        if not engine.in_flight:
            del self.router.active_engines[engine.entry.engine]
            engine.is_silent, engine.log_slowness_in_flight = False, 0.0
        self.update_engine_health(query, engine, event)
        if event.outcome in (api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED):
            self.key_order.rest_until[query.ordering_key] = self.now + self.settings.rules.order_settle_s
        if event.outcome not in (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_STARTED):
            query.possible_runs.append((query.sent_at, engine.entry))
        if event.query_settled or event.outcome is api.Outcome.OK or query.finished:
            on_time = 1.0 if self.now <= query.soft_deadline else query.query_class.late_worth_share
            self.finish(query, query.query_class.worth * on_time if event.outcome is api.Outcome.OK else 0.0)
        else:
            self.hold(query) if self.may_retry(query) else self.give_up(
                query, api.GiveUpReason.ATTEMPTS_EXHAUSTED
            )

    def update_engine_health(self, query: Query, engine: EngineView, event: api.AttemptEnded) -> None:
        outcome, report = event.outcome, event.report or api.LoadReport()
        busy = (
            max(report.busy_share or 0.0, report.memory_granted_share or 0.0) > BUSY
            or outcome is api.Outcome.FULL
        )
        if busy or event.report is not None:
            engine.busy_until = self.now + (BUSY_FRESH_S if busy else 0.0)
        if report.in_flight is not None:
            engine.others_per_core, engine.reported_at = (
                (report.in_flight - len(engine.in_flight)) / engine.cores,
                self.now,
            )
            self.router.mean_others_per_core += (
                engine.others_per_core - self.router.mean_others_per_core
            ) / LEARN_RUNS
        if outcome in (api.Outcome.OK, api.Outcome.ERROR, api.Outcome.FULL):
            engine.last_response_at = self.now
        if outcome is api.Outcome.OK:
            engine.failure_level, engine.half_open, engine.full_backoff_s = (
                engine.failure_level * (1 - FAIL_WEIGHT),
                False,
                PAUSE_S,
            )
            engine.last_ok_at = self.now
            self.router.update_slowness(query, engine, event.elapsed_s, self.now)
            self.calibration.learn(
                query, event.elapsed_s, math.exp(engine.log_slowness - self.router.median_slowness)
            )
        unheard = outcome is api.Outcome.TIMEOUT and engine.last_response_at <= query.sent_at
        if (
            outcome is api.Outcome.OK
            or query.cancel_requested
            or (outcome is api.Outcome.TIMEOUT and not unheard)
        ):
            self.router.unanswered_share += (
                ((outcome is not api.Outcome.OK) - self.router.unanswered_share) * FAIL_WEIGHT / 2
            )
        engine.last_attempt_unanswered = outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.RESET) or unheard
        error = outcome is api.Outcome.ERROR and not query.possible_runs  # what fails everywhere is the query
        weight = CUT_WEIGHT if engine.last_attempt_unanswered else FAIL_WEIGHT if error else 0.0
        engine.failure_level += (1 - engine.failure_level) * weight
        if outcome is api.Outcome.FULL and self.now >= engine.backoff_until:
            # One query from each of many gateways keeps it full: left alone ever longer, until it answers.
            engine.full_backoff_s = min(PAUSE_MOST_S, 2 * engine.full_backoff_s)
            engine.backoff_until = self.now + engine.full_backoff_s * (0.5 + self.random.random())

    def on_attempt_status(self, event: api.AttemptStatus) -> None:
        query = self.queries.get(event.query)
        if query is None or query.engine is None or query.attempt_count != event.attempt + 1:
            return
        engine, elapsed = self.router.engines[query.engine], self.now - query.sent_at
        if event.kind is api.AttemptStatusKind.ALIVE:
            query.confirmed_at = self.now
            return
        engine.last_response_at = self.now
        to_go = elapsed / max(event.value, 1e-3) - elapsed
        out_of_reach = to_go > RUNAWAY * query.expected_s * math.exp(max(0.0, engine.log_slowness))
        if event.kind is api.AttemptStatusKind.PROGRESS and out_of_reach and not query.finished:
            self.restart_attempt(query)

    def restart_attempt(self, query: Query) -> None:
        """Call an attempt off whose end is out of reach; its outcome then leads to another attempt."""
        able = (
            self.settings.limits.cancel_allowed
            and not query.cancel_requested
            and self.retry_budget.allows(self.now)
        )
        if able and self.may_retry(query, ran=True):
            query.cancel_requested = True
            self.actions.append(api.Cancel(query.arrival.query, query.attempt_count - 1))

    def finish(self, query: Query, worth: float = 0.0) -> None:
        """Nothing is owed and nothing is out: forget the query, and let the next of its key go."""
        query.finished = True
        for places in (self.class_yields[query.arrival.class_index], self.total_yield):
            places.update(self.now, -1, worth)
        self.queries.pop(query.arrival.query, None)
        if (following := self.key_order.remove(query)) is not None and following.is_waiting():
            self.hold(following)

    def may_retry(self, query: Query, ran: bool = False) -> bool:
        """Rule 2, and whether there is time left for another attempt; ``ran`` if the one out may have run."""
        if query.query_class.repeat_safety is not api.RepeatSafety.SAFE and (ran or query.possible_runs):
            first = query.possible_runs[0][0] if query.possible_runs else query.sent_at
            dropped_until = first + query.query_class.dedup_window_s - 2 * TICK_S
            if query.query_class.repeat_safety is api.RepeatSafety.UNSAFE or self.now >= dropped_until:
                return False
        able = (
            len(query.possible_runs) < MAX_FRUITLESS_RUNS
            and query.attempt_count < self.settings.limits.max_attempts
        )
        return able and self.now + query.expected_s < query.arrival.deadline

    def give_up(self, query: Query, why: api.GiveUpReason) -> None:
        """The final answer, at once: refused where the client may safely try again, else failed."""
        kind, limits, account = query.query_class, self.settings.limits, self.token_bucket(query)
        dropped_by_all = (
            kind.repeat_safety is api.RepeatSafety.KEYED and kind.dedup_scope is api.DedupScope.ALL
        )
        wait = max(
            -account.level / max(account.rate, 1e-9),
            self.calibration.typical_elapsed_s[query.arrival.class_index],
        )
        wait *= 1 + HINT_JITTER * self.random.random()  # when the debt is paid; the refused come back apart
        hint = min(limits.max_retry_after_s, wait) if limits.retry_hints_allowed else 0.0
        harmless = kind.repeat_safety is api.RepeatSafety.SAFE or dropped_by_all or not query.possible_runs
        asked = query.arrival.query
        self.actions.append(api.Refuse(asked, hint, why) if harmless else api.Fail(asked, why))
        self.finish(query)

    def token_bucket(self, query: Query) -> TokenBucket:
        """The tenant's account, or the class's where there are no tenants, at its share of our cores."""
        tenants = self.settings.tenants
        owner = query.arrival.tenant_index if tenants else query.arrival.class_index
        share = tenants[owner].share if owner < len(tenants) else 1.0 / len(self.settings.classes)
        account = self.token_buckets.setdefault(owner, TokenBucket(share))
        account.refill(self.now, account.share * self.router.own_cores)
        return account

    def release_held(self) -> None:
        """Release held queries while engines have room: in time before late, out of debt before owing."""
        while True:
            heads: list[tuple[bool, bool, float, float, QueueKey, Query]] = []
            for line_id in list(self.held_queries.queues):
                query = None if line_id in self.blocked_queues else self.held_queries.head(line_id, self.now)
                if query is not None:
                    account = self.token_bucket(query)
                    owing = account.level < 0 and not query.charged
                    merit = self.held_queries.queues[line_id][0][0]
                    heads.append(
                        (line_id[0], owing, account.recent_use / account.share, merit, line_id, query)
                    )
            if not heads:
                return
            late, owing, _, _, line_id, query = min(heads, key=lambda one: one[:5])
            if query.attempt_count > 0 and not self.may_retry(query):
                self.give_up(query, api.GiveUpReason.ATTEMPTS_EXHAUSTED)
                continue
            allows = self.retry_budget.allows(self.now)
            may_fail = allows and query.query_class.repeat_safety is api.RepeatSafety.SAFE
            stopped = query.attempt_count > 0 and not allows
            engine = None if stopped else self.router.choose_engine(query, self.now, owing or late, may_fail)
            if engine is None:
                self.blocked_queues.add(line_id)
            else:
                heappop(self.held_queries.queues[line_id])
                self.send(query, engine)

    def send(self, query: Query, engine: EngineView) -> None:
        """Every attempt leaves through here."""
        if query.attempt_count:
            self.retry_budget.further_attempts.append(self.now)
        if not query.charged:
            query.charged = True
            account = self.token_bucket(query)
            account.level, account.recent_use = account.level - query.price, account.recent_use + query.price
        query.engine, query.sent_at, query.cancel_requested = engine.entry.engine, self.now, False
        query.attempt_count, query.expected_s = query.attempt_count + 1, self.calibration.expected_s(query)
        query.duration_known = self.calibration.duration_known(query)
        query.tried_engines.add(engine.entry.engine)
        engine.last_response_at = engine.last_response_at if engine.in_flight else self.now
        self.router.active_engines[engine.entry.engine] = engine
        engine.in_flight[query.arrival.query] = query
        engine.threads_in_flight += query.query_class.threads
        self.router.threads_in_flight += query.query_class.threads
        engine.cold_work_sent += max(query.estimated_cost_s, query.expected_s * query.query_class.threads)
        if self.settings.priorities_honored or self.settings.memory_grants_honored:
            grant = GRANT * (query.arrival.estimated_memory_mb or 0.0)
            self.actions.append(api.SetTerms(query.arrival.query, grant, self.priority(query)))
        self.actions.append(api.Send(query.arrival.query, engine.entry.engine, query.arrival.deadline))

    def priority(self, query: Query) -> int:
        usual = self.calibration.mean_worth.mean / max(self.calibration.mean_price.mean, 1e-9)
        ratio = query.query_class.worth / max(query.price, 1e-9) / max(usual, 1e-9)
        return 3 if ratio > 2 else 2 if ratio > 0.5 else 1 if ratio > 0.125 else 0

    def tick(self) -> None:
        passed, self.last_tick_at = self.now - max(self.last_tick_at, 0.0), self.now
        step = min(0.5, SHARE_STEP * passed / TICK_S)
        self.blocked_queues.clear()
        for engine in list(self.router.active_engines.values()):
            self.router.own_cores += engine.adjust_share(self.now, step)
            engine.update_silence(self.now, self.settings.status_period_s)
            for query in list(engine.in_flight.values()) if engine.is_silent else ():
                self.restart_attempt(query)
        for key in [key for key, until in self.key_order.rest_until.items() if self.now >= until]:
            del self.key_order.rest_until[key]
            if key in self.key_order.queues and self.key_order.queues[key][0].is_waiting():
                self.hold(self.key_order.queues[key][0])

    def expire_waits(self) -> None:
        """After each release: a query may arrive with less time left than one tick."""
        while self.wait_heap and (self.wait_heap[0][0] <= self.now or not self.wait_heap[0][2].is_waiting()):
            if (query := heappop(self.wait_heap)[2]).is_waiting():
                self.give_up(query, api.GiveUpReason.WAIT_EXPIRED)
