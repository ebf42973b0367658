"""The fields in the comment ahead of a statement, and the statement that passes on unchanged."""

from __future__ import annotations

import re
from dataclasses import dataclass
from math import inf

from micahold.protocol.errors import ProtocolError
from micahold.protocol.table_group import find_table_group, has_multiple_statements

ID = re.compile(rb"[0-9a-f]{16}")
WORD = re.compile(rb"[!-~]{1,200}")
NUMBER = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?")
KILL = re.compile(rb"\s*KILL\s+QUERY\s+([0-9]{1,20})\s*;?\s*", re.IGNORECASE)
MOST_COST_MS, MOST_MB = 1e8, 1e8  # a day of one core, a hundred TB: no estimate is beyond that
WRITES = (b"INSERT", b"UPDATE", b"DELETE", b"REPLACE", b"LOAD", b"MERGE", b"CREATE", b"TRUNCATE")


@dataclass(slots=True)
class ClientQuery:
    """A query as its client sent it: what decisions need is taken out, the rest stays bytes."""

    id: bytes
    class_name: bytes
    wait_s: float
    tenant: bytes | None
    token: bytes | None
    estimated_cost_s: float | None
    estimated_memory_mb: float | None
    statement: bytes
    table_group: int
    is_write: bool


def parse_kill_query(text: bytes) -> int | None:
    """The connection id that a KILL QUERY names."""
    found = KILL.fullmatch(text)
    return int(found[1]) if found else None


def _fields(comment: bytes) -> dict[bytes, bytes]:
    fields: dict[bytes, bytes] = {}
    for part in comment.split(b","):
        name, sign, value = part.strip().partition(b"=")
        if not sign or name in fields:
            raise ProtocolError("fields that can't be read")
        fields[name] = value
    return fields


def _number(fields: dict[bytes, bytes], name: bytes, most: float = inf) -> float | None:
    value = fields.get(name)
    if value is None:
        return None
    if not NUMBER.fullmatch(value):
        raise ProtocolError(f"field {name.decode()} is not a number")
    figure = float(value)
    if figure > most:
        raise ProtocolError(f"field {name.decode()} is out of range")
    return figure


def _word(fields: dict[bytes, bytes], name: bytes) -> bytes | None:
    """A text that can stand in a header line as it came."""
    value = fields.get(name)
    if value is not None and not WORD.fullmatch(value):
        raise ProtocolError(f"field {name.decode()} can't be used")
    return value


def parse_query(text: bytes) -> ClientQuery:
    """Fields and statement of a COM_QUERY."""
    head = text.lstrip()
    end = head.find(b"*/")
    if not head.startswith(b"/*") or end < 0:
        raise ProtocolError("no fields ahead of the statement")
    fields = _fields(head[2:end])
    statement = head[end + 2 :].removeprefix(b" ")
    number, class_name, wait = fields.get(b"id", b""), _word(fields, b"class"), _number(fields, b"wait")
    if not ID.fullmatch(number):
        raise ProtocolError("field id is missing or can't be used")
    if class_name is None or wait is None:
        raise ProtocolError("field class or wait is missing")
    if not statement.strip():
        raise ProtocolError("no statement")
    if has_multiple_statements(statement):
        raise ProtocolError("more than one statement")  # not offered in the greeting
    cost = _number(fields, b"cost", MOST_COST_MS)
    return ClientQuery(
        id=number,
        class_name=class_name,
        wait_s=wait / 1000,
        tenant=_word(fields, b"tenant"),
        token=_word(fields, b"once"),
        estimated_cost_s=None if cost is None else cost / 1000,
        estimated_memory_mb=_number(fields, b"mb", MOST_MB),
        statement=statement,
        table_group=find_table_group(statement),
        is_write=statement.lstrip()[:8].upper().startswith(WRITES),
    )
