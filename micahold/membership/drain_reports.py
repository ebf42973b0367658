"""Drains heard early: what members read in their engine lists before ours says it.

A drain heard can only make this gateway stop sending sooner. It takes two members, it holds no more than a
stated part of the engines, and it ends by itself if our own list does not confirm it; who told of it is then
not believed for a while.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MIN_REPORTERS = 2
CONFIRMATION_TIMEOUT_S = 3.0  # for our own list to confirm it
REPORTER_IGNORED_S = 60.0
MAX_HELD_SHARE = 1 / 8  # of the engines that are up, one at least
MAX_TRACKED_ENGINES = 256  # that are kept track of


@dataclass(slots=True)
class ReportedDrain:
    """One engine that some say drains."""

    first_reported_at: float
    reporters: set[str] = field(default_factory=set)


class DrainReports:
    """``up``: engines that our own list says are up."""

    def __init__(self) -> None:
        self.reported: dict[str, ReportedDrain] = {}
        self.ignored_until: dict[str, float] = {}
        self.up: set[str] = set()

    def set_listed_engines(self, up: set[str]) -> None:
        """Our own list: engines that it drains or has no more are confirmed."""
        self.up = up
        self.reported = {one: word for one, word in self.reported.items() if one in up}

    def add_report(self, now: float, origin: str, engines: tuple[str, ...]) -> None:
        """A member says that these drain by its own list."""
        if now < self.ignored_until.get(origin, 0.0):
            return
        for engine in engines:
            if engine in self.up and (engine in self.reported or len(self.reported) < MAX_TRACKED_ENGINES):
                self.reported.setdefault(engine, ReportedDrain(now)).reporters.add(origin)

    def draining_engines(self, now: float) -> frozenset[str]:
        """Engines that get nothing new: the earliest heard first, up to the stated part."""
        for engine, word in list(self.reported.items()):
            if now >= word.first_reported_at + CONFIRMATION_TIMEOUT_S:
                del self.reported[engine]
                for origin in word.reporters:
                    self.ignored_until[origin] = now + REPORTER_IGNORED_S
        self.ignored_until = {one: until for one, until in self.ignored_until.items() if now < until}
        most = max(1, int(len(self.up) * MAX_HELD_SHARE))
        told = [
            (word.first_reported_at, one)
            for one, word in self.reported.items()
            if len(word.reporters) >= MIN_REPORTERS
        ]
        return frozenset(one for _, one in sorted(told)[:most])

    def due(self) -> float:
        return min(
            (word.first_reported_at + CONFIRMATION_TIMEOUT_S for word in self.reported.values()),
            default=float("inf"),
        )
