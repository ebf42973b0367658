"""Between the group and the decisions, both ways, as events; pure.

From the exchange come the events that it tells the decision module anyway: attempts that ended and the engine
list. To it go ``PeerReport`` and ``GroupSize``: at a change, and peer reports once a second besides, since
they are void after a time.
"""

from __future__ import annotations

from micahold import interface as api
from micahold.membership.group import Group, GroupSnapshot

REPEAT_INTERVAL_S = 1.0
FAILED_OUTCOMES = frozenset(
    {api.Outcome.ERROR, api.Outcome.CONNECT_FAILED, api.Outcome.RESET, api.Outcome.TIMEOUT}
)
IGNORED_OUTCOMES = frozenset(
    {api.Outcome.FULL, api.Outcome.CANCELLED, api.Outcome.NOT_STARTED}
)  # say nothing of the engine


class ControllerAdapter:
    """``hearsay`` False: the group is counted, and what it says of engines is kept from the decisions."""

    def __init__(self, group: Group, share_reports: bool = True) -> None:
        self.group, self.share_reports = group, share_reports
        self.engine_states: dict[str, api.EngineState] = {}
        self._told: GroupSnapshot | None = None
        self._told_at = 0.0

    def handle_event(self, now: float, event: api.Event) -> None:
        """What the exchange tells the decisions."""
        match event:
            case api.AttemptEnded(attempt=attempt, engine=engine, outcome=outcome):
                # An error after others is the query's own, not the engine's: the decisions judge alike.
                if outcome not in IGNORED_OUTCOMES and not (outcome is api.Outcome.ERROR and attempt > 0):
                    self.group.record_attempt(now, engine, outcome in FAILED_OUTCOMES)
            case api.ListUpdate(kind=kind, entries=entries):
                if kind is not api.ListKind.CHANGES and kind is not api.ListKind.UNAVAILABLE:
                    self.engine_states.clear()
                    self._told = None  # it may be a new controller, which knows nothing yet
                for entry in entries:
                    if entry.state is api.EngineState.GONE:
                        self.engine_states.pop(entry.engine, None)
                    else:
                        self.engine_states[entry.engine] = entry.state
                up = {one for one, state in self.engine_states.items() if state is api.EngineState.UP}
                self.group.update_engine_list(now, up, set(self.engine_states) - up)

    def take_events(self, now: float) -> list[api.Event]:
        """What the decisions should be told now."""
        verdict, told = self.group.snapshot, self._told
        events: list[api.Event] = []
        if told is None or told.gateways != verdict.gateways:
            events.append(api.GroupSize(verdict.gateways.upper_bound, verdict.gateways.live))
        if self.share_reports:
            said = (verdict.failing, verdict.draining)
            before = (told.failing, told.draining) if told is not None else (frozenset(), frozenset())
            if said != before or (any(said) and now >= self._told_at + REPEAT_INTERVAL_S):
                events.append(api.PeerReport(*said, verdict.valid_until))
                self._told_at = now
        self._told = verdict
        return events
