"""The records of an experiment name when data arrived, however late the experiment's process reads it."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from micahold.laboratory.emulated_engine import EmulatedEngine
from micahold.laboratory.fault_proxy import FaultProxy
from micahold.laboratory.sql_client import SqlSession
from micahold.protocol.mysql_errors import ErrorCode
from micahold.protocol.mysql_handshake import error_payload, handshake_payload, ok_payload
from micahold.protocol.mysql_packets import encode_packet

PROCESS_DELAY_S = 0.25
TOLERANCE_S = 0.05
CUT_S = 0.3
POST = (
    b"POST /data HTTP/1.1\r\nHost: x\r\nVia-Id: 1\r\nVia-Class: lookup\r\nVia-Wait: 1000\r\n"
    b"Content-Length: 8\r\n\r\nSELECT 1"
)


async def send_post(port: int) -> tuple[socket.socket, float]:
    """Sends a POST on a connection that is established; returns the connection and the time."""
    connection = socket.create_connection(("127.0.0.1", port))
    await asyncio.sleep(PROCESS_DELAY_S)  # a proxy connects to its engine meanwhile
    connection.sendall(POST)
    return connection, time.monotonic()


async def first_attempt_arrived_at(engine: EmulatedEngine) -> float:
    while not engine.attempts:
        await asyncio.sleep(0.005)
    return engine.attempts[0].earliest_begin


@pytest.mark.parametrize("proxied", [False, True])
def test_post_arrives_before_a_late_process_reads_it(proxied: bool) -> None:
    """Guards against a lateness of the experiment that is judged as the front's."""

    async def scenario() -> None:
        engine = EmulatedEngine("s-0")
        proxy = FaultProxy(engine.port, engine.forwarded_arrivals)
        await engine.start()
        await proxy.start()
        connection, sent_at = await send_post(proxy.port if proxied else engine.port)
        time.sleep(PROCESS_DELAY_S)
        assert await first_attempt_arrived_at(engine) == pytest.approx(sent_at, abs=TOLERANCE_S)
        connection.close()
        await proxy.stop()
        await engine.stop()

    asyncio.run(scenario())


def test_post_that_a_cut_network_held_arrives_when_the_network_carries_again() -> None:
    """Guards against a record that hides an attempt which begins after its client has left."""

    async def scenario() -> None:
        engine = EmulatedEngine("s-0")
        proxy = FaultProxy(engine.port, engine.forwarded_arrivals)
        await engine.start()
        await proxy.start()
        connection = socket.create_connection(("127.0.0.1", proxy.port))
        await asyncio.sleep(PROCESS_DELAY_S)
        proxy.faults.cut = True
        connection.sendall(POST)
        await asyncio.sleep(CUT_S)
        carried_at = time.monotonic()
        proxy.faults.cut = False
        assert await first_attempt_arrived_at(engine) >= carried_at
        connection.close()
        await proxy.stop()
        await engine.stop()

    asyncio.run(scenario())


def test_answer_comes_when_it_arrives_and_not_when_a_late_process_reads_it() -> None:
    """Guards against a lateness of the experiment that makes the front's answers late."""
    answered_at = []

    async def answer_with_an_error(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(encode_packet(0, handshake_payload(1, bytes(range(1, 21)))))
        await reader.read(1000)
        writer.write(encode_packet(2, ok_payload()))
        await reader.read(1000)
        writer.write(encode_packet(1, error_payload(ErrorCode.UNKNOWN_ERROR, "failed")))
        answered_at.append(time.monotonic())
        time.sleep(PROCESS_DELAY_S)
        writer.close()

    async def scenario() -> None:
        server = await asyncio.start_server(answer_with_an_error, "127.0.0.1")
        session = SqlSession("n1", server.sockets[0].getsockname()[1])
        await session.connect()
        record = await session.query("1" * 16, "lookup", b"SELECT 1", 1.0)
        assert record.answer == "failed"
        assert record.answered_at == pytest.approx(answered_at[0], abs=TOLERANCE_S)
        session.close()
        server.close()

    asyncio.run(scenario())
