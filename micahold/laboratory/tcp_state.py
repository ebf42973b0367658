"""The state of a TCP connection as the system knows it, before the bytes that wait are read."""

from __future__ import annotations

import asyncio
import socket

TCP_CLOSE, TCP_CLOSE_WAIT = 7, 8


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
