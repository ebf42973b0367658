"""The configuration that the platform gives to a front, and how it divides descriptors and memory."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import orjson

from micahold import interface as api
from micahold.protocol.engine_list import EngineListEvent, decode_list_event, parse_address
from micahold.settings import FormatError, decode_settings

MAX_ACCEPTS_PER_ITERATION = 16  # connections accepted in one iteration of the reactor
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192.0
CLIENT_MEMORY_SHARE = 1 / 16  # of the memory, for data that clients sent and that is not processed yet


@dataclass(slots=True, frozen=True)
class Configuration:
    """All that a front receives at its start.

    ``sockets`` is the number of descriptors that the front may hold, ``memory_mb`` its memory in MiB.
    ``initial_list_events`` are the events of the engine list up to ``cursor``.
    """

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
        """The most bytes to hold of data that clients sent and that is not processed yet."""
        return int(self.memory_mb * CLIENT_MEMORY_SHARE * 2**20)

    @property
    def max_engine_connections(self) -> int:
        """The most connections to engines: three eighths of the descriptors.

        Each in-flight attempt holds about one connection, and clients hold a third of the descriptors. An
        eighth stays free: a connection that is closed to make room for another gives its descriptor back only
        in the next iteration of the reactor, so that a burst could otherwise use up all descriptors.
        """
        return max(1, self.sockets * 3 // 8)

    @property
    def max_client_connections(self) -> int:
        """The most connections of clients: half of the descriptors minus a reserve.

        Queries hold a third of the descriptors at most; the connections beyond that are for clients that kill
        a query.
        """
        # For files, the listening socket, the channel, closing connections and those of one accept pass.
        reserve = max(16, self.sockets // 16) + MAX_ACCEPTS_PER_ITERATION
        return max(1, self.sockets // 2 - reserve)


def parse_configuration(data: bytes) -> Configuration:
    """Decodes the platform's JSON; ``FormatError`` with one line of text where it is not usable."""
    try:
        document: Any = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise FormatError(f"configuration is not JSON: {error}") from None
    if not isinstance(document, Mapping):
        raise FormatError("configuration is not an object")
    try:
        settings = decode_settings(document["settings"])
        limits = document.get("limits") or {}
        sockets = int(limits.get("sockets") or DEFAULT_SOCKETS)
        # Clients hold a third of the descriptors at most, with one open query per connection.
        max_open_queries = min(settings.limits.max_open_queries or sockets, sockets // 3)
        settings = replace(settings, limits=replace(settings.limits, max_open_queries=max_open_queries))
        kinds = tuple(kind.name for kind in settings.engine_kinds)
        known = document.get("known") or {}
        list_events = tuple(
            decode_list_event(event, settings.zones, kinds) for event in known.get("cmds") or ()
        )
        return Configuration(
            name=str(document.get("name", "")),
            listen=parse_address(str(document["listen"])),
            channel=parse_address(str(document["channel"])),
            seed=int(str(document.get("seed") or "0"), 16) % 2**64,
            settings=settings,
            initial_list_events=list_events,
            cursor=int(known.get("cursor") or 0),
            sockets=sockets,
            memory_mb=float(limits.get("memory_mb") or DEFAULT_MEMORY_MB),
        )
    except KeyError as error:
        raise FormatError(f"configuration lacks the key {error}") from None
    except (AttributeError, TypeError, ValueError) as error:
        raise FormatError(f"bad configuration: {error}") from None
