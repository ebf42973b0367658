"""The log: one JSON line an event on standard output, which may be a pipe that nobody empties."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

import orjson

from micahold.counters import Counters

MAX_BUFFERED_BYTES = 256 * 1024


class Log:
    """Lines are gathered for a moment and written without waiting; when the pipe is full they are lost."""

    def __init__(self, descriptor: int, now: Callable[[], float], counters: Counters) -> None:
        self._descriptor, self._now, self._counters = descriptor, now, counters
        self._kept = bytearray()
        self._later: Callable[[], None] | None = None
        os.set_blocking(descriptor, False)

    def defer_flushes(self, schedule: Callable[[], None]) -> None:
        """``schedule`` is called when there is something to write and nothing scheduled yet."""
        self._later = schedule

    def __call__(self, event: str, **fields: Any) -> None:
        line = orjson.dumps({"ts": round(self._now(), 4), "event": event, **fields}, default=repr) + b"\n"
        if len(self._kept) + len(line) > MAX_BUFFERED_BYTES:
            self._counters.add("log_lines_lost")
            return
        was_empty = not self._kept
        self._kept += line
        if self._later is None:
            self.flush()
        elif was_empty:
            self._later()

    def flush(self) -> bool:
        """Write what the descriptor takes now; True when nothing is left."""
        try:
            while self._kept:
                written = os.write(self._descriptor, self._kept)
                del self._kept[:written]
        except BlockingIOError:
            pass
        except OSError:
            self._kept.clear()  # nobody reads any more
        return not self._kept
