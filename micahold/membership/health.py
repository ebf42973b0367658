"""Local health: how far a member may trust its own judgement of others (Lifeguard, section 3.1).

A score of 0 is good health. Each sign that this member itself is slow raises the score; the probe period and
the timeouts are multiplied by score + 1, so that a slow member accuses fewer of the others. ``StallDetector``
is an addition to Lifeguard: a stall of this process is added to every pending deadline before the deadlines
are evaluated.
"""

from __future__ import annotations

MAX_SCORE = 8  # bounds the slowdown of the failure detector to a factor of 9
MIN_STALL_S = 0.25  # a timer that fires later than this counts as a stall of the process


class LocalHealth:
    """The local health score; ``enabled`` False keeps it at 0 (plain SWIM, for comparison)."""

    def __init__(self, enabled: bool = True) -> None:
        self.enabled = enabled
        self.score = 0

    def adjust(self, change: int) -> None:
        """Add ``change`` to the score, within its bounds.

        +1 for each probe without an ack, nack that did not arrive, and accusation against this member; -1 for
        each acknowledged probe.
        """
        if self.enabled:
            self.score = min(MAX_SCORE, max(0, self.score + change))

    @property
    def multiplier(self) -> int:
        """Factor for the probe period and the timeouts (Lifeguard's local health multiplier)."""
        return self.score + 1


class StallDetector:
    """Detects stalls of this process by how late its timer fires."""

    def __init__(self, enabled: bool = True) -> None:
        self.enabled = enabled
        self.due = float("inf")

    def expect_turn_at(self, due: float) -> None:
        """Set the time at which the timer should fire next."""
        self.due = due

    def lateness_s(self, now: float) -> float:
        """Seconds to add to every pending deadline; 0 where the timer fired in time."""
        lateness = now - self.due
        return lateness if self.enabled and lateness > MIN_STALL_S else 0.0
