"""What a gateway keeps of a query while it answers for it. Plain data; nothing here decides."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from micahold.interface import EngineEntry, QueryArrived, QueryClass


@dataclass(slots=True, eq=False)
class Query:
    """A query that this gateway has taken and not yet finished with."""

    arrival: QueryArrived
    query_class: QueryClass
    ordering_key: int | None  # None where the class keeps no order
    estimated_cost_s: float  # told, or learned
    price: float = 0.0
    expected_s: float = 0.0  # time on an engine at its best
    duration_known: bool = False  # how long its class takes was known when it was sent
    confirmed_at: float = -inf  # when its engine last said that it has it
    soft_deadline: float = 0.0  # when its full worth ends
    attempt_count: int = 0
    engine: str | None = None  # where an attempt is out
    sent_at: float = 0.0
    cancel_requested: bool = False
    charged: bool = False
    finished: bool = False
    possible_runs: list[tuple[float, EngineEntry]] = field(default_factory=list)
    tried_engines: set[str] = field(default_factory=set)

    def is_waiting(self) -> bool:
        """Neither over nor out."""
        return not self.finished and self.engine is None
