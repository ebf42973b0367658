"""Named integer counters for queries, attempts, connections and events."""

from __future__ import annotations

from collections import defaultdict


class Counters:
    """Sums and high-water marks by counter name."""

    def __init__(self) -> None:
        self.values: defaultdict[str, int] = defaultdict(int)

    def add(self, name: str, count: int = 1) -> None:
        """Increases the counter ``name`` by ``count``."""
        self.values[name] += count

    def record_max(self, name: str, value: int) -> None:
        """Sets the counter ``most_`` + ``name`` to ``value`` if it is lower than that."""
        if value > self.values["most_" + name]:
            self.values["most_" + name] = value

    def snapshot(self) -> dict[str, int]:
        """Returns a copy of all counters, sorted by name."""
        return dict(sorted(self.values.items()))
