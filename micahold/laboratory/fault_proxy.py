"""A TCP proxy in front of an emulated engine, which delays, splits and cuts what passes.

While it is cut nothing passes and no new connection is answered, and the ends of connections are not passed
on either. Bytes that were on their way when their sender closed the connection are lost, as in a network.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from micahold.laboratory.loopback_listener import LoopbackListener
from micahold.laboratory.tcp_state import last_arrival, peer_has_closed

CHECK_INTERVAL_S = 0.01
READ_BYTES = 65536


@dataclass(slots=True)
class ProxyFaults:
    """Faults of one proxy; all of them can be changed while it runs."""

    cut: bool = False
    late_connect_s: float = 0.0  # until a new connection carries anything
    split_bytes: int = 0  # pieces of at most this many bytes, with a pause in between


class FaultProxy(LoopbackListener):
    """Forwards connections on its own port to ``target_port`` on loopback.

    ``arrivals`` tells the target when the data that it reads would have come without the delay of this
    process: by the proxy's port of each connection, the time at which its last data arrived here or was let
    through by a fault.
    """

    def __init__(self, target_port: int, arrivals: dict[int, float] | None = None) -> None:
        super().__init__()
        self.target_port = target_port
        self.arrivals = arrivals if arrivals is not None else {}
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
        carries_from = -inf
        if self.faults.late_connect_s:
            await asyncio.sleep(self.faults.late_connect_s)
            carries_from = time.monotonic()
        target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        port: int = target_writer.get_extra_info("sockname")[1]

        def note_arrival(arrived_at: float) -> None:
            self.arrivals[port] = max(arrived_at, carries_from)

        try:
            directions = [
                asyncio.create_task(self._pump(reader, target_writer, writer, note_arrival)),
                asyncio.create_task(self._pump(target_reader, writer, target_writer, _ignore_arrival)),
            ]
            try:
                await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
                await self._wait_while_cut()
            finally:
                for direction in directions:
                    direction.cancel()
                await asyncio.gather(*directions, return_exceptions=True)
        finally:
            self.arrivals.pop(port, None)
            target_writer.transport.abort()

    async def _wait_while_cut(self) -> None:
        while self.faults.cut:
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        source_writer: asyncio.StreamWriter,
        note_arrival: Callable[[float], None],
    ) -> None:
        """Passes bytes on until the source ends, and notes when they came."""
        while data := await source.read(READ_BYTES):
            arrived_at = last_arrival(source_writer)
            if self.faults.cut:
                await self._wait_while_cut()
                if peer_has_closed(source_writer):
                    return
                arrived_at = time.monotonic()
            note_arrival(arrived_at)
            size = self.faults.split_bytes or len(data)
            for start in range(0, len(data), size):
                sink.write(data[start : start + size])
                if size < len(data):
                    await asyncio.sleep(0)
            await sink.drain()


def _ignore_arrival(arrived_at: float) -> None:
    """For data on its way to the front, whose arrival there the front counts by itself."""
