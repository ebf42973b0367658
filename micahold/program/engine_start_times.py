"""Start times of engines, which the list names by the wall clock, on the front's monotonic clock.

The wall clock may have been stepped between the stamp and its reading. An engine that is taken as older than
it is could be overloaded while it is cold, so a start that is news and has an implausible age counts as now.
"""

from __future__ import annotations

from dataclasses import replace

from micahold import interface as api

# Start times above 0 are known; the monotonic clock may be younger than an engine.
EARLIEST_START = 1e-3


class EngineStartTimes:
    """Converts start times, once for each start, so that a later step of the wall clock changes none."""

    def __init__(self, cold_duration_s: float) -> None:
        self._cold_duration_s = cold_duration_s
        self._known: dict[str, tuple[float, float]] = {}  # by engine: Unix time, and the same on our clock

    def convert(self, update: api.ListUpdate, unix_now: float, now: float, is_news: bool) -> api.ListUpdate:
        """The update with start times in seconds of the clock of ``now``; 0 stays 0, for no known start.

        ``is_news`` says that the update has just come, and is not the list that the front was started with.
        """
        entries = tuple(self._convert_entry(entry, unix_now, now, is_news) for entry in update.entries)
        if update.kind is not api.ListKind.CHANGES:
            listed = {entry.engine for entry in entries}
            self._known = {engine: times for engine, times in self._known.items() if engine in listed}
        return replace(update, entries=entries)

    def _convert_entry(
        self, entry: api.EngineEntry, unix_now: float, now: float, is_news: bool
    ) -> api.EngineEntry:
        if entry.state is api.EngineState.GONE:
            return replace(entry, started_at=self._known.pop(entry.engine, (0.0, 0.0))[1])
        if entry.started_at <= 0:
            self._known.pop(entry.engine, None)
            return entry
        unix_start, start = self._known.get(entry.engine, (0.0, 0.0))
        if unix_start != entry.started_at:
            age_s = max(0.0, unix_now - entry.started_at)
            if is_news and age_s > self._cold_duration_s:
                age_s = 0.0
            start = max(EARLIEST_START, now - age_s)
            self._known[entry.engine] = (entry.started_at, start)
        return replace(entry, started_at=start)
