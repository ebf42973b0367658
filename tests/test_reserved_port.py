"""A port of an experiment goes to no other process while its server is not listening."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from pathlib import Path

import pytest

from micahold.laboratory.emulated_engine import EmulatedEngine
from micahold.laboratory.front_process import FrontProcess
from micahold.laboratory.reserved_port import LOOPBACK, ReservedPort

IP_LOCAL_PORT_RANGE = 51  # linux/in.h, since Linux 6.3


def assert_taken(port: int) -> None:
    with socket.socket() as other, pytest.raises(OSError) as raised:
        other.bind((LOOPBACK, port))
    assert raised.value.errno == errno.EADDRINUSE


def test_port_of_a_front_that_is_not_running_goes_to_no_other_process(tmp_path: Path) -> None:
    """Guards against two sites side by side whose fronts and engines answered each other's queries."""
    front = FrontProcess("n1", tmp_path, {})
    assert_taken(front.port)


def test_port_of_an_engine_with_a_closed_listener_goes_to_no_other_process() -> None:
    async def scenario() -> None:
        engine = EmulatedEngine("s-0")
        await engine.start()
        engine.close_listener()
        assert_taken(engine.port)
        port = engine.port
        await engine.start()
        assert engine.port == port
        await engine.stop()

    asyncio.run(scenario())


def test_system_assigns_a_reserved_port_to_no_listener_and_no_outgoing_connection() -> None:
    reserved = ReservedPort()
    only_this_port = (reserved.port | reserved.port << 16).to_bytes(4, "little")
    with socket.create_server((LOOPBACK, 0)) as server:
        for call, expected in (
            (socket.socket.bind, errno.EADDRINUSE),
            (socket.socket.connect, errno.EADDRNOTAVAIL),
        ):
            with socket.socket() as other:
                other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                with contextlib.suppress(OSError):  # kernels before 6.3 assign from the whole range
                    other.setsockopt(socket.IPPROTO_IP, IP_LOCAL_PORT_RANGE, only_this_port)
                address = (LOOPBACK, 0) if call is socket.socket.bind else server.getsockname()
                try:
                    call(other, address)
                except OSError as error:
                    assert error.errno == expected
                else:
                    assert other.getsockname()[1] != reserved.port


def test_port_is_free_again_when_nothing_reserves_it() -> None:
    reserved = ReservedPort()
    port = reserved.port
    del reserved
    with socket.socket() as other:
        other.bind((LOOPBACK, port))
