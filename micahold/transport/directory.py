"""Address and state of each engine from the engine list, by engine id.

Ids and addresses are reused: an engine that returns after it was gone is another process, and so is one that
is listed with a new start time, or under the address of an engine that has not been listed as gone. Each
presence of one process in the list under one address is therefore a listing of its own.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count
from typing import NamedTuple

from micahold.interface import EngineEntry, EngineState, ListKind
from micahold.protocol.engine_list import EngineListEvent


class EngineListing(NamedTuple):
    """One uninterrupted presence of an engine in the list; ``number`` tells it from earlier ones."""

    engine: str
    host: str
    port: int
    number: int


@dataclass(slots=True)
class DirectoryChanges:
    """What an event of the engine list has changed.

    ``ended`` holds the listings that it ends. ``displaced`` holds the engines that are gone, although the
    event does not say so, since another one has their address.
    """

    ended: list[EngineListing] = field(default_factory=list)
    displaced: list[str] = field(default_factory=list)


class EngineDirectory:
    """Listings and states of all engines except those that are gone."""

    def __init__(self) -> None:
        self._listings: dict[str, EngineListing] = {}
        self._states: dict[str, EngineState] = {}
        self._started_at: dict[str, float] = {}  # of the listed processes whose start is known
        self._engine_at: dict[tuple[str, int], str] = {}  # by address
        self._numbers = count(1)

    def update(self, list_event: EngineListEvent) -> DirectoryChanges:
        """Applies an event of the engine list."""
        changes = DirectoryChanges()
        update = list_event.update
        if update.kind in (ListKind.FULL, ListKind.RESTORED):
            named = {entry.engine for entry in update.entries}
            for engine in sorted(self._states.keys() - named):
                self._remove(engine, changes)
        moves: dict[str, tuple[str, int]] = {}
        for entry in update.entries:
            current = self._listings.get(entry.engine)
            address = current[1:3] if current is not None else None
            if entry.state is EngineState.GONE or self._is_restart(entry):
                self._remove(entry.engine, changes)
            if entry.state is EngineState.GONE:
                moves.pop(entry.engine, None)
                continue
            self._states[entry.engine] = entry.state
            if entry.started_at > 0:
                self._started_at[entry.engine] = entry.started_at
            address = list_event.addresses.get(entry.engine, address)
            listing = self._listings.get(entry.engine)
            if address is not None and (listing is None or listing[1:3] != address):
                moves[entry.engine] = address
        for engine in moves:
            self._end_listing(engine, changes)  # engines may exchange their addresses
        for engine, address in moves.items():
            self._list_at(engine, address, changes)
        return changes

    def _is_restart(self, entry: EngineEntry) -> bool:
        """Whether the entry is of another process than the one that is listed under its id."""
        is_known = entry.engine in self._states
        return is_known and 0 < entry.started_at != self._started_at.get(entry.engine, 0.0)

    def _list_at(self, engine: str, address: tuple[str, int], changes: DirectoryChanges) -> None:
        """Begins a listing; an engine that was listed under its address is gone."""
        other = self._engine_at.get(address)
        if other is not None:
            if self._states[engine] is not EngineState.UP:
                return  # news of an earlier process: the address is in use
            self._remove(other, changes)
            changes.displaced.append(other)
        self._listings[engine] = EngineListing(engine, *address, next(self._numbers))
        self._engine_at[address] = engine

    def _end_listing(self, engine: str, changes: DirectoryChanges) -> None:
        listing = self._listings.pop(engine, None)
        if listing is not None:
            del self._engine_at[listing[1:3]]
            changes.ended.append(listing)

    def _remove(self, engine: str, changes: DirectoryChanges) -> None:
        self._end_listing(engine, changes)
        self._states.pop(engine, None)
        self._started_at.pop(engine, None)

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
