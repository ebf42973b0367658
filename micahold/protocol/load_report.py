"""The load report that an engine's answer carries in one header: ``inflight:7;util:0.61``."""

from __future__ import annotations

import math

# The platform's names of the fields on sockets, beside those that the settings use for them.
NAMES = {
    "inflight": "rif",
    "queue": "q",
    "util": "busy",
    "latency_ms": "lat_ms",
    "qps": "rate",
    "eps": "fail_rate",
}


def parse_load_report(value: bytes | None, columns: tuple[str, ...]) -> dict[str, float]:
    """Figures by the settings' names; what is unknown, not asked for or no number is left out."""
    figures: dict[str, float] = {}
    for part in (value or b"").decode("latin-1").split(";"):
        name, sign, text = part.strip().partition(":")
        name = NAMES.get(name.strip(), name.strip())
        try:
            figure = float(text)
        except ValueError:
            continue
        if sign and math.isfinite(figure) and name in columns:
            figures[name] = figure
    return figures
