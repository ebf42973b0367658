"""Faults planted in a front's code, to show that a soak run finds their kind."""

from __future__ import annotations

import time
from collections.abc import Callable

PLANT_VARIABLE = "MICAHOLD_PLANT"


def _plant_lease() -> None:
    """A query that is aborted counts as over at once, whatever its engine still holds."""
    from micahold.transport import query_lease

    class EarlyLease(query_lease.QueryLease):
        """Has lapsed as soon as it is asked."""

        last_write = 0.0

        def call_written(self, now: float) -> None:
            """Notes the write of a call."""
            self.last_write = now

        @property
        def lapses_at(self) -> float:
            """The last write, which has passed."""
            return self.last_write

    query_lease.QueryLease = EarlyLease  # type: ignore[misc]


def _plant_clock() -> None:
    """The reactor runs on the wall clock."""
    from micahold.program.loop import FrontReactor

    FrontReactor.seconds = staticmethod(time.time)


def _plant_calls() -> None:
    """Every failed read or write ends its connection."""
    from micahold.program import sockets

    sockets.TRANSIENT_ERRORS = frozenset()


PLANTS: dict[str, Callable[[], None]] = {"lease": _plant_lease, "clock": _plant_clock, "calls": _plant_calls}
