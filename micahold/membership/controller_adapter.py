"""Connects the group and the controller, in both directions, as events; pure.

From the exchange come the events that it passes to the controller anyway: attempts that ended and the engine
list. The controller gets the peer reports and the size of the group when they change, and the peer reports
once a second as well, since they expire.
"""

from __future__ import annotations

from micahold import interface as api
from micahold.membership.group import Group, GroupSnapshot

REPEAT_INTERVAL_S = 1.0  # peer reports expire, so unchanged ones are repeated
FAILED_OUTCOMES = frozenset(
    {api.Outcome.ERROR, api.Outcome.CONNECT_FAILED, api.Outcome.RESET, api.Outcome.TIMEOUT}
)
# These outcomes say nothing about the engine.
IGNORED_OUTCOMES = frozenset({api.Outcome.FULL, api.Outcome.CANCELLED, api.Outcome.NOT_STARTED})


class ControllerAdapter:
    """Passes events between one group member and its controller.

    With ``share_reports`` False the controller gets the group's size, but no peer reports about engines.
    """

    def __init__(self, group: Group, share_reports: bool = True) -> None:
        self.group = group
        self.share_reports = share_reports
        self.engine_states: dict[str, api.EngineState] = {}
        self._last_snapshot: GroupSnapshot | None = None
        self._reported_at = 0.0

    def handle_event(self, now: float, event: api.Event) -> None:
        """Take in an event that the exchange passes to the controller."""
        match event:
            case api.AttemptEnded(attempt=attempt, engine=engine, outcome=outcome):
                # An error after the first attempt counts against the query alone, as in the controller.
                if outcome not in IGNORED_OUTCOMES and not (outcome is api.Outcome.ERROR and attempt > 0):
                    self.group.record_attempt(now, engine, outcome in FAILED_OUTCOMES)
            case api.ListUpdate(kind=kind, entries=entries):
                if kind is not api.ListKind.CHANGES and kind is not api.ListKind.UNAVAILABLE:
                    self.engine_states.clear()
                    self._last_snapshot = None  # the controller may be new and have no state yet
                for entry in entries:
                    if entry.state is api.EngineState.GONE:
                        self.engine_states.pop(entry.engine, None)
                    else:
                        self.engine_states[entry.engine] = entry.state
                up = {engine for engine, state in self.engine_states.items() if state is api.EngineState.UP}
                self.group.update_engine_list(now, up, set(self.engine_states) - up)

    def take_events(self, now: float) -> list[api.Event]:
        """The events that the controller should get now; each change is returned once."""
        snapshot = self.group.snapshot
        last = self._last_snapshot
        events: list[api.Event] = []
        if last is None or last.gateways != snapshot.gateways:
            events.append(api.GroupSize(snapshot.gateways.upper_bound, snapshot.gateways.live))
        if self.share_reports:
            reports = (snapshot.failing, snapshot.draining)
            last_reports = (last.failing, last.draining) if last is not None else (frozenset(), frozenset())
            if reports != last_reports or (any(reports) and now >= self._reported_at + REPEAT_INTERVAL_S):
                events.append(api.PeerReport(*reports, snapshot.valid_until))
                self._reported_at = now
        self._last_snapshot = snapshot
        return events
