"""Decodes events of the command channel into updates of the engine list."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import orjson

from micahold import interface as api
from micahold.protocol.errors import ProtocolError

STATE_BY_PHASE = {
    "Ready": api.EngineState.UP,
    "Terminating": api.EngineState.DRAINING,
    "Gone": api.EngineState.GONE,
}


# Names of the fields of an entry in events, and in ``EngineEntry``.
ENTRY_FIELDS = {
    "locality": "zone",
    "flavor": "kind",
    "cell": "cell",
    "up_since_ms": "started_at",
    "size": "weight",
}


@dataclass(slots=True, frozen=True)
class EngineListEvent:
    """One numbered event: the update for the decisions, and the addresses of the engines that have one.

    ``absent_fields`` names, by engine, the fields of its entry that the event leaves out.
    """

    cursor: int
    update: api.ListUpdate
    addresses: dict[str, tuple[str, int]]
    absent_fields: dict[str, frozenset[str]] = field(default_factory=dict)


def parse_address(text: str) -> tuple[str, int]:
    """Splits ``host:port``; raises ``ProtocolError`` if the host is empty or the port is invalid."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ProtocolError(f"invalid address {text!r}")
    return host, int(port)


def _index_of(names: tuple[str, ...], value: Any) -> int:
    """Returns the index of a zone or kind that is given by index or name; ``len(names)`` if it is unknown."""
    if isinstance(value, int):
        return value
    return names.index(value) if value in names else len(names)


def decode_list_event(
    event: Mapping[str, Any], zones: tuple[str, ...], kinds: tuple[str, ...]
) -> EngineListEvent:
    """Decodes an event that is already parsed as JSON.

    ``zones`` and ``kinds`` are the names that the indices in the update refer to. Raises ``ProtocolError`` if
    a value is missing or invalid.
    """
    try:
        nodes = event["nodes"]
        entries, addresses, absent_fields = [], {}, {}
        for member in nodes["members"]:
            engine = str(member["id"])
            state = STATE_BY_PHASE.get(member["phase"])
            if state is None:
                raise ProtocolError(f"unknown phase {member['phase']!r}")
            if member.get("host_port"):
                addresses[engine] = parse_address(str(member["host_port"]))
            absent = frozenset(name for key, name in ENTRY_FIELDS.items() if key not in member)
            if absent:
                absent_fields[engine] = absent
            entries.append(
                api.EngineEntry(
                    engine=engine,
                    state=state,
                    zone=_index_of(zones, member.get("locality", 0)),
                    kind=_index_of(kinds, member.get("flavor", 0)),
                    cell=int(member.get("cell") or 0),
                    started_at=float(member.get("up_since_ms") or 0) / 1000,
                    weight=float(member.get("size") or 1.0),
                )
            )
        list_kind = api.ListKind.FULL if nodes.get("complete") else api.ListKind.CHANGES
        update = api.ListUpdate(list_kind, int(nodes.get("revision") or 0), tuple(entries))
        return EngineListEvent(int(event["cursor"]), update, addresses, absent_fields)
    except ProtocolError:
        raise
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise ProtocolError(f"invalid list event: {error!r}") from None


def parse_list_event(data: bytes, zones: tuple[str, ...], kinds: tuple[str, ...]) -> EngineListEvent:
    """Parses the data of one event of the channel; see ``decode_list_event``."""
    try:
        event = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise ProtocolError(f"list event is not JSON: {error}") from None
    if not isinstance(event, dict):
        raise ProtocolError("list event is not a JSON object")
    return decode_list_event(event, zones, kinds)
