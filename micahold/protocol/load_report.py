"""Parses the load report in a header of an engine's response, for example ``inflight:7;util:0.61``."""

from __future__ import annotations

import math

# Columns of the settings by the names that engines use in the header; the column names are accepted too.
COLUMN_BY_FIELD = {
    "inflight": "rif",
    "queue": "q",
    "util": "busy",
    "latency_ms": "lat_ms",
    "qps": "rate",
    "eps": "fail_rate",
}


def parse_load_report(value: bytes | None, columns: tuple[str, ...]) -> dict[str, float]:
    """Returns the values by column; leaves out other columns and values that are not finite numbers."""
    values: dict[str, float] = {}
    for part in (value or b"").decode("latin-1").split(";"):
        name, colon, text = part.strip().partition(":")
        name = COLUMN_BY_FIELD.get(name.strip(), name.strip())
        try:
            number = float(text)
        except ValueError:
            continue
        if colon and math.isfinite(number) and name in columns:
            values[name] = number
    return values
