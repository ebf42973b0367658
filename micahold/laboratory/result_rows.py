"""Results of emulated engines in which every row names its query and its place.

A statement asks for them by the number of its rows, as in ``SELECT rows_300 FROM sales_1.t``. Its client
knows what each row has to be, and finds rows of other queries, missing and double ones, and a wrong order.
"""

from __future__ import annotations

import re
from typing import NamedTuple

MAX_PAGE_BYTES = 6_000
ROWS_PATTERN = re.compile(rb"rows_(\d+)")


class ResultRow(NamedTuple):
    """One row of three text columns."""

    query_id: bytes
    place: bytes
    note: bytes


def asked_rows(statement: bytes) -> int | None:
    """The number of rows that a statement asks for; None if it names none."""
    match = ROWS_PATTERN.search(statement)
    return int(match[1]) if match else None


def expected_rows(query_id: str, count: int) -> list[ResultRow]:
    """The rows of a query's result."""
    return [
        ResultRow(query_id.encode(), b"%d" % place, b"%d of %d" % (place + 1, count))
        for place in range(count)
    ]


def result_pages(rows: list[ResultRow]) -> list[bytes]:
    """The pages of a result as an engine sends them: whole rows, as many as fit."""
    pages = [b""]
    for row in rows:
        line = b"\t".join(row) + b"\n"
        if len(pages[-1]) + len(line) > MAX_PAGE_BYTES:
            pages.append(b"")
        pages[-1] += line
    return pages


def decode_row(payload: bytes) -> ResultRow:
    """A row of a MySQL text result set; raises ``ValueError`` if it does not have three columns."""
    columns, position = [], 0
    while position < len(payload):
        length, position = payload[position], position + 1
        if length == 0xFC:
            length, position = int.from_bytes(payload[position : position + 2], "little"), position + 2
        columns.append(payload[position : position + length])
        position += length
    if len(columns) != len(ResultRow._fields) or position != len(payload):
        raise ValueError("not a row of three text columns")
    return ResultRow(*columns)
