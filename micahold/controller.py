"""All decisions of micahold; types in ``micahold/interface.py``, and docs/design.md describes each part.

A gateway prices each query by its calibrated cost estimate, charges its tenant's token bucket, holds it
until an engine has room, and chooses the engine by load within the table group's hash order. The module
does no I/O and reads no clock: ``Controller.handle`` takes the time and the events, and returns actions.
Random numbers come from a seeded generator, so that the same events give the same actions.

Costs, prices and work are in thread-seconds: one second of one thread of an engine. Times are in seconds.
Rule numbers refer to the seven rules that every history of events must keep; ``tests/checker.py`` checks
them.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from heapq import heappop, heappush
from itertools import count, islice
from random import Random

from micahold import interface as api
from micahold.engine_order import EngineOrders
from micahold.query import Query

# Cost calibration and token buckets

MEAN_WINDOW_RUNS = 50  # about as many recent runs make up a moving average
MAX_PRICE_FACTOR = 100.0  # calibration multiplies or divides an estimate by at most this
BUCKET_DEPTH_S = 2.0  # a token bucket holds at most what its rate adds in this time
USE_HALF_LIFE_S = 10.0  # of a tenant's recent use, and of the worth and open time of a class
RETRY_HINT_JITTER = 0.5  # a retry hint is lengthened by up to this share, so that clients return spread out

# Load and pressure of engines

MAX_THREADS_PER_CORE = 1.5  # an engine that a gateway has to itself is full at this many threads per core
HOME_ENGINES = 3  # the first engines in a table group's hash order, which are tried first
PRESSURE_RATIO = 1.6  # latency as a multiple of the best latency, from which thread bounds apply
BUSY_SHARE = 0.95  # a reported busy or granted-memory share above this counts as pressure
# A busy report counts for this long, or until a report that is not busy: with 1 s a gateway that hears from
# an engine every few seconds forgets the pressure in between.
BUSY_VALID_S = 4.0
SHARE_STEP = 0.1  # relative change per tick of a gateway's share of an engine, up or down
# Part of its even share of an engine that a gateway keeps under pressure. Down at one thread, the few slow
# queries that were let in kept the pressure up while the engine was idle.
MIN_EVEN_SHARE = 0.5

# Engine health

QUARANTINE_LEVEL = 0.25  # an engine whose failure level exceeds this is quarantined
FAILURE_WEIGHT = 0.2  # weight of one error or success in the failure level, half of it in unanswered_share
LOST_WEIGHT = 0.9  # weight of an attempt that the engine cut off or left unanswered: it alone quarantines
SUSPECTED_QUARANTINE_LEVEL = 0.1  # the level that quarantines an engine which peers report as failing
RECENT_OK_S = 1.0  # after a successful answer, peer reports do not lower the quarantine level for this long
CONGESTED_SHARE = 0.5  # share of recent attempts without an answer in time, above which the pool is congested
CONGESTED_BOUND = 0.5  # part of a gateway's even thread bound that stays usable in a congested pool
MIN_FULL_BACKOFF_S = 0.25  # half of the first backoff from a full engine: it doubles before each use
MAX_FULL_BACKOFF_S = 2.0  # bound of that backoff, before jitter
SILENCE_MULTIPLE = 4.0  # an engine is silent after this many times an attempt's expected duration ...
SILENCE_GRACE_S = 0.25  # ... and this long beyond it
REPORT_HALF_LIFE_S = 2.0  # of the weight of an engine's load report
HEALTH_HALF_LIFE_S = 5.0  # of an engine's failure level, and of the weight of its observed slowness

# Cold engines

COLD_SENT_SHARE = 1 / 3  # part of a cold engine's allowance that all gateways together send it
COLD_QUERY_SHARE = 1 / 16  # part of that allowance which a single query may take by random draw

# Attempts and timers

MEMORY_GRANT_FACTOR = 1.4  # memory granted per estimated MB: a spill costs the work again, waiting costs less
TICK_S = 0.05  # interval of the periodic checks while queries are held; also the margin at window edges
WATCH_S = 0.1  # interval of those checks while attempts are in flight and no query is held
UNEARNED_OPEN_SHARE = 0.75  # part of the open-query limit that a class may fill without earning anything
RUNAWAY_MULTIPLE = 3.0  # an attempt projected to take this many times its expected duration is restarted
MAX_FRUITLESS_RUNS = 4  # so many runs without a result: the fault lies with the query, not with the engines


QueueKey = tuple[bool, int, int, bool]  # past the soft deadline, tenant index, class index, attempted before


@dataclass(slots=True)
class WeightedMean:
    """A moving average over about the last ``MEAN_WINDOW_RUNS`` runs.

    The weighted sum and the sum of weights decay by the same factor, so that old runs lose influence and the
    mean is unbiased while there are few runs.
    """

    total: float = 0.0
    weight: float = 0.0

    def add(self, value: float, weight: float = 1.0) -> None:
        """Adds a value and lets the earlier ones decay by 1 / ``MEAN_WINDOW_RUNS``."""
        self.total += value * weight - self.total / MEAN_WINDOW_RUNS
        self.weight += weight - self.weight / MEAN_WINDOW_RUNS

    @property
    def mean(self) -> float:
        """The weighted mean, 0 while there are no values."""
        return self.total / self.weight if self.weight > 0 else 0.0


class Calibration:
    """Learns from finished runs what queries cost and how long they take.

    A price is the estimated cost, or the class's learned mean cost, times a factor that compares the runs
    of the query's class and table group with all runs. Ratios are kept as ln(measured thread-seconds /
    estimated cost), so that over- and underestimates weigh the same.
    """

    def __init__(self, classes: Sequence[api.QueryClass]) -> None:
        self.group_log_ratio: dict[tuple[int, int], WeightedMean] = {}  # by class index and table group
        # The following lists are by class index.
        # Thread-seconds of queries that arrived without an estimate.
        self.class_cost_s = [WeightedMean() for _ in classes]
        self.class_log_ratio = [WeightedMean() for _ in classes]
        self.log_ratio_spread = [WeightedMean() for _ in classes]  # mean absolute deviation of the log ratio
        self.best_log_ratio = [math.inf] * len(classes)  # lowest mean so far; infinite while there is none
        # Moving average of run durations, half the soft deadline at first.
        self.typical_elapsed_s = [query_class.soft_deadline_s / 2 for query_class in classes]
        self.overall_log_ratio = WeightedMean()  # weighted by estimated cost
        self.mean_price = WeightedMean()
        self.mean_worth = WeightedMean()

    def price(self, query: Query) -> float:
        """What a query is charged, in thread-seconds: its estimate, corrected for class and table group."""
        group = self.group_log_ratio.get((query.arrival.class_index, query.arrival.table_group))
        factor = math.exp(group.mean - self.overall_log_ratio.mean) if group is not None else 1.0
        return query.estimated_cost_s * min(MAX_PRICE_FACTOR, max(1 / MAX_PRICE_FACTOR, factor))

    def expected_s(self, query: Query) -> float:
        """The time in seconds that a query takes on an engine at its best."""
        best = self.best_log_ratio[query.arrival.class_index]
        return (
            query.estimated_cost_s * (math.exp(best) if best < math.inf else 1.0) / query.query_class.threads
        )

    def duration_known(self, query: Query) -> bool:
        """Whether enough runs of the query's class have ended for ``expected_s`` to be learned."""
        return self.best_log_ratio[query.arrival.class_index] < math.inf

    def learn(self, query: Query, elapsed_s: float, engine_slowness: float) -> None:
        """Learns from one successful run.

        ``engine_slowness`` is the engine's latency relative to the median engine. It is taken out of costs
        and group ratios, so that a slow engine raises no price.
        """
        class_index = query.arrival.class_index
        thread_seconds = elapsed_s * query.query_class.threads
        if query.arrival.estimated_cost_s is None:
            self.class_cost_s[class_index].add(thread_seconds / max(1.0, engine_slowness))
        log_ratio = math.log(max(thread_seconds, 1e-6) / max(query.estimated_cost_s, 1e-6))
        self.class_log_ratio[class_index].add(log_ratio)
        self.log_ratio_spread[class_index].add(abs(log_ratio - self.class_log_ratio[class_index].mean))
        self.typical_elapsed_s[class_index] += (
            elapsed_s - self.typical_elapsed_s[class_index]
        ) / MEAN_WINDOW_RUNS
        if self.class_log_ratio[class_index].weight >= MEAN_WINDOW_RUNS / 6:
            self.best_log_ratio[class_index] = min(
                self.class_log_ratio[class_index].mean, self.best_log_ratio[class_index]
            )
        corrected_log_ratio = log_ratio - math.log(engine_slowness)
        self.group_log_ratio.setdefault((class_index, query.arrival.table_group), WeightedMean()).add(
            corrected_log_ratio
        )
        self.overall_log_ratio.add(corrected_log_ratio, query.estimated_cost_s)


class TokenBucket:
    """A tenant's token bucket in thread-seconds, which may go into debt, and the tenant's recent use."""

    def __init__(self, share: float) -> None:
        self.share = max(share, 1e-9)
        self.rate = 0.0  # thread-seconds per second
        self.recent_use = 0.0  # thread-seconds, with exponential decay
        self.level = math.inf  # a new bucket is full: the first refill cuts it to its depth
        self.updated_at = -math.inf

    def refill(self, now: float, rate: float) -> None:
        """Adds what ``rate`` yields since the last call, up to the bucket's depth, and lets the use decay."""
        elapsed_s = now - self.updated_at
        self.updated_at = now
        self.rate = rate
        self.level = min(rate * BUCKET_DEPTH_S, self.level + rate * elapsed_s)
        self.recent_use *= 0.5 ** (elapsed_s / USE_HALF_LIFE_S)


class OpenQueryYield:
    """The worth that a class earns per second of an open query.

    The seconds of queries that are still open count as well. Worth and seconds decay by the same half-life.
    """

    def __init__(self) -> None:
        self.open_count = 0
        self.earned_worth = 0.0
        self.open_seconds = 0.0
        self.updated_at = 0.0

    def update(self, now: float, open_change: int, worth: float = 0.0) -> float:
        """Changes the number of open queries, adds earned worth, and returns the worth per open second."""
        decay = 0.5 ** ((now - self.updated_at) / USE_HALF_LIFE_S)
        self.open_seconds = (self.open_seconds + self.open_count * (now - self.updated_at)) * decay
        self.earned_worth = self.earned_worth * decay + worth
        self.open_count = self.open_count + open_change
        self.updated_at = now
        return self.earned_worth / max(self.open_seconds, 1e-9)


class RetryBudget:
    """Limits further attempts within a sliding window; a window of 0 means no limit.

    The budget is a fixed number plus a ratio of the queries that arrived within the window.
    """

    def __init__(self, rules: api.Rules) -> None:
        self.rules = rules
        self.arrivals = deque[float]()  # times at which queries arrived
        self.further_attempts = deque[float]()  # times of attempts after a query's first

    def allows(self, now: float) -> bool:
        """Whether one more further attempt fits the budget.

        Arrivals leave the window one tick early and attempts one tick late, so that no rounding at the
        window's edge exceeds the limit.
        """
        window_start = now - self.rules.retry_window_s
        while self.arrivals and self.arrivals[0] <= window_start + TICK_S:
            self.arrivals.popleft()
        while self.further_attempts and self.further_attempts[0] < window_start - TICK_S:
            self.further_attempts.popleft()
        max_further = self.rules.retry_budget_floor + self.rules.retry_budget_ratio * len(self.arrivals)
        return self.rules.retry_window_s <= 0 or len(self.further_attempts) + 1 <= max_further


class EngineView:
    """What this gateway has observed of one engine: load, slowness, failures, quarantine and cold start."""

    def __init__(
        self,
        entry: api.EngineEntry,
        settings: api.Settings,
        now: float,
        random: Random,
        group_size: api.GroupSize,
    ) -> None:
        self.settings = settings
        self.entry = entry
        self.group_size = group_size  # shared with the router, which changes it
        self.in_flight: dict[int, Query] = {}  # queries of this gateway with an attempt on the engine
        self.cores = next((kind.cores for kind in settings.engine_kinds[entry.kind :]), 0.0) or 1.0
        self.capacity_share = 1.0 / group_size.alive  # this gateway's part of the engine's threads
        self.threads_in_flight = 0
        self.full_backoff_s = MIN_FULL_BACKOFF_S
        # Slowness is ln(duration / best duration). Attempts in flight only raise it as they age.
        self.log_slowness = 0.0  # of attempts that ended well
        self.log_slowness_in_flight = 0.0
        self.failure_level = 0.0  # moving average of failures, 0 to 1, with exponential decay
        self.others_per_core = 0.0  # queries of other gateways per core, by the last load report
        self.cold_window_index = 0.0
        self.cold_work_sent = 0.0  # thread-seconds sent in the current cold window
        self.cold_draw = 0.0  # uniform random number of the current cold window
        self.is_silent = False  # attempts in flight are overdue, and the engine gives no sign
        self.half_open = False  # after quarantine, one query at a time until one is answered
        self.last_attempt_unanswered = False
        self.last_response_at = now
        self.failure_decayed_at = now
        self.slowness_updated_at = -math.inf
        self.reported_at = -math.inf
        self.busy_until = -math.inf
        self.backoff_until = -math.inf
        self.suspected_until = -math.inf  # peers report the engine as failing until then
        self.drain_reported_until = -math.inf  # peers report the engine as draining until then
        self.last_ok_at = -math.inf
        self.random = random
        # A random offset per gateway, so that cold windows do not start at all gateways at once.
        self.cold_phase_s = random.random() * settings.rules.cold_window_s

    def decayed_at(self) -> float:
        """When what failures were observed has decayed."""
        return self.failure_decayed_at + 10 * HEALTH_HALF_LIFE_S

    def is_cold(self, now: float) -> bool:
        """Whether the engine started so recently that its cold-start budget applies."""
        return self.entry.started_at > 0 and now < self.entry.started_at + self.settings.rules.cold_duration_s

    def cold_budget_allows(self, now: float, work_s: float) -> bool:
        """Whether a cold engine may be sent a query of ``work_s`` thread-seconds (rule 4).

        The allowance of one window is divided evenly between the gateways. A first query that exceeds the
        gateway's part is sent only in as many randomly drawn windows as keep the mean within that part;
        otherwise an engine whose part is less than one query would get none until it is warm. A query that
        needs more than ``COLD_QUERY_SHARE`` of the whole allowance is not sent.
        """
        rules = self.settings.rules
        if not self.is_cold(now):
            return True
        window_index = (now + self.cold_phase_s) // (rules.cold_window_s + TICK_S)
        if window_index != self.cold_window_index:
            self.cold_window_index = window_index
            self.cold_work_sent = 0.0
            self.cold_draw = self.random.random()
        allowance_s = rules.cold_budget_multiple * rules.cold_initial_speed * self.cores * rules.cold_window_s
        part_s = allowance_s * COLD_SENT_SHARE / self.group_size.upper_bound
        first_fits = (
            work_s <= max(part_s, allowance_s * COLD_QUERY_SHARE) and work_s * self.cold_draw <= part_s
        )
        return self.cold_work_sent + work_s <= part_s if self.cold_work_sent > 0 else first_fits

    def is_under_pressure(self, now: float) -> bool:
        """Whether latency or a recent load report shows that the engine is overloaded."""
        return (
            max(self.log_slowness, self.log_slowness_in_flight) > math.log(PRESSURE_RATIO)
            or now < self.busy_until
        )

    def quarantine_threshold(self, now: float) -> float:
        """The failure level above which the engine is quarantined.

        Peer reports alone never quarantine an engine. They lower the threshold, so that fewer failures of
        this gateway's own attempts suffice, unless the engine has just answered one of them successfully.
        """
        return (
            SUSPECTED_QUARANTINE_LEVEL
            if now < self.suspected_until and now > self.last_ok_at + RECENT_OK_S
            else QUARANTINE_LEVEL
        )

    def has_room(self, now: float, enforce_bound: bool) -> bool:
        """Whether the engine can be sent another query.

        A half-open engine takes one query at a time. Others are not used during their backoff after a FULL
        outcome. The thread bound applies under pressure, or always with ``enforce_bound``.
        """
        if self.half_open and self.failure_level <= self.quarantine_threshold(now):
            return not self.in_flight
        max_threads = max(1.0, MAX_THREADS_PER_CORE * self.cores * self.capacity_share)
        return now >= self.backoff_until and (
            self.threads_in_flight < max_threads or not (enforce_bound or self.is_under_pressure(now))
        )

    def has_data_load_on(self, table_group: int) -> bool:
        """Whether a data load of this gateway runs on the table group here.

        Other data loads and readers that wait for loads would be blocked behind it.
        """
        return any(
            query.query_class.is_data_load and query.arrival.table_group == table_group
            for query in self.in_flight.values()
        )

    def is_quarantined(self, now: float) -> bool:
        """Lets the failure level decay and returns whether the engine is quarantined or silent.

        Quarantine ends by decay alone: each gateway tries the engine again now and then, without probes.
        """
        self.failure_level = self.failure_level * 0.5 ** (
            (now - self.failure_decayed_at) / HEALTH_HALF_LIFE_S
        )
        self.failure_decayed_at = now
        quarantined = self.failure_level > self.quarantine_threshold(now)
        self.half_open = self.half_open or quarantined
        return self.is_silent or quarantined

    def adjust_share(self, now: float, step: float) -> float:
        """Adjusts this gateway's share of the engine by pressure; returns the change in cores.

        The share starts at 1 / gateways. It grows by the relative ``step`` while it is used up without
        pressure, and shrinks under pressure, to no less than one thread or ``MIN_EVEN_SHARE`` of the even
        share.
        """
        thread_share = 1.0 / (MAX_THREADS_PER_CORE * self.cores)
        previous_share = self.capacity_share
        even_share = 1.0 / self.group_size.alive
        used_share = self.threads_in_flight * thread_share
        under_pressure = self.is_under_pressure(now)
        if not under_pressure and used_share > self.capacity_share * (1 - SHARE_STEP):
            self.capacity_share = min(1.0, max(self.capacity_share * (1 + step), used_share))
        elif under_pressure and used_share >= max(thread_share, self.capacity_share) * (1 - SHARE_STEP):
            self.capacity_share = max(
                min(even_share, max(thread_share, MIN_EVEN_SHARE * even_share)),
                self.capacity_share * (1 - step),
            )
        return (self.capacity_share - previous_share) * self.cores

    def update_silence(self, now: float, status_period_s: float) -> None:
        """Updates the slowness by attempts in flight, and whether the engine is silent.

        The engine is silent while it has given no sign for longer than one of its attempts should have
        taken, or for two status periods where engines send status messages.
        """
        waited_s = sum(now - query.sent_at for query in self.in_flight.values())
        best_s = sum(query.expected_s for query in self.in_flight.values())
        # Attempts in flight are biased towards long ones: the same load appears about twice as strong in
        # them as in attempts that ended, hence the division by two.
        self.log_slowness_in_flight = math.log(max(waited_s / best_s / 2, 1.0)) if best_s > 0 else 0.0
        patience = SILENCE_MULTIPLE * math.exp(max(0.0, self.log_slowness))
        due_after_s = [
            (2 * status_period_s or patience * query.expected_s + SILENCE_GRACE_S, query)
            for query in self.in_flight.values()
        ]
        # Where the class's duration is not learned yet, an attempt that the engine confirms is left running.
        self.is_silent = any(
            now - max(query.sent_at, self.last_response_at) > due_s
            and (query.duration_known or now > query.confirmed_at + SILENCE_MULTIPLE * SILENCE_GRACE_S)
            for due_s, query in due_after_s
        )


EngineViews = list[EngineView]


class Router:
    """Chooses the engine of a query.

    Each table group has its own hash order of the engines, the same at all gateways, so that queries of one
    group go to the same few home engines.
    """

    def __init__(self, settings: api.Settings, calibration: Calibration, random: Random) -> None:
        self.settings = settings
        self.calibration = calibration
        self.random = random
        self.engines = dict[str, EngineView]()  # all views, also of engines that are gone
        self.listed = dict[str, EngineView]()  # views of engines in the list that are not gone
        self.group_size = api.GroupSize(1, 1)
        self.report_weight = 0.0  # weight of other gateways' load, as engines report it, 0 to 1
        self.peer_reported = frozenset[str]()  # engines named in the last peer report
        self.set_group_size(api.GroupSize(settings.gateway_count, settings.gateway_count))
        # Moving average: 1 for an attempt without an answer in time on an engine that still responds, 0 for
        # a success.
        self.unanswered_share = 0.0
        self.orders = EngineOrders()  # of the listed engines, by table group
        self.departed = dict[str, EngineView]()  # views of engines that are gone, while they are kept
        self.earliest_expiry = math.inf  # before it no view of an engine that is gone has decayed
        self.active_engines = dict[str, EngineView]()  # engines with attempts of this gateway in flight
        self.threads_in_flight = 0  # of this gateway, on all engines
        self._total_cores = 0.0
        self._own_cores = 0.0
        self._cores_changed = False  # by the list; the sums are computed when they are needed next
        self.mean_others_per_core = 0.0  # moving average over load reports
        self.sorted_slowness = list[float]()  # log slowness of the observed engines, ascending
        self.median_slowness = 0.0

    def set_group_size(self, size: api.GroupSize) -> None:
        """Takes the number of gateways, at least 1.

        What a rule limits is divided by the upper bound, everything else by the number of alive gateways.
        Among few gateways, own threads tell more of an engine's load than its reports, which therefore
        weigh less.
        """
        self.group_size.upper_bound = max(1, size.upper_bound)
        self.group_size.alive = max(1, size.alive)
        self.report_weight = max(0.0, 1.0 - 4.0 / self.group_size.alive)

    def apply_peer_report(self, report: api.PeerReport) -> None:
        """Replaces what peers reported before: which engines they see failing or draining, and until when."""
        previously_reported = self.peer_reported
        self.peer_reported = report.failing | report.draining
        for view in [
            self.engines[engine]
            for engine in previously_reported | self.peer_reported
            if engine in self.engines
        ]:
            view.suspected_until = report.valid_until if view.entry.engine in report.failing else -math.inf
            view.drain_reported_until = (
                report.valid_until if view.entry.engine in report.draining else -math.inf
            )

    def hash_order(self, table_group: int, descending: bool = False) -> Iterator[EngineView]:
        """Yields the listed engines by rendezvous hash of table group and engine."""
        listed = self.listed
        return (listed[engine] for engine in self.orders.order(table_group, descending))

    def update_engine_list(self, now: float, update: api.ListUpdate) -> None:
        """Applies an update of the engine list, in a time that depends on the engines it names.

        Engine ids are never reused. The view of an engine that is gone is kept while attempts are in flight
        on it and until its observations have decayed. A restart under the same id clears the observations.
        """
        if update.kind in (api.ListKind.FULL, api.ListKind.RESTORED):
            named = {entry.engine for entry in update.entries}
            for engine in self.listed.keys() - named:
                self.apply_entry(now, replace(self.listed[engine].entry, state=api.EngineState.GONE))
        for entry in update.entries:
            self.apply_entry(now, entry)
        if now >= self.earliest_expiry:
            self.forget_decayed_views(now)
        self._cores_changed = True

    def apply_entry(self, now: float, entry: api.EngineEntry) -> None:
        """Applies one entry of the engine list."""
        new_view = EngineView(entry, self.settings, now, self.random, self.group_size)
        view = self.engines.setdefault(entry.engine, new_view)
        if entry.started_at > view.entry.started_at:
            self.forget_slowness(view)
            view.failure_level = 0.0
            view.log_slowness = 0.0
            view.half_open = False
            view.suspected_until = -math.inf
        view.entry = entry
        if entry.state is not api.EngineState.GONE:
            self.departed.pop(entry.engine, None)
            self.listed[entry.engine] = view
            self.orders.add(entry.engine)
            return
        self.listed.pop(entry.engine, None)
        self.orders.remove(entry.engine)
        self.departed[entry.engine] = view
        self.earliest_expiry = min(self.earliest_expiry, view.decayed_at())

    def forget_decayed_views(self, now: float) -> None:
        """Drops the views of engines that are gone, have no attempt in flight and whose failures decayed."""
        for engine, view in list(self.departed.items()):
            if not view.in_flight and now >= view.decayed_at():
                self.forget_slowness(view)
                del self.departed[engine], self.engines[engine]
        self.earliest_expiry = min((view.decayed_at() for view in self.departed.values()), default=math.inf)

    def forget_slowness(self, view: EngineView) -> None:
        """Takes the slowness of an engine out of the median, if it was observed."""
        if view.slowness_updated_at > -math.inf:
            del self.sorted_slowness[bisect_left(self.sorted_slowness, view.log_slowness)]
            view.slowness_updated_at = -math.inf

    @property
    def total_cores(self) -> float:
        """The cores of all engines that are up."""
        self._sum_cores()
        return self._total_cores

    @property
    def own_cores(self) -> float:
        """This gateway's share of the cores of listed engines."""
        self._sum_cores()
        return self._own_cores

    def add_own_cores(self, change: float) -> None:
        """Adds a change of this gateway's share of one engine, in cores."""
        self._own_cores += change

    def _sum_cores(self) -> None:
        """Computes both sums over the listed engines if the list has changed since."""
        if not self._cores_changed:
            return
        self._cores_changed = False
        views = self.listed.values()
        self._total_cores = sum(view.cores for view in views if view.entry.state is api.EngineState.UP)
        self._own_cores = sum(view.cores * view.capacity_share for view in views)

    def is_allowed(self, query: Query, engine: EngineView) -> bool:
        """Whether the rules permit the query on the engine at all (rules 2, 3 and 6).

        The engine must be up, and of a kind and zone that the class allows. A keyed query that may have run
        must stay within the zone or cell that drops its repeats.
        """
        query_class = query.query_class
        entry = engine.entry
        earlier_entries = [earlier for _, earlier in query.possible_runs]
        kinds = query_class.allowed_kinds
        zones = query_class.allowed_zones
        scope = query_class.dedup_scope
        placed = (kinds is None or entry.kind in kinds) and (zones is None or entry.zone in zones)
        if (
            earlier_entries
            and query_class.repeat_safety is api.RepeatSafety.KEYED
            and scope is not api.DedupScope.ALL
        ):
            by_zone = scope is api.DedupScope.ZONE
            placed &= all(
                entry.zone == earlier.zone if by_zone else entry.cell == earlier.cell
                for earlier in earlier_entries
            )
        return placed and entry.state is api.EngineState.UP

    def update_slowness(self, query: Query, engine: EngineView, elapsed_s: float, now: float) -> None:
        """Updates an engine's slowness, and the median over engines, by a successful run.

        The run's weight grows with its price, since cheap queries overtake others on a loaded engine and show
        little of the load, and with the age of the last observation.
        """
        if self.calibration.best_log_ratio[query.arrival.class_index] == math.inf:
            return
        if engine.slowness_updated_at > -math.inf:
            del self.sorted_slowness[bisect_left(self.sorted_slowness, engine.log_slowness)]
        price_ratio = min(3.0, query.price / max(self.calibration.mean_price.mean, 1e-9))
        staleness = 1.0 - 0.5 ** ((now - engine.slowness_updated_at) / HEALTH_HALF_LIFE_S)
        observed = math.log(max(elapsed_s, 1e-6) / max(query.expected_s, 1e-6))
        engine.log_slowness += (observed - engine.log_slowness) * max(
            0.1 * price_ratio, min(1.0, price_ratio) * staleness
        )
        engine.slowness_updated_at = now
        insort(self.sorted_slowness, engine.log_slowness)
        self.median_slowness = self.sorted_slowness[len(self.sorted_slowness) // 2]

    def effective_cores(self, engine: EngineView, now: float) -> float:
        """An engine's cores, reduced if it is cold or clearly slower than the median engine.

        Small differences in slowness do not count, so that noise does not move queries off their home
        engines.
        """
        excess = engine.log_slowness - self.median_slowness
        cores = engine.cores * (math.exp(-excess) if excess > math.log(PRESSURE_RATIO) / 2 else 1.0)
        return cores * max(0.1, self.settings.rules.cold_initial_speed) if engine.is_cold(now) else cores

    def choose_engine(
        self, query: Query, now: float, enforce_bound: bool, may_use_failing: bool
    ) -> EngineView | None:
        """The engine for a query, or None if it has to be held.

        It is the least loaded home engine with room. The rest of the hash order is searched only if the
        homes have no room or are busier than the mean. With ``may_use_failing`` a quarantined engine that
        still answers is the last resort.
        """

        def load_with_query(engine: EngineView) -> float:
            """Threads per effective core with the query added, of this gateway and as reported of others."""
            freshness: float = 0.5 ** ((now - engine.reported_at) / REPORT_HALF_LIFE_S)
            others_threads = (
                (self.mean_others_per_core + (engine.others_per_core - self.mean_others_per_core) * freshness)
                * engine.cores
                * self.report_weight
            )
            cores = self.effective_cores(engine, now)
            return (engine.threads_in_flight + others_threads) / cores + query_load * (engine.cores / cores)

        # Congestion sustains itself: with many gateways even one query from each on each engine is too much.
        max_threads = (
            CONGESTED_BOUND
            * MAX_THREADS_PER_CORE
            * self.total_cores
            / self.group_size.alive
            / max(self.report_weight, 1e-9)
        )
        if self.unanswered_share > CONGESTED_SHARE and self.threads_in_flight >= max(1.0, max_threads):
            return None
        mean_load = (
            self.threads_in_flight / max(self.total_cores, 1e-9)
            + self.mean_others_per_core * self.report_weight
        )
        # Threads per core that the query adds to an engine of mean size.
        query_load = query.query_class.threads * len(self.listed) / max(self.total_cores, 1e-9)
        quarantined = EngineViews()
        set_aside = EngineViews()
        candidates = self.usable_engines(query, now, quarantined, set_aside)
        homes = list(islice(candidates, HOME_ENGINES))
        # All gateways have the same homes. Gateways with little traffic see them all idle, and without a
        # rotation by gateway all would choose the first.
        rotation = self.settings.gateway_index % max(1, len(homes))
        homes = homes[rotation:] + homes[:rotation]
        # Quarantine never leaves a query without engines: if no others remain, those set aside are used, and
        # then the quarantined ones.
        free_homes = [
            engine for engine in homes or set_aside or quarantined if engine.has_room(now, enforce_bound)
        ]
        best = min(free_homes, key=load_with_query, default=None)
        # A home may exceed the mean by the query itself: else a gateway with little traffic leaves its homes.
        if best is None or load_with_query(best) - 2 * query_load > mean_load:
            fallbacks = [] if best is None else [best]
            for engine in candidates:
                if engine.has_room(now, enforce_bound):
                    if load_with_query(engine) < mean_load:
                        return engine
                    fallbacks += [] if free_homes else [engine]
            best = min(fallbacks, key=load_with_query, default=None)
        if best is None and may_use_failing:
            # An answer that a failing engine still gives is better than waiting, and its errors return fast.
            answering = (
                engine
                for engine in quarantined
                if not engine.last_attempt_unanswered and engine.has_room(now, True)
            )
            best = min(answering, key=lambda engine: engine.failure_level, default=None)
        return best

    def usable_engines(
        self, query: Query, now: float, quarantined: EngineViews, set_aside: EngineViews
    ) -> Iterator[EngineView]:
        """Yields the engines that can be used for a query, in the hash order of its table group.

        Allowed engines that are passed over on the way are appended to ``quarantined``, or to ``set_aside``
        where the query was tried before or a data load of its table group runs.
        """
        work_s = max(query.estimated_cost_s, self.calibration.expected_s(query) * query.query_class.threads)
        kept_apart = query.query_class.is_data_load or query.query_class.waits_for_data_loads
        # Readers that wait for data loads are blocked where one runs, so loads search from the far end.
        reverse = query.query_class.is_data_load and any(
            query_class.waits_for_data_loads for query_class in self.settings.classes
        )
        for engine in self.hash_order(query.arrival.table_group, descending=reverse):
            if (
                now < engine.drain_reported_until
                or not self.is_allowed(query, engine)
                or not engine.cold_budget_allows(now, work_s)
            ):
                continue
            if engine.is_quarantined(now):
                quarantined.append(engine)
            elif engine.entry.engine in query.tried_engines or (
                kept_apart and engine.has_data_load_on(query.arrival.table_group)
            ):
                set_aside.append(engine)
            else:
                yield engine


class KeySerializer:
    """Runs queries with the same ordering key one at a time, in their order of arrival (rule 5).

    After an attempt whose outcome leaves open whether it still runs, the key rests before its next query
    starts.
    """

    def __init__(self) -> None:
        self.queues = dict[int | None, deque[Query]]()
        self.rest_until = dict[int | None, float]()

    def may_run(self, query: Query, now: float) -> bool:
        """Whether the query is the first of its key and the key does not rest; retries need no rest."""
        queue = self.queues.get(query.ordering_key)
        rested = query.attempt_count > 0 or now >= self.rest_until.get(query.ordering_key, now)
        return queue is None or (queue[0] is query and rested)

    def remove(self, query: Query) -> Query | None:
        """Removes a finished query without an attempt in flight; returns the new first query of its key."""
        queue = self.queues.get(query.ordering_key, deque([query]))
        queue.remove(query)
        if not queue:
            self.queues.pop(query.ordering_key, None)
        return queue[0] if queue else None


class FairQueue:
    """Held queries in one priority queue per ``QueueKey``, ordered by worth per price.

    ``Controller.release_held`` shares released capacity fairly between the heads of these queues.
    """

    def __init__(self) -> None:
        self.queues = dict[QueueKey, list[tuple[float, int, Query]]]()
        self.sequence = count()

    def add(self, query: Query, late: bool) -> None:
        """Adds a query; ``late`` means past its soft deadline, which leaves only part of its worth."""
        worth = query.query_class.worth * (query.query_class.late_worth_share if late else 1.0)
        queue_key = (late, query.arrival.tenant_index, query.arrival.class_index, query.attempt_count > 0)
        queue = self.queues.setdefault(queue_key, [])
        # Queries given up meanwhile may lie too deep in the heap to reach its head, so it is swept regularly.
        if len(queue) % 64 == 63:
            queue[:] = sorted(held for held in queue if held[2].is_waiting())
        heappush(queue, (-worth / max(query.price, 1e-9), next(self.sequence), query))

    def head(self, queue_key: QueueKey, now: float) -> Query | None:
        """The first query of a queue that still waits.

        Queries that can no longer meet their soft deadline move to the late queue on the way.
        """
        while queue := self.queues[queue_key]:
            query = queue[0][2]
            if query.is_waiting() and (queue_key[0] or now + query.expected_s <= query.soft_deadline):
                return query
            heappop(queue)
            if query.is_waiting():
                self.add(query, True)
        return None


class Controller:
    """One gateway's decisions: admission, routing, further attempts and final answers of its queries."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.calibration = Calibration(settings.classes)
        self.router = Router(settings, self.calibration, self.random)
        self.held_queries = FairQueue()
        self.key_order = KeySerializer()
        self.retry_budget = RetryBudget(settings.rules)
        self.queries = dict[int, Query]()
        self.token_buckets = dict[int, TokenBucket]()
        self.wait_heap: list[tuple[float, int, Query]] = []  # held queries by the time that their wait ends
        self.class_yields = [OpenQueryYield() for _ in settings.classes]
        self.total_yield = OpenQueryYield()  # over all classes
        self.actions = list[api.Action]()
        self.blocked_queues = set[QueueKey]()  # queues whose head found no engine since the last change
        self.now = 0.0
        self.last_tick_at = -1.0
        self.timer_due_at = math.inf

    def handle(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Processes the events of one moment in order and returns the actions that follow from them."""
        self.now = now
        self.actions = []
        if needs_watch := self.last_tick_at < 0:
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
                    # A timer that fires up to half a tick early, by rounding, is the one that was due.
                    self.timer_due_at = (
                        math.inf if now > self.timer_due_at - TICK_S / 2 else self.timer_due_at
                    )
                    self.tick()
                case api.ListUpdate():
                    self.router.update_engine_list(now, event)
                    self.blocked_queues.clear()
                    needs_watch = needs_watch or event.kind is api.ListKind.UNAVAILABLE
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
                        query.cancel_requested = True  # no client waits for the attempt's result
                        self.actions.append(api.Cancel(event.query, query.attempt_count - 1))
        if needs_watch and not self.settings.list_is_pushed:
            self.actions.append(api.WatchList())
        self.release_held()
        self.expire_waits()
        # One timer at a time, and none while nothing is due: an idle gateway needs no periodic checks.
        tick_soon = self.wait_heap or self.key_order.rest_until
        due_at = now + (TICK_S if tick_soon else WATCH_S if self.router.active_engines else math.inf)
        if due_at < self.timer_due_at - TICK_S / 2:
            self.timer_due_at = due_at
            self.actions.append(api.SetTimer(1, due_at - now))
        return self.actions

    def on_query_arrived(self, event: api.QueryArrived) -> None:
        """Prices a new query and holds it for release, or gives it up where too many queries are open."""
        query_class = self.settings.classes[event.class_index]
        self.retry_budget.arrivals.append(self.now)
        # Without an estimate and before any run, the soft deadline is the only scale of the class's cost.
        cost_s = (
            event.estimated_cost_s
            or self.calibration.class_cost_s[event.class_index].mean
            or query_class.soft_deadline_s
        )
        query = Query(event, query_class, event.ordering_key if query_class.ordered_by_key else None, cost_s)
        query.price = self.calibration.price(query)
        self.calibration.mean_price.add(query.price)
        self.calibration.mean_worth.add(query_class.worth)
        query.expected_s = self.calibration.expected_s(query)
        query.soft_deadline = (
            self.now + query_class.soft_deadline_s + query_class.soft_deadline_stretch * query.expected_s
        )
        self.queries[query.arrival.query] = query
        if query.ordering_key is not None:
            self.key_order.queues.setdefault(query.ordering_key, deque()).append(query)
        # At the limit of open queries all are turned away alike. A class that earns less than the mean per
        # open second may therefore fill only part of the limit, and leaves the rest to the others.
        class_yield, mean_yield = (
            open_yield.update(self.now, 1)
            for open_yield in (self.class_yields[event.class_index], self.total_yield)
        )
        max_open = self.settings.limits.max_open_queries * (
            UNEARNED_OPEN_SHARE + (1 - UNEARNED_OPEN_SHARE) * min(1.0, class_yield / max(mean_yield, 1e-9))
        )
        over_limit = 0 < max_open < len(self.queries)
        self.give_up(query, api.GiveUpReason.NO_OPEN_SLOT) if over_limit else self.hold(query)

    def hold(self, query: Query) -> None:
        """Holds a query until its deadline less the class's typical duration, or gives it up.

        Each call enters the wait anew: a query that is held again after its first wait has ended would
        otherwise never be answered.
        """
        # Given up at once if it can't end in time even with an estimate too high by twice the usual
        # deviation: it would delay others in vain.
        estimate_margin = math.exp(-2 * self.calibration.log_ratio_spread[query.arrival.class_index].mean)
        if self.now + query.expected_s * estimate_margin > query.arrival.deadline:
            return self.give_up(query, api.GiveUpReason.DEADLINE_UNREACHABLE)
        typical_s = max(self.calibration.typical_elapsed_s[query.arrival.class_index], 2 * TICK_S)
        heappush(
            self.wait_heap, (query.arrival.deadline - typical_s, next(self.held_queries.sequence), query)
        )
        if self.key_order.may_run(query, self.now):
            self.held_queries.add(query, self.now > query.soft_deadline)

    def on_attempt_ended(self, event: api.AttemptEnded) -> None:
        """Updates the engine, and finishes, holds again or gives up the query.

        Events of attempts other than the query's current one are ignored.
        """
        query = self.queries.get(event.query)
        if query is None or query.engine is None or query.attempt_count != event.attempt + 1:
            return
        self.blocked_queues.clear()
        engine = self.router.engines[query.engine]
        query.engine = None
        del engine.in_flight[query.arrival.query]
        engine.threads_in_flight -= query.query_class.threads
        self.router.threads_in_flight -= query.query_class.threads
        if not engine.in_flight:
            del self.router.active_engines[engine.entry.engine]
            engine.is_silent = False
            engine.log_slowness_in_flight = 0.0
        self.update_engine_health(query, engine, event)
        if event.outcome in (api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED):
            self.key_order.rest_until[query.ordering_key] = self.now + self.settings.rules.order_settle_s
        if event.outcome not in (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_STARTED):
            query.possible_runs.append((query.sent_at, engine.entry))
        if event.query_settled or event.outcome is api.Outcome.OK or query.finished:
            worth_share = 1.0 if self.now <= query.soft_deadline else query.query_class.late_worth_share
            self.finish(
                query, query.query_class.worth * worth_share if event.outcome is api.Outcome.OK else 0.0
            )
        else:
            self.hold(query) if self.may_retry(query) else self.give_up(
                query, api.GiveUpReason.ATTEMPTS_EXHAUSTED
            )

    def update_engine_health(self, query: Query, engine: EngineView, event: api.AttemptEnded) -> None:
        """Updates an engine's load, slowness, failure level and backoff by the outcome of an attempt."""
        outcome = event.outcome
        report = event.report or api.LoadReport()
        busy = (
            max(report.busy_share or 0.0, report.memory_granted_share or 0.0) > BUSY_SHARE
            or outcome is api.Outcome.FULL
        )
        if busy or event.report is not None:
            engine.busy_until = self.now + (BUSY_VALID_S if busy else 0.0)
        if report.in_flight is not None:
            engine.others_per_core = (report.in_flight - len(engine.in_flight)) / engine.cores
            engine.reported_at = self.now
            self.router.mean_others_per_core += (
                engine.others_per_core - self.router.mean_others_per_core
            ) / MEAN_WINDOW_RUNS
        if outcome in (api.Outcome.OK, api.Outcome.ERROR, api.Outcome.FULL):
            engine.last_response_at = self.now
        if outcome is api.Outcome.OK:
            engine.failure_level = engine.failure_level * (1 - FAILURE_WEIGHT)
            engine.half_open = False
            engine.full_backoff_s = MIN_FULL_BACKOFF_S
            engine.last_ok_at = self.now
            self.router.update_slowness(query, engine, event.elapsed_s, self.now)
            self.calibration.learn(
                query, event.elapsed_s, math.exp(engine.log_slowness - self.router.median_slowness)
            )
        # A timeout shows a lost engine only if it answered nothing since the attempt was sent; else it is
        # slow.
        lost_by_timeout = outcome is api.Outcome.TIMEOUT and engine.last_response_at <= query.sent_at
        if (
            outcome is api.Outcome.OK
            or query.cancel_requested
            or (outcome is api.Outcome.TIMEOUT and not lost_by_timeout)
        ):
            self.router.unanswered_share += (
                ((outcome is not api.Outcome.OK) - self.router.unanswered_share) * FAILURE_WEIGHT / 2
            )
        engine.last_attempt_unanswered = (
            outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.RESET) or lost_by_timeout
        )
        # Only a query's first run counts: a query that fails on every engine is itself at fault.
        counted_error = outcome is api.Outcome.ERROR and not query.possible_runs
        weight = LOST_WEIGHT if engine.last_attempt_unanswered else FAILURE_WEIGHT if counted_error else 0.0
        engine.failure_level += (1 - engine.failure_level) * weight
        if outcome is api.Outcome.FULL and self.now >= engine.backoff_until:
            # Single queries of many gateways can keep an engine full, so the backoff doubles until it
            # answers.
            engine.full_backoff_s = min(MAX_FULL_BACKOFF_S, 2 * engine.full_backoff_s)
            engine.backoff_until = self.now + engine.full_backoff_s * (0.5 + self.random.random())

    def on_attempt_status(self, event: api.AttemptStatus) -> None:
        """Processes a status message; restarts an attempt that is projected to take far too long."""
        query = self.queries.get(event.query)
        if query is None or query.engine is None or query.attempt_count != event.attempt + 1:
            return
        engine = self.router.engines[query.engine]
        elapsed_s = self.now - query.sent_at
        if event.kind is api.AttemptStatusKind.ALIVE:
            query.confirmed_at = self.now
            if self.settings.status_period_s:
                engine.last_response_at = self.now  # where engines confirm, it takes the place of a message
            return
        engine.last_response_at = self.now
        remaining_s = elapsed_s / max(event.value, 1e-3) - elapsed_s
        runaway = remaining_s > RUNAWAY_MULTIPLE * query.expected_s * math.exp(max(0.0, engine.log_slowness))
        if event.kind is api.AttemptStatusKind.PROGRESS and runaway and not query.finished:
            self.restart_attempt(query)

    def restart_attempt(self, query: Query) -> None:
        """Cancels the attempt in flight if another is allowed, which its CANCELLED outcome then starts."""
        allowed = (
            self.settings.limits.cancel_allowed
            and not query.cancel_requested
            and self.retry_budget.allows(self.now)
        )
        if allowed and self.may_retry(query, in_flight_may_run=True):
            query.cancel_requested = True
            self.actions.append(api.Cancel(query.arrival.query, query.attempt_count - 1))

    def finish(self, query: Query, worth: float = 0.0) -> None:
        """Forgets an answered query without an attempt in flight, and holds the next one of its key."""
        query.finished = True
        for open_yield in (self.class_yields[query.arrival.class_index], self.total_yield):
            open_yield.update(self.now, -1, worth)
        self.queries.pop(query.arrival.query, None)
        if (following := self.key_order.remove(query)) is not None and following.is_waiting():
            self.hold(following)

    def may_retry(self, query: Query, in_flight_may_run: bool = False) -> bool:
        """Whether rule 2, the attempt limits and the time left permit another attempt.

        ``in_flight_may_run`` counts the attempt in flight as one that may have run.
        """
        if query.query_class.repeat_safety is not api.RepeatSafety.SAFE and (
            in_flight_may_run or query.possible_runs
        ):
            if query.query_class.repeat_safety is api.RepeatSafety.UNSAFE:
                return False
            if self.now >= self.deduplicated_until(query):
                return False
        attempts_left = (
            len(query.possible_runs) < MAX_FRUITLESS_RUNS
            and query.attempt_count < self.settings.limits.max_attempts
        )
        return attempts_left and self.now + query.expected_s < query.arrival.deadline

    def deduplicated_until(self, query: Query) -> float:
        """Until when engines drop a repeat of a keyed query that was sent.

        Two ticks before the window of its first possible run ends, so that no repeat arrives after it.
        """
        first_sent_at = query.possible_runs[0][0] if query.possible_runs else query.sent_at
        return first_sent_at + query.query_class.dedup_window_s - 2 * TICK_S

    def give_up(self, query: Query, reason: api.GiveUpReason) -> None:
        """Gives the final answer at once: refused where the client may safely retry, else failed.

        The retry hint is the time until the tenant's debt is paid, at least the class's typical duration,
        with jitter so that refused clients do not return together.
        """
        query_class = query.query_class
        limits = self.settings.limits
        bucket = self.token_bucket(query)
        dropped_by_all = (
            query_class.repeat_safety is api.RepeatSafety.KEYED
            and query_class.dedup_scope is api.DedupScope.ALL
        )
        wait_s = max(
            -bucket.level / max(bucket.rate, 1e-9),
            self.calibration.typical_elapsed_s[query.arrival.class_index],
        )
        wait_s *= 1 + RETRY_HINT_JITTER * self.random.random()
        retry_after_s = min(limits.max_retry_after_s, wait_s) if limits.retry_hints_allowed else 0.0
        safe_to_repeat = (
            query_class.repeat_safety is api.RepeatSafety.SAFE or dropped_by_all or not query.possible_runs
        )
        query_id = query.arrival.query
        self.actions.append(
            api.Refuse(query_id, retry_after_s, reason) if safe_to_repeat else api.Fail(query_id, reason)
        )
        self.finish(query)

    def token_bucket(self, query: Query) -> TokenBucket:
        """The refilled bucket of the query's tenant, or of its class where there are no tenants.

        Its rate is the tenant's share of the cores that this gateway may use; classes have even shares.
        """
        tenants = self.settings.tenants
        owner = query.arrival.tenant_index if tenants else query.arrival.class_index
        share = tenants[owner].share if owner < len(tenants) else 1.0 / len(self.settings.classes)
        bucket = self.token_buckets.setdefault(owner, TokenBucket(share))
        bucket.refill(self.now, bucket.share * self.router.own_cores)
        return bucket

    def release_held(self) -> None:
        """Releases held queries while engines have room for them.

        Among the heads of all queues the order is: queries in time before late ones, tenants out of debt
        before those in debt, then by recent use per share (fair queueing), then by worth per price. A queue
        whose head finds no engine is blocked until something changes.
        """
        while True:
            heads: list[tuple[bool, bool, float, float, QueueKey, Query]] = []
            for queue_key in list(self.held_queries.queues):
                query = (
                    None if queue_key in self.blocked_queues else self.held_queries.head(queue_key, self.now)
                )
                if query is not None:
                    bucket = self.token_bucket(query)
                    in_debt = bucket.level < 0 and not query.charged
                    negative_worth_per_price = self.held_queries.queues[queue_key][0][0]
                    heads.append(
                        (
                            queue_key[0],
                            in_debt,
                            bucket.recent_use / bucket.share,
                            negative_worth_per_price,
                            queue_key,
                            query,
                        )
                    )
            if not heads:
                return
            late, in_debt, _, _, queue_key, query = min(heads, key=lambda head: head[:5])
            if query.attempt_count > 0 and not self.may_retry(query):
                self.give_up(query, api.GiveUpReason.ATTEMPTS_EXHAUSTED)
                continue
            retry_allowed = self.retry_budget.allows(self.now)
            may_use_failing = retry_allowed and query.query_class.repeat_safety is api.RepeatSafety.SAFE
            over_budget = query.attempt_count > 0 and not retry_allowed
            engine = (
                None
                if over_budget
                else self.router.choose_engine(query, self.now, in_debt or late, may_use_failing)
            )
            if engine is None:
                self.blocked_queues.add(queue_key)
            else:
                heappop(self.held_queries.queues[queue_key])
                self.send(query, engine)

    def send(self, query: Query, engine: EngineView) -> None:
        """Sends an attempt, the only place that does, and charges the query's price at its first attempt."""
        if query.attempt_count:
            self.retry_budget.further_attempts.append(self.now)
        if not query.charged:
            query.charged = True
            bucket = self.token_bucket(query)
            bucket.level = bucket.level - query.price
            bucket.recent_use = bucket.recent_use + query.price
        is_keyed_repeat = query.possible_runs and query.query_class.repeat_safety is api.RepeatSafety.KEYED
        start_by = self.deduplicated_until(query) if is_keyed_repeat else math.inf
        query.engine = engine.entry.engine
        query.sent_at = self.now
        query.cancel_requested = False
        query.attempt_count = query.attempt_count + 1
        query.expected_s = self.calibration.expected_s(query)
        query.duration_known = self.calibration.duration_known(query)
        query.tried_engines.add(engine.entry.engine)
        engine.last_response_at = engine.last_response_at if engine.in_flight else self.now
        self.router.active_engines[engine.entry.engine] = engine
        engine.in_flight[query.arrival.query] = query
        engine.threads_in_flight += query.query_class.threads
        self.router.threads_in_flight += query.query_class.threads
        engine.cold_work_sent += max(query.estimated_cost_s, query.expected_s * query.query_class.threads)
        if self.settings.priorities_honored or self.settings.memory_grants_honored:
            grant_mb = MEMORY_GRANT_FACTOR * (query.arrival.estimated_memory_mb or 0.0)
            self.actions.append(api.SetTerms(query.arrival.query, grant_mb, self.priority(query)))
        self.actions.append(
            api.Send(query.arrival.query, engine.entry.engine, query.arrival.deadline, start_by)
        )

    def priority(self, query: Query) -> int:
        """The engine priority of a query, 0 to 3, by its worth per price relative to the mean."""
        mean_ratio = self.calibration.mean_worth.mean / max(self.calibration.mean_price.mean, 1e-9)
        relative_worth = query.query_class.worth / max(query.price, 1e-9) / max(mean_ratio, 1e-9)
        return 3 if relative_worth > 2 else 2 if relative_worth > 0.5 else 1 if relative_worth > 0.125 else 0

    def tick(self) -> None:
        """Runs the periodic checks: shares by pressure, silent engines, and keys whose rest has ended."""
        elapsed_s = self.now - max(self.last_tick_at, 0.0)
        self.last_tick_at = self.now
        step = min(0.5, SHARE_STEP * elapsed_s / TICK_S)
        self.blocked_queues.clear()
        for engine in list(self.router.active_engines.values()):
            self.router.add_own_cores(engine.adjust_share(self.now, step))
            engine.update_silence(self.now, self.settings.status_period_s)
            for query in list(engine.in_flight.values()) if engine.is_silent else ():
                self.restart_attempt(query)
        for key in [key for key, until in self.key_order.rest_until.items() if self.now >= until]:
            del self.key_order.rest_until[key]
            if key in self.key_order.queues and self.key_order.queues[key][0].is_waiting():
                self.hold(self.key_order.queues[key][0])

    def expire_waits(self) -> None:
        """Gives up held queries whose wait has ended.

        It runs after each release, since a query may arrive with less time left than one tick.
        """
        while self.wait_heap and (self.wait_heap[0][0] <= self.now or not self.wait_heap[0][2].is_waiting()):
            if (query := heappop(self.wait_heap)[2]).is_waiting():
                self.give_up(query, api.GiveUpReason.WAIT_EXPIRED)
