"""Runs Python's cyclic garbage collector at chosen times, since a full pass can make answers late.

Nothing that is allocated per query or connection leaves reference cycles behind, which tests check. The
collector's automatic passes are therefore off. A pass runs when no query is open and some objects have
accumulated, or regardless of open queries when many have.
"""

from __future__ import annotations

import gc
from collections.abc import Callable
from typing import Any

CHECK_INTERVAL_S = 1.0
# Growth in objects since the last pass that makes a pass worth its cost while no query is open.
MIN_GROWTH_WHEN_IDLE = 2_000
# Growth in objects since the last pass that forces a pass: a few MB, which take a few ms to traverse.
MAX_GROWTH_WHEN_BUSY = 20_000


class GarbageCollector:
    """Checks once per interval whether a pass is due.

    ``is_idle`` tells whether no query is open; ``count`` adds one to the counter of the given name.
    """

    def __init__(self, clock: Any, is_idle: Callable[[], bool], count: Callable[[str], None]) -> None:
        self.clock = clock
        self.is_idle = is_idle
        self.count = count

    def start(self) -> None:
        """Collects once, turns automatic passes off and begins the checks."""
        gc.collect()
        gc.freeze()  # objects of the start-up stay alive, so later passes need not traverse them
        gc.disable()
        self.clock.callLater(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        growth = gc.get_count()[0]
        if growth > MAX_GROWTH_WHEN_BUSY or (growth > MIN_GROWTH_WHEN_IDLE and self.is_idle()):
            gc.collect()
            self.count("collections")
        self.clock.callLater(CHECK_INTERVAL_S, self._check)
