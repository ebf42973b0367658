"""Client sessions: the server side of the MySQL protocol on one connection, one query at a time.

Every wait for a client has a time limit, ``ClientSession.timeout_at``. Received data that is not processed
yet is bounded for each session and for all sessions together.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b
from heapq import nsmallest
from math import inf
from typing import Any
from typing import Protocol as TypingProtocol

from twisted.internet.interfaces import IAddress, IPushProducer
from twisted.internet.protocol import Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from micahold.counters import Counters
from micahold.protocol.errors import ProtocolError
from micahold.protocol.mysql_errors import ErrorCode
from micahold.protocol.mysql_handshake import (
    error_payload,
    handshake_payload,
    ok_payload,
    parse_handshake_response,
)
from micahold.protocol.mysql_packets import PacketReader, encode_packet
from micahold.protocol.query_fields import ClientQuery, parse_kill_query, parse_query

USER = b"app"
DATABASE = b"dw"

COM_QUIT = 0x01
COM_INIT_DB = 0x02
COM_QUERY = 0x03
COM_PING = 0x0E

MAX_PACKET_BYTES = 64 * 1024
# Received data of one session that is not processed yet: a client may send this much while its query is open.
MAX_SESSION_BUFFER_BYTES = MAX_PACKET_BYTES + 64 * 1024

# Bounds the commands of one session that are handled before other sessions have their turn: it ends with the
# packet that reaches either limit.
MAX_PACKETS_PER_TURN = 16
MAX_BYTES_PER_TURN = 8 * 1024

# Interval between checks for sessions that have timed out.
SWEEP_INTERVAL_S = 0.25
# From the connection to the first whole command; clients send the login and the first query together.
FIRST_COMMAND_TIMEOUT_S = 2.0
# From the first byte of a packet to its last.
PACKET_TIMEOUT_S = 2.0
# Without a query. Clients close idle connections after 4 s; a session that stays longer must make room.
IDLE_TIMEOUT_S = 5.0
# From closing a session until its connection is aborted if the client has not read the last bytes.
CLOSE_TIMEOUT_S = 1.0
# A session that has been without a query for less than this is not closed to make room for another.
MIN_EVICTION_AGE_S = 0.02
# Sessions that are tried when one has to make room: a query may have just arrived on some.
MAX_EVICTION_TRIES = 4
# A session with this many unusable queries is closed.
MAX_UNUSABLE_QUERIES = 3


class UnusableQueryError(Exception):
    """A query that is rejected as it stands; the text is sent to the client."""


class ExpiredQueryError(UnusableQueryError):
    """A good query whose wait was over when it was read; its client did nothing wrong."""


class QueryReply(TypingProtocol):
    """Receives the one final response to a query."""

    def send_result(self, result: bytes) -> None:
        """Sends a complete result set, already encoded as MySQL packets."""
        ...

    def refuse(self, retry_after: float) -> None:
        """Sends a refusal: the query may be retried after ``retry_after`` seconds; 0 gives no advice."""
        ...

    def fail(self, text: str) -> None:
        """Sends an error that does not say whether the query has run."""
        ...


class QueryHandler(TypingProtocol):
    """Accepts queries and is responsible for their responses."""

    def submit(self, query: ClientQuery, reply: QueryReply, arrived_at: float) -> int:
        """Accepts a query, which is owed a response from then on, and returns its number.

        The wait of the query counts from ``arrived_at``, the earliest time at which its last byte can have
        come. Raises ``UnusableQueryError`` for a query that can't be accepted.
        """
        ...

    def drop(self, query_number: int) -> None:
        """Withdraws a query whose client no longer expects a response."""
        ...


@implementer(IPushProducer)
class ClientSession(Protocol):
    """One client connection, from the greeting to its end."""

    def __init__(self, sessions: ClientSessions, connection_id: int) -> None:
        self.sessions = sessions
        self.connection_id = connection_id
        self.query_number: int | None = None  # the open query
        self._reader = PacketReader(MAX_PACKET_BYTES, MAX_SESSION_BUFFER_BYTES)
        self._logged_in = self._paused = self._closing = self._has_sent_command = False
        self._turn_is_scheduled = False
        self._awaits_turn = False  # commands that have come wait for the next turn of this session
        self.connected_at = float(sessions.clock.seconds())
        self.timeout_at = self.connected_at + FIRST_COMMAND_TIMEOUT_S
        self.idle_since = self.connected_at
        self._unusable_queries = self._counted_bytes = 0
        self._sequence = 0  # of the next packet to send
        self._nothing_read = True
        self._connected_at_earliest = 0.0  # earliest time at which the connection can have come

    # Connection and incoming data

    def connectionMade(self) -> None:
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        transport.registerProducer(self, True)
        self._connected_at_earliest = self._earliest_arrival()
        if not self.sessions.register(self):
            self._send(error_payload(ErrorCode.CON_COUNT_ERROR, "Too many connections"))
            self._close()
            return
        self._send(handshake_payload(self.connection_id, self.sessions.scramble(self.connection_id)))

    def dataReceived(self, data: bytes) -> None:
        if self._closing:
            return
        # The first data may have arrived with the connection.
        arrived_at = self._connected_at_earliest if self._nothing_read else self._earliest_arrival()
        self._nothing_read = self._nothing_read and not data
        try:
            self._reader.feed(data, arrived_at)
            self._process_packets()
            if self.query_number is not None:
                self._reader.check_next_command()  # what follows may be the rest of the open query
        except ProtocolError as error:
            self.sessions.counters.add("client_packets_bad")
            self._close_with_error(ErrorCode.NET_PACKET_TOO_LARGE, str(error))
        except Exception as error:  # closes this session only
            self.sessions.log("session_error", error=repr(error), connection=self.connection_id)
            self._close_with_error(ErrorCode.UNKNOWN_ERROR, "internal error")
        if not self._update_buffered_bytes():
            # Guards against many clients that each send a little less than the limit of one session.
            self.sessions.counters.add("client_memory_short")
            self._close_with_error(ErrorCode.NET_PACKET_TOO_LARGE, "no memory for this")
        self._update_timeout()

    def _update_buffered_bytes(self) -> bool:
        """Updates the total of buffered bytes; False if it is over its limit and this session adds to it."""
        if self._closing:
            self._reader.clear()
        self.sessions.buffered_bytes += self._reader.buffered_bytes - self._counted_bytes
        self._counted_bytes = self._reader.buffered_bytes
        return not self._counted_bytes or self.sessions.buffered_bytes <= self.sessions.max_buffered_bytes

    def _update_timeout(self) -> None:
        """Sets the time limit for the client's next step.

        Within a packet the limit is never extended, so sending it byte by byte gains no time. There is no
        limit while a query is open.
        """
        if self._closing:
            return
        now = float(self.sessions.clock.seconds())
        if self.query_number is not None:
            self.timeout_at = inf
        elif self._awaits_turn and self._has_sent_command:
            self.timeout_at = now + PACKET_TIMEOUT_S
        elif self._reader.buffered_bytes and not self._paused:
            self.timeout_at = min(self.timeout_at, now + PACKET_TIMEOUT_S)
        elif self._has_sent_command:
            self.timeout_at = now + IDLE_TIMEOUT_S
            self.idle_since = now

    def handle_timeout(self) -> None:
        """Closes the session at its time limit, or aborts the connection if it is being closed already.

        Guards against clients that send nothing, stop within a packet, never disconnect or do not read.
        """
        if self._closing:
            self.abort()
        elif self._awaits_turn:
            return  # it is not the client that is late
        elif self._has_sent_command and not self._reader.buffered_bytes:
            if self.close_if_idle():
                self.sessions.counters.add("client_sessions_idle")
                self._log_close("idle")
        else:
            self.sessions.counters.add("client_sessions_silent")
            self._close_with_error(
                ErrorCode.NET_READ_INTERRUPTED, "Got timeout reading communication packets"
            )

    def is_evictable(self, now: float) -> bool:
        """Whether the session may be closed to make room: no query is open and there was time to send one."""
        return self.query_number is None and not self._closing and now >= self.idle_since + MIN_EVICTION_AGE_S

    @property
    def has_sent_command(self) -> bool:
        """Whether the client has sent a command since its login."""
        return self._has_sent_command

    def _close_with_error(self, code: ErrorCode, text: str) -> None:
        """Closes the session after an error, which is the answer to the open query if there is one."""
        if self._closing:
            return
        self._log_close(text)
        self._drop_query()
        self._sequence = self._sequence or 1
        self._send(error_payload(code, text))
        self._close()

    def _log_close(self, reason: str) -> None:
        """Logs why the front ends this session, and whether a query is open on it."""
        self.sessions.log(
            "session_closed",
            connection=self.connection_id,
            reason=reason,
            query_open=self.query_number is not None,
        )

    def _earliest_arrival(self) -> float:
        """The earliest time at which the data being read now can have arrived."""
        earliest = float(self.sessions.clock.seconds()) - self.sessions.max_read_delay()
        unread_since: float | None = getattr(self.transport, "unread_since", None)
        return earliest if unread_since is None else min(earliest, unread_since)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._closing = True
        self._update_buffered_bytes()
        self.sessions.unregister(self)
        self._drop_query()

    def pauseProducing(self) -> None:
        """Called when the send buffer is full: further commands wait until the client has read."""
        self._paused = True

    def resumeProducing(self) -> None:
        self._paused = False
        self._schedule_turn()

    def stopProducing(self) -> None:
        self._paused = True

    def _send(self, *payloads: bytes) -> None:
        transport: Any = self.transport
        for payload in payloads:
            transport.write(encode_packet(self._sequence, payload))
            self._sequence += 1

    def _close(self) -> None:
        """Drops the open query and closes the connection after pending data is sent."""
        self._closing = True
        self._update_buffered_bytes()
        self._drop_query()
        self.timeout_at = float(self.sessions.clock.seconds()) + CLOSE_TIMEOUT_S
        transport: Any = self.transport
        transport.unregisterProducer()
        transport.loseConnection()

    def close_if_idle(self) -> bool:
        """Closes the session if no query is open; False if it stays open.

        What the client has sent by now is read first, since a query that arrived before the close is owed
        an answer.
        """
        if self.query_number is None and not self._closing:
            self.sessions.read_pending(self.transport)
            self.dataReceived(b"")  # packets that wait for a later reactor turn
        if self.query_number is not None or self._closing or self._awaits_turn:
            return False
        self._close()
        return True

    def abort(self) -> None:
        """Closes the connection with a TCP reset; pending data is discarded."""
        transport: Any = self.transport
        transport.abortConnection()

    # Packets

    def _process_packets(self) -> None:
        """Handles packets received so far, until a query is open, the client must read, or its turn is over.

        Guards against a client that sends small commands at full speed and makes all others wait.
        """
        self._awaits_turn = False
        left_packets = MAX_PACKETS_PER_TURN
        left_bytes = MAX_BYTES_PER_TURN
        while self.query_number is None and not self._paused and not self._closing:
            if left_packets <= 0 or left_bytes <= 0:
                self._awaits_turn = True
                self._schedule_turn()
                return
            packet = self._reader.next_packet()
            if packet is None:
                return
            sequence, payload = packet
            left_packets -= 1
            left_bytes -= len(payload)
            if sequence != (0 if self._logged_in else 1):
                self.sessions.counters.add("client_packets_bad")
                self._close_with_error(ErrorCode.NET_PACKETS_OUT_OF_ORDER, "Got packets out of order")
                return
            self._sequence = sequence + 1
            if self._logged_in:
                self._has_sent_command = True
                self._handle_command(payload)
            else:
                self._handle_login(payload)

    def _schedule_turn(self) -> None:
        """Handles further packets in the next reactor turn."""
        if not self._turn_is_scheduled:
            self._turn_is_scheduled = True
            self.sessions.clock.callLater(0, self._start_turn)

    def _start_turn(self) -> None:
        self._turn_is_scheduled = False
        self.dataReceived(b"")

    def _handle_login(self, payload: bytes) -> None:
        try:
            login = parse_handshake_response(payload)
        except ProtocolError as error:
            self._send(error_payload(ErrorCode.HANDSHAKE_ERROR, str(error)))
            self._close()
            return
        if login.user != USER or login.auth_response:
            self._send(error_payload(ErrorCode.ACCESS_DENIED_ERROR, "Access denied"))
            self._close()
        elif login.database not in (b"", DATABASE):
            self._send(error_payload(ErrorCode.BAD_DB_ERROR, "Unknown database"))
            self._close()
        else:
            self._logged_in = True
            self._send(ok_payload())

    def _handle_command(self, payload: bytes) -> None:
        command = payload[:1]
        argument = payload[1:]
        if command == bytes((COM_QUERY,)):
            self._handle_query(argument)
        elif command == bytes((COM_PING,)):
            self._send(ok_payload())
        elif command == bytes((COM_QUIT,)):
            self._close()
        elif command == bytes((COM_INIT_DB,)):
            known = argument == DATABASE
            self._send(ok_payload() if known else error_payload(ErrorCode.BAD_DB_ERROR, "Unknown database"))
        else:
            self._send(error_payload(ErrorCode.UNKNOWN_COM_ERROR, "Unknown command"))

    def _handle_query(self, text: bytes) -> None:
        """Executes a KILL QUERY, or submits the query to the handler."""
        target = parse_kill_query(text)
        if target is not None:
            known = self.sessions.kill_query(target)
            self._send(
                ok_payload()
                if known
                else error_payload(ErrorCode.NO_SUCH_THREAD, f"Unknown thread id: {target}")
            )
            return
        self.sessions.counters.add("queries_received")
        if self.sessions.is_closing:
            self.sessions.counters.add("queries_refused_at_exit")
            self._send(error_payload(ErrorCode.CON_COUNT_ERROR, "Server shutdown in progress"))
            return
        try:
            arrived_at = self._reader.packet_arrived_at
            self.query_number = self.sessions.handler.submit(parse_query(text), self, arrived_at)
        except ProtocolError as error:
            self._reject_query(ErrorCode.PARSE_ERROR, str(error))
        except ExpiredQueryError as error:
            self.sessions.counters.add("queries_expired_unread")
            self._send(error_payload(ErrorCode.UNKNOWN_ERROR, str(error)))
        except UnusableQueryError as error:
            self._reject_query(ErrorCode.UNKNOWN_ERROR, str(error))

    def _reject_query(self, code: ErrorCode, reason: str) -> None:
        """Sends an error at once, and closes the session after MAX_UNUSABLE_QUERIES.

        An unusable query costs as much work as a good one, so a session must not go on sending them.
        """
        self.sessions.counters.add("queries_unusable")
        self.sessions.counters.add("unusable_" + reason.replace(" ", "_"))
        self._unusable_queries += 1
        self._send(error_payload(code, reason))
        if self._unusable_queries >= MAX_UNUSABLE_QUERIES:
            self._close()

    def interrupt_query(self) -> bool:
        """Ends the open query on a KILL QUERY for this session; False if no query is open."""
        if self.query_number is None:
            return False
        self._drop_query()
        self._send_final_error(ErrorCode.QUERY_INTERRUPTED, "Query execution was interrupted")
        return True

    def _drop_query(self) -> None:
        if self.query_number is not None:
            query_number = self.query_number
            self.query_number = None
            self.sessions.handler.drop(query_number)

    # The final response to a query (QueryReply)

    def send_result(self, result: bytes) -> None:
        self._send_final(result)

    def refuse(self, retry_after: float) -> None:
        hint = f"after={round(retry_after * 1000)}" if retry_after > 0 else "try again"
        self._send_final_error(ErrorCode.USER_LIMIT_REACHED, hint)

    def fail(self, text: str) -> None:
        self._send_final_error(ErrorCode.UNKNOWN_ERROR, text)

    def _send_final_error(self, code: ErrorCode, text: str) -> None:
        self._send_final(encode_packet(self._sequence, error_payload(code, text)))

    def _send_final(self, data: bytes) -> None:
        """Sends the response to the open query and resumes the processing of packets."""
        self.query_number = None
        if not self._closing:
            transport: Any = self.transport
            transport.write(data)
            self._update_timeout()
            if self._reader.buffered_bytes:
                # Packets that arrived meanwhile are processed in a later reactor turn, after the batch of
                # actions that this response belongs to.
                self._schedule_turn()


class ClientSessions(ServerFactory):
    """All sessions by connection id; ids start at a value derived from the seed."""

    noisy = False

    def __init__(
        self,
        clock: Any,
        handler: QueryHandler,
        counters: Counters,
        log: Callable[..., None],
        seed: int,
        max_sessions: int,
        max_read_delay: Callable[[], float] = lambda: 0.0,
        max_buffered_bytes: int = 4 * 1024 * 1024,
        read_pending: Callable[[Any], None] = lambda transport: None,
    ) -> None:
        """``max_read_delay`` returns for how many seconds the data being read now may have been waiting.

        ``read_pending`` reads at once what has arrived on a transport, without a wait.
        """
        self.read_pending = read_pending
        self.is_closing = False
        self.max_read_delay = max_read_delay
        self.buffered_bytes = 0  # received by all sessions together and not processed yet
        self.max_buffered_bytes = max_buffered_bytes
        self._next_sweep = 0.0
        self.clock = clock
        self.handler = handler
        self.counters = counters
        self.log = log
        self.max_sessions = max_sessions
        self._salt = seed.to_bytes(8, "little", signed=False)
        # A KILL QUERY with an id from before a restart must not hit another session, so the ids of different
        # seeds start far apart.
        self._last_id = int.from_bytes(blake2b(self._salt, digest_size=4).digest(), "little")
        self._sessions: dict[int, ClientSession] = {}

    def startFactory(self) -> None:
        self._schedule_sweep()

    def _close_timed_out(self) -> None:
        """Closes timed-out sessions, except after a stall of the front.

        The data of their clients may have arrived during the stall and be unread.
        """
        now = float(self.clock.seconds())
        if now < self._next_sweep + SWEEP_INTERVAL_S:
            for session in [entry for entry in self._sessions.values() if entry.timeout_at <= now]:
                session.handle_timeout()
        self._schedule_sweep()

    def _schedule_sweep(self) -> None:
        self._next_sweep = float(self.clock.seconds()) + SWEEP_INTERVAL_S
        self.clock.callLater(SWEEP_INTERVAL_S, self._close_timed_out)

    def buildProtocol(self, addr: IAddress | None) -> ClientSession:
        self._last_id = self._last_id % 0xFFFFFFFF + 1
        return ClientSession(self, self._last_id)

    def scramble(self, connection_id: int) -> bytes:
        """The 20 bytes of the greeting's scramble, none of them zero.

        It needs no secrecy, since only the empty password is accepted.
        """
        digest = blake2b(self._salt + connection_id.to_bytes(4, "little"), digest_size=20).digest()
        return bytes(byte % 94 + 33 for byte in digest)

    def register(self, session: ClientSession) -> bool:
        """Adds a new session, evicting another if necessary; False if there is no room for it."""
        self.counters.add("client_connections")
        if len(self._sessions) >= self.max_sessions and not self._evict_session():
            self.counters.add("client_connections_turned_away")
            return False
        self._sessions[session.connection_id] = session
        self.counters.record_max("client_connections_open", len(self._sessions))
        return True

    def _evict_session(self) -> bool:
        """Closes the session that has been without a query the longest; False if none is evictable.

        Sessions that have never sent a command come first. Guards against clients that hold connections
        without queries, so that others can't connect.
        """
        now = self.clock.seconds()
        evictable = (session for session in self._sessions.values() if session.is_evictable(now))
        oldest = nsmallest(
            MAX_EVICTION_TRIES, evictable, key=lambda session: (session.has_sent_command, session.idle_since)
        )
        evicted = next((session for session in oldest if session.close_if_idle()), None)
        if evicted is None:
            return False
        self.counters.add("client_sessions_gave_way")
        self.log("session_closed", connection=evicted.connection_id, reason="evicted", query_open=False)
        self.unregister(evicted)
        return True

    def unregister(self, session: ClientSession) -> None:
        """Removes a session; has no effect if it is not registered."""
        self._sessions.pop(session.connection_id, None)

    def kill_query(self, connection_id: int) -> bool:
        """Interrupts the open query of a session; False if there is no such session."""
        self.counters.add("client_kills")
        session = self._sessions.get(connection_id)
        return session is not None and (session.interrupt_query() or True)

    def __len__(self) -> int:
        """Number of open sessions."""
        return len(self._sessions)

    def close_at_exit(self) -> None:
        """Refuses every query that is read from now on, and closes all sessions without an open one."""
        self.is_closing = True
        for session in list(self._sessions.values()):
            session.close_if_idle()

    def abort_all(self) -> None:
        """Aborts the connections of all sessions."""
        for session in list(self._sessions.values()):
            session.abort()
