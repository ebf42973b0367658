"""Counters of what is taken in, sent and answered: names to whole numbers, nothing more."""

from __future__ import annotations

from collections import defaultdict


class Counters:
    """Sums and high-water marks by name."""

    def __init__(self) -> None:
        self.values: defaultdict[str, int] = defaultdict(int)

    def add(self, name: str, number: int = 1) -> None:
        self.values[name] += number

    def record_max(self, name: str, number: int) -> None:
        """Keep the highest figure seen, under ``most_`` and the name."""
        if number > self.values["most_" + name]:
            self.values["most_" + name] = number

    def snapshot(self) -> dict[str, int]:
        return dict(sorted(self.values.items()))
