"""The state of a TCP connection as the system knows it, before the bytes that wait are read."""

from __future__ import annotations

import asyncio
import socket
import struct
import time

TCP_CLOSE, TCP_CLOSE_WAIT = 7, 8
# The field tcpi_last_data_recv of struct tcp_info in linux/tcp.h: milliseconds since data last arrived.
LAST_DATA_RECEIVED = struct.Struct("=52xI")


def peer_has_closed(writer: asyncio.StreamWriter) -> bool:
    """Whether the peer of this connection has closed or reset it."""
    connection: socket.socket | None = writer.get_extra_info("socket")
    if connection is None or writer.is_closing():
        return True
    try:
        state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return True
    return state in (TCP_CLOSE, TCP_CLOSE_WAIT)


def last_arrival(writer: asyncio.StreamWriter) -> float:
    """When the system last received data on this connection, in seconds of ``time.monotonic``.

    Unlike the time at which the data was read, it does not depend on how late this process is. It is the
    present time for a connection that is closed here.
    """
    connection: socket.socket | None = writer.get_extra_info("socket")
    now = time.monotonic()
    if connection is None:
        return now
    try:
        state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
    except OSError:
        return now
    (age_ms,) = LAST_DATA_RECEIVED.unpack(state)
    return now - float(age_ms) / 1000
