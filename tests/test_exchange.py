"""The exchange between made clients, engines in memory and decisions that are told what to do."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from micahold import interface as api
from micahold.protocol.query_fields import ClientQuery, parse_query
from micahold.routing.exchange import Exchange
from micahold.transport.clients import UnusableQueryError
from tests import build
from tests.network import PAGE, EngineHarness, engine_list_event, http_response

SETTINGS = build.settings(report_columns=("rif", "busy"))


class Decisions:
    """Answers each batch with what the test wants, and keeps the batches."""

    def __init__(self) -> None:
        self.batches: list[list[api.Event]] = []
        self.wanted: list[api.Action] = []
        self.error: Exception | None = None

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        self.batches.append(events)
        if self.error is not None:
            raise self.error
        wanted, self.wanted = self.wanted, []
        return wanted


class Client:
    """One query's end: what it was answered."""

    def __init__(self) -> None:
        self.answers: list[tuple[str, Any]] = []

    def send_result(self, result: bytes) -> None:
        self.answers.append(("served", result))

    def refuse(self, retry_after: float) -> None:
        self.answers.append(("refused", retry_after))

    def fail(self, text: str) -> None:
        self.answers.append(("failed", text))


class World(EngineHarness):
    """An exchange with engines ``a`` and ``b`` listed."""

    def __init__(self) -> None:
        super().__init__()
        self.made: list[Decisions] = []
        self.logged: list[tuple[str, dict[str, Any]]] = []
        self.exchange = Exchange(
            SETTINGS,
            1,
            self.clock,
            self.clock.seconds,
            self.pools,
            self.directory,
            self.counters,
            self.log,
            self.at_turn_end,
            self.decider,
        )
        self.exchange.list_changed(engine_list_event(a="up", b="up"))
        self.advance()

    def log(self, event: str, **fields: Any) -> None:
        self.logged.append((event, fields))

    def at_turn_end(self, act: Callable[[], None]) -> None:
        self.clock.callLater(0, act)

    def decider(self, settings: api.Settings, seed: int) -> Decisions:
        self.made.append(Decisions())
        return self.made[-1]

    @property
    def decisions(self) -> Decisions:
        return self.made[-1]

    def want(self, *actions: api.Action) -> None:
        """The answer to the next batch, which news that hold nothing bring about."""
        self.decisions.wanted = list(actions)
        self.exchange.list_changed(engine_list_event(2, full=False))
        self.advance()

    def ask(self, number: int = 1, **changes: str) -> tuple[int, Client]:
        client = Client()
        ticket = self.exchange.submit(query(number, **changes), client)
        self.advance()
        return ticket, client

    def last(self) -> api.Event:
        return self.decisions.batches[-1][-1]


def query(number: int = 1, **changes: str) -> ClientQuery:
    fields = {
        "class": "lookup",
        "id": f"{number:016x}",
        "wait": "2000",
        "tenant": "two",
        "cost": "820",
        "mb": "96",
    }
    fields.update({name.rstrip("_"): value for name, value in changes.items()})
    text = ",".join(f"{name}={value}" for name, value in fields.items() if value)
    return parse_query(f"/* {text} */ SELECT x FROM s_17.t".encode())


def test_the_known_list_is_told_before_any_query() -> None:
    world = World()
    world.ask()
    first, second = world.decisions.batches
    assert isinstance(first[0], api.ListUpdate)
    assert [entry.engine for entry in first[0].entries] == ["a", "b"]
    assert second == [
        api.QueryArrived(1, 0, 1, 2.0, estimated_cost_s=0.82, estimated_memory_mb=96.0, table_group=17)
    ]


def test_all_that_happens_in_a_turn_is_one_batch() -> None:
    world = World()
    for number in range(3):
        world.exchange.submit(query(number), Client())
    world.advance()
    assert [len(batch) for batch in world.decisions.batches] == [1, 3]


@pytest.mark.parametrize(
    "changes", [{"class_": "other"}, {"tenant": "other"}, {"tenant": ""}, {"wait": "0"}, {"class_": "load"}]
)
def test_what_cannot_be_taken_reaches_neither_decisions_nor_engines(changes: dict[str, str]) -> None:
    world = World()
    with pytest.raises(UnusableQueryError):
        world.exchange.submit(query(1, **changes), Client())
    world.advance()
    assert len(world.decisions.batches) == 1
    assert world.exchange.unanswered == 0


def test_an_id_that_is_open_already_cannot_be_taken_and_can_be_once_it_is_answered() -> None:
    world = World()
    ticket, _ = world.ask()
    with pytest.raises(UnusableQueryError):
        world.exchange.submit(query(), Client())
    world.want(api.Fail(ticket))
    world.exchange.submit(query(), Client())


def test_a_good_answer_goes_to_the_client_and_settles_the_query() -> None:
    world = World()
    ticket, client = world.ask()
    world.want(api.Send(ticket, "a"))
    world.connections[0].accept().send(http_response(200, PAGE, X_Sheets="1", Srv_Load="inflight:7;util:0.5"))
    assert [kind for kind, _ in client.answers] == ["served"]
    world.advance()
    event = world.last()
    assert isinstance(event, api.AttemptEnded)
    assert (event.query, event.attempt, event.engine, event.outcome) == (ticket, 0, "a", api.Outcome.OK)
    assert event.query_settled
    assert event.report == api.LoadReport(in_flight=7.0, busy_share=0.5)
    assert not world.exchange.queries


@pytest.mark.parametrize(("refusal", "kind"), [(True, "refused"), (False, "failed")])
def test_a_final_answer_is_given_once(refusal: bool, kind: str) -> None:
    world = World()
    ticket, client = world.ask()
    final = api.Refuse(ticket, 0.5) if refusal else api.Fail(ticket)
    world.want(final, api.Fail(ticket), api.Refuse(ticket))
    assert [one for one, _ in client.answers] == [kind]
    assert world.exchange.unanswered == 0


def test_why_a_query_was_given_up_is_counted_by_class_and_logged() -> None:
    """A class that was hardly served showed in no counter."""
    world = World()
    ticket, _ = world.ask()
    world.want(api.Refuse(ticket, 0.5, api.GiveUpReason.ATTEMPTS_EXHAUSTED))
    assert world.counters.snapshot()["given_up_lookup_tries"] == 1
    assert [fields["why"] for event, fields in world.logged if event == "query"] == ["tries"]


def test_an_answer_that_a_query_is_not_yet_over_is_a_sign_of_life() -> None:
    """Good runs were called off as silent, though their engines had told of them all the time."""
    world = World()
    ticket, _ = world.ask()
    world.want(api.Send(ticket, "a"))
    world.connections[0].accept().send(http_response(202))
    world.advance()
    assert world.last() == api.AttemptStatus(ticket, 0, "a", api.AttemptStatusKind.ALIVE)


def test_an_error_is_told_and_the_query_stays_open() -> None:
    world = World()
    ticket, client = world.ask()
    world.want(api.Send(ticket, "a"))
    world.connections[0].accept().send(http_response(500))
    world.advance()
    event = world.last()
    assert isinstance(event, api.AttemptEnded)
    assert (event.outcome, event.query_settled) == (api.Outcome.ERROR, False)
    world.want(api.Send(ticket, "b"))
    world.connections[1].accept().send(http_response(200, PAGE, X_Sheets="1"))
    assert [kind for kind, _ in client.answers] == ["served"]


def test_a_client_that_leaves_is_told_and_its_late_answer_goes_nowhere() -> None:
    world = World()
    ticket, client = world.ask()
    world.want(api.Send(ticket, "a"))
    world.exchange.drop(ticket)
    world.exchange.drop(ticket)
    world.advance()
    assert world.last() == api.QueryDropped(ticket)
    world.connections[0].accept().send(http_response(200, PAGE, X_Sheets="1"))
    world.advance()
    assert not client.answers
    assert not world.exchange.queries


def test_a_cancel_gives_the_attempt_up() -> None:
    world = World()
    ticket, _ = world.ask()
    world.want(api.Send(ticket, "a"))
    world.connections[0].accept()
    world.want(api.Cancel(ticket, 0))
    assert world.connections[1].accept().transport.take_written().startswith(b"DELETE ")
    world.connections[1].send(http_response(204))
    world.advance()
    event = world.last()
    assert isinstance(event, api.AttemptEnded)
    assert event.outcome is api.Outcome.CANCELLED


def test_an_attempt_never_outlasts_its_query() -> None:
    world = World()
    ticket, _ = world.ask()
    world.want(api.Send(ticket, "a", 999.0))
    assert b"Via-Wait: 2000\r\n" in world.connections[0].accept().transport.take_written()
    world.advance(2.0)
    world.advance()
    event = world.last()
    assert isinstance(event, api.AttemptEnded)
    assert event.outcome is api.Outcome.TIMEOUT


def test_attempts_beyond_the_limit_or_for_an_answered_query_are_moot() -> None:
    world = World()
    ticket, _ = world.ask()
    for _ in range(SETTINGS.limits.max_attempts):
        world.want(api.Send(ticket, "a"))
        world.connections[-1].refuse()
    world.advance()
    made = len(world.connections)
    world.want(api.Send(ticket, "a"))
    world.advance()
    event = world.last()
    assert isinstance(event, api.AttemptEnded)
    assert event.outcome is api.Outcome.NOT_STARTED
    assert len(world.connections) == made


def test_the_wait_counts_from_when_the_query_may_have_come() -> None:
    world = World()
    world.exchange.submit(query(), Client(), waited=0.25)
    world.advance()
    event = world.last()
    assert isinstance(event, api.QueryArrived)
    assert event.deadline == 1.75
    with pytest.raises(UnusableQueryError):
        world.exchange.submit(query(2), Client(), waited=2.0)


def test_the_deadline_told_is_one_that_a_late_front_can_keep() -> None:
    world = World()
    world.exchange.late_by = lambda: 0.03
    world.ask()
    event = world.last()
    assert isinstance(event, api.QueryArrived)
    assert round(event.deadline, 6) == 1.97


def test_timers_fire_at_their_time() -> None:
    world = World()
    world.want(api.SetTimer(5, 0.5))
    batches = len(world.decisions.batches)
    world.advance(0.4)
    assert len(world.decisions.batches) == batches
    world.advance(0.2)
    world.advance()
    assert world.last() == api.TimerFired(5)


def test_an_error_in_the_decisions_is_logged_and_every_query_is_answered() -> None:
    world = World()
    first, client = world.ask(1)
    world.want(api.Send(first, "a"))
    connection = world.connections[0].accept()
    world.decisions.error = RuntimeError("x")
    _, other = world.ask(2)
    assert [kind for kind, _ in client.answers] == ["failed"]
    assert [kind for kind, _ in other.answers] == ["failed"]
    assert "decisions_fault" in [event for event, _ in world.logged]
    world.advance()
    assert len(world.made) == 2  # a new one, which is told the list
    update = world.decisions.batches[0][0]
    assert isinstance(update, api.ListUpdate)
    assert [entry.engine for entry in update.entries] == ["a", "b"]
    connection.send(http_response(200, PAGE, X_Sheets="1"))
    world.advance()
    assert len(client.answers) == 1
    ticket, third = world.ask(3)
    world.want(api.Refuse(ticket))
    assert [kind for kind, _ in third.answers] == ["refused"]


def test_an_action_that_cannot_be_carried_out_takes_no_other_along() -> None:
    world = World()
    ticket, client = world.ask()
    world.want(api.Send(12345, "a"), api.Probe("a"), api.Cancel(12345, 0), api.Fail(ticket))
    assert [kind for kind, _ in client.answers] == ["failed"]


def test_a_query_that_the_decisions_forget_is_answered_within_the_slack() -> None:
    world = World()
    _, client = world.ask()
    world.advance(2.0)
    assert not client.answers
    world.advance(SETTINGS.rules.answer_slack_s + 0.001)
    assert [kind for kind, _ in client.answers] == ["failed"]
    world.advance()
    assert isinstance(world.last(), api.QueryDropped)


def test_what_is_taken_in_is_answered_or_dropped_or_open() -> None:
    world = World()
    tickets = [world.ask(number)[0] for number in range(1, 7)]
    world.want(api.Refuse(tickets[0]), api.Fail(tickets[1]), api.Send(tickets[2], "a"))
    world.connections[0].accept().send(http_response(200, PAGE, X_Sheets="1"))
    world.exchange.drop(tickets[3])
    counts = world.counters.values
    answered = counts["queries_served"] + counts["queries_refused"] + counts["queries_failed"]
    assert (answered, counts["queries_dropped"], world.exchange.unanswered) == (3, 1, 2)
    assert counts["queries_taken"] == answered + counts["queries_dropped"] + world.exchange.unanswered


def test_giving_up_all_answers_all_and_leaves_no_attempt_out() -> None:
    world = World()
    ticket, client = world.ask(1)
    _, other = world.ask(2)
    world.want(api.Send(ticket, "a"))
    world.connections[0].accept()
    world.exchange.give_up_all("server shutdown in progress")
    assert [client.answers, other.answers] == [[("failed", "server shutdown in progress")]] * 2
    assert world.connections[1].accept().transport.take_written().startswith(b"DELETE ")


def test_a_wait_far_beyond_its_class_can_not_be_used() -> None:
    world = World()
    for wait in ("10001", "999999999999"):  # the deadline of the class is 5 s
        with pytest.raises(UnusableQueryError):
            world.exchange.submit(query(1, wait=wait), Client())
    world.exchange.submit(query(1, wait="10000"), Client())


def test_an_id_is_taken_for_as_long_as_an_attempt_with_it_may_be_out() -> None:
    """An engine would take another statement under that id for the one it has."""
    world = World()
    ticket, _ = world.ask(1)
    world.want(api.Send(ticket, "a"))
    connection = world.connections[0].accept()
    world.want(api.Refuse(ticket))
    with pytest.raises(UnusableQueryError):
        world.exchange.submit(query(1), Client())
    connection.send(http_response(500))
    world.exchange.submit(query(1), Client())


def test_nothing_is_kept_of_engines_that_have_gone_nor_of_queries_that_are_over() -> None:
    """Ids are ever new for hours; addresses are used again."""
    world = World()
    for number in range(300):
        name = f"a{number}"
        world.exchange.list_changed(engine_list_event(2 + number, full=False, **{name: "up"}))
        ticket, client = world.ask(number + 1)
        world.want(api.Send(ticket, name))
        connection = world.connections[-1].accept()
        if number % 3 == 0:
            connection.send(http_response(200, PAGE, X_Sheets="1"))
        elif number % 3 == 1:
            connection.disconnect()
        else:
            world.exchange.drop(ticket)
            world.want(api.Cancel(ticket, 0))
        world.exchange.list_changed(engine_list_event(2 + number, full=False, **{name: "gone"}))
        world.advance(0.1)
        for one in world.connections:
            if one.protocol is None:
                one.protocol = object()
                one.time_out()
        assert len(client.answers) <= 1
    for _ in range(100):
        world.advance(0.1)
    assert len(world.directory) == 2
    assert not world.exchange.queries and not world.exchange._ids
    assert set(world.exchange._entries) == {"a", "b"}
    assert not world.pools._idle and not world.pools._established and not world.pools.waiting_calls
    assert world.pools.open_connections == 0


def test_when_the_program_ends_deadlines_are_drawn_in_and_the_decisions_told() -> None:
    world = World()
    ticket, client = world.ask(1, wait="9000")
    world.want(api.Send(ticket, "a"))
    world.connections[0].accept()
    world.exchange.close_within(1.0)
    world.advance()
    by = world.clock.seconds() + 1.0
    closing = world.last()
    assert isinstance(closing, api.GatewayClosing) and closing.answer_by == by
    late, _ = world.ask(2, wait="9000")
    arrived = world.last()
    assert isinstance(arrived, api.QueryArrived) and arrived.query == late and arrived.deadline == by
    world.advance(0.99)
    assert not [
        one for batch in world.decisions.batches for one in batch if isinstance(one, api.AttemptEnded)
    ]
    world.advance(0.02)
    world.advance()
    ended = world.last()
    assert isinstance(ended, api.AttemptEnded) and ended.outcome is api.Outcome.TIMEOUT
    assert not ended.query_settled and not client.answers  # the answer is the decisions'
