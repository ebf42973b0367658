"""Events of the command channel to news of the engine list."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from micahold import interface as api
from micahold.protocol.errors import ProtocolError

STATES = {"Ready": api.EngineState.UP, "Terminating": api.EngineState.DRAINING, "Gone": api.EngineState.GONE}


@dataclass(slots=True, frozen=True)
class EngineListEvent:
    """One numbered event: what the decisions are told, and where the engines listen."""

    cursor: int
    update: api.ListUpdate
    addresses: dict[str, tuple[str, int]]


def parse_address(text: str) -> tuple[str, int]:
    host, sign, port = text.rpartition(":")
    if not sign or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ProtocolError(f"bad address {text!r}")
    return host, int(port)


def _place(names: tuple[str, ...], value: Any) -> int:
    """Index of a zone or kind, told by name or number; one that is not known is past the last."""
    if isinstance(value, int):
        return value
    return names.index(value) if value in names else len(names)


def decode_list_event(
    event: Mapping[str, Any], zones: tuple[str, ...], kinds: tuple[str, ...]
) -> EngineListEvent:
    """One event, already parsed as JSON."""
    try:
        nodes = event["nodes"]
        entries, addresses = [], {}
        for member in nodes["members"]:
            name = str(member["id"])
            state = STATES.get(member["phase"])
            if state is None:
                raise ProtocolError(f"unknown state {member['phase']!r}")
            if member.get("host_port"):
                addresses[name] = parse_address(str(member["host_port"]))
            entries.append(
                api.EngineEntry(
                    engine=name,
                    state=state,
                    zone=_place(zones, member.get("locality", 0)),
                    kind=_place(kinds, member.get("flavor", 0)),
                    cell=int(member.get("cell") or 0),
                    started_at=float(member.get("up_since_ms") or 0) / 1000,
                    weight=float(member.get("size") or 1.0),
                )
            )
        kind = api.ListKind.FULL if nodes.get("complete") else api.ListKind.CHANGES
        update = api.ListUpdate(kind, int(nodes.get("revision") or 0), tuple(entries))
        return EngineListEvent(int(event["cursor"]), update, addresses)
    except ProtocolError:
        raise
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise ProtocolError(f"bad list event: {error!r}") from None


def parse_list_event(data: bytes, zones: tuple[str, ...], kinds: tuple[str, ...]) -> EngineListEvent:
    """One event as the channel's bytes."""
    try:
        event = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise ProtocolError(f"list event is not JSON: {error}") from None
    if not isinstance(event, dict):
        raise ProtocolError("list event is not an object")
    return decode_list_event(event, zones, kinds)
