"""Faults of the machine for a front under test: a stepped wall clock and system calls that fail.

The faults stand in a file that the experiment and the front map into memory, so that a change takes effect at
once. In the front ``preload/sitecustomize.py`` replaces the calls of the standard library.
"""

from __future__ import annotations

import mmap
import os
import struct
import time
from math import inf
from pathlib import Path

FAULTS_VARIABLE = "MICAHOLD_FAULTS"
PRELOAD_FOLDER = Path(__file__).parent / "preload"
CALL_NAMES = ("accept", "socket", "connect", "recv", "send", "epoll_wait", "open", "write", "fsync")
# In place of an error number: the call reads or writes one byte.
SHORT = -1
UNTIL_CLEARED = -1

_OFFSET = struct.Struct("d")
# Error number, how often it still fails, number of calls so far, until when it fails (time.monotonic).
_CALL = struct.Struct("iiqd")
_FILE_BYTES = _OFFSET.size + len(CALL_NAMES) * _CALL.size


class SystemFaults:
    """The faults in one file; both sides create an object on the same path."""

    def __init__(self, path: Path) -> None:
        self.path = path
        if not path.exists():
            path.write_bytes(bytes(_FILE_BYTES))
        descriptor = os.open(path, os.O_RDWR)
        try:
            self._memory = mmap.mmap(descriptor, _FILE_BYTES)
        finally:
            os.close(descriptor)

    def environment(self) -> dict[str, str]:
        """Environment variables that make a Python process take its faults from this file."""
        folders = [str(PRELOAD_FOLDER), str(Path(__file__).parents[2]), os.environ.get("PYTHONPATH", "")]
        return {FAULTS_VARIABLE: str(self.path), "PYTHONPATH": os.pathsep.join(filter(None, folders))}

    # Wall clock

    @property
    def clock_offset_s(self) -> float:
        """Seconds by which the wall clock is off."""
        offset_s: float = _OFFSET.unpack_from(self._memory, 0)[0]
        return offset_s

    def step_clock(self, seconds: float) -> None:
        """Steps the wall clock forward, or back where negative."""
        _OFFSET.pack_into(self._memory, 0, self.clock_offset_s + seconds)

    # System calls

    def _position(self, call: str) -> int:
        return _OFFSET.size + CALL_NAMES.index(call) * _CALL.size

    def fail(self, call: str, error_number: int, times: int = UNTIL_CLEARED, seconds: float = inf) -> None:
        """Makes a call fail with an error number, or ``SHORT``.

        It fails for some times, until it is cleared, and at most for some seconds. The front itself ends the
        seconds, so that they do not grow with the delays of the experiment's process.
        """
        position = self._position(call)
        count = _CALL.unpack_from(self._memory, position)[2]
        _CALL.pack_into(self._memory, position, error_number, times, count, time.monotonic() + seconds)

    def clear(self, call: str) -> None:
        """Lets a call succeed again."""
        self.fail(call, 0, 0)

    def calls(self, call: str) -> int:
        """How often a call was made so far."""
        count: int = _CALL.unpack_from(self._memory, self._position(call))[2]
        return count

    def take(self, call: str) -> int:
        """Counts one call and returns the error number with which it fails, or 0."""
        position = self._position(call)
        error_number, times, count, fails_until = _CALL.unpack_from(self._memory, position)
        failing = error_number != 0 and times != 0 and time.monotonic() < fails_until
        times_left = times - (failing and times > 0)
        _CALL.pack_into(self._memory, position, error_number, times_left, count + 1, fails_until)
        return error_number if failing else 0
