"""Drains reported by peers: engines that drain by the engine lists of other members, ahead of the local list.

A reported drain can only make this gateway stop sending earlier. It needs the reports of two members, it
applies to a bounded share of the engines at most, and it ends by itself where the local engine list does not
confirm it in time; the members that reported it are then ignored for a while.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MIN_REPORTERS = 2  # so that a single lying member cannot hold queries back from an engine
CONFIRMATION_TIMEOUT_S = 3.0  # time for the local engine list to confirm a reported drain
REPORTER_IGNORED_S = 60.0  # for how long a member is ignored after a report that was not confirmed
MAX_HELD_SHARE = 1 / 8  # of the engines that are up, one at least
MAX_TRACKED_ENGINES = 256  # engines with reports; bounds memory


@dataclass(slots=True)
class ReportedDrain:
    """Reports that one engine drains."""

    first_reported_at: float
    reporters: set[str] = field(default_factory=set)


class DrainReports:
    """Peer reports of drains; ``up`` are the engines that are up by the local engine list."""

    def __init__(self) -> None:
        self.reported: dict[str, ReportedDrain] = {}
        self.ignored_until: dict[str, float] = {}
        self.up: set[str] = set()

    def set_listed_engines(self, up: set[str]) -> None:
        """Take over the local engine list; it confirms the drains of engines that are no longer up in it."""
        self.up = up
        self.reported = {engine: drain for engine, drain in self.reported.items() if engine in up}

    def add_report(self, now: float, origin: str, engines: tuple[str, ...]) -> None:
        """Record that these engines drain by the engine list of member ``origin``."""
        if now < self.ignored_until.get(origin, 0.0):
            return
        for engine in engines:
            if engine in self.up and (engine in self.reported or len(self.reported) < MAX_TRACKED_ENGINES):
                self.reported.setdefault(engine, ReportedDrain(now)).reporters.add(origin)

    def draining_engines(self, now: float) -> frozenset[str]:
        """Engines to send no new queries to: the earliest reported, up to ``MAX_HELD_SHARE``."""
        for engine, drain in list(self.reported.items()):
            if now >= drain.first_reported_at + CONFIRMATION_TIMEOUT_S:
                del self.reported[engine]
                for origin in drain.reporters:
                    self.ignored_until[origin] = now + REPORTER_IGNORED_S
        self.ignored_until = {origin: until for origin, until in self.ignored_until.items() if now < until}
        limit = max(1, int(len(self.up) * MAX_HELD_SHARE))
        reported = [
            (drain.first_reported_at, engine)
            for engine, drain in self.reported.items()
            if len(drain.reporters) >= MIN_REPORTERS
        ]
        return frozenset(engine for _, engine in sorted(reported)[:limit])

    def due(self) -> float:
        """Time at which the next reported drain ends unconfirmed, infinity where there is none."""
        return min(
            (drain.first_reported_at + CONFIRMATION_TIMEOUT_S for drain in self.reported.values()),
            default=float("inf"),
        )
