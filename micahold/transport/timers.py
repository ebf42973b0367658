"""Many timers of which most are called off, behind one of the reactor's: those compare in Python."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Any

MAX_CANCELLED_TIMERS = 1000  # called-off timers that may stay in line before it is cleared of them


class Timer:
    """One timer; ``cancel`` may come at any time."""

    __slots__ = ("_act", "_args", "_timers")

    def __init__(self, timers: TimerQueue, act: Callable[..., None], args: tuple[Any, ...]) -> None:
        self._timers, self._act, self._args = timers, act, args

    def cancel(self) -> None:
        if self._act is not None:
            self._act, self._args = None, ()  # type: ignore[assignment]
            self._timers.cancelled += 1

    def active(self) -> bool:
        return self._act is not None

    def fire(self) -> None:
        act, args = self._act, self._args
        if act is None:
            self._timers.cancelled -= 1
        else:
            self._act, self._args = None, ()  # type: ignore[assignment]
            act(*args)


class TimerQueue:
    """Fires each timer in its turn; never early."""

    def __init__(self, clock: Any) -> None:
        self.clock = clock
        self.cancelled = 0
        self._line: list[tuple[float, int, Timer]] = []
        self._serial = count()
        self._armed: Any = None

    def call_later(self, delay: float, act: Callable[..., None], *args: Any) -> Timer:
        at = self.clock.seconds() + delay
        timer = Timer(self, act, args)
        heappush(self._line, (at, next(self._serial), timer))
        if self._armed is None or at < self._armed.getTime():
            self._arm()
        return timer

    def _arm(self) -> None:
        if self._armed is not None and self._armed.active():
            self._armed.cancel()
        self._armed = None
        if self._line:
            delay = max(0.0, self._line[0][0] - self.clock.seconds())
            self._armed = self.clock.callLater(delay, self._fire)

    def _fire(self) -> None:
        self._armed = None
        now = self.clock.seconds()
        if self.cancelled > MAX_CANCELLED_TIMERS and self.cancelled * 2 > len(self._line):
            self._line = [one for one in self._line if one[2].active()]
            heapify(self._line)
            self.cancelled = 0
        try:
            while self._line and self._line[0][0] <= now:
                heappop(self._line)[2].fire()
        finally:
            if self._armed is None:
                self._arm()
