"""What the list has told of each engine, for events that hold only what has changed."""

from __future__ import annotations

from dataclasses import replace

from micahold import interface as api
from micahold.protocol.engine_list import EngineListEvent


class KnownEngines:
    """Completes events of the engine list with what earlier ones told of the same engines."""

    def __init__(self) -> None:
        self._entries: dict[str, api.EngineEntry] = {}  # of all engines that are not gone

    def complete(self, list_event: EngineListEvent) -> EngineListEvent:
        """The event with the fields that it leaves out; those that were never told keep their default."""
        update = list_event.update
        known = self._entries
        if update.kind is not api.ListKind.CHANGES:
            self._entries = {}
        entries = tuple(self._complete_entry(entry, list_event, known) for entry in update.entries)
        return replace(list_event, update=replace(update, entries=entries))

    def _complete_entry(
        self, entry: api.EngineEntry, list_event: EngineListEvent, known: dict[str, api.EngineEntry]
    ) -> api.EngineEntry:
        earlier = known.get(entry.engine)
        if earlier is not None:
            absent = list_event.absent_fields.get(entry.engine, frozenset())
            entry = replace(entry, **{name: getattr(earlier, name) for name in absent})
        if entry.state is api.EngineState.GONE:
            self._entries.pop(entry.engine, None)
        else:
            self._entries[entry.engine] = entry
        return entry
