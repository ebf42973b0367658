"""A TCP server on loopback whose listener can be closed and opened again while its connections go on."""

from __future__ import annotations

import asyncio


class LoopbackListener:
    """Base of the emulated servers; a subclass handles its connections in ``serve``."""

    def __init__(self) -> None:
        self.port = 0
        self._listener: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Listens on a free port of the loopback interface, or on ``port``."""
        self._listener = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self._listener.sockets[0].getsockname()[1]

    def close_listener(self) -> None:
        """Refuses new connections, as a draining server does; established ones go on."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handles one connection until it ends."""
        raise NotImplementedError
