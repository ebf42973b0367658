"""What became of each query, from records that may have holes: a state machine, and sums that add up.

| state | by | to |
| --- | --- | --- |
| (none) | QueryTaken | HELD |
| HELD | AttemptSent | OUT |
| OUT | AttemptEnded, and no other attempt is out | HELD |
| HELD, OUT | QueryAnswered | served, refused, failed or dropped |
| HELD, OUT | the run crashed, or records are missing up to its end | unknown |
| (none) | QueryAnswered, AttemptSent, AttemptEnded of a query whose QueryTaken is missing | unplaced |

Each query taken is counted once, under one end. Worth is kept in whole millionths, so that sums over classes,
tenants, fronts and ends are equal to the last digit. Only open queries and refused ones of the last
``JOIN_S`` seconds are kept.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from micahold.chronicle import records as rec

JOIN_S, MOST_JOINED = 30.0, 50_000
MOST_OPEN = 200_000


class End(Enum):
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    DROPPED = "dropped"
    UNKNOWN = "unknown"


ENDS = {one.value: one for one in End}


@dataclass(slots=True)
class Life:
    """One query from its taking to its end; times are the front's own, microseconds."""

    front: str
    run: str
    taken: rec.QueryTaken
    out: dict[int, str] = field(default_factory=dict)  # attempt: engine
    engines: list[str] = field(default_factory=list)
    ended: int = 0
    end: End | None = None
    why: str = ""
    tries_before: int = 0  # further tries by the client that were refused before this one

    @property
    def worth(self) -> int:
        """Millionths that it would have earned in time."""
        return round(self.taken.worth * 1e6)

    @property
    def earned(self) -> int:
        """Millionths; a part of the worth once the aim had passed."""
        if self.end is not End.SERVED:
            return 0
        late = self.taken.aim and self.ended > self.taken.aim
        return round(self.worth * self.taken.late_share) if late else self.worth

    @property
    def may_have_run(self) -> bool:
        return bool(self.engines)


Key = tuple[str, str, str]  # front, class, tenant


@dataclass(slots=True)
class Sums:
    """Queries and millionths of worth by end; ``earned`` and ``late`` are parts of what was served."""

    queries: Counter[End] = field(default_factory=Counter)
    worth: Counter[End] = field(default_factory=Counter)
    earned: int = 0
    late: int = 0
    joined: int = 0  # refused here and tried again elsewhere: not lost with that

    def add(self, life: Life) -> None:
        assert life.end is not None
        self.queries[life.end] += 1
        self.worth[life.end] += life.worth
        self.earned += life.earned
        self.late += life.end is End.SERVED and life.earned < life.worth

    def merge(self, other: Sums) -> None:
        self.queries.update(other.queries)
        self.worth.update(other.worth)
        self.earned += other.earned
        self.late += other.late
        self.joined += other.joined

    @property
    def asked(self) -> int:
        return sum(self.queries.values())

    @property
    def lost(self) -> int:
        """Millionths asked for and not earned."""
        return sum(self.worth.values()) - self.earned


class Lives:
    """Fed the records of every run, each in its own order; ``finished`` hands out lives as they end."""

    def __init__(self) -> None:
        self.open: dict[tuple[str, str, int], Life] = {}
        self.sums: dict[Key, Sums] = {}
        self.by_engine: Counter[tuple[str, str]] = Counter()  # engine, outcome
        self.unplaced: Counter[str] = Counter()
        self.twice: list[tuple[str, str, int]] = []  # answered a second time: a breach
        self._ended = OrderedDict[tuple[str, str, int], None]()
        self._refused = OrderedDict[str, tuple[int, Key, int]]()  # id: when, whose, tries before
        self._finished: list[Life] = []

    def feed(self, front: str, run: str, record: rec.Record) -> None:
        """One record of one run."""
        match record:
            case rec.QueryTaken():
                self._taken(front, run, record)
            case rec.AttemptSent(query=query, attempt=attempt, engine=engine):
                life = self._life(front, run, query, "sent")
                if life is not None:
                    life.out[attempt] = engine
                    life.engines.append(engine)
            case rec.AttemptEnded(query=query, attempt=attempt, engine=engine, outcome=outcome):
                self.by_engine[engine, outcome] += 1
                life = self._life(front, run, query, "ended")
                if life is not None:
                    life.out.pop(attempt, None)
            case rec.QueryAnswered(at=at, query=query, how=how, why=why):
                life = self._life(front, run, query, "answered")
                if life is not None:
                    self._end(life, at, ENDS.get(how, End.UNKNOWN), why)
            case _:
                pass

    def _life(self, front: str, run: str, query: int, what: str) -> Life | None:
        life = self.open.get((front, run, query))
        if life is None:
            if (front, run, query) not in self._ended:
                self.unplaced[what] += 1
            elif what == "answered":
                self.twice.append((front, run, query))
        return life

    def _taken(self, front: str, run: str, record: rec.QueryTaken) -> None:
        life = Life(front, run, record)
        before = self._refused.pop(record.id, None)
        if before is not None and record.at - before[0] <= JOIN_S * 1e6:
            self.sums[before[1]].joined += 1
            life.tries_before = before[2] + 1
        self.open[front, run, record.query] = life
        if len(self.open) > MOST_OPEN:
            oldest = next(iter(self.open.values()))
            self._end(oldest, oldest.taken.at, End.UNKNOWN, "too many open")

    def _end(self, life: Life, at: int, end: End, why: str) -> None:
        life.end, life.ended, life.why = end, at, why
        mark = (life.front, life.run, life.taken.query)
        del self.open[mark]
        self._ended[mark] = None
        if len(self._ended) > MOST_JOINED:
            self._ended.popitem(last=False)
        key = (life.front, life.taken.query_class, life.taken.tenant)
        self.sums.setdefault(key, Sums()).add(life)
        if end is End.REFUSED:
            self._refused[life.taken.id] = (at, key, life.tries_before)
            if len(self._refused) > MOST_JOINED:
                self._refused.popitem(last=False)
        self._finished.append(life)

    def run_over(self, front: str, run: str, at: int, why: str) -> None:
        """The records of a run end here: what it had open is unknown, by a crash or by lost records."""
        for life in [one for one in self.open.values() if (one.front, one.run) == (front, run)]:
            self._end(life, max(at, life.taken.at), End.UNKNOWN, why)

    def finished(self) -> Iterator[Life]:
        """Lives that ended since the last call."""
        done, self._finished = self._finished, []
        return iter(done)

    def total(
        self, front: str | None = None, query_class: str | None = None, tenant: str | None = None
    ) -> Sums:
        """Sums over all, or over one front, class or tenant."""
        whole = Sums()
        for (its_front, its_class, its_tenant), one in self.sums.items():
            if (
                front in (None, its_front)
                and query_class in (None, its_class)
                and tenant in (None, its_tenant)
            ):
                whole.merge(one)
        return whole
