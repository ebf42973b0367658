"""Traffic limits: bytes sent, in every window of time, and bytes received, with a fair share for each sender.

Sending (``EgressLimiter``): at most ``rate`` bytes leave in any ``RATE_WINDOW_S``. Each priority may fill the
window only up to its share, so that the higher priorities always find room. Receiving (``IngressLimiter``):
decided by length and source address alone, before a signature is verified. Half of the window is shared by
all senders; the other half is reserved for senders that stay within their own token bucket, which refills at
an even part of it. So a peer that floods gets the shared half and its own part, and the parts of the others
remain available to them.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from enum import IntEnum

RATE_WINDOW_S = 1.0
MAX_BURST_BYTES = 4 * 1200.0  # size of a sender's token bucket: four datagrams of the maximum length
SHARED_FRACTION = 0.5  # of the receive window, open to every sender
MAX_SOURCES = 2048  # source addresses with a token bucket; bounds memory


class Priority(IntEnum):
    """Order of sending; the lowest number goes first."""

    REFUTATION = 0  # acks, nacks and refutations
    PROBE = 1
    OWN = 2  # this member's own reports, drains and record
    FORWARDED = 3  # statements of other members
    EXCHANGE = 4  # frames of anti-entropy exchanges


# Part of the send window that each priority may fill. Exchanges are counted apart from the datagrams.
PRIORITY_SHARES = {
    Priority.REFUTATION: 0.75,
    Priority.PROBE: 0.65,
    Priority.OWN: 0.6,
    Priority.FORWARDED: 0.5,
    Priority.EXCHANGE: 0.25,
}


class ByteWindow:
    """Sliding window: the bytes of the last ``RATE_WINDOW_S``."""

    def __init__(self) -> None:
        self._entries = deque[tuple[float, int]]()
        self.total_bytes = 0

    def total_at(self, now: float) -> int:
        """Bytes within the window that ends now."""
        # An entry exactly one window old still counts, so that the limit holds in every closed window.
        while self._entries and self._entries[0][0] < now - RATE_WINDOW_S:
            self.total_bytes -= self._entries.popleft()[1]
        return self.total_bytes

    def add(self, now: float, size: int) -> None:
        """Count ``size`` bytes at ``now``."""
        self._entries.append((now, size))
        self.total_bytes += size


class EgressLimiter:
    """Limits the bytes sent; ``rate`` may be changed in service and then applies to what was already sent."""

    def __init__(self, rate: int) -> None:
        self.rate = rate
        self.peak_bytes = 0  # the most bytes that any window held
        self._datagrams = ByteWindow()
        self._exchanges = ByteWindow()

    def _window(self, priority: Priority) -> ByteWindow:
        return self._exchanges if priority is Priority.EXCHANGE else self._datagrams

    def available_bytes(self, now: float, priority: Priority) -> int:
        """Bytes that may be sent now at this priority; can be negative after the rate was lowered."""
        # Both windows count: after the rate was lowered, the other one may still hold more than its share.
        unused = self.rate - self._datagrams.total_at(now) - self._exchanges.total_at(now)
        return min(unused, int(self.rate * PRIORITY_SHARES[priority]) - self._window(priority).total_at(now))

    def admit(self, now: float, priority: Priority, size: int) -> bool:
        """Count ``size`` bytes as sent; where they exceed the limit, return False and count nothing."""
        if size > self.available_bytes(now, priority):
            return False
        self._window(priority).add(now, size)
        self.peak_bytes = max(self.peak_bytes, self._datagrams.total_at(now) + self._exchanges.total_at(now))
        return True


class TokenBucket:
    """Token bucket of one sender, in bytes."""

    __slots__ = ("level_bytes", "updated_at")

    def __init__(self, now: float) -> None:
        self.level_bytes = MAX_BURST_BYTES
        self.updated_at = now


class IngressLimiter:
    """Limits the bytes received, by length and source address."""

    def __init__(self, rate: int) -> None:
        self.rate = rate
        self.window = ByteWindow()
        self.shared_window = ByteWindow()
        self.buckets = OrderedDict[tuple[str, int], TokenBucket]()

    def admit(self, now: float, source: tuple[str, int], size: int, members: int) -> bool:
        """Whether this datagram may be processed; ``members`` is the number that share the reserved half."""
        if self.window.total_at(now) + size > self.rate:
            return False
        bucket = self.buckets.get(source)
        if bucket is None:
            bucket = self.buckets[source] = TokenBucket(now)
            if len(self.buckets) > MAX_SOURCES:
                self.buckets.popitem(last=False)  # the least recently active
        else:
            self.buckets.move_to_end(source)
        refill_per_s = self.rate * (1 - SHARED_FRACTION) / max(1, members)
        bucket.level_bytes = min(
            MAX_BURST_BYTES, bucket.level_bytes + refill_per_s * max(0.0, now - bucket.updated_at)
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
