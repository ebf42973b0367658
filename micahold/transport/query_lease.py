"""The lease of a query on its engine, as the front must count it.

An engine discards a query that it has not been asked for in ``ENGINE_LEASE_S``. It holds a call for up to
``CALL_HOLD_S`` and counts from the end of the call, and every limit may run ``LIMIT_TOLERANCE_S`` longer.
The front does not see when the engine begins to count. It therefore counts from the latest moment at which
the engine may have begun: a call without a response may be read until its connection is closed.
"""

from __future__ import annotations

from math import inf

ENGINE_LEASE_S = 2.0
CALL_HOLD_S = 0.25
LIMIT_TOLERANCE_S = 0.05
# Bound on the way of bytes that were sent before their connection was closed.
DELIVERY_DELAY_S = 0.1


class QueryLease:
    """Tells from when on an engine has surely discarded a query that is no longer asked for.

    All times are in seconds on one monotonic clock. ``call_timeout_s`` is how long a call's connection stays
    open without a response.
    """

    def __init__(self, call_timeout_s: float) -> None:
        self._call_timeout_s = call_timeout_s
        self._latest_start = -inf  # at which the engine may have begun to count, by the calls that ended
        self._open_call_at = -inf  # write of the call that has no response yet

    def call_written(self, now: float) -> None:
        """Notes that a call for the query is being written."""
        self._note_start(self._end_of_open_call())
        self._open_call_at = now

    def response_received(self, now: float) -> None:
        """Notes the response to the last call: the engine had read that call before."""
        self._note_start(now)
        self._open_call_at = -inf

    def connection_closed(self, now: float) -> None:
        """Notes that the last call's connection has ended without a response."""
        if self._open_call_at > -inf:
            self._note_start(now + DELIVERY_DELAY_S + CALL_HOLD_S)
            self._open_call_at = -inf

    def _note_start(self, at: float) -> None:
        self._latest_start = max(self._latest_start, at)

    def _end_of_open_call(self) -> float:
        return self._open_call_at + self._call_timeout_s + DELIVERY_DELAY_S + CALL_HOLD_S

    @property
    def lapses_at(self) -> float:
        """When the lease has lapsed at the latest; minus infinity if no call was written."""
        latest_start = max(self._latest_start, self._end_of_open_call())
        return latest_start + ENGINE_LEASE_S + LIMIT_TOLERANCE_S
