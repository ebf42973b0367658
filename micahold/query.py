"""The state that a gateway keeps of an open query. The module holds plain data and no decisions."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from micahold.interface import EngineEntry, QueryArrived, QueryClass


@dataclass(slots=True, eq=False)
class Query:
    """A query from its arrival until it is answered and has no attempt in flight."""

    arrival: QueryArrived
    query_class: QueryClass
    ordering_key: int | None  # None where the class is not ordered by key
    estimated_cost_s: float  # thread-seconds: the client's estimate, or the class's learned mean
    price: float = 0.0  # thread-seconds that the tenant is charged: the calibrated estimate
    expected_s: float = 0.0  # duration on an engine at its best
    duration_known: bool = False  # whether the class's duration was learned when the attempt was sent
    confirmed_at: float = -inf  # when the engine last confirmed that it has the attempt
    soft_deadline: float = 0.0  # the time after which the query earns only part of its worth
    attempt_count: int = 0
    engine: str | None = None  # the engine of the attempt in flight
    sent_at: float = 0.0  # when the last attempt was sent
    cancel_requested: bool = False  # whether the attempt in flight was cancelled
    charged: bool = False  # whether the price was taken from the token bucket
    finished: bool = False  # no final answer is due
    # Attempts that ended and may have run: when each was sent, and the engine's entry.
    possible_runs: list[tuple[float, EngineEntry]] = field(default_factory=list)
    tried_engines: set[str] = field(default_factory=set)

    def is_waiting(self) -> bool:
        """Whether the query is neither finished nor in flight."""
        return not self.finished and self.engine is None
