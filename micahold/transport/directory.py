"""Address and state of each engine from the engine list, by engine id.

Ids and addresses are reused: an engine that returns after it was gone is another process. Each presence of
an engine in the list under one address is therefore a listing of its own.
"""

from __future__ import annotations

from itertools import count
from typing import NamedTuple

from micahold.interface import EngineState, ListKind
from micahold.protocol.engine_list import EngineListEvent


class EngineListing(NamedTuple):
    """One uninterrupted presence of an engine in the list; ``number`` tells it from earlier ones."""

    engine: str
    host: str
    port: int
    number: int


class EngineDirectory:
    """Listings and states of all engines except those that are gone."""

    def __init__(self) -> None:
        self._listings: dict[str, EngineListing] = {}
        self._states: dict[str, EngineState] = {}
        self._numbers = count(1)

    def update(self, list_event: EngineListEvent) -> list[EngineListing]:
        """Applies an event of the engine list; returns the listings that it ends."""
        gone = set[str]()
        if list_event.update.kind in (ListKind.FULL, ListKind.RESTORED):
            gone = set(self._states)
            self._states.clear()
        for entry in list_event.update.entries:
            if entry.state is EngineState.GONE:
                self._states.pop(entry.engine, None)
                gone.add(entry.engine)
            else:
                self._states[entry.engine] = entry.state
        gone.difference_update(self._states)
        ended = [self._listings.pop(engine) for engine in sorted(gone & self._listings.keys())]
        for engine, (host, port) in list_event.addresses.items():
            current = self._listings.get(engine)
            if engine not in self._states or (current is not None and current[1:3] == (host, port)):
                continue
            if current is not None:
                ended.append(current)
            self._listings[engine] = EngineListing(engine, host, port, next(self._numbers))
        return ended

    def accepts_queries(self, listing: EngineListing) -> bool:
        """Whether the listing has not ended and its engine is up and not draining."""
        return self.is_current(listing) and self._states.get(listing.engine) is EngineState.UP

    def is_current(self, listing: EngineListing) -> bool:
        """Whether the listing has not ended; another process may have its address otherwise."""
        return self._listings.get(listing.engine) == listing

    def listing(self, engine: str) -> EngineListing | None:
        """The current listing of an engine; None if it is gone or has no known address."""
        return self._listings.get(engine)

    def __len__(self) -> int:
        """Number of engines that are up or draining."""
        return len(self._states)
