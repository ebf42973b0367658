"""Drains heard early: what members read in their engine lists before ours says it.

A drain heard can only make this gateway stop sending sooner. It takes two members, it holds no more than a
stated part of the engines, and it ends by itself if our own list does not confirm it; who told of it is then
not believed for a while.
"""

from __future__ import annotations

from dataclasses import dataclass, field

VOICES = 2
WAIT_S = 3.0  # for our own list to confirm it
MUTED_S = 60.0
MOST_PART = 1 / 8  # of the engines that are up, one at least
MOST_ENGINES = 256  # that are kept track of


@dataclass(slots=True)
class HeardDrain:
    """One engine that some say drains."""

    since: float
    voices: set[str] = field(default_factory=set)


class EarlyDrains:
    """``up``: engines that our own list says are up."""

    def __init__(self) -> None:
        self.heard: dict[str, HeardDrain] = {}
        self.muted: dict[str, float] = {}
        self.up: set[str] = set()

    def listed(self, up: set[str]) -> None:
        """Our own list: engines that it drains or has no more are confirmed."""
        self.up = up
        self.heard = {one: word for one, word in self.heard.items() if one in up}

    def hear(self, now: float, origin: str, engines: tuple[str, ...]) -> None:
        """A member says that these drain by its own list."""
        if now < self.muted.get(origin, 0.0):
            return
        for engine in engines:
            if engine in self.up and (engine in self.heard or len(self.heard) < MOST_ENGINES):
                self.heard.setdefault(engine, HeardDrain(now)).voices.add(origin)

    def draining(self, now: float) -> frozenset[str]:
        """Engines that get nothing new: the earliest heard first, up to the stated part."""
        for engine, word in list(self.heard.items()):
            if now >= word.since + WAIT_S:
                del self.heard[engine]
                for origin in word.voices:
                    self.muted[origin] = now + MUTED_S
        self.muted = {one: until for one, until in self.muted.items() if now < until}
        most = max(1, int(len(self.up) * MOST_PART))
        told = [(word.since, one) for one, word in self.heard.items() if len(word.voices) >= VOICES]
        return frozenset(one for _, one in sorted(told)[:most])

    def due(self) -> float:
        return min((word.since + WAIT_S for word in self.heard.values()), default=float("inf"))
