"""Parses S-expressions of files that people write; the parser's many kinds of failure become one error."""

from __future__ import annotations

from typing import Any

import sexpdata

# Its own errors, and what it raises besides on text that it does not expect.
PARSER_FAILURES = (
    sexpdata.ExpectNothing,
    sexpdata.ExpectSExp,
    sexpdata.ExpectClosingBracket,
    AssertionError,
    AttributeError,
    IndexError,
    RecursionError,
    TypeError,
    ValueError,
)


class SExpressionError(Exception):
    """The text is not a sequence of S-expressions."""


def parse_s_expressions(text: str, **options: Any) -> list[Any]:
    """All top-level expressions; ``options`` are those of ``sexpdata.parse``. Raises ``SExpressionError``."""
    try:
        expressions: list[Any] = sexpdata.parse(text, **options)
    except PARSER_FAILURES as error:
        raise SExpressionError(f"{type(error).__name__}: {error}") from None
    return expressions
