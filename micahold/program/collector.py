"""Garbage collection at moments of our choosing: a full pass takes longer than a query may be late.

Nothing that comes with each query or connection leaves cycles behind; tests hold that. So the collector's own
timing is off, and a pass is made when no query is open, or when cycles may have piled up regardless.
"""

from __future__ import annotations

import gc
from collections.abc import Callable
from typing import Any

CHECK_INTERVAL_S = 1.0
MIN_GROWTH_WHEN_IDLE = 2_000  # objects more than after the last pass, when nobody waits
MAX_GROWTH_WHEN_BUSY = (
    20_000  # objects more than after the last pass, whoever waits: a few MB, a few ms to look through
)


class GarbageCollector:
    """Looks once a second."""

    def __init__(self, clock: Any, is_idle: Callable[[], bool], count: Callable[[str], None]) -> None:
        self.clock, self.is_idle, self.count = clock, is_idle, count

    def start(self) -> None:
        gc.collect()
        gc.freeze()  # what is there at the start stays, and need not be looked through again
        gc.disable()
        self.clock.callLater(CHECK_INTERVAL_S, self._look)

    def _look(self) -> None:
        grown = gc.get_count()[0]
        if grown > MAX_GROWTH_WHEN_BUSY or (grown > MIN_GROWTH_WHEN_IDLE and self.is_idle()):
            gc.collect()
            self.count("collections")
        self.clock.callLater(CHECK_INTERVAL_S, self._look)
