"""Faults planted in a front's code, to show that a soak run finds their kind."""

from __future__ import annotations

import time
from collections.abc import Callable

PLANT_VARIABLE = "MICAHOLD_PLANT"


def _plant_lease() -> None:
    """The lease of a query counts from the write of its last call."""
    from micahold.transport import query_lease

    query_lease.CALL_HOLD_S = 0.0
    query_lease.DELIVERY_DELAY_S = 0.0
    query_lease.LIMIT_TOLERANCE_S = 0.0


def _plant_clock() -> None:
    """The reactor runs on the wall clock."""
    from micahold.program.loop import FrontReactor

    FrontReactor.seconds = staticmethod(time.time)


def _plant_calls() -> None:
    """Every failed read or write ends its connection."""
    from micahold.program import sockets

    sockets.TRANSIENT_ERRORS = frozenset()


PLANTS: dict[str, Callable[[], None]] = {"lease": _plant_lease, "clock": _plant_clock, "calls": _plant_calls}
