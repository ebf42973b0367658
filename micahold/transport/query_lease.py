"""The lease of a query on its engine, as the front must count it.

An engine discards a query that it has not been asked for in ``ENGINE_LEASE_S``. It holds a call for up to
``CALL_HOLD_S`` and counts from the end of the call, and every limit may run ``LIMIT_TOLERANCE_S`` longer.
The front does not see when the engine begins to count. It therefore counts from the latest moment at which
the engine may have begun.
"""

from __future__ import annotations

from math import inf

ENGINE_LEASE_S = 2.0
CALL_HOLD_S = 0.25
LIMIT_TOLERANCE_S = 0.05
# Bound on the time from the write of a call until its engine has read it.
DELIVERY_DELAY_S = 0.1


class QueryLease:
    """Tells from when on an engine has surely discarded a query that is no longer asked for.

    All times are in seconds on one monotonic clock.
    """

    def __init__(self) -> None:
        self._latest_start = -inf

    def call_written(self, now: float) -> None:
        """Notes that a call for the query is being written."""
        self._latest_start = max(self._latest_start, now + DELIVERY_DELAY_S + CALL_HOLD_S)

    def response_received(self, now: float) -> None:
        """Notes a response: a call that was read late ended later than its write suggests."""
        self._latest_start = max(self._latest_start, now)

    @property
    def lapses_at(self) -> float:
        """When the lease has lapsed at the latest; minus infinity if no call was written."""
        return self._latest_start + ENGINE_LEASE_S + LIMIT_TOLERANCE_S
