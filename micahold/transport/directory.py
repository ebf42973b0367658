"""Where each engine listens and what the list last said of it, by engine id: addresses are reused."""

from __future__ import annotations

from micahold.interface import EngineState, ListKind
from micahold.protocol.engine_list import ListNews


class EngineDirectory:
    """Addresses and states of the engines that have not gone; ids are ever new, so no other is kept."""

    def __init__(self) -> None:
        self._addresses: dict[str, tuple[str, int]] = {}
        self._states: dict[str, EngineState] = {}

    def update(self, news: ListNews) -> list[str]:
        """Takes one event of the list; answers with the engines that are gone by it or have moved."""
        listed = dict(self._addresses)
        if news.update.kind in (ListKind.FULL, ListKind.RESTORED):
            self._states.clear()
        for entry in news.update.entries:
            self._states[entry.engine] = entry.state
        self._addresses.update(news.addresses)
        self._states = {one: state for one, state in self._states.items() if state is not EngineState.GONE}
        self._addresses = {one: place for one, place in self._addresses.items() if one in self._states}
        return [engine for engine, before in listed.items() if before != self._addresses.get(engine)]

    def accepts_queries(self, engine: str) -> bool:
        return self._states.get(engine) is EngineState.UP and engine in self._addresses

    def address(self, engine: str) -> tuple[str, int] | None:
        """None once it has gone: another engine may listen there by now."""
        return self._addresses.get(engine)

    def __len__(self) -> int:
        return len(self._states)
