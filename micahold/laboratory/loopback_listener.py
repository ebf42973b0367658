"""A TCP server on loopback whose listener can be closed and opened again while its connections go on."""

from __future__ import annotations

import asyncio

from micahold.laboratory.reserved_port import LOOPBACK, ReservedPort


class LoopbackListener:
    """Base of the emulated servers; a subclass handles its connections in ``serve``."""

    def __init__(self) -> None:
        self._reserved_port = ReservedPort()
        self.port = self._reserved_port.port
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on its port of the loopback interface, for the first time or again."""
        self._listener = await asyncio.start_server(self.serve, LOOPBACK, self.port)

    def close_listener(self) -> None:
        """Refuses new connections, as a draining server does; established ones go on."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handles one connection until it ends."""
        raise NotImplementedError
