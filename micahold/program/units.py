"""Figures with units as operators write them: ``250ms``, ``64KiB``, ``16KiB/s``, ``10/s``.

Each parser takes the word and answers with seconds, bytes or a rate a second; ``ValueError`` says what was
expected.
"""

from __future__ import annotations

import re

SECONDS_PER_UNIT = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0, "d": 86400.0}
BYTES_PER_UNIT = {"B": 1, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30, "KB": 10**3, "MB": 10**6, "GB": 10**9}
QUANTITY_PATTERN = re.compile(r"(\d+(?:\.\d+)?)([A-Za-z]*)(/s)?")


def _split(word: str, expected: str) -> tuple[float, str, bool]:
    found = QUANTITY_PATTERN.fullmatch(word)
    if found is None:
        raise ValueError(expected)
    return float(found[1]), found[2], found[3] is not None


def duration(word: str) -> float:
    """Seconds."""
    expected = "a time such as 250ms, 5s or 2min"
    number, unit, rate = _split(word, expected)
    if rate or unit not in SECONDS_PER_UNIT:
        raise ValueError(expected)
    return number * SECONDS_PER_UNIT[unit]


def size(word: str) -> int:
    """Bytes."""
    expected = "a size such as 64KiB or 2MiB"
    number, unit, rate = _split(word, expected)
    if rate or unit not in BYTES_PER_UNIT:
        raise ValueError(expected)
    return round(number * BYTES_PER_UNIT[unit])


def byte_rate(word: str) -> int:
    """Bytes a second."""
    expected = "bytes a second such as 16KiB/s"
    number, unit, rate = _split(word, expected)
    if not rate or unit not in BYTES_PER_UNIT:
        raise ValueError(expected)
    return round(number * BYTES_PER_UNIT[unit])


def per_second(word: str) -> float:
    """Times a second."""
    expected = "a rate such as 10/s"
    number, unit, rate = _split(word, expected)
    if not rate or unit:
        raise ValueError(expected)
    return number


def address(word: str) -> tuple[str, int]:
    """Host and port."""
    host, sign, port = word.rpartition(":")
    if not sign or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError('an address such as "127.0.0.1:7946"')
    return host.strip("[]"), int(port)


def format_duration(seconds: float) -> str:
    for unit, factor in (("d", 86400.0), ("h", 3600.0), ("min", 60.0), ("s", 1.0), ("ms", 1e-3)):
        if seconds >= factor and round(seconds / factor, 6) == round(seconds / factor):
            return f"{round(seconds / factor)}{unit}"
    return f"{seconds:g}s"


def format_size(number: int) -> str:
    for unit in ("GiB", "MiB", "KiB"):
        if number >= BYTES_PER_UNIT[unit] and number % BYTES_PER_UNIT[unit] == 0:
            return f"{number // BYTES_PER_UNIT[unit]}{unit}"
    return f"{number}B"
