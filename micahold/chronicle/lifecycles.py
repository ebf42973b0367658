"""What became of each query, from records that may have holes: a state machine, and sums that add up.

| state | by | to |
| --- | --- | --- |
| (none) | QueryAccepted | HELD |
| HELD | AttemptSent | OUT |
| OUT | AttemptEnded, and no other attempt is out | HELD |
| HELD, OUT | QueryAnswered | served, refused, failed or dropped |
| HELD, OUT | the run crashed, or records are missing up to its end | unknown |
| (none) | QueryAnswered, AttemptSent, AttemptEnded of a query whose QueryAccepted is missing | unplaced |

Each query taken is counted once, under one end. Worth is kept in whole millionths, so that sums over classes,
tenants, fronts and ends are equal to the last digit. Only open queries and refused ones of the last
``RETRY_JOIN_S`` seconds are kept.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from micahold.chronicle import records as rec

RETRY_JOIN_S, MAX_REMEMBERED_QUERIES = 30.0, 50_000
MAX_OPEN_QUERIES = 200_000


class QueryOutcome(Enum):
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    DROPPED = "dropped"
    UNKNOWN = "unknown"


OUTCOMES_BY_VALUE = {one.value: one for one in QueryOutcome}


@dataclass(slots=True)
class QueryLifecycle:
    """One query from its taking to its end; times are the front's own, microseconds."""

    front: str
    run_id: str
    accepted: rec.QueryAccepted
    in_flight: dict[int, str] = field(default_factory=dict)  # attempt: engine
    attempted_engines: list[str] = field(default_factory=list)
    ended_at_us: int = 0
    outcome: QueryOutcome | None = None
    reason: str = ""
    earlier_refusals: int = 0  # further tries by the client that were refused before this one

    @property
    def worth_millionths(self) -> int:
        """Millionths that it would have earned in time."""
        return round(self.accepted.worth * 1e6)

    @property
    def earned_millionths(self) -> int:
        """Millionths; a part of the worth once the aim had passed."""
        if self.outcome is not QueryOutcome.SERVED:
            return 0
        late = self.accepted.soft_deadline_us and self.ended_at_us > self.accepted.soft_deadline_us
        return (
            round(self.worth_millionths * self.accepted.late_worth_share) if late else self.worth_millionths
        )

    @property
    def may_have_run(self) -> bool:
        return bool(self.attempted_engines)


TotalsKey = tuple[str, str, str]  # front, class, tenant


@dataclass(slots=True)
class OutcomeTotals:
    """Queries and millionths of worth by end; ``earned_millionths`` and ``late_count`` are parts of what was
    served.
    """

    query_counts: Counter[QueryOutcome] = field(default_factory=Counter)
    worth_millionths: Counter[QueryOutcome] = field(default_factory=Counter)
    earned_millionths: int = 0
    late_count: int = 0
    joined_retries: int = 0  # refused here and tried again elsewhere: not lost with that

    def add(self, life: QueryLifecycle) -> None:
        assert life.outcome is not None
        self.query_counts[life.outcome] += 1
        self.worth_millionths[life.outcome] += life.worth_millionths
        self.earned_millionths += life.earned_millionths
        self.late_count += (
            life.outcome is QueryOutcome.SERVED and life.earned_millionths < life.worth_millionths
        )

    def merge(self, other: OutcomeTotals) -> None:
        self.query_counts.update(other.query_counts)
        self.worth_millionths.update(other.worth_millionths)
        self.earned_millionths += other.earned_millionths
        self.late_count += other.late_count
        self.joined_retries += other.joined_retries

    @property
    def query_count(self) -> int:
        return sum(self.query_counts.values())

    @property
    def unearned_millionths(self) -> int:
        """Millionths asked for and not earned."""
        return sum(self.worth_millionths.values()) - self.earned_millionths


class LifecycleTracker:
    """Fed the records of every run, each in its own order; ``take_finished`` hands out lives as they end."""

    def __init__(self) -> None:
        self.open_queries: dict[tuple[str, str, int], QueryLifecycle] = {}
        self.totals: dict[TotalsKey, OutcomeTotals] = {}
        self.attempt_outcomes: Counter[tuple[str, str]] = Counter()  # engine, outcome
        self.orphan_records: Counter[str] = Counter()
        self.duplicate_answers: list[tuple[str, str, int]] = []  # answered a second time: a breach
        self._ended = OrderedDict[tuple[str, str, int], None]()
        self._refused = OrderedDict[str, tuple[int, TotalsKey, int]]()  # id: when, whose, tries before
        self._finished: list[QueryLifecycle] = []

    def add_record(self, front: str, run_id: str, record: rec.Record) -> None:
        """One record of one run."""
        match record:
            case rec.QueryAccepted():
                self._taken(front, run_id, record)
            case rec.AttemptSent(query=query, attempt=attempt, engine=engine):
                life = self._life(front, run_id, query, "sent")
                if life is not None:
                    life.in_flight[attempt] = engine
                    life.attempted_engines.append(engine)
            case rec.AttemptEnded(query=query, attempt=attempt, engine=engine, outcome=outcome):
                self.attempt_outcomes[engine, outcome] += 1
                life = self._life(front, run_id, query, "ended")
                if life is not None:
                    life.in_flight.pop(attempt, None)
            case rec.QueryAnswered(time_us=at, query=query, outcome=how, reason=why):
                life = self._life(front, run_id, query, "answered")
                if life is not None:
                    self._end(life, at, OUTCOMES_BY_VALUE.get(how, QueryOutcome.UNKNOWN), why)
            case _:
                pass

    def _life(self, front: str, run: str, query: int, what: str) -> QueryLifecycle | None:
        life = self.open_queries.get((front, run, query))
        if life is None:
            if (front, run, query) not in self._ended:
                self.orphan_records[what] += 1
            elif what == "answered":
                self.duplicate_answers.append((front, run, query))
        return life

    def _taken(self, front: str, run: str, record: rec.QueryAccepted) -> None:
        life = QueryLifecycle(front, run, record)
        before = self._refused.pop(record.query_id, None)
        if before is not None and record.time_us - before[0] <= RETRY_JOIN_S * 1e6:
            self.totals[before[1]].joined_retries += 1
            life.earlier_refusals = before[2] + 1
        self.open_queries[front, run, record.query] = life
        if len(self.open_queries) > MAX_OPEN_QUERIES:
            oldest = next(iter(self.open_queries.values()))
            self._end(oldest, oldest.accepted.time_us, QueryOutcome.UNKNOWN, "too many open")

    def _end(self, life: QueryLifecycle, at: int, end: QueryOutcome, why: str) -> None:
        life.outcome, life.ended_at_us, life.reason = end, at, why
        mark = (life.front, life.run_id, life.accepted.query)
        del self.open_queries[mark]
        self._ended[mark] = None
        if len(self._ended) > MAX_REMEMBERED_QUERIES:
            self._ended.popitem(last=False)
        key = (life.front, life.accepted.query_class, life.accepted.tenant)
        self.totals.setdefault(key, OutcomeTotals()).add(life)
        if end is QueryOutcome.REFUSED:
            self._refused[life.accepted.query_id] = (at, key, life.earlier_refusals)
            if len(self._refused) > MAX_REMEMBERED_QUERIES:
                self._refused.popitem(last=False)
        self._finished.append(life)

    def end_run(self, front: str, run_id: str, time_us: int, reason: str) -> None:
        """The records of a run end here: what it had open is unknown, by a crash or by lost records."""
        for life in [one for one in self.open_queries.values() if (one.front, one.run_id) == (front, run_id)]:
            self._end(life, max(time_us, life.accepted.time_us), QueryOutcome.UNKNOWN, reason)

    def take_finished(self) -> Iterator[QueryLifecycle]:
        """Lives that ended since the last call."""
        done, self._finished = self._finished, []
        return iter(done)

    def combined_totals(
        self, front: str | None = None, query_class: str | None = None, tenant: str | None = None
    ) -> OutcomeTotals:
        """Sums over all, or over one front, class or tenant."""
        whole = OutcomeTotals()
        for (its_front, its_class, its_tenant), one in self.totals.items():
            if (
                front in (None, its_front)
                and query_class in (None, its_class)
                and tenant in (None, its_tenant)
            ):
                whole.merge(one)
        return whole
