"""The front's reactor on real sockets: how it differs from Twisted's, and that it loses no data."""

from __future__ import annotations

import subprocess
import sys

from micahold.program.configuration import MAX_ACCEPTS_PER_ITERATION

TRANSFER_SCRIPT = """
from micahold.program.loop import install
reactor = install()
from twisted.internet import reactor as installed
from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory
assert installed is reactor
SIZE = 3_000_000
calls = []

class Server(Protocol):
    def connectionMade(self):
        self.transport.write(b"x" * SIZE)  # more than a socket accepts in one write
        reactor.call_at_iteration_end(lambda: calls.append("end"))
        reactor.call_at_iteration_end(lambda: 1 // 0)
    def dataReceived(self, data):
        self.transport.write(data)
        self.transport.loseConnection()

class Client(Protocol):
    received = b""
    def dataReceived(self, data):
        self.received += data
        if len(self.received) == SIZE:
            self.transport.write(b"bye")
    def connectionLost(self, reason):
        assert self.received == b"x" * SIZE + b"bye", len(self.received)
        assert calls == ["end"]
        print("complete")
        reactor.stop()

server = ServerFactory()
server.protocol = Server
client = ClientFactory()
client.protocol = Client
port = reactor.listenTCP(0, server, interface="127.0.0.1")
reactor.connectTCP("127.0.0.1", port.getHost().port, client)
reactor.callLater(10, reactor.stop)
reactor.run()
"""


def test_all_written_data_arrives_when_the_socket_accepts_only_part_of_it_at_once() -> None:
    result = subprocess.run(
        [sys.executable, "-c", TRANSFER_SCRIPT], capture_output=True, text=True, timeout=30, check=False
    )
    assert result.stdout == "complete\n", result.stderr


ACCEPT_SCRIPT = """
import socket
from micahold.program.loop import install
reactor = install()
from twisted.internet.protocol import Protocol, ServerFactory
accepted = [0]  # connections accepted, per iteration

class Server(Protocol):
    def connectionMade(self):
        if not accepted[-1]:
            reactor.call_at_iteration_end(lambda: accepted.append(0))
        accepted[-1] += 1
        if sum(accepted) == 100:
            print(max(accepted))
            reactor.stop()

server = ServerFactory()
server.protocol = Server
port = reactor.listenTCP(0, server, backlog=200, interface="127.0.0.1")
connections = [socket.create_connection(("127.0.0.1", port.getHost().port)) for _ in range(100)]
reactor.callLater(10, reactor.stop)
reactor.run()
"""


def test_simultaneous_connections_are_accepted_in_bounded_numbers_per_iteration() -> None:
    result = subprocess.run(
        [sys.executable, "-c", ACCEPT_SCRIPT], capture_output=True, text=True, timeout=30, check=False
    )
    assert result.stdout.strip() == str(MAX_ACCEPTS_PER_ITERATION), result.stderr


STALLED_CONNECT_SCRIPT = """
import socket
from micahold.program.loop import install
reactor = install()
from twisted.internet.error import TimeoutError
from twisted.internet.protocol import ClientFactory, Protocol

class Client(ClientFactory):
    protocol = Protocol
    def buildProtocol(self, addr):
        print("connected")
        reactor.stop()
        return Protocol()
    def clientConnectionFailed(self, connector, reason):
        print("failed", reason.type.__name__)
        reactor.stop()

listener = socket.create_server(("127.0.0.1", 0))

def connect_with_a_timeout_before_the_next_poll():
    connector = reactor.connectTCP("127.0.0.1", listener.getsockname()[1], Client(), timeout=5)
    reactor.callLater(0, lambda: connector.transport.failIfNotConnected(TimeoutError()))

reactor.callWhenRunning(connect_with_a_timeout_before_the_next_poll)
reactor.callLater(5, reactor.stop)
reactor.run()
"""


def test_connection_that_comes_up_while_the_front_stalls_has_not_timed_out() -> None:
    """Otherwise a stall of the front counts as the failure of each engine that it was connecting to."""
    command = [sys.executable, "-c", STALLED_CONNECT_SCRIPT]
    result = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
    assert result.stdout == "connected\n", result.stderr
