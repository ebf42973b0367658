"""Reconstruction of each query's lifecycle from records with gaps, and totals that count every query once.

| state | by | to |
| --- | --- | --- |
| (none) | QueryAccepted | HELD |
| HELD | AttemptSent | IN_FLIGHT |
| IN_FLIGHT | AttemptEnded, and no other attempt is in flight | HELD |
| HELD, IN_FLIGHT | QueryAnswered | served, refused, failed or dropped; unknown for another outcome |
| HELD, IN_FLIGHT | the run crashed, or records are missing up to its end | unknown |
| HELD, IN_FLIGHT | more than ``MAX_OPEN_QUERIES`` are open and this one is the oldest | unknown |
| (none) | QueryAnswered, AttemptSent or AttemptEnded without a QueryAccepted | orphan record |

Each accepted query is counted once, under one outcome. Worth is kept in whole millionths, so that sums over
classes, tenants, fronts and outcomes are exactly equal. Besides open queries, only the last
``MAX_REMEMBERED_QUERIES`` ended and refused ones are remembered: ended ones to recognize duplicate answers,
refused ones to recognize retries within ``RETRY_JOIN_S``.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from micahold.chronicle import records as rec

RETRY_JOIN_S = 30.0  # a query accepted within this time after its refusal is a retry of the refused one
MAX_REMEMBERED_QUERIES = 50_000  # keys of ended queries and ids of refused ones that are kept
MAX_OPEN_QUERIES = 200_000


class QueryOutcome(Enum):
    """How a query ended; the values are those of ``QueryAnswered.outcome``, and "unknown"."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    DROPPED = "dropped"
    UNKNOWN = "unknown"


OUTCOMES_BY_VALUE = {outcome.value: outcome for outcome in QueryOutcome}


@dataclass(slots=True)
class QueryLifecycle:
    """A query from its acceptance to its end; times are Unix microseconds of the front's own clock."""

    front: str
    run_id: str
    accepted: rec.QueryAccepted
    in_flight: dict[int, str] = field(default_factory=dict)  # engine by attempt number
    attempted_engines: list[str] = field(default_factory=list)
    ended_at_us: int = 0
    outcome: QueryOutcome | None = None
    reason: str = ""
    earlier_refusals: int = 0  # tries of the same query that were refused before this one

    @property
    def worth_millionths(self) -> int:
        """Millionths of worth that the query earns if served in time."""
        return round(self.accepted.worth * 1e6)

    @property
    def earned_millionths(self) -> int:
        """Millionths of worth that the query earned: only a share of it if served after the soft deadline."""
        if self.outcome is not QueryOutcome.SERVED:
            return 0
        late = self.accepted.soft_deadline_us and self.ended_at_us > self.accepted.soft_deadline_us
        return (
            round(self.worth_millionths * self.accepted.late_worth_share) if late else self.worth_millionths
        )

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt was sent, so that the query may have run on an engine."""
        return bool(self.attempted_engines)


TotalsKey = tuple[str, str, str]  # front, class, tenant


@dataclass(slots=True)
class OutcomeTotals:
    """Number of queries and millionths of worth by outcome.

    ``earned_millionths`` and ``late_count`` belong to the served queries.
    """

    query_counts: Counter[QueryOutcome] = field(default_factory=Counter)
    worth_millionths: Counter[QueryOutcome] = field(default_factory=Counter)
    earned_millionths: int = 0
    late_count: int = 0
    joined_retries: int = 0  # refused, then accepted as a retry: not lost by the refusal

    def add(self, lifecycle: QueryLifecycle) -> None:
        """Adds a query that has ended."""
        assert lifecycle.outcome is not None
        self.query_counts[lifecycle.outcome] += 1
        self.worth_millionths[lifecycle.outcome] += lifecycle.worth_millionths
        self.earned_millionths += lifecycle.earned_millionths
        self.late_count += (
            lifecycle.outcome is QueryOutcome.SERVED
            and lifecycle.earned_millionths < lifecycle.worth_millionths
        )

    def merge(self, other: OutcomeTotals) -> None:
        """Adds the totals of other queries."""
        self.query_counts.update(other.query_counts)
        self.worth_millionths.update(other.worth_millionths)
        self.earned_millionths += other.earned_millionths
        self.late_count += other.late_count
        self.joined_retries += other.joined_retries

    @property
    def query_count(self) -> int:
        """Number of queries with any outcome."""
        return sum(self.query_counts.values())

    @property
    def unearned_millionths(self) -> int:
        """Millionths of worth that the queries did not earn."""
        return sum(self.worth_millionths.values()) - self.earned_millionths


class LifecycleTracker:
    """Builds lifecycles and totals from the records of all runs, each run's records in their order.

    ``totals`` are by front, class and tenant. Records of a query without a QueryAccepted are counted in
    ``orphan_records``. ``duplicate_answers`` lists further answers of a query, which violate the guarantee of
    exactly one answer.
    """

    def __init__(self) -> None:
        self.open_queries: dict[tuple[str, str, int], QueryLifecycle] = {}
        self.totals: dict[TotalsKey, OutcomeTotals] = {}
        self.attempt_outcomes: Counter[tuple[str, str]] = Counter()  # engine, outcome
        self.orphan_records: Counter[str] = Counter()  # by event: sent, ended, answered
        self.duplicate_answers: list[tuple[str, str, int]] = []  # front, run id, query
        self._ended = OrderedDict[tuple[str, str, int], None]()
        # By query id: time of the refusal, key of its totals, earlier refusals.
        self._refused = OrderedDict[str, tuple[int, TotalsKey, int]]()
        self._finished: list[QueryLifecycle] = []

    def add_record(self, front: str, run_id: str, record: rec.Record) -> None:
        """Applies the next record of a run."""
        match record:
            case rec.QueryAccepted():
                self._accept(front, run_id, record)
            case rec.AttemptSent(query=query, attempt=attempt, engine=engine):
                lifecycle = self._find_open(front, run_id, query, "sent")
                if lifecycle is not None:
                    lifecycle.in_flight[attempt] = engine
                    lifecycle.attempted_engines.append(engine)
            case rec.AttemptEnded(query=query, attempt=attempt, engine=engine, outcome=attempt_outcome):
                self.attempt_outcomes[engine, attempt_outcome] += 1
                lifecycle = self._find_open(front, run_id, query, "ended")
                if lifecycle is not None:
                    lifecycle.in_flight.pop(attempt, None)
            case rec.QueryAnswered(time_us=time_us, query=query, outcome=outcome, reason=reason):
                lifecycle = self._find_open(front, run_id, query, "answered")
                if lifecycle is not None:
                    self._finish(
                        lifecycle, time_us, OUTCOMES_BY_VALUE.get(outcome, QueryOutcome.UNKNOWN), reason
                    )
            case _:
                pass

    def _find_open(self, front: str, run_id: str, query: int, event: str) -> QueryLifecycle | None:
        """Returns the open lifecycle of a query. Without one, counts an orphan record or a duplicate answer.

        A record of a query that has ended is neither, unless it is a second answer.
        """
        lifecycle = self.open_queries.get((front, run_id, query))
        if lifecycle is None:
            if (front, run_id, query) not in self._ended:
                self.orphan_records[event] += 1
            elif event == "answered":
                self.duplicate_answers.append((front, run_id, query))
        return lifecycle

    def _accept(self, front: str, run_id: str, record: rec.QueryAccepted) -> None:
        """Opens a lifecycle, and joins it to a recent refusal with the same query id."""
        lifecycle = QueryLifecycle(front, run_id, record)
        refusal = self._refused.pop(record.query_id, None)
        if refusal is not None and record.time_us - refusal[0] <= RETRY_JOIN_S * 1e6:
            self.totals[refusal[1]].joined_retries += 1
            lifecycle.earlier_refusals = refusal[2] + 1
        self.open_queries[front, run_id, record.query] = lifecycle
        if len(self.open_queries) > MAX_OPEN_QUERIES:
            oldest = next(iter(self.open_queries.values()))
            self._finish(oldest, oldest.accepted.time_us, QueryOutcome.UNKNOWN, "too many open")

    def _finish(self, lifecycle: QueryLifecycle, time_us: int, outcome: QueryOutcome, reason: str) -> None:
        """Ends a lifecycle with an outcome and adds it to the totals."""
        lifecycle.outcome, lifecycle.ended_at_us, lifecycle.reason = outcome, time_us, reason
        query_key = (lifecycle.front, lifecycle.run_id, lifecycle.accepted.query)
        del self.open_queries[query_key]
        self._ended[query_key] = None
        if len(self._ended) > MAX_REMEMBERED_QUERIES:
            self._ended.popitem(last=False)
        totals_key = (lifecycle.front, lifecycle.accepted.query_class, lifecycle.accepted.tenant)
        self.totals.setdefault(totals_key, OutcomeTotals()).add(lifecycle)
        if outcome is QueryOutcome.REFUSED:
            self._refused[lifecycle.accepted.query_id] = (time_us, totals_key, lifecycle.earlier_refusals)
            if len(self._refused) > MAX_REMEMBERED_QUERIES:
                self._refused.popitem(last=False)
        self._finished.append(lifecycle)

    def end_run(self, front: str, run_id: str, time_us: int, reason: str) -> None:
        """Ends a run whose records end here, by a crash or lost records: its open queries become unknown."""
        for lifecycle in [
            open_query
            for open_query in self.open_queries.values()
            if (open_query.front, open_query.run_id) == (front, run_id)
        ]:
            self._finish(lifecycle, max(time_us, lifecycle.accepted.time_us), QueryOutcome.UNKNOWN, reason)

    def take_finished(self) -> Iterator[QueryLifecycle]:
        """Returns the lifecycles that ended since the last call."""
        finished, self._finished = self._finished, []
        return iter(finished)

    def combined_totals(
        self, front: str | None = None, query_class: str | None = None, tenant: str | None = None
    ) -> OutcomeTotals:
        """Returns the totals over all queries, or over those of a front, class or tenant."""
        combined = OutcomeTotals()
        for (key_front, key_class, key_tenant), totals in self.totals.items():
            if (
                front in (None, key_front)
                and query_class in (None, key_class)
                and tenant in (None, key_tenant)
            ):
                combined.merge(totals)
        return combined
