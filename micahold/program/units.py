"""Quantities with units as operators write them: ``250ms``, ``64KiB``, ``16KiB/s``, ``10/s``.

Each parser takes one word and returns seconds, bytes or a rate per second; the text of its ``ValueError``
says what it expects. ``operator_file`` looks the parsers up by the name of the unit.
"""

from __future__ import annotations

import re

SECONDS_PER_UNIT = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0, "d": 86400.0}
BYTES_PER_UNIT = {"B": 1, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30, "KB": 10**3, "MB": 10**6, "GB": 10**9}
QUANTITY_PATTERN = re.compile(r"(\d+(?:\.\d+)?)([A-Za-z]*)(/s)?")


def _split(word: str, expected: str) -> tuple[float, str, bool]:
    """The number, the unit, and whether the word ends in ``/s``; ``ValueError(expected)`` otherwise."""
    match = QUANTITY_PATTERN.fullmatch(word)
    if match is None:
        raise ValueError(expected)
    return float(match[1]), match[2], match[3] is not None


def duration(word: str) -> float:
    """A duration, in seconds."""
    expected = "a time such as 250ms, 5s or 2min"
    number, unit, is_rate = _split(word, expected)
    if is_rate or unit not in SECONDS_PER_UNIT:
        raise ValueError(expected)
    return number * SECONDS_PER_UNIT[unit]


def size(word: str) -> int:
    """A size, in bytes."""
    expected = "a size such as 64KiB or 2MiB"
    number, unit, is_rate = _split(word, expected)
    if is_rate or unit not in BYTES_PER_UNIT:
        raise ValueError(expected)
    return round(number * BYTES_PER_UNIT[unit])


def byte_rate(word: str) -> int:
    """A rate, in bytes per second."""
    expected = "bytes a second such as 16KiB/s"
    number, unit, is_rate = _split(word, expected)
    if not is_rate or unit not in BYTES_PER_UNIT:
        raise ValueError(expected)
    return round(number * BYTES_PER_UNIT[unit])


def per_second(word: str) -> float:
    """A rate, in events per second."""
    expected = "a rate such as 10/s"
    number, unit, is_rate = _split(word, expected)
    if not is_rate or unit:
        raise ValueError(expected)
    return number


def address(word: str) -> tuple[str, int]:
    """A host without the brackets of an IPv6 address, and a port."""
    host, separator, port = word.rpartition(":")
    if not separator or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError('an address such as "127.0.0.1:7946"')
    return host.strip("[]"), int(port)


def format_duration(seconds: float) -> str:
    """A duration in the largest unit of which it is a whole multiple, else in seconds."""
    for unit, factor in (("d", 86400.0), ("h", 3600.0), ("min", 60.0), ("s", 1.0), ("ms", 1e-3)):
        if seconds >= factor and round(seconds / factor, 6) == round(seconds / factor):
            return f"{round(seconds / factor)}{unit}"
    return f"{seconds:g}s"


def format_size(size_bytes: int) -> str:
    """A size in the largest binary unit of which it is a whole multiple, else in bytes."""
    for unit in ("GiB", "MiB", "KiB"):
        if size_bytes >= BYTES_PER_UNIT[unit] and size_bytes % BYTES_PER_UNIT[unit] == 0:
            return f"{size_bytes // BYTES_PER_UNIT[unit]}{unit}"
    return f"{size_bytes}B"
