"""The log: one JSON line per event on standard output, which may be a pipe without a reader."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from typing import Any

import orjson

from micahold.counters import Counters

MAX_BUFFERED_BYTES = 256 * 1024


class Log:
    """Buffers lines and writes them without blocking; lines that exceed the full buffer are dropped.

    Dropped lines are counted as ``log_lines_lost``. Each line has ``ts`` from ``now``, in Unix seconds, and
    ``mono`` from ``monotonic``, in seconds of the clock that all time limits are kept by.
    """

    def __init__(
        self,
        descriptor: int,
        now: Callable[[], float],
        counters: Counters,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._descriptor = descriptor
        self._now = now
        self._monotonic = monotonic
        self._counters = counters
        self._buffer = bytearray()
        self._schedule_flush: Callable[[], None] | None = None
        os.set_blocking(descriptor, False)

    def defer_flushes(self, schedule: Callable[[], None]) -> None:
        """Calls ``schedule`` when the buffer gets its first line, instead of a flush after each line.

        ``schedule`` has to arrange calls of ``flush`` until the buffer is empty.
        """
        self._schedule_flush = schedule

    def __call__(self, event: str, **fields: Any) -> None:
        """Logs ``event`` with ``fields``; values that JSON does not have are written as their ``repr``."""
        times = {"ts": round(self._now(), 4), "mono": round(self._monotonic(), 4)}
        line = orjson.dumps({**times, "event": event, **fields}, default=repr) + b"\n"
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self._counters.add("log_lines_lost")
            return
        was_empty = not self._buffer
        self._buffer += line
        if self._schedule_flush is None:
            self.flush()
        elif was_empty:
            self._schedule_flush()

    def flush(self) -> bool:
        """Writes as much as the descriptor accepts without blocking; True when the buffer is empty."""
        try:
            while self._buffer:
                written = os.write(self._descriptor, self._buffer)
                del self._buffer[:written]
        except BrokenPipeError:
            self._buffer.clear()  # nobody will ever read it
        except OSError as error:
            if not isinstance(error, BlockingIOError):
                self._counters.add("log_writes_failed")  # the lines are kept until a later flush
        return not self._buffer
