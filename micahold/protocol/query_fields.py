"""Parses the text of a COM_QUERY: the fields in its leading comment, and the statement that engines receive.

The texts of the errors are sent to clients and become names of counters.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from micahold.protocol.errors import ProtocolError
from micahold.protocol.table_group import find_table_group, has_multiple_statements

QUERY_ID = re.compile(rb"[0-9a-f]{16}")
VISIBLE_ASCII = re.compile(rb"[!-~]{1,200}")
# As programs print floating-point numbers: up to 17 significant digits, with an exponent where it is short.
DECIMAL_NUMBER = re.compile(rb"[0-9]{1,20}(\.[0-9]{1,24})?([eE][+-]?[0-9]{1,3})?")
# About 30 years; no client waits longer.
MAX_WAIT_MS = 1e12
# Possessive: white space before something else at the end is read once.
KILL_QUERY = re.compile(rb"\s*+KILL\s++QUERY\s++([0-9]{1,20}+)\s*+(?:;\s*+)?", re.IGNORECASE)
# About a day on one core; no estimate is higher.
MAX_COST_MS = 1e8
# 100 TB; no estimate is higher.
MAX_MEMORY_MB = 1e8
WRITE_VERBS = (b"INSERT", b"UPDATE", b"DELETE", b"REPLACE", b"LOAD", b"MERGE", b"CREATE", b"TRUNCATE")


@dataclass(slots=True)
class ClientQuery:
    """A query as received from its client.

    The fields that the decisions need are decoded; ids, names, token and statement remain bytes and are
    passed on unchanged. ``table_group`` and ``is_write`` are derived from the statement.
    """

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
    """Returns the connection id of a KILL QUERY statement, or None for any other text."""
    match = KILL_QUERY.fullmatch(text)
    return int(match[1]) if match else None


def _split_fields(comment: bytes) -> dict[bytes, bytes]:
    """Splits ``name=value,...`` into a dictionary; a repeated name is an error."""
    fields: dict[bytes, bytes] = {}
    for part in comment.split(b","):
        name, separator, value = part.strip().partition(b"=")
        if not separator or name in fields:
            raise ProtocolError("fields that can't be read")
        fields[name] = value
    return fields


def _parse_number(fields: dict[bytes, bytes], name: bytes, maximum: float) -> float | None:
    """Returns a field as a number of at most ``maximum``; None if the field is absent."""
    value = fields.get(name)
    if value is None:
        return None
    if not DECIMAL_NUMBER.fullmatch(value):
        raise ProtocolError(f"field {name.decode()} is not a number")
    number = float(value)
    if number > maximum:
        raise ProtocolError(f"field {name.decode()} is out of range")
    return number


def _parse_visible_ascii(fields: dict[bytes, bytes], name: bytes) -> bytes | None:
    """Returns a field that is safe to copy into an HTTP header line; None if the field is absent."""
    value = fields.get(name)
    if value is not None and not VISIBLE_ASCII.fullmatch(value):
        raise ProtocolError(f"field {name.decode()} can't be used")
    return value


def parse_query(text: bytes) -> ClientQuery:
    """Parses the text of a COM_QUERY: a comment with fields, then exactly one statement.

    Raises ``ProtocolError`` if a field is missing or invalid, or if there is not exactly one statement.
    """
    stripped_text = text.lstrip()
    comment_end = stripped_text.find(b"*/")
    if not stripped_text.startswith(b"/*") or comment_end < 0:
        raise ProtocolError("no fields ahead of the statement")
    fields = _split_fields(stripped_text[2:comment_end])
    statement = stripped_text[comment_end + 2 :].removeprefix(b" ")
    query_id = fields.get(b"id", b"")
    class_name = _parse_visible_ascii(fields, b"class")
    wait_ms = _parse_number(fields, b"wait", MAX_WAIT_MS)
    if not QUERY_ID.fullmatch(query_id):
        raise ProtocolError("field id is missing or can't be used")
    if class_name is None or wait_ms is None:
        raise ProtocolError("field class or wait is missing")
    if not statement.strip():
        raise ProtocolError("no statement")
    if has_multiple_statements(statement):
        raise ProtocolError("more than one statement")  # the handshake does not offer CLIENT_MULTI_STATEMENTS
    cost_ms = _parse_number(fields, b"cost", MAX_COST_MS)
    return ClientQuery(
        id=query_id,
        class_name=class_name,
        wait_s=wait_ms / 1000,
        tenant=_parse_visible_ascii(fields, b"tenant"),
        token=_parse_visible_ascii(fields, b"once"),
        estimated_cost_s=None if cost_ms is None else cost_ms / 1000,
        estimated_memory_mb=_parse_number(fields, b"mb", MAX_MEMORY_MB),
        statement=statement,
        table_group=find_table_group(statement),
        is_write=statement.lstrip()[:8].upper().startswith(WRITE_VERBS),
    )
