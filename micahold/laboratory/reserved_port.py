"""TCP ports on loopback that no other process is given while a server of an experiment is not listening."""

from __future__ import annotations

import os
import socket
import weakref

LOOPBACK = "127.0.0.1"


class ReservedPort:
    """A free TCP port, reserved for as long as this object exists.

    A bound socket that never listens holds the port: the system assigns it neither to another listener nor to
    an outgoing connection, and connections to it are refused. A server that sets SO_REUSEADDR, as Twisted and
    asyncio do, can listen on it, stop and listen again.
    """

    def __init__(self) -> None:
        with socket.socket() as holder:
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            holder.bind((LOOPBACK, 0))
            self.port: int = holder.getsockname()[1]
            descriptor = holder.detach()
        weakref.finalize(self, os.close, descriptor)
