"""Sessions of clients: the MySQL protocol on one connection, one query at a time.

Every wait for a client has an end: ``due`` is when a session must have moved on. What clients have sent and
is not worked off yet is bounded for each session and for all of them together.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b
from math import inf
from typing import Any
from typing import Protocol as Interface

from twisted.internet.interfaces import IAddress, IPushProducer
from twisted.internet.protocol import Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from micahold.counters import Counters
from micahold.protocol.errors import ProtocolError
from micahold.protocol.mysql_handshake import error_payload, greeting, ok_payload, parse_login
from micahold.protocol.mysql_packets import PacketReader, encode_packet
from micahold.protocol.query_fields import ClientQuery, kill_target, parse_query

USER, DATABASE = b"app", b"dw"
COM_QUIT, COM_INIT_DB, COM_QUERY, COM_PING = 0x01, 0x02, 0x03, 0x0E
MAX_PACKET_BYTES = 64 * 1024
MAX_SESSION_BUFFER_BYTES = MAX_PACKET_BYTES + 64 * 1024  # what a client may send while its query is open

SWEEP_INTERVAL_S = 0.25  # how often sessions are looked through for what is due
FIRST_QUERY_S = 2.0  # from the connection to the first whole command: clients write login and query at once
PACKET_TIMEOUT_S = 2.0  # from the first byte of a packet to its last
IDLE_TIMEOUT_S = (
    5.0  # without a query: clients close idle connections after 4 s, and who does not must make room
)
CLOSE_TIMEOUT_S = 1.0  # for what was sent last to be read, when closing
MIN_EVICTION_AGE_S = 0.02  # a connection younger than this is not closed to make room for another
MAX_UNUSABLE_QUERIES = 3  # queries of one session that can't be used

TOO_MANY_CONNECTIONS, BAD_HANDSHAKE, NO_SUCH_DATABASE, ACCESS_DENIED = 1040, 1043, 1049, 1045
UNKNOWN_COMMAND, SHUTDOWN, SYNTAX, NO_SUCH_THREAD = 1047, 1053, 1064, 1094
FAILED, TOO_LARGE, LIMIT_REACHED, INTERRUPTED = 1105, 1153, 1226, 1317
OUT_OF_ORDER, READ_TIMEOUT = 1156, 1159


class UnusableQueryError(Exception):
    """A query that can't be taken as it is; the text is for its client."""


class QueryReply(Interface):
    """Where the one final answer to a query goes."""

    def send_result(self, result: bytes) -> None: ...

    def refuse(self, retry_after: float) -> None: ...

    def fail(self, text: str) -> None: ...


class QueryHandler(Interface):
    """Who answers for queries."""

    def submit(self, query: ClientQuery, reply: QueryReply, waited: float) -> int:
        """A ticket for the query, which is owed an answer from now on; or raises ``UnusableQueryError``.

        ``waited`` is how long the query may have lain unread; its wait counts from then.
        """
        ...

    def drop(self, ticket: int) -> None:
        """The client is gone; nothing is owed any more."""
        ...


@implementer(IPushProducer)
class ClientSession(Protocol):
    """From greeting to the end of the connection."""

    def __init__(self, sessions: ClientSessions, connection_id: int) -> None:
        self.sessions, self.connection_id = sessions, connection_id
        self.ticket: int | None = None
        self._reader = PacketReader(MAX_PACKET_BYTES, MAX_SESSION_BUFFER_BYTES)
        self._logged_in = self._choked = self._ended = self._is_used = False
        self.made_at = float(sessions.clock.seconds())
        self.due, self.idle_since = self.made_at + FIRST_QUERY_S, self.made_at
        self._unusable = self._counted = 0
        self._sequence = 0  # of the next packet that is sent
        self._is_new = True  # nothing has been read yet
        self._came_at = 0.0  # the earliest that what was read last can have come

    # Bytes

    def connectionMade(self) -> None:
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        transport.registerProducer(self, True)
        self._came_at = self._earliest()  # the first bytes may have come with the connection itself
        if not self.sessions.admit(self):
            self._send(error_payload(TOO_MANY_CONNECTIONS, "Too many connections"))
            self._close()
            return
        self._send(greeting(self.connection_id, self.sessions.scramble(self.connection_id)))

    def dataReceived(self, data: bytes) -> None:
        if self._ended:
            return
        if data and not self._is_new:
            self._came_at = self._earliest()
        self._is_new = self._is_new and not data
        try:
            self._reader.feed(data)
            self._work()
        except ProtocolError as problem:
            self.sessions.counters.add("client_packets_bad")
            self._end_with(TOO_LARGE, str(problem))
        except Exception as problem:  # ends this session alone
            self.sessions.log("session_error", error=repr(problem), connection=self.connection_id)
            self._close()
        if not self._count_kept():
            # Guards against many clients that each send a little less than one may.
            self.sessions.counters.add("client_memory_short")
            self._end_with(TOO_LARGE, "no memory for this")
        self._note_due()

    def _count_kept(self) -> bool:
        """False where all sessions together keep more than they may, and this one adds to it."""
        if self._ended:
            self._reader.clear()
        self.sessions.buffered_bytes += self._reader.kept - self._counted
        self._counted = self._reader.kept
        return not self._counted or self.sessions.buffered_bytes <= self.sessions.max_buffered_bytes

    def _note_due(self) -> None:
        """When this session must have moved on; a packet that comes byte by byte wins no time by that."""
        if self._ended:
            return
        now = float(self.sessions.clock.seconds())
        if self.ticket is not None:
            self.due = inf
        elif self._reader.kept and not self._choked:
            self.due = min(self.due, now + PACKET_TIMEOUT_S)
        elif self._is_used:
            self.due, self.idle_since = now + IDLE_TIMEOUT_S, now

    def overdue(self) -> None:
        """Guards against clients that say nothing, stop within a packet, stay for good or do not read."""
        if self._ended:
            self.abort()
        elif self._is_used and not self._reader.kept:
            self.sessions.counters.add("client_sessions_idle")
            self._close()
        else:
            self.sessions.counters.add("client_sessions_silent")
            self._end_with(READ_TIMEOUT, "Got timeout reading communication packets")

    def gives_way(self, now: float) -> bool:
        """May be closed to make room: nothing is open on it, and it has had its time to ask."""
        return self.ticket is None and not self._ended and now >= self.idle_since + MIN_EVICTION_AGE_S

    @property
    def is_used(self) -> bool:
        return self._is_used

    def _end_with(self, code: int, text: str) -> None:
        if self._ended:
            return
        if self.ticket is None:
            self._sequence = self._sequence or 1
            self._send(error_payload(code, text))
        self._close()

    def _earliest(self) -> float:
        return float(self.sessions.clock.seconds()) - self.sessions.unread_for()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._ended = True
        self._count_kept()
        self.sessions.leave(self)
        self._drop_query()

    def pauseProducing(self) -> None:
        """The client reads slowly: what it asks for next waits until it has read."""
        self._choked = True

    def resumeProducing(self) -> None:
        self._choked = False
        self.sessions.clock.callLater(0, self.dataReceived, b"")

    def stopProducing(self) -> None:
        self._choked = True

    def _send(self, *payloads: bytes) -> None:
        transport: Any = self.transport
        for payload in payloads:
            transport.write(encode_packet(self._sequence, payload))
            self._sequence += 1

    def _close(self) -> None:
        """After what was sent has gone out."""
        self._ended = True
        self._count_kept()
        self._drop_query()
        self.due = float(self.sessions.clock.seconds()) + CLOSE_TIMEOUT_S
        transport: Any = self.transport
        transport.unregisterProducer()
        transport.loseConnection()

    def close_if_idle(self) -> None:
        if self.ticket is None and not self._ended:
            self._close()

    def abort(self) -> None:
        transport: Any = self.transport
        transport.abortConnection()

    # Packets

    def _work(self) -> None:
        while self.ticket is None and not self._choked and not self._ended:
            packet = self._reader.next()
            if packet is None:
                return
            sequence, payload = packet
            if sequence != (0 if self._logged_in else 1):
                self.sessions.counters.add("client_packets_bad")
                self._end_with(OUT_OF_ORDER, "Got packets out of order")
                return
            self._sequence = sequence + 1
            if self._logged_in:
                self._is_used = True
                self._command(payload)
            else:
                self._log_in(payload)

    def _log_in(self, payload: bytes) -> None:
        try:
            login = parse_login(payload)
        except ProtocolError as problem:
            self._send(error_payload(BAD_HANDSHAKE, str(problem)))
            self._close()
            return
        if login.user != USER or login.password:
            self._send(error_payload(ACCESS_DENIED, "Access denied"))
            self._close()
        elif login.database not in (b"", DATABASE):
            self._send(error_payload(NO_SUCH_DATABASE, "Unknown database"))
            self._close()
        else:
            self._logged_in = True
            self._send(ok_payload())

    def _command(self, payload: bytes) -> None:
        command, argument = payload[:1], payload[1:]
        if command == bytes((COM_QUERY,)):
            self._query(argument)
        elif command == bytes((COM_PING,)):
            self._send(ok_payload())
        elif command == bytes((COM_QUIT,)):
            self._close()
        elif command == bytes((COM_INIT_DB,)):
            known = argument == DATABASE
            self._send(ok_payload() if known else error_payload(NO_SUCH_DATABASE, "Unknown database"))
        else:
            self._send(error_payload(UNKNOWN_COMMAND, "Unknown command"))

    def _query(self, text: bytes) -> None:
        target = kill_target(text)
        if target is not None:
            known = self.sessions.kill(target)
            self._send(
                ok_payload() if known else error_payload(NO_SUCH_THREAD, f"Unknown thread id: {target}")
            )
            return
        self.sessions.counters.add("queries_received")
        try:
            waited = float(self.sessions.clock.seconds()) - self._came_at
            self.ticket = self.sessions.handler.submit(parse_query(text), self, waited)
        except ProtocolError as problem:
            self._unusable_query(SYNTAX, str(problem))
        except UnusableQueryError as problem:
            self._unusable_query(FAILED, str(problem))

    def _unusable_query(self, code: int, why: str) -> None:
        """An error at once; a session that goes on like that ends, since each costs as much as a good one."""
        self.sessions.counters.add("queries_unusable")
        self.sessions.counters.add("unusable_" + why.replace(" ", "_"))
        self._unusable += 1
        self._send(error_payload(code, why))
        if self._unusable >= MAX_UNUSABLE_QUERIES:
            self._close()

    def killed(self) -> bool:
        """KILL QUERY named this session; False where no query is open."""
        if self.ticket is None:
            return False
        self._drop_query()
        self._answer_error(INTERRUPTED, "Query execution was interrupted")
        return True

    def _drop_query(self) -> None:
        if self.ticket is not None:
            ticket, self.ticket = self.ticket, None
            self.sessions.handler.drop(ticket)

    # The final answer

    def send_result(self, result: bytes) -> None:
        self._answer(result)

    def refuse(self, retry_after: float) -> None:
        hint = f"after={round(retry_after * 1000)}" if retry_after > 0 else "try again"
        self._answer_error(LIMIT_REACHED, hint)

    def fail(self, text: str) -> None:
        self._answer_error(FAILED, text)

    def _answer_error(self, code: int, text: str) -> None:
        self._answer(encode_packet(self._sequence, error_payload(code, text)))

    def _answer(self, data: bytes) -> None:
        self.ticket = None
        if not self._ended:
            transport: Any = self.transport
            transport.write(data)
            self._note_due()
            if self._reader.kept:
                # What came meanwhile is read in a turn of its own, after this answer's batch.
                self.sessions.clock.callLater(0, self.dataReceived, b"")


class ClientSessions(ServerFactory):
    """All sessions by connection id; ids begin at a point drawn from the seed."""

    noisy = False

    def __init__(
        self,
        clock: Any,
        handler: QueryHandler,
        counters: Counters,
        log: Callable[..., None],
        seed: int,
        max_sessions: int,
        unread_for: Callable[[], float] = lambda: 0.0,
        max_buffered_bytes: int = 4 * 1024 * 1024,
    ) -> None:
        self.unread_for = unread_for
        self.buffered_bytes, self.max_buffered_bytes = (
            0,
            max_buffered_bytes,
        )  # bytes of all sessions that are not worked off yet
        self._next_sweep = 0.0
        self.clock, self.handler, self.counters, self.log, self.max_sessions = (
            clock,
            handler,
            counters,
            log,
            max_sessions,
        )
        self._salt = seed.to_bytes(8, "little", signed=False)
        # A KILL QUERY with an id of an earlier start must hit nobody: starts lie far apart.
        self._last_id = int.from_bytes(blake2b(self._salt, digest_size=4).digest(), "little")
        self._sessions: dict[int, ClientSession] = {}

    def startFactory(self) -> None:
        self._sweep_later()

    def _end_overdue(self) -> None:
        """After a stall of ours nobody is overdue yet: what they sent may have come and lie unread."""
        now = float(self.clock.seconds())
        if now < self._next_sweep + SWEEP_INTERVAL_S:
            for session in [one for one in self._sessions.values() if one.due <= now]:
                session.overdue()
        self._sweep_later()

    def _sweep_later(self) -> None:
        self._next_sweep = float(self.clock.seconds()) + SWEEP_INTERVAL_S
        self.clock.callLater(SWEEP_INTERVAL_S, self._end_overdue)

    def buildProtocol(self, addr: IAddress | None) -> ClientSession:
        self._last_id = self._last_id % 0xFFFFFFFF + 1
        return ClientSession(self, self._last_id)

    def scramble(self, connection_id: int) -> bytes:
        """20 bytes without a zero; with an empty password nothing rests on them."""
        digest = blake2b(self._salt + connection_id.to_bytes(4, "little"), digest_size=20).digest()
        return bytes(byte % 94 + 33 for byte in digest)

    def admit(self, session: ClientSession) -> bool:
        self.counters.add("client_connections")
        if len(self._sessions) >= self.max_sessions and not self._make_room():
            self.counters.add("client_connections_turned_away")
            return False
        self._sessions[session.connection_id] = session
        self.counters.most("client_connections_open", len(self._sessions))
        return True

    def _make_room(self) -> bool:
        """Close the session that has been without a query the longest, those that never had one first.

        Guards against clients that hold connections and ask nothing, so that others find no place.
        """
        now = self.clock.seconds()
        able = (one for one in self._sessions.values() if one.gives_way(now))
        first = min(able, key=lambda one: (one.is_used, one.idle_since), default=None)
        if first is None:
            return False
        self.counters.add("client_sessions_gave_way")
        first.close_if_idle()
        self.leave(first)
        return True

    def leave(self, session: ClientSession) -> None:
        self._sessions.pop(session.connection_id, None)

    def kill(self, connection_id: int) -> bool:
        self.counters.add("client_kills")
        session = self._sessions.get(connection_id)
        return session is not None and (session.killed() or True)

    def __len__(self) -> int:
        return len(self._sessions)

    def close_idle(self) -> None:
        for session in list(self._sessions.values()):
            session.close_if_idle()

    def abort_all(self) -> None:
        for session in list(self._sessions.values()):
            session.abort()
