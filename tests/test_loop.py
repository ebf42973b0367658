"""The front's reactor on real sockets: what it changes in Twisted's, and that nothing is lost by it."""

from __future__ import annotations

import subprocess
import sys

from micahold.program.configuration import MAX_ACCEPTS_PER_ITERATION

SCRIPT = """
from micahold.program.loop import install
reactor = install()
from twisted.internet import reactor as installed
from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory
assert installed is reactor
SIZE = 3_000_000
turns = []

class Server(Protocol):
    def connectionMade(self):
        self.transport.write(b"x" * SIZE)  # more than a socket takes at once
        reactor.call_at_iteration_end(lambda: turns.append("end"))
        reactor.call_at_iteration_end(lambda: 1 // 0)
    def dataReceived(self, data):
        self.transport.write(data)
        self.transport.loseConnection()

class Client(Protocol):
    got = b""
    def dataReceived(self, data):
        self.got += data
        if len(self.got) == SIZE:
            self.transport.write(b"bye")
    def connectionLost(self, reason):
        assert self.got == b"x" * SIZE + b"bye", len(self.got)
        assert turns == ["end"]
        print("whole")
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


def test_all_that_is_written_arrives_also_what_a_socket_does_not_take_at_once() -> None:
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT], capture_output=True, text=True, timeout=30, check=False
    )
    assert done.stdout == "whole\n", done.stderr


LATE_SCRIPT = """
import time
from micahold.program.loop import MAX_ASSUMED_LATENESS_S, install
reactor = install()
seen = []
reactor.callLater(0.05, lambda: seen.append(reactor.timer_lateness()))
reactor.callLater(0.06, time.sleep, 0.2)
reactor.callLater(0.07, lambda: reactor.callLater(0.01, lambda: seen.append(reactor.timer_lateness())))
reactor.callLater(0.5, reactor.stop)
reactor.run()
print(seen[0] < MAX_ASSUMED_LATENESS_S, seen[1] == MAX_ASSUMED_LATENESS_S)
"""


def test_a_long_turn_is_remembered_as_lateness_up_to_what_the_platform_allows() -> None:
    command = [sys.executable, "-c", LATE_SCRIPT]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
    assert done.stdout.split()[1:] == ["True"], done.stderr


FLOOD = """
import socket
from micahold.program.loop import install
reactor = install()
from twisted.internet.protocol import Protocol, ServerFactory
turns = [0]

class Server(Protocol):
    def connectionMade(self):
        if not turns[-1]:
            reactor.call_at_iteration_end(lambda: turns.append(0))
        turns[-1] += 1
        if sum(turns) == 100:
            print(max(turns))
            reactor.stop()

server = ServerFactory()
server.protocol = Server
port = reactor.listenTCP(0, server, backlog=200, interface="127.0.0.1")
kept = [socket.create_connection(("127.0.0.1", port.getHost().port)) for _ in range(100)]
reactor.callLater(10, reactor.stop)
reactor.run()
"""


def test_hundreds_of_connections_at_once_are_accepted_a_few_a_turn() -> None:
    done = subprocess.run(
        [sys.executable, "-c", FLOOD], capture_output=True, text=True, timeout=30, check=False
    )
    assert done.stdout.strip() == str(MAX_ACCEPTS_PER_ITERATION), done.stderr
