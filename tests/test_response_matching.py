"""A property of calls to engines: whatever an engine sends twice or besides, no query gets another's rows.

Engines answer in virtual time; some answers have a second copy, noise behind or interim responses ahead, some
state the length of their first row and bring the others later, some close their connection. The front stands
still now and then, so that what arrives lies unread.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from micahold.interface import Outcome
from micahold.transport.attempts import AttemptResult
from tests.mysql_client import decode_result_set
from tests.network import EngineHarness, ServerEnd, http_response

STEP_S = 0.001
STEPS = 1000
CONNECTION_LIMITS = (2, 4, 20)
# Steps between two queries, times the connections: a load that the connections can carry.
CONNECTION_STEPS_PER_QUERY = 160
PAGES = 3
REQUEST = re.compile(rb"(POST|GET|DELETE) /data(?:/([0-9a-f]{16})(?:/([0-9]+))?)? HTTP/1.1\r\n")
QUERY_ID = re.compile(rb"Via-Id: ([0-9a-f]{16})\r\n")
MAX_COPY_DELAY_STEPS = 10
MAX_STALL_STEPS = 50
STALL_SHARE = 0.1  # of the turns of the event loop
INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"


def page_of(query_id: bytes, page: int) -> bytes:
    """Two rows that name their query and their page."""
    return b"".join(b"%b\t%d\t%d\n" % (query_id, page, row) for row in range(2))


@dataclass
class Arrival:
    """Bytes that arrive at the front on a connection at a step."""

    step: int
    connection: ServerEnd
    data: bytes


@dataclass
class CopyingEngine:
    """The engine's end of all connections of a front, one call at a time on each."""

    network: EngineHarness
    random: Random
    started: set[bytes] = field(default_factory=set)
    arrivals: list[Arrival] = field(default_factory=list)
    busy_until: dict[int, int] = field(default_factory=dict)  # step, by connection

    def handle_requests(self, step: int) -> None:
        """Reads what the front has written and plans the answers."""
        for connection in self.network.connections:
            if connection.protocol is None:
                if self.random.random() < 0.5:
                    connection.accept()
                continue
            written = connection.transport.take_written()
            if written and not connection.transport.disconnecting:
                self._answer(step, connection, written)

    def _answer(self, step: int, connection: ServerEnd, request: bytes) -> None:
        match = REQUEST.match(request)
        assert match is not None
        method, query_id, page = match.groups()
        if method == b"POST":
            id_match = QUERY_ID.search(request)
            assert id_match is not None
            query_id = id_match[1]
            self.started.add(query_id)
        if method == b"DELETE":
            answer = b"HTTP/1.1 204 No Content\r\n\r\n"
        elif query_id not in self.started:
            answer = http_response(500)
        elif page in (None, b"0"):
            is_over = self.random.random() < 0.7
            answer = (
                http_response(200, page_of(query_id, 0), X_Sheets=str(PAGES))
                if is_over
                else http_response(202)
            )
        else:
            answer = http_response(200, page_of(query_id, int(page)), X_Sheet=page.decode())
        step = max(step, self.busy_until.get(id(connection), 0))
        self._plan(step + self.random.choice((0, 1, 3, 30)), connection, answer)

    def _plan(self, step: int, connection: ServerEnd, answer: bytes) -> None:
        trouble = self.random.random()
        is_good = answer.startswith(b"HTTP/1.1 200")
        if is_good and trouble >= 0.8:
            self._plan_cut_page(step, connection, answer)
            return
        if is_good and trouble < 0.1:
            answer = INTERIM + answer
        split = self.random.randrange(len(answer) + 1) if self.random.random() < 0.2 else 0
        if split:
            self.arrivals.append(Arrival(step, connection, answer[:split]))
            step += self.random.randrange(3)
        self.arrivals.append(Arrival(step, connection, answer[split:]))
        if is_good and 0.1 <= trouble < 0.4:
            late = self.random.choice((0, self.random.randrange(1, MAX_COPY_DELAY_STEPS)))
            self.arrivals.append(Arrival(step + late, connection, answer))
        elif is_good and 0.4 <= trouble < 0.5:
            late = self.random.randrange(MAX_COPY_DELAY_STEPS)
            self.arrivals.append(Arrival(step + late, connection, b"noise"))

    def _plan_cut_page(self, step: int, connection: ServerEnd, answer: bytes) -> None:
        """Plans a page that states the length of its first row, with its other rows later."""
        head, _, body = answer.partition(b"\r\n\r\n")
        first_row_bytes = body.index(b"\n") + 1
        head = head.replace(b"Content-Length: %d" % len(body), b"Content-Length: %d" % first_row_bytes)
        if self.random.random() < 0.3:
            head += b"\r\nConnection: close"
        rest_step = step + self.random.randrange(MAX_COPY_DELAY_STEPS)
        self.arrivals.append(Arrival(step, connection, head + b"\r\n\r\n" + body[:first_row_bytes]))
        self.arrivals.append(Arrival(rest_step, connection, body[first_row_bytes:]))
        self.busy_until[id(connection)] = rest_step  # it reads the next call after that

    def deliver(self, step: int) -> None:
        """Lets arrive what is due; the front has not read it yet."""
        for arrival in [arrival for arrival in self.arrivals if arrival.step <= step]:
            self.arrivals.remove(arrival)
            arrival.connection.arrive(arrival.data)


def run_history(seed: int) -> list[tuple[bytes, list[AttemptResult]]]:
    """Plays one drawn history and returns the results by query."""
    random = Random(seed)
    max_connections = random.choice(CONNECTION_LIMITS)
    network = EngineHarness(max_connections)
    engine = CopyingEngine(network, random)
    queries: list[tuple[bytes, list[AttemptResult]]] = []

    def start_query(query_id: bytes) -> None:
        queries.append((query_id, network.start_attempt(query_id=query_id)[1]))

    waiting_ids: list[bytes] = []
    stalled_until = 0
    for step in range(STEPS):
        engine.deliver(step)
        network.clock.rightNow += STEP_S
        if step % (CONNECTION_STEPS_PER_QUERY // max_connections) == 0:
            waiting_ids.append(b"%016x" % (step + 1))
        if step < stalled_until:
            continue
        # Clients, timers and connections come in any order within a turn of the event loop.
        turn: list[Callable[[], None]] = [network.advance]
        turn += [connection.read_unread for connection in network.connections]
        turn += [partial(start_query, query_id) for query_id in waiting_ids]
        waiting_ids.clear()
        random.shuffle(turn)
        for action in turn:
            action()
        engine.handle_requests(step)
        if random.random() < STALL_SHARE:
            stalled_until = step + random.randrange(1, MAX_STALL_STEPS)
    return queries


def expected_rows(query_id: bytes) -> list[tuple[bytes, ...]]:
    """The rows that the engine makes for a query."""
    text = b"".join(page_of(query_id, page) for page in range(PAGES))
    return [tuple(line.split(b"\t")) for line in text.splitlines()]


@settings(max_examples=150)
@given(st.integers(0, 2**32))
def test_no_history_of_copies_noise_cut_pages_and_stalls_serves_a_query_rows_that_are_not_its_own(
    seed: int,
) -> None:
    """Guards against a copy that is taken as the answer to another call, and a cut page taken for whole."""
    served = 0
    for query_id, results in run_history(seed):
        for result in results:
            if result.outcome is Outcome.OK:
                assert result.result_set is not None
                assert decode_result_set(result.result_set) == expected_rows(query_id)
                served += 1
    assert served > 0
