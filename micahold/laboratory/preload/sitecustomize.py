"""Loaded by Python at the start of a front under test; takes its faults from ``SystemFaults``.

Replaces the clock and the system calls of the standard library before the front imports them.
"""

from __future__ import annotations

import builtins
import io
import os
import select
import socket
import time
from pathlib import Path
from typing import Any

from micahold.laboratory.planted_faults import PLANT_VARIABLE, PLANTS
from micahold.laboratory.system_faults import FAULTS_VARIABLE, SHORT, SystemFaults

# Only sockets of the front's own network; the reactor's wake-up pair stays whole.
NETWORK_FAMILY = socket.AF_INET


def _error(number: int) -> OSError:
    return OSError(number, os.strerror(number))


def _replace_clock(faults: SystemFaults) -> None:
    real_time = time.time
    time.time = lambda: real_time() + faults.clock_offset_s


def _replace_socket_calls(faults: SystemFaults) -> None:
    base: Any = socket.socket
    real = {name: getattr(base, name) for name in ("__init__", "accept", "connect", "recv", "send")}
    real_connect_ex = base.connect_ex

    def create(self: Any, family: int = -1, type: int = -1, proto: int = -1, fileno: Any = None) -> None:
        if fileno is None and family == NETWORK_FAMILY and (number := faults.take("socket")):
            raise _error(number)
        real["__init__"](self, family, type, proto, fileno)

    def accept(self: Any) -> Any:
        if number := faults.take("accept"):
            raise _error(number)
        return real["accept"](self)

    def connect(self: Any, address: Any) -> None:
        if self.family == NETWORK_FAMILY and (number := faults.take("connect")):
            raise _error(number)
        real["connect"](self, address)

    def connect_ex(self: Any, address: Any) -> int:
        if self.family == NETWORK_FAMILY and (number := faults.take("connect")):
            return number
        result: int = real_connect_ex(self, address)
        return result

    def receive(self: Any, size: int, flags: int = 0) -> bytes:
        if self.family == NETWORK_FAMILY and (number := faults.take("recv")):
            if number != SHORT:
                raise _error(number)
            size = 1
        data: bytes = real["recv"](self, size, flags)
        return data

    def send(self: Any, data: Any, flags: int = 0) -> int:
        if self.family == NETWORK_FAMILY and (number := faults.take("send")):
            if number != SHORT:
                raise _error(number)
            data = memoryview(data)[:1]
        sent: int = real["send"](self, data, flags)
        return sent

    base.__init__, base.accept, base.connect, base.connect_ex = create, accept, connect, connect_ex
    base.recv, base.send = receive, send


def _replace_poll(faults: SystemFaults) -> None:
    real_epoll = select.epoll

    class FaultyEpoll:
        """An epoll object whose waits may fail."""

        def __init__(self, *arguments: Any) -> None:
            self._epoll = real_epoll(*arguments)

        def poll(self, *arguments: Any) -> Any:
            """Waits as epoll does, or fails."""
            if number := faults.take("epoll_wait"):
                raise _error(number)
            return self._epoll.poll(*arguments)

        def __getattr__(self, name: str) -> Any:
            return getattr(self._epoll, name)

    select.epoll = FaultyEpoll  # type: ignore[misc, assignment]


def _replace_file_calls(faults: SystemFaults) -> None:
    real_write, real_fsync, real_open = os.write, os.fsync, io.open

    def write(descriptor: int, data: Any) -> int:
        if number := faults.take("write"):
            if number != SHORT:
                raise _error(number)
            data = memoryview(data)[:1]
        return real_write(descriptor, data)

    def fsync(descriptor: Any) -> None:
        if number := faults.take("fsync"):
            raise _error(number)
        real_fsync(descriptor)

    def open_file(file: Any, mode: str = "r", *arguments: Any, **options: Any) -> Any:
        if set(mode) & set("wax+") and (number := faults.take("open")):
            raise _error(number)
        return real_open(file, mode, *arguments, **options)

    os.write = write
    os.fsync = fsync  # type: ignore[assignment]
    builtins.open = io.open = open_file


def install() -> None:
    """Replaces the calls where the environment names a file with faults."""
    path = os.environ.get(FAULTS_VARIABLE)
    if path is None:
        return
    faults = SystemFaults(Path(path))
    _replace_clock(faults)
    _replace_socket_calls(faults)
    _replace_poll(faults)
    _replace_file_calls(faults)
    if plant := os.environ.get(PLANT_VARIABLE):
        PLANTS[plant]()


install()
