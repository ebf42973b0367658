"""Reads two properties of an SQL statement: its table group, and whether it holds further statements.

The table group is the number at the end of a schema's name: the tables of ``sales_17`` belong to group 17.
"""

from __future__ import annotations

import re

NO_GROUP = 0
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
    # State by depth of parentheses.
    has_verb = [False]  # a verb has occurred at this depth, so FROM introduces tables
    expects_table = [False]  # the next name is a table reference
    in_table_list = [False]  # a comma introduces another table reference
    name_parts: list[bytes] = []  # parts of the dotted name being read
    after_dot = False
    for token in TOKEN.finditer(statement):
        kind = token.lastgroup
        if kind is None or kind == "other":
            continue
        text = token[0]
        if kind == "sign" and text == b"." and name_parts:
            after_dot = True
            continue
        if kind != "sign":
            name = _unquoted_name(text) if kind == "quoted" else text
            if after_dot:
                name_parts.append(name)
                after_dot = False
                # A name may have any number of parts: its schema is looked at once.
                group = _schema_group(name_parts[0]) if len(name_parts) == 2 else None
                if group is not None:
                    return group
                continue
            name_parts = []
            keyword = b"" if kind == "quoted" else text.upper()
            # UPDATE in FOR UPDATE and the function REPLACE follow a verb and introduce no table.
            is_leading_verb = keyword in VERBS and not has_verb[-1]
            has_verb[-1] = has_verb[-1] or is_leading_verb
            if (is_leading_verb and keyword in TABLE_VERBS) or (keyword in TABLE_KEYWORDS and has_verb[-1]):
                expects_table[-1] = in_table_list[-1] = True
            elif keyword in TABLE_LIST_TERMINATORS:
                expects_table[-1] = in_table_list[-1] = False
            elif expects_table[-1] and keyword not in MODIFIERS:
                name_parts = [name]
                expects_table[-1] = False
            continue
        name_parts = []
        after_dot = False
        if text == b"(":
            # FROM (a, b) holds a list of tables; in FROM (SELECT ...), the verb ends the list.
            has_verb.append(False)
            expects_table.append(expects_table[-1])
            in_table_list.append(in_table_list[-1] and expects_table[-1])
            expects_table[-2] = False
        elif text == b")" and len(has_verb) > 1:
            has_verb.pop()
            expects_table.pop()
            in_table_list.pop()
        elif text == b"," and in_table_list[-1]:
            expects_table[-1] = True
    return NO_GROUP


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
