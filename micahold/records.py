"""What a gateway keeps of a query while it answers for it. Plain data; nothing here decides."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from micahold.interface import EngineEntry, QueryArrived, QueryClass


@dataclass(slots=True, eq=False)
class Query:
    """A query that this gateway has taken and not yet finished with."""

    asked: QueryArrived
    kind: QueryClass
    key: int | None  # None where the class keeps no order
    cost: float  # told, or learned
    price: float = 0.0
    expected: float = 0.0  # time on an engine at its best
    learnt: bool = False  # how long its class takes was known when it was sent
    alive: float = -inf  # when its engine last said that it has it
    aim: float = 0.0  # when its full worth ends
    attempts: int = 0
    engine: str | None = None  # where an attempt is out
    sent: float = 0.0
    cancelled: bool = False
    charged: bool = False
    done: bool = False
    may_have_run: list[tuple[float, EngineEntry]] = field(default_factory=list)
    tried: set[str] = field(default_factory=set)

    def waiting(self) -> bool:
        """Neither over nor out."""
        return not self.done and self.engine is None
