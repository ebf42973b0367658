"""A TCP proxy in front of an emulated engine, which delays, splits and cuts what passes.

While it is cut nothing passes and no new connection is answered, and the ends of connections are not passed
on either. Bytes that were on their way when their sender closed the connection are lost, as in a network.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from micahold.laboratory.loopback_listener import LoopbackListener
from micahold.laboratory.tcp_state import peer_has_closed

CHECK_INTERVAL_S = 0.01
READ_BYTES = 65536


@dataclass(slots=True)
class ProxyFaults:
    """Faults of one proxy; all of them can be changed while it runs."""

    cut: bool = False
    late_connect_s: float = 0.0  # until a new connection carries anything
    split_bytes: int = 0  # pieces of at most this many bytes, with a pause in between


class FaultProxy(LoopbackListener):
    """Forwards connections on its own port to ``target_port`` on loopback."""

    def __init__(self, target_port: int) -> None:
        super().__init__()
        self.target_port = target_port
        self.faults = ProxyFaults()
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def stop(self) -> None:
        """Closes everything."""
        self.close_listener()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset_connections(self) -> None:
        """Resets all connections of the front's side."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._forward_connection(reader, writer)
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass  # the end of the connection, or of the run
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.transport.abort()

    async def _forward_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.faults.cut:
            await self._wait_while_cut()
            return  # it never came up
        await asyncio.sleep(self.faults.late_connect_s)
        target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        try:
            directions = [
                asyncio.create_task(self._pump(reader, target_writer, writer)),
                asyncio.create_task(self._pump(target_reader, writer, target_writer)),
            ]
            try:
                await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
                await self._wait_while_cut()
            finally:
                for direction in directions:
                    direction.cancel()
                await asyncio.gather(*directions, return_exceptions=True)
        finally:
            target_writer.transport.abort()

    async def _wait_while_cut(self) -> None:
        while self.faults.cut:
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, source_writer: asyncio.StreamWriter
    ) -> None:
        """Passes bytes on until the source ends."""
        while data := await source.read(READ_BYTES):
            if self.faults.cut:
                await self._wait_while_cut()
                if peer_has_closed(source_writer):
                    return
            size = self.faults.split_bytes or len(data)
            for start in range(0, len(data), size):
                sink.write(data[start : start + size])
                if size < len(data):
                    await asyncio.sleep(0)
            await sink.drain()
