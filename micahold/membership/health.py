"""Local health: how far a member may trust its own judgement of others (Lifeguard, section 3.1).

A score of 0 is good health. Each sign that this member itself is slow raises it; probe period and time-outs
are stretched by score + 1, so that a slow member accuses fewer of the others. What the process knows of its
own stalls (``StallDetector``) is taken off every wait before it is judged: that is ours, not the paper's.
"""

from __future__ import annotations

MAX_SCORE = 8
MIN_STALL_S = 0.25  # a turn this late is a stall


class LocalHealth:
    """The score; ``enabled`` False keeps it at 0 (plain SWIM, for comparison)."""

    def __init__(self, enabled: bool = True) -> None:
        self.enabled, self.score = enabled, 0

    def adjust(self, change: int) -> None:
        """+1: a probe without ack, a nack that did not come, an accusation against us. -1: a good probe."""
        if self.enabled:
            self.score = min(MAX_SCORE, max(0, self.score + change))

    @property
    def multiplier(self) -> int:
        return self.score + 1


class StallDetector:
    """Tells by how much this member's own clock of turns was late."""

    def __init__(self, enabled: bool = True) -> None:
        self.enabled, self.due = enabled, float("inf")

    def expect_turn_at(self, due: float) -> None:
        self.due = due

    def lateness_s(self, now: float) -> float:
        """Seconds to add to every wait that is running; 0 for an ordinary turn."""
        lateness = now - self.due
        return lateness if self.enabled and lateness > MIN_STALL_S else 0.0
