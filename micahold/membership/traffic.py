"""Traffic limits: bytes out that hold in every window, and bytes in with a fair part for each sender.

Out (``Egress``): in any ``WINDOW_S`` at most ``rate`` bytes leave. Each level may fill the window only up to
its part, so that what matters more always finds room. In (``Ingress``): judged before a signature is checked,
by length and source address alone. Half of the window is free for all; the other half is kept for senders
that stay within their own bucket, which fills at an even part. So one flooding peer gets the free half and
its own part, and the others' parts stay theirs.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from enum import IntEnum

WINDOW_S = 1.0
BURST_BYTES = 4 * 1200.0  # what a sender within its part may send at once
FREE_PART = 0.5
MOST_SOURCES = 2048


class Level(IntEnum):
    """What goes first."""

    REFUTE = 0  # acks, nacks, and what clears our own name
    PROBE = 1
    OWN = 2  # our own testimony, drains and record
    OTHERS = 3
    EXCHANGE = 4


PARTS = {Level.REFUTE: 0.75, Level.PROBE: 0.65, Level.OWN: 0.6, Level.OTHERS: 0.5, Level.EXCHANGE: 0.25}


class Window:
    """Bytes within the last ``WINDOW_S``."""

    def __init__(self) -> None:
        self._entries = deque[tuple[float, int]]()
        self.sum = 0

    def at(self, now: float) -> int:
        # An entry exactly one window old still counts: a limit that holds in every closed window.
        while self._entries and self._entries[0][0] < now - WINDOW_S:
            self.sum -= self._entries.popleft()[1]
        return self.sum

    def add(self, now: float, size: int) -> None:
        self._entries.append((now, size))
        self.sum += size


class Egress:
    """``rate`` may change in service; what has left counts under the new one."""

    def __init__(self, rate: int) -> None:
        self.rate, self.peak = rate, 0  # the most bytes that any window held
        self._datagrams, self._exchanges = Window(), Window()

    def _window(self, level: Level) -> Window:
        return self._exchanges if level is Level.EXCHANGE else self._datagrams

    def room(self, now: float, level: Level) -> int:
        """Bytes that may leave now at this level."""
        # After the rate was lowered the other part may still hold more than its due.
        whole = self.rate - self._datagrams.at(now) - self._exchanges.at(now)
        return min(whole, int(self.rate * PARTS[level]) - self._window(level).at(now))

    def take(self, now: float, level: Level, size: int) -> bool:
        """Count ``size`` bytes as sent; False, and nothing counted, where they don't fit."""
        if size > self.room(now, level):
            return False
        self._window(level).add(now, size)
        self.peak = max(self.peak, self._datagrams.at(now) + self._exchanges.at(now))
        return True


class Bucket:
    """One sender's own part."""

    __slots__ = ("at", "level")

    def __init__(self, now: float) -> None:
        self.level, self.at = BURST_BYTES, now


class Ingress:
    """Judges what arrives by length and source; ``members`` is how many share the kept half."""

    def __init__(self, rate: int) -> None:
        self.rate, self.window, self.free = rate, Window(), Window()
        self.buckets = OrderedDict[tuple[str, int], Bucket]()

    def take(self, now: float, source: tuple[str, int], size: int, members: int) -> bool:
        """True where these bytes may be looked at."""
        if self.window.at(now) + size > self.rate:
            return False
        bucket = self.buckets.get(source)
        if bucket is None:
            bucket = self.buckets[source] = Bucket(now)
            if len(self.buckets) > MOST_SOURCES:
                self.buckets.popitem(last=False)  # the one not heard for longest
        else:
            self.buckets.move_to_end(source)
        refill = self.rate * (1 - FREE_PART) / max(1, members)
        bucket.level = min(BURST_BYTES, bucket.level + refill * max(0.0, now - bucket.at))
        bucket.at = now
        if size <= bucket.level:
            bucket.level -= size
        elif self.free.at(now) + size <= self.rate * FREE_PART:
            self.free.add(now, size)
        else:
            return False
        self.window.add(now, size)
        return True
