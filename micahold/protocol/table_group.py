"""Reads two properties of an SQL statement: its table group, and whether it holds further statements.

The table group is the number at the end of a schema's name: the tables of ``sales_17`` belong to group 17.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

NO_GROUP = 0
# In place of the keyword, for a quoted name.
NO_KEYWORD = b""
# A schema whose tables belong to no group.
UNGROUPED_SCHEMA = b"staging"

# Tokens of SQL. Strings and comments match as a whole and have no group name. A string, quoted name or
# comment without an end extends to the end of the statement: an alternative whose opening characters match
# never fails later, so no byte is read twice and the time grows with the length only.
TOKEN = re.compile(
    rb"""'[^'\\]*+(?:(?:\\.|'')[^'\\]*+)*+(?:'|\\?\Z) | "[^"\\]*+(?:(?:\\.|"")[^"\\]*+)*+(?:"|\\?\Z)
    | /\*.*?(?:\*/|\Z) | \#[^\n]* | --(?=[\s]|\Z)[^\n]*
    | (?P<quoted>`[^`]*+(?:``[^`]*+)*+(?:`|\Z)) | (?P<word>[A-Za-z0-9_$\x80-\xff]++)
    | (?P<sign>[.,()]) | (?P<other>[^\s])""",
    re.VERBOSE | re.DOTALL,
)
# White space as the pattern above has it, and semicolons.
STATEMENT_END = b"; \t\n\r\f\v"
GROUP_SUFFIX = re.compile(rb"_([0-9]{1,9})\Z")

# Keywords that a table name or a list of tables follows.
TABLE_KEYWORDS = frozenset((b"FROM", b"JOIN", b"INTO", b"TABLE", b"STRAIGHT_JOIN"))
# Verbs that a table name may follow directly.
TABLE_VERBS = frozenset((b"INSERT", b"REPLACE", b"UPDATE", b"TRUNCATE"))
VERBS = TABLE_VERBS | {b"SELECT", b"DELETE", b"CREATE", b"LOAD", b"MERGE"}
# Words that may stand between such a keyword or verb and the table name.
MODIFIERS = frozenset((b"LOW_PRIORITY", b"HIGH_PRIORITY", b"DELAYED", b"QUICK", b"IGNORE", b"LATERAL"))
# Keywords that end a list of tables.
TABLE_LIST_TERMINATORS = frozenset(b"WHERE GROUP ORDER HAVING LIMIT SET ON USING UNION VALUES SELECT".split())


# Matches the common forms of a statement up to the schema of its first table: plain words, and parentheses
# that are not nested.
COMMON_STATEMENT = re.compile(
    rb"\s*(?:(?:SELECT|DELETE)\b(?:[\w$.,*=<>\s]|\([\w$.,*=<>\s]*\))*?\sFROM|INSERT\s+INTO|UPDATE)"
    rb"\s+(\w+)\.\w",
    re.IGNORECASE,
)


def _schema_group(schema: bytes) -> int | None:
    """Returns the group in a schema's name, or None if it has none."""
    match = GROUP_SUFFIX.search(schema)
    return int(match[1]) if match and schema.lower() != UNGROUPED_SCHEMA else None


def _unquoted_name(quoted: bytes) -> bytes:
    """Returns the name within backticks, of which the closing one may be missing."""
    return quoted[1:].removesuffix(b"`").replace(b"``", b"`")


def find_table_group(statement: bytes) -> int:
    """Returns the group of the first table reference that has one, or ``NO_GROUP``.

    One regular expression handles the common forms; ``scan_table_group`` handles all others.
    """
    common_match = COMMON_STATEMENT.match(statement)
    group = _schema_group(common_match[1]) if common_match else None
    return scan_table_group(statement) if group is None else group


def scan_table_group(statement: bytes) -> int:
    """Computes the result of ``find_table_group`` token by token.

    Only names that follow FROM, JOIN, INTO, TABLE or a leading verb such as UPDATE or INSERT are table
    references: ``t_3.day`` in a select list uses an alias, and FROM within EXTRACT(...) or TRIM(...) precedes
    a column.
    """
    scanner = _TableReferenceScanner()
    for token in TOKEN.finditer(statement):
        kind = token.lastgroup
        if kind == "sign":
            scanner.read_sign(token[0])
            continue
        if kind == "word":
            group = scanner.read_name(token[0], token[0].upper())
        elif kind == "quoted":
            group = scanner.read_name(_unquoted_name(token[0]), NO_KEYWORD)
        else:
            continue
        if group is not None:
            return group
    return NO_GROUP


@dataclass(slots=True)
class _Scope:
    """What is expected at one depth of parentheses."""

    has_verb: bool = False  # a verb has occurred, so FROM introduces tables
    expects_table: bool = False  # the next name is a table reference
    in_table_list: bool = False  # a comma introduces another table reference


class _TableReferenceScanner:
    """Follows the names and signs of a statement up to a table reference whose schema has a group."""

    def __init__(self) -> None:
        self._scope = _Scope()
        self._outer_scopes: list[_Scope] = []
        self._in_table_name = False  # parts of a dotted table name are being read
        self._schema: bytes | None = None  # its first part, until the second has come
        self._after_dot = False

    def read_name(self, name: bytes, keyword: bytes) -> int | None:
        """Reads a word or a quoted name; returns the group if this completes a reference that has one."""
        if self._after_dot:
            self._after_dot = False
            schema = self._schema
            self._schema = None  # further parts tell nothing of it
            return _schema_group(schema) if schema is not None else None
        self._in_table_name = False
        scope = self._scope
        # UPDATE in FOR UPDATE and the function REPLACE follow a verb and introduce no table.
        is_leading_verb = keyword in VERBS and not scope.has_verb
        if is_leading_verb:
            scope.has_verb = True
        if (is_leading_verb and keyword in TABLE_VERBS) or (keyword in TABLE_KEYWORDS and scope.has_verb):
            scope.expects_table = scope.in_table_list = True
        elif keyword in TABLE_LIST_TERMINATORS:
            scope.expects_table = scope.in_table_list = False
        elif scope.expects_table and keyword not in MODIFIERS:
            self._in_table_name = True
            self._schema = name
            scope.expects_table = False
        return None

    def read_sign(self, sign: bytes) -> None:
        """Reads a dot, a comma or a parenthesis."""
        if sign == b"." and self._in_table_name:
            self._after_dot = True
            return
        self._in_table_name = self._after_dot = False
        scope = self._scope
        if sign == b"(":
            # FROM (a, b) holds a list of tables; in FROM (SELECT ...), the verb ends the list.
            inner = _Scope(False, scope.expects_table, scope.in_table_list and scope.expects_table)
            scope.expects_table = False
            self._outer_scopes.append(scope)
            self._scope = inner
        elif sign == b")" and self._outer_scopes:
            self._scope = self._outer_scopes.pop()
        elif sign == b"," and scope.in_table_list:
            scope.expects_table = True


def has_multiple_statements(statement: bytes) -> bool:
    """Whether a semicolon is followed by anything but white space, comments and further semicolons."""
    if b";" not in statement.rstrip(STATEMENT_END):
        return False
    after_semicolon = False
    for token in TOKEN.finditer(statement):
        if token.lastgroup == "other" and token[0] == b";":
            after_semicolon = True
        elif after_semicolon and not token[0].startswith((b"/*", b"#", b"--")):
            return True
    return False
