"""A queue for many timers, most of which are cancelled, on a single delayed call of the reactor.

The reactor compares its delayed calls in Python code, which is slow for many of them; the heap here holds
tuples, which compare natively.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Any

# Cancelled timers stay in the heap until they are due. The heap is rebuilt without them when there are more
# than this many and they make up more than half of it.
MAX_CANCELLED_TIMERS = 1000


class Timer:
    """A scheduled call of a ``TimerQueue``."""

    __slots__ = ("_args", "_callback", "_queue")

    def __init__(self, queue: TimerQueue, callback: Callable[..., None], args: tuple[Any, ...]) -> None:
        self._queue = queue
        self._callback = callback
        self._args = args

    def cancel(self) -> None:
        """Prevents the call; has no effect on a timer that has fired or is cancelled already."""
        if self._callback is not None:
            self._callback = None  # type: ignore[assignment]
            self._args = ()
            self._queue.cancelled += 1

    def active(self) -> bool:
        """Whether the timer has neither fired nor been cancelled."""
        return self._callback is not None

    def fire(self) -> None:
        """Makes the call; for a cancelled timer, only takes it off the queue's count of those."""
        callback = self._callback
        args = self._args
        if callback is None:
            self._queue.cancelled -= 1
        else:
            self._callback = None  # type: ignore[assignment]
            self._args = ()
            callback(*args)


class TimerQueue:
    """Schedules calls in order of their time, never early; calls due at the same time keep their order."""

    def __init__(self, clock: Any) -> None:
        self.clock = clock
        self.cancelled = 0  # cancelled timers that are still in the heap
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = count()
        self._delayed_call: Any = None

    def call_later(self, delay: float, callback: Callable[..., None], *args: Any) -> Timer:
        """Schedules ``callback(*args)`` after ``delay`` seconds."""
        fire_at = self.clock.seconds() + delay
        timer = Timer(self, callback, args)
        heappush(self._heap, (fire_at, next(self._sequence), timer))
        if self._delayed_call is None or fire_at < self._delayed_call.getTime():
            self._schedule()
        return timer

    def _schedule(self) -> None:
        """Points the reactor's delayed call at the earliest timer."""
        if self._delayed_call is not None and self._delayed_call.active():
            self._delayed_call.cancel()
        self._delayed_call = None
        if self._heap:
            delay = max(0.0, self._heap[0][0] - self.clock.seconds())
            self._delayed_call = self.clock.callLater(delay, self._fire_due)

    def _fire_due(self) -> None:
        """Fires all due timers; if one raises, the rest are rescheduled and the exception propagates."""
        self._delayed_call = None
        now = self.clock.seconds()
        if self.cancelled > MAX_CANCELLED_TIMERS and self.cancelled * 2 > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].active()]
            heapify(self._heap)
            self.cancelled = 0
        try:
            while self._heap and self._heap[0][0] <= now:
                heappop(self._heap)[2].fire()
        finally:
            if self._delayed_call is None:
                self._schedule()
