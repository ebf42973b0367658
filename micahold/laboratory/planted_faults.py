"""Faults planted in a front's code, to show that a soak run finds their kind."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace
from math import inf
from typing import Any

PLANT_VARIABLE = "MICAHOLD_PLANT"
# A statement of this length takes a second where texts are slow.
SLOW_TEXT_BYTES = 40_000


def _plant_lease() -> None:
    """A query that is aborted counts as over at once, whatever its engine still holds."""
    from micahold.transport import query_lease

    class EarlyLease(query_lease.QueryLease):
        """Has lapsed as soon as it is asked."""

        last_write = 0.0

        def call_written(self, now: float) -> None:
            """Notes the write of a call."""
            self.last_write = now

        @property
        def lapses_at(self) -> float:
            """The last write, which has passed."""
            return self.last_write

    query_lease.QueryLease = EarlyLease  # type: ignore[misc]


def _plant_clock() -> None:
    """The reactor runs on the wall clock."""
    from micahold.program.loop import FrontReactor

    FrontReactor.seconds = staticmethod(time.time)


def _plant_calls() -> None:
    """Every failed read or write ends its connection."""
    from micahold.program import sockets

    sockets.TRANSIENT_ERRORS = frozenset()


def _plant_copies() -> None:
    """What comes on a connection is the answer to its call, whatever it names and whenever it came."""
    from micahold.transport import connection_pools, engine_connection, response_matching
    from micahold.transport.result_pages import ResultPages

    engine_connection.REUSE_DELAY_S = 0.0
    setattr(ResultPages, "confirm", lambda pages: True)  # noqa: B010
    setattr(connection_pools.EngineConnectionPools, "_take_idle", _take_any_idle)  # noqa: B010
    for name in ("_is_status", "_is_page"):
        setattr(response_matching, name, lambda *arguments: True)


def _take_any_idle(pools: Any, call: Any) -> Any:
    """Takes the connection that was used last, without reading it first."""
    connections = pools._idle.get(call.listing)
    return connections.pop() if connections else None


def _plant_pages() -> None:
    """The rows ahead of a row that can't be read stay in the result."""
    from micahold.protocol.errors import ProtocolError
    from micahold.protocol.mysql_results import ResultSetEncoder

    add_page = ResultSetEncoder.add_page

    def keep_rows(encoder: ResultSetEncoder, page: bytes) -> None:
        try:
            add_page(encoder, page)
        except ProtocolError:
            rows = page.splitlines(keepends=True)
            add_page(encoder, b"".join(row for row in rows if row.count(b"\t") == 2))
            raise

    setattr(ResultSetEncoder, "add_page", keep_rows)  # noqa: B010


def _plant_lengths() -> None:
    """What follows a page is passed over."""
    from micahold.transport.result_pages import ResultPages

    add = ResultPages.add

    def add_any_page(pages: ResultPages, response: Any, connection: Any) -> None:
        add(pages, replace(response, has_trailing_data=False), connection)

    setattr(ResultPages, "add", add_any_page)  # noqa: B010
    setattr(ResultPages, "confirm", lambda pages: True)  # noqa: B010


def _plant_stops() -> None:
    """A stop of the process is not noticed."""
    from micahold.program import loop

    loop.STALL_S = inf


def _plant_texts() -> None:
    """The time that a statement takes grows with the square of its length."""
    from micahold.protocol import query_fields
    from micahold.transport import clients

    parse_query = query_fields.parse_query

    def parse_slowly(text: bytes) -> Any:
        time.sleep((len(text) / SLOW_TEXT_BYTES) ** 2)
        return parse_query(text)

    setattr(clients, "parse_query", parse_slowly)  # noqa: B010


PLANTS: dict[str, Callable[[], None]] = {
    "lease": _plant_lease,
    "clock": _plant_clock,
    "calls": _plant_calls,
    "copies": _plant_copies,
    "pages": _plant_pages,
    "lengths": _plant_lengths,
    "stops": _plant_stops,
    "texts": _plant_texts,
}
