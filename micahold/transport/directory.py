"""Address and state of each engine from the engine list, by engine id, since addresses are reused."""

from __future__ import annotations

from micahold.interface import EngineState, ListKind
from micahold.protocol.engine_list import EngineListEvent


class EngineDirectory:
    """Addresses and states of all engines except those that are gone.

    Engine ids are never reused, so entries of engines that are gone need not be kept.
    """

    def __init__(self) -> None:
        self._addresses: dict[str, tuple[str, int]] = {}
        self._states: dict[str, EngineState] = {}

    def update(self, list_event: EngineListEvent) -> list[str]:
        """Applies an event of the engine list; returns the engines that are gone or have a new address."""
        old_addresses = dict(self._addresses)
        if list_event.update.kind in (ListKind.FULL, ListKind.RESTORED):
            self._states.clear()
        for entry in list_event.update.entries:
            self._states[entry.engine] = entry.state
        self._addresses.update(list_event.addresses)
        self._states = {
            engine_id: state for engine_id, state in self._states.items() if state is not EngineState.GONE
        }
        self._addresses = {
            engine_id: address for engine_id, address in self._addresses.items() if engine_id in self._states
        }
        return [
            engine
            for engine, old_address in old_addresses.items()
            if old_address != self._addresses.get(engine)
        ]

    def accepts_queries(self, engine: str) -> bool:
        """Whether the engine is up, not draining, and has a known address."""
        return self._states.get(engine) is EngineState.UP and engine in self._addresses

    def address(self, engine: str) -> tuple[str, int] | None:
        """Host and port of the engine; None if it is gone, as another engine may use its address by now."""
        return self._addresses.get(engine)

    def __len__(self) -> int:
        """Number of engines that are up or draining."""
        return len(self._states)
