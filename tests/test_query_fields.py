"""Tests of the parsers for query fields, KILL QUERY, table groups and multiple statements."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from micahold.protocol.errors import ProtocolError
from micahold.protocol.query_fields import parse_kill_query, parse_query
from micahold.protocol.table_group import TOKEN, find_table_group, scan_table_group

FIELDS = b"class=report,id=9b1f03aa5c7e2d41,wait=1500,tenant=acme,once=5c0f6e1a,cost=820.0,mb=96"


def test_fields_are_decoded_and_the_statement_is_unchanged() -> None:
    statement = b"  SELECT '\xc3\xa9*/' FROM sales_17.orders /* class=x */ "
    query = parse_query(b"/* " + FIELDS + b" */ " + statement)
    assert query.statement == statement
    assert (query.id, query.class_name, query.tenant) == (b"9b1f03aa5c7e2d41", b"report", b"acme")
    assert (query.token, query.wait_s, query.estimated_cost_s, query.estimated_memory_mb) == (
        b"5c0f6e1a",
        1.5,
        0.82,
        96.0,
    )
    assert (query.table_group, query.is_write) == (17, False)


def test_estimates_tenant_and_token_are_optional() -> None:
    query = parse_query(b"/*id=9b1f03aa5c7e2d41,wait=1,class=a*/INSERT INTO x_2.t SELECT 1")
    assert (query.tenant, query.token, query.estimated_cost_s, query.estimated_memory_mb) == (
        None,
        None,
        None,
        None,
    )
    assert (query.table_group, query.is_write) == (2, True)


@pytest.mark.parametrize("number", [0.1 + 0.2, 1 / 3, 5e-05, 1e-300, 123456789 / 7])
def test_estimates_are_read_as_programs_print_them(number: float) -> None:
    """Guards against a refusal, as no number, of an estimate with more than 12 decimals or an exponent."""
    fields = FIELDS.replace(b"mb=96", b"mb=%s" % repr(number).encode())
    assert parse_query(b"/* " + fields + b" */ SELECT 1").estimated_memory_mb == number


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"/* " + FIELDS.replace(b"wait=1500", b"wait=1e999") + b" */ SELECT 1",
        b"/* " + FIELDS.replace(b"wait=1500", b"wait=2e12") + b" */ SELECT 1",
        b"/* " + FIELDS.replace(b"mb=96", b"mb=9e999") + b" */ SELECT 1",
        b"/* " + FIELDS.replace(b"mb=96", b"mb=1e") + b" */ SELECT 1",
        b"/* " + FIELDS.replace(b"mb=96", b"mb=1." + b"0" * 60000) + b" */ SELECT 1",
        b"SELECT 1",
        b"/* " + FIELDS,
        b"/* */ SELECT 1",
        b"/* " + FIELDS + b" */  ",
        b"/* " + FIELDS + b",id=9b1f03aa5c7e2d41 */ SELECT 1",
        b"/* " + FIELDS.replace(b"9b1f", b"9B1F") + b" */ SELECT 1",
        b"/* " + FIELDS.replace(b"2d41", b"2d4") + b" */ SELECT 1",
        b"/* " + FIELDS.replace(b"wait=1500", b"wait=-1") + b" */ SELECT 1",
        b"/* " + FIELDS.replace(b"wait=1500", b"wait=inf") + b" */ SELECT 1",
        b"/* " + FIELDS.replace(b"cost=820.0", b"cost=many") + b" */ SELECT 1",
        b"/* " + FIELDS.replace(b"cost=820.0", b"cost=1e19") + b" */ SELECT 1",
        b"/* " + FIELDS.replace(b"cost=820.0", b"cost=999999999999") + b" */ SELECT 1",
        b"/* " + FIELDS.replace(b"mb=96", b"mb=999999999999") + b" */ SELECT 1",
        b"/* " + FIELDS.replace(b"mb=96", b"mb=nan") + b" */ SELECT 1",
        b"/* " + FIELDS + b" */ SELECT a FROM b_1.t; DROP TABLE staging.batch",
        b"/* " + FIELDS + b" */ SELECT a FROM b_1.t -- one\n;;/* two */ ('x')",
        b"/* " + FIELDS.replace(b"class=report", b"class=a\r\nVia-Id: b") + b" */ SELECT 1",
        b"/* " + FIELDS.replace(b"class=report,", b"") + b" */ SELECT 1",
    ],
)
def test_missing_or_invalid_fields_and_multiple_statements_are_rejected(text: bytes) -> None:
    with pytest.raises(ProtocolError):
        parse_query(text)


@pytest.mark.parametrize(
    "statement",
    [
        b"SELECT 1;",
        b"SELECT 1 ; ;\n",
        b"SELECT 1; -- done",
        b"SELECT 1; /* done */ # so\n",
        b"SELECT ';x' FROM b_1.t",
        b'SELECT ";", `;x` FROM b_1.t -- ; x',
        b"SELECT 1 /* ; x */ FROM b_1.t",
    ],
)
def test_semicolon_without_a_further_statement_is_accepted(statement: bytes) -> None:
    assert parse_query(b"/* " + FIELDS + b" */ " + statement).statement == statement


@given(st.binary(max_size=200))
def test_arbitrary_text_is_parsed_or_rejected(text: bytes) -> None:
    for query_text in (text, b"/* " + FIELDS + b" */ SELECT " + text):
        with contextlib.suppress(ProtocolError):
            parse_query(query_text)


@pytest.mark.parametrize(
    ("text", "target"),
    [
        (b"KILL QUERY 17", 17),
        (b" kill  query 4294967295 ;", 4294967295),
        (b"KILL QUERY 17 \n;\t ", 17),
        (b"KILL QUERY 17;", 17),
        (b"KILL QUERY 17;;", None),
        (b"KILL QUERY 17 x", None),
        (b"KILL QUERY 123456789012345678901", None),
        (b"KILL 17", None),
        (b"KILL QUERY x", None),
    ],
)
def test_kill_query_yields_the_connection_id(text: bytes, target: int | None) -> None:
    assert parse_kill_query(text) == target


@pytest.mark.parametrize(
    ("statement", "group"),
    [
        (b"SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day", 17),
        (b"SELECT 'FROM a_1.t' FROM b_2.t", 2),
        (b'SELECT "FROM a_1.t" FROM b_2.t', 2),
        (b"SELECT 'it''s \\' FROM a_1.t' FROM b_2.t", 2),
        (b"SELECT x /* FROM a_1.t */ FROM b_2.t", 2),
        (b"SELECT x -- FROM a_1.t\n FROM b_2.t", 2),
        (b"SELECT x # FROM a_1.t\n FROM b_2.t", 2),
        (b"SELECT x FROM `b_2`.`t`", 2),
        (b"SELECT x FROM `b_2` . t AS a_1", 2),
        (b"SELECT a_1.x, a_1.y FROM b_2.t AS a_1 WHERE a_1.x > 3", 2),
        (b"SELECT EXTRACT(YEAR FROM a_1.x) FROM b_2.t a_1", 2),
        (b"SELECT x FROM staging.t, b_2.t", 2),
        (b"SELECT x FROM staging.t JOIN b_2.t ON staging.t.a_1 = b_2.t.c", 2),
        (b"INSERT INTO b_2.t (x, y) SELECT x, y FROM staging.u", 2),
        (b"INSERT INTO staging.u SELECT x FROM b_2.t", 2),
        (b"insert b_2.t values (1)", 2),
        (b"UPDATE b_2.t SET a_1.x = 3", 2),
        (b"DELETE FROM b_2.t WHERE x = 1", 2),
        (b"REPLACE INTO b_2.t VALUES (replace('a_1.x', 'a', 'b'))", 2),
        (b"LOAD DATA INFILE 'a_1.csv' INTO TABLE b_2.t", 2),
        (b"WITH c AS (SELECT x FROM b_2.t) SELECT * FROM c", 2),
        (b"SELECT * FROM (SELECT x FROM b_2.t) AS a_1", 2),
        (b"SELECT x FROM two_parts_41.t", 41),
        (b"SELECT x FROM Staging.t", 0),
        (b"SELECT x FROM plain.t", 0),
        (b"SELECT x FROM t_3", 0),
        (b"SELECT 1", 0),
        (b"", 0),
        (b"SELECT 'open FROM a_1.t", 0),
        (b"((((", 0),
        (b"))))FROM a_1.t", 0),
    ],
)
def test_table_group_is_that_of_the_first_grouped_table(statement: bytes, group: int) -> None:
    assert find_table_group(statement) == group
    assert scan_table_group(statement) == group


SQL_FRAGMENTS = st.sampled_from(
    [
        b"SELECT",
        b"FROM",
        b"JOIN",
        b",",
        b"x",
        b"a_1.t",
        b"b_2.t",
        b"staging.t",
        b"WHERE",
        b"(max(x))",
        b"count(*)",
        b"=",
    ]
)


@given(st.lists(SQL_FRAGMENTS, max_size=12))
def test_fast_path_and_token_scan_find_the_same_table_group(fragments: list[bytes]) -> None:
    statement = b"SELECT x " + b" ".join(fragments)
    assert find_table_group(statement) == scan_table_group(statement)


def reference_tokens(text: bytes) -> list[bytes]:
    """Splits a statement into tokens byte by byte; what has no end extends to the end of the statement."""
    tokens = []
    position = 0
    while position < len(text):
        end = reference_token_end(text, position)
        if not text[position:end].isspace():
            tokens.append(text[position:end])
        position = end
    return tokens


def reference_token_end(text: bytes, start: int) -> int:
    """The offset after the token that begins at ``start``."""
    first = text[start : start + 1]
    if first in (b"'", b'"', b"`"):
        return reference_string_end(text, start)
    if text.startswith(b"/*", start):
        end = text.find(b"*/", start + 2)
        return len(text) if end < 0 else end + 2
    if first == b"#" or (text.startswith(b"--", start) and text[start + 2 : start + 3] in (b"", b" ", b"\n")):
        end = text.find(b"\n", start)
        return len(text) if end < 0 else end
    end = start + 1
    if first in WORD_BYTES:
        while text[end : end + 1] in WORD_BYTES:
            end += 1
    return end


def reference_string_end(text: bytes, start: int) -> int:
    """The offset after the string or quoted name that begins at ``start``."""
    quote = text[start]
    position = start + 1
    while position < len(text):
        if text[position] == ord("\\") and quote != ord("`"):
            position += 2
        elif text[position] != quote:
            position += 1
        elif text[position + 1 : position + 2] == bytes((quote,)):
            position += 2
        else:
            return position + 1
    return len(text)


WORD_BYTES = frozenset(
    bytes((value,)) for value in (*b"0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_$", 0xC3)
)
TOKEN_FRAGMENTS = st.sampled_from(
    [
        b"'",
        b"'",
        b'"',
        b"`",
        b"\\",
        b"/*",
        b"*/",
        b"#",
        b"-- ",
        b"--",
        b"\n",
        b" ",
        b"a_1",
        b"\xc3",
        b";",
        b".",
    ]
)


@settings(max_examples=2000)
@given(st.lists(TOKEN_FRAGMENTS, max_size=14))
def test_tokens_are_those_of_a_scan_byte_by_byte(fragments: list[bytes]) -> None:
    """Guards against a pattern that reads an unfinished string or name in another way than a finished one."""
    text = b"".join(fragments)
    assert [match[0] for match in TOKEN.finditer(text)] == reference_tokens(text)


@pytest.mark.parametrize(
    ("statement", "group"),
    [
        (b"SELECT x FROM `b_2`.`t", 2),
        (b"SELECT x FROM `b``_2`.t", 2),
        (b"SELECT x FROM `b_2.t", 0),
        (b"SELECT x FROM `", 0),
    ],
)
def test_quoted_schema_has_a_group_with_or_without_the_end_of_the_next_name(
    statement: bytes, group: int
) -> None:
    assert find_table_group(statement) == group
