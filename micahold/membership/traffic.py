"""Traffic limits: bytes out that hold in every window, and bytes in with a fair part for each sender.

Out (``EgressLimiter``): in any ``RATE_WINDOW_S`` at most ``rate`` bytes leave. Each level may
fill the window only up to its part, so that what matters more always finds room. In (``IngressLimiter``):
judged before a signature is checked, by length and source address alone.
Half of the window is free for all; the other half is kept for senders
that stay within their own bucket, which fills at an even part. So one flooding peer gets the free half and
its own part, and the others' parts stay theirs.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from enum import IntEnum

RATE_WINDOW_S = 1.0
MAX_BURST_BYTES = 4 * 1200.0  # what a sender within its part may send at once
SHARED_FRACTION = 0.5
MAX_SOURCES = 2048


class Priority(IntEnum):
    """What goes first."""

    REFUTATION = 0  # acks, nacks, and what clears our own name
    PROBE = 1
    OWN = 2  # our own testimony, drains and record
    FORWARDED = 3
    EXCHANGE = 4


PRIORITY_SHARES = {
    Priority.REFUTATION: 0.75,
    Priority.PROBE: 0.65,
    Priority.OWN: 0.6,
    Priority.FORWARDED: 0.5,
    Priority.EXCHANGE: 0.25,
}


class ByteWindow:
    """Bytes within the last ``WINDOW_S``."""

    def __init__(self) -> None:
        self._entries = deque[tuple[float, int]]()
        self.total_bytes = 0

    def total_at(self, now: float) -> int:
        # An entry exactly one window old still counts: a limit that holds in every closed window.
        while self._entries and self._entries[0][0] < now - RATE_WINDOW_S:
            self.total_bytes -= self._entries.popleft()[1]
        return self.total_bytes

    def add(self, now: float, size: int) -> None:
        self._entries.append((now, size))
        self.total_bytes += size


class EgressLimiter:
    """``rate`` may change in service; what has left counts under the new one."""

    def __init__(self, rate: int) -> None:
        self.rate, self.peak_bytes = rate, 0  # the most bytes that any window held
        self._datagrams, self._exchanges = ByteWindow(), ByteWindow()

    def _window(self, priority: Priority) -> ByteWindow:
        return self._exchanges if priority is Priority.EXCHANGE else self._datagrams

    def available_bytes(self, now: float, priority: Priority) -> int:
        """Bytes that may leave now at this level."""
        # After the rate was lowered the other part may still hold more than its due.
        whole = self.rate - self._datagrams.total_at(now) - self._exchanges.total_at(now)
        return min(whole, int(self.rate * PRIORITY_SHARES[priority]) - self._window(priority).total_at(now))

    def admit(self, now: float, priority: Priority, size: int) -> bool:
        """Count ``size`` bytes as sent; False, and nothing counted, where they don't fit."""
        if size > self.available_bytes(now, priority):
            return False
        self._window(priority).add(now, size)
        self.peak_bytes = max(self.peak_bytes, self._datagrams.total_at(now) + self._exchanges.total_at(now))
        return True


class TokenBucket:
    """One sender's own part."""

    __slots__ = ("level_bytes", "updated_at")

    def __init__(self, now: float) -> None:
        self.level_bytes, self.updated_at = MAX_BURST_BYTES, now


class IngressLimiter:
    """Judges what arrives by length and source; ``members`` is how many share the kept half."""

    def __init__(self, rate: int) -> None:
        self.rate, self.window, self.shared_window = rate, ByteWindow(), ByteWindow()
        self.buckets = OrderedDict[tuple[str, int], TokenBucket]()

    def admit(self, now: float, source: tuple[str, int], size: int, members: int) -> bool:
        """True where these bytes may be looked at."""
        if self.window.total_at(now) + size > self.rate:
            return False
        bucket = self.buckets.get(source)
        if bucket is None:
            bucket = self.buckets[source] = TokenBucket(now)
            if len(self.buckets) > MAX_SOURCES:
                self.buckets.popitem(last=False)  # the one not heard for longest
        else:
            self.buckets.move_to_end(source)
        refill = self.rate * (1 - SHARED_FRACTION) / max(1, members)
        bucket.level_bytes = min(
            MAX_BURST_BYTES, bucket.level_bytes + refill * max(0.0, now - bucket.updated_at)
        )
        bucket.updated_at = now
        if size <= bucket.level_bytes:
            bucket.level_bytes -= size
        elif self.shared_window.total_at(now) + size <= self.rate * SHARED_FRACTION:
            self.shared_window.add(now, size)
        else:
            return False
        self.window.add(now, size)
        return True
