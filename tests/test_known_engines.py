"""Tests of events of the engine list that hold only what has changed."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest

from micahold.interface import EngineEntry, EngineState
from micahold.program.known_engines import KnownEngines
from micahold.protocol.engine_list import EngineListEvent, parse_list_event

WHOLE = {
    "id": "s-3", "host_port": "127.0.0.1:4203", "locality": "west", "flavor": "big", "cell": 2,
    "phase": "Ready", "size": 4, "up_since_ms": 5000,
}  # fmt: skip


def list_event(*members: dict[str, Any], complete: bool = False) -> EngineListEvent:
    """An event with the members as they stand in it."""
    event = {"cursor": 1, "nodes": {"revision": 1, "complete": complete, "members": members}}
    return parse_list_event(json.dumps(event).encode(), ("east", "west"), ("std", "big"))


def complete(engines: KnownEngines, *members: dict[str, Any], whole_list: bool = False) -> list[EngineEntry]:
    """The completed entries of an event."""
    return list(engines.complete(list_event(*members, complete=whole_list)).update.entries)


@pytest.mark.parametrize(
    ("phase", "state"), [("Gone", EngineState.GONE), ("Terminating", EngineState.DRAINING)]
)
@pytest.mark.parametrize("whole_list", [False, True])
def test_entry_of_id_and_phase_keeps_what_is_known_of_its_engine(
    phase: str, state: EngineState, whole_list: bool
) -> None:
    """Guards against keyed loads that leave the zone that drops their repeats, after a short entry."""
    engines = KnownEngines()
    (known,) = complete(engines, WHOLE, whole_list=True)
    assert (known.zone, known.kind, known.cell, known.started_at, known.weight) == (1, 1, 2, 5.0, 4.0)
    assert complete(engines, {"id": "s-3", "phase": phase}, whole_list=whole_list) == [
        replace(known, state=state)
    ]


def test_engine_that_drains_and_comes_back_by_id_and_phase_keeps_its_kind() -> None:
    """Guards against queries of a class that is bound to a kind on an engine of another."""
    engines = KnownEngines()
    (known,) = complete(engines, WHOLE)
    complete(engines, {"id": "s-3", "phase": "Terminating"})
    assert complete(engines, {"id": "s-3", "phase": "Ready"}) == [known]


def test_field_that_has_changed_is_taken_over_beside_those_that_have_not() -> None:
    engines = KnownEngines()
    (known,) = complete(engines, WHOLE)
    changed = {"id": "s-3", "phase": "Ready", "size": 8, "up_since_ms": 0}
    assert complete(engines, changed) == [replace(known, weight=8.0, started_at=0.0)]


def test_nothing_is_kept_of_an_engine_that_is_gone() -> None:
    """Guards against memory for engines that have gone, and against their fields on a new process."""
    engines = KnownEngines()
    complete(engines, WHOLE)
    complete(engines, {"id": "s-3", "phase": "Gone"})
    assert complete(engines, {"id": "s-3", "phase": "Ready"}) == [EngineEntry("s-3")]
    complete(engines, {"id": "s-4", "phase": "Ready"}, whole_list=True)
    assert complete(engines, {"id": "s-3", "phase": "Ready", "size": 2}) == [EngineEntry("s-3", weight=2.0)]
