"""Tests of the engine directory: which process has an address, as far as the list tells."""

from __future__ import annotations

import pytest

from micahold.interface import EngineEntry, EngineState, ListKind, ListUpdate
from micahold.protocol.engine_list import EngineListEvent
from micahold.transport.directory import EngineDirectory

UP, DRAINING, GONE = EngineState.UP, EngineState.DRAINING, EngineState.GONE
PORTS = {"a": 4001, "b": 4002}


def list_event(
    *entries: EngineEntry, kind: ListKind = ListKind.CHANGES, **ports: int | None
) -> EngineListEvent:
    """An event with the entries; ports differ from ``PORTS`` as given, None leaves the address out."""
    known_ports: dict[str, int | None] = {**PORTS, **ports}
    addresses = {}
    for entry in entries:
        port = known_ports.get(entry.engine)
        if port is not None:
            addresses[entry.engine] = ("127.0.0.1", port)
    return EngineListEvent(1, ListUpdate(kind, 1, entries), addresses)


def directory_of_two() -> EngineDirectory:
    """A directory with the engines a and b."""
    directory = EngineDirectory()
    directory.update(list_event(EngineEntry("a"), EngineEntry("b"), kind=ListKind.FULL))
    return directory


@pytest.mark.parametrize("kind", [ListKind.CHANGES, ListKind.FULL])
def test_engine_whose_address_another_one_has_is_gone(kind: ListKind) -> None:
    """Guards against work for an engine that goes to the new process at its address."""
    directory = directory_of_two()
    old = directory.listing("a")
    assert old is not None
    others = (EngineEntry("a"), EngineEntry("b")) if kind is ListKind.FULL else ()
    changes = directory.update(list_event(*others, EngineEntry("new"), kind=kind, new=PORTS["a"]))
    assert (changes.ended, changes.displaced) == ([old], ["a"])
    assert directory.listing("a") is None and not directory.accepts_queries(old)
    new = directory.listing("new")
    assert new is not None and directory.accepts_queries(new)


def test_engine_that_is_gone_and_back_in_one_event_is_another_process() -> None:
    """Guards against connections and news of the old process that count for the new one."""
    directory = directory_of_two()
    old = directory.listing("a")
    changes = directory.update(list_event(EngineEntry("a", GONE), EngineEntry("a")))
    assert changes.ended == [old] and not changes.displaced
    assert directory.listing("a") not in (None, old)


@pytest.mark.parametrize("kind", [ListKind.CHANGES, ListKind.FULL, ListKind.RESTORED])
@pytest.mark.parametrize("first_start", [0.0, 50.0])
def test_engine_with_a_new_start_time_is_another_process(first_start: float, kind: ListKind) -> None:
    """Guards against a process that came back at its address while its end was not told."""
    directory = EngineDirectory()
    directory.update(
        list_event(EngineEntry("a", started_at=first_start), EngineEntry("b"), kind=ListKind.FULL)
    )
    old = directory.listing("a")
    changes = directory.update(list_event(EngineEntry("a", started_at=90.0), EngineEntry("b"), kind=kind))
    assert changes.ended == [old] and not changes.displaced
    new = directory.listing("a")
    assert new is not None and new != old and directory.accepts_queries(new)
    assert not directory.update(list_event(EngineEntry("a", started_at=90.0))).ended


@pytest.mark.parametrize("started_at", [0.0, 50.0])
@pytest.mark.parametrize("port", [PORTS["a"], None])
def test_engine_that_is_listed_again_keeps_its_listing(port: int | None, started_at: float) -> None:
    """Guards against connections that are closed for nothing at each news of an engine."""
    directory = EngineDirectory()
    directory.update(list_event(EngineEntry("a", started_at=50.0)))
    old = directory.listing("a")
    for state in (DRAINING, UP):
        changes = directory.update(list_event(EngineEntry("a", state, started_at=started_at), a=port))
        assert not changes.ended and not changes.displaced
    assert directory.listing("a") == old


def test_engines_may_exchange_their_addresses() -> None:
    directory = directory_of_two()
    changes = directory.update(list_event(EngineEntry("a"), EngineEntry("b"), a=PORTS["b"], b=PORTS["a"]))
    assert len(changes.ended) == 2 and not changes.displaced
    ports = [listing.port for name in PORTS if (listing := directory.listing(name)) is not None]
    assert ports == [PORTS["b"], PORTS["a"]]


def test_late_news_of_a_drain_does_not_take_an_address_back() -> None:
    """Guards against a new engine that is dropped for an old one that ends."""
    directory = directory_of_two()
    directory.update(list_event(EngineEntry("new"), new=PORTS["a"]))
    new = directory.listing("new")
    changes = directory.update(list_event(EngineEntry("a", DRAINING)))
    assert not changes.ended and not changes.displaced
    directory.update(list_event(EngineEntry("a", GONE)))
    assert directory.listing("new") == new and directory.listing("a") is None


def test_address_of_an_engine_that_is_gone_can_be_used_again() -> None:
    directory = directory_of_two()
    directory.update(list_event(EngineEntry("a", GONE)))
    changes = directory.update(list_event(EngineEntry("new"), new=PORTS["a"]))
    assert not changes.ended and not changes.displaced
    assert len(directory) == 2
