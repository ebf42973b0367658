"""The configuration that the platform hands to a front, and how its descriptors are divided."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import orjson

from micahold import interface as api
from micahold.protocol.engine_list import EngineListEvent, decode_list_event, parse_address
from micahold.settings import FormatError, decode_settings

MAX_ACCEPTS_PER_ITERATION = 16  # connections taken in one turn of the loop
DEFAULT_SOCKETS, DEFAULT_MEMORY_MB = 1024, 192.0
CLIENT_MEMORY_SHARE = (
    1 / 16
)  # part of the memory that may hold what clients have sent and is not worked off yet


@dataclass(slots=True, frozen=True)
class Configuration:
    """All that a front is told at its start."""

    name: str
    listen: tuple[str, int]
    channel: tuple[str, int]
    seed: int
    settings: api.Settings
    initial_list_events: tuple[EngineListEvent, ...]
    cursor: int
    sockets: int
    memory_mb: float = DEFAULT_MEMORY_MB

    @property
    def max_client_bytes(self) -> int:
        return int(self.memory_mb * CLIENT_MEMORY_SHARE * 2**20)

    @property
    def max_engine_connections(self) -> int:
        """Three eighths: each attempt that is out holds about one connection, for a third that clients hold.

        An eighth stays free. Guards against a full table in a burst: connections that make room for others
        are closed only in the next turn.
        """
        return max(1, self.sockets * 3 // 8)

    @property
    def max_client_connections(self) -> int:
        """Clients hold a third at most; what is beyond it lets those in that come to end a query."""
        # Files, listener, channel, connections that are closing, and those accepted in one turn.
        reserve = max(16, self.sockets // 16) + MAX_ACCEPTS_PER_ITERATION
        return max(1, self.sockets // 2 - reserve)


def parse_configuration(data: bytes) -> Configuration:
    """``FormatError`` with one line of text where it can't be used."""
    try:
        item: Any = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise FormatError(f"configuration is not JSON: {error}") from None
    if not isinstance(item, Mapping):
        raise FormatError("configuration is not an object")
    try:
        settings = decode_settings(item["settings"])
        limits = item.get("limits") or {}
        sockets = int(limits.get("sockets") or DEFAULT_SOCKETS)
        # Clients hold a third of the descriptors at most and send one query at a time on a connection.
        places = min(settings.limits.max_open_queries or sockets, sockets // 3)
        settings = replace(settings, limits=replace(settings.limits, max_open_queries=places))
        kinds = tuple(kind.name for kind in settings.engine_kinds)
        known = item.get("known") or {}
        news = tuple(decode_list_event(event, settings.zones, kinds) for event in known.get("cmds") or ())
        return Configuration(
            name=str(item.get("name", "")),
            listen=parse_address(str(item["listen"])),
            channel=parse_address(str(item["channel"])),
            seed=int(str(item.get("seed") or "0"), 16) % 2**64,
            settings=settings,
            initial_list_events=news,
            cursor=int(known.get("cursor") or 0),
            sockets=sockets,
            memory_mb=float(limits.get("memory_mb") or DEFAULT_MEMORY_MB),
        )
    except KeyError as error:
        raise FormatError(f"configuration without {error}") from None
    except (AttributeError, TypeError, ValueError) as error:
        raise FormatError(f"bad configuration: {error}") from None
