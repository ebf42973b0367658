"""What is read out of a statement: its group of tables, from a schema's name, and whether it is one alone."""

from __future__ import annotations

import re

NO_GROUP = 0
UNCOUNTED = b"staging"  # the schema that is in no group

# Strings and comments are passed over whole; an unfinished one runs to the end of the statement.
TOKEN = re.compile(
    rb"""'(?:[^'\\]|\\.|'')*(?:'|\Z) | "(?:[^"\\]|\\.|"")*(?:"|\Z)
    | /\*.*?(?:\*/|\Z) | \#[^\n]* | --(?=[\s]|\Z)[^\n]*
    | (?P<quoted>`(?:[^`]|``)*`) | (?P<word>[A-Za-z0-9_$\x80-\xff]+) | (?P<sign>[.,()]) | (?P<other>[^\s])""",
    re.VERBOSE | re.DOTALL,
)
GROUP = re.compile(rb"_([0-9]{1,9})\Z")

TABLE_FOLLOWS = frozenset((b"FROM", b"JOIN", b"INTO", b"TABLE", b"STRAIGHT_JOIN"))
VERBS_OF_TABLES = frozenset((b"INSERT", b"REPLACE", b"UPDATE", b"TRUNCATE"))
VERBS = VERBS_OF_TABLES | {b"SELECT", b"DELETE", b"CREATE", b"LOAD", b"MERGE"}
MODIFIERS = frozenset((b"LOW_PRIORITY", b"HIGH_PRIORITY", b"DELAYED", b"QUICK", b"IGNORE", b"LATERAL"))
LIST_ENDS = frozenset(b"WHERE GROUP ORDER HAVING LIMIT SET ON USING UNION VALUES SELECT".split())


# The usual statement at one go: plain words and brackets without brackets in them, up to the first table.
USUAL = re.compile(
    rb"\s*(?:(?:SELECT|DELETE)\b(?:[\w$.,*=<>\s]|\([\w$.,*=<>\s]*\))*?\sFROM|INSERT\s+INTO|UPDATE)"
    rb"\s+(\w+)\.\w",
    re.IGNORECASE,
)


def _schema_group(name: bytes) -> int | None:
    found = GROUP.search(name)
    return int(found[1]) if found and name.lower() != UNCOUNTED else None


def find_table_group(statement: bytes) -> int:
    """The group of the first table named where tables stand; ``NO_GROUP`` where none is."""
    usual = USUAL.match(statement)
    group = _schema_group(usual[1]) if usual else None
    return scan_table_group(statement) if group is None else group


def scan_table_group(statement: bytes) -> int:
    """As ``find_table_group``, token by token.

    Only names behind FROM, JOIN, INTO, TABLE or a leading UPDATE or INSERT count: ``t_3.day`` in a list
    of columns is an alias, and FROM inside EXTRACT(...) or TRIM(...) names a column.
    """
    verb_at = [False]  # by depth of brackets: whether a verb stands there, so that FROM means tables
    expects = [False]  # by depth: the next name is a table's
    in_list = [False]  # by depth: a comma leads to a further table
    names: list[bytes] = []  # the parts so far of the dotted name being read
    dotted = False
    for token in TOKEN.finditer(statement):
        kind = token.lastgroup
        if kind is None or kind == "other":
            continue
        text = token[0]
        if kind == "sign" and text == b"." and names:
            dotted = True
            continue
        if kind != "sign":
            name = text[1:-1].replace(b"``", b"`") if kind == "quoted" else text
            if dotted:
                names.append(name)
                dotted = False
                group = _schema_group(names[0])
                if group is not None and len(names) == 2:
                    return group
                continue
            names = []
            upper = b"" if kind == "quoted" else text.upper()
            leads = upper in VERBS and not verb_at[-1]  # FOR UPDATE and the function REPLACE lead nothing
            verb_at[-1] = verb_at[-1] or leads
            if (leads and upper in VERBS_OF_TABLES) or (upper in TABLE_FOLLOWS and verb_at[-1]):
                expects[-1] = in_list[-1] = True
            elif upper in LIST_ENDS:
                expects[-1] = in_list[-1] = False
            elif expects[-1] and upper not in MODIFIERS:
                names, expects[-1] = [name], False
            continue
        names, dotted = [], False
        if text == b"(":
            # FROM (a, b): the brackets hold a list of tables; FROM (SELECT ...): the verb ends that.
            verb_at.append(False)
            expects.append(expects[-1])
            in_list.append(in_list[-1] and expects[-1])
            expects[-2] = False
        elif text == b")" and len(verb_at) > 1:
            verb_at.pop()
            expects.pop()
            in_list.pop()
        elif text == b"," and in_list[-1]:
            expects[-1] = True
    return NO_GROUP


def has_multiple_statements(statement: bytes) -> bool:
    """Whether anything but blanks, comments and further semicolons follows a semicolon."""
    if b";" not in statement:
        return False
    ended = False
    for token in TOKEN.finditer(statement):
        if token.lastgroup == "other" and token[0] == b";":
            ended = True
        elif ended and not token[0].startswith((b"/*", b"#", b"--")):
            return True
    return False
