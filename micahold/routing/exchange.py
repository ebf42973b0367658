"""Connects clients and engines to the controller: turns I/O into events and executes the actions it returns.

The exchange makes no routing or admission decisions. All events of one reactor iteration go to the controller
as a single batch.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from math import inf
from typing import Any, Protocol

from twisted.python.failure import Failure

from micahold import interface as api
from micahold.controller import Controller
from micahold.counters import Counters
from micahold.protocol.engine_list import EngineListEvent
from micahold.protocol.load_report import parse_load_report
from micahold.protocol.query_fields import ClientQuery
from micahold.settings import decode_report
from micahold.transport.attempts import Attempt, AttemptRequest, AttemptResult, EndEvidence
from micahold.transport.clients import ExpiredQueryError, QueryReply, UnusableQueryError
from micahold.transport.connection_pools import EngineConnectionPools
from micahold.transport.directory import EngineDirectory
from micahold.transport.query_lease import ENGINE_LEASE_S, LIMIT_TOLERANCE_S
from micahold.transport.timers import TimerQueue


class ControllerProtocol(Protocol):
    """The part of the controller that the exchange calls."""

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Processes one batch of events and returns the actions to execute, in order."""
        ...


# Until an overdue query is looked at again while the controller has events that it has not processed.
OVERDUE_RETRY_DELAY_S = 0.001
# Outcomes of attempts that their engine has not run.
NOT_RUN_OUTCOMES = (api.Outcome.FULL, api.Outcome.NOT_STARTED)
MAX_WAIT_DEADLINE_MULTIPLE = 2.0  # a client wait above this multiple of its class's deadline is implausible


@dataclass(slots=True, eq=False)
class OpenQuery:
    """A query from its arrival until it has its final answer and no attempt of it is in flight."""

    request: ClientQuery
    reply: QueryReply
    arrived_at: float
    deadline: float
    answered: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    may_have_run: bool = False  # on an engine that an attempt has ended on
    overdue_timer: Any = None


class Exchange:
    """Owns the controller, the timers it sets, and the open queries."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        clock: Any,
        now: Callable[[], float],
        pools: EngineConnectionPools,
        directory: EngineDirectory,
        counters: Counters,
        log: Callable[..., None],
        call_at_iteration_end: Callable[[Callable[[], None]], Any],
        controller_factory: Callable[[api.Settings, int], ControllerProtocol] = Controller,
    ) -> None:
        self.settings = settings
        self.seed = seed
        self.clock = clock
        self.now = now
        self.pools = pools
        self.directory = directory
        self.counters = counters
        self.log = log
        self.class_indices = {
            query_class.name.encode(): index for index, query_class in enumerate(settings.classes)
        }
        self.tenant_indices = {tenant.name.encode(): index for index, tenant in enumerate(settings.tenants)}
        self.timers = TimerQueue(clock)
        self.open_queries: dict[int, OpenQuery] = {}
        self.unanswered_count = 0
        self._controller_factory = controller_factory
        self._controller: ControllerProtocol = controller_factory(settings, seed)
        self._answer_by = inf  # upper bound on every query's deadline; finite during shutdown
        self._controller_generation = 0  # timers set by a controller that has been replaced are ignored
        self._open_ids: set[bytes] = set()
        self._last_number = 0
        self._pending_events: list[api.Event] = []
        self._call_at_iteration_end = call_at_iteration_end
        self._flush_scheduled = False
        self._engine_entries: dict[str, api.EngineEntry] = {}
        # Called with every event before it is queued.
        self.observer: Callable[[api.Event], None] | None = None

    # Events

    def post_event(self, event: api.Event) -> None:
        """Queues an event from another subsystem for the controller."""
        self._queue_event(event)

    def _queue_event(self, event: api.Event) -> None:
        if self.observer is not None:
            self.observer(event)
        self._pending_events.append(event)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._call_at_iteration_end(self._flush)

    def submit(self, query: ClientQuery, reply: QueryReply, arrived_at: float) -> int:
        """Registers a client's query and returns its number, which ``drop`` takes.

        The query's wait counts from ``arrived_at``.
        Raises ``UnusableQueryError`` for a query that can't be accepted, before the controller or an engine
        receives anything of it.
        """
        now = self.now()
        deadline = arrived_at + query.wait_s
        class_index = self.class_indices.get(query.class_name)
        tenant_index = self.tenant_indices.get(query.tenant or b"") if self.tenant_indices else 0
        if class_index is None:
            raise UnusableQueryError("unknown class")
        if tenant_index is None:
            raise UnusableQueryError("unknown tenant")
        if query.id in self._open_ids:
            raise UnusableQueryError("this id is in use")
        if query.wait_s > MAX_WAIT_DEADLINE_MULTIPLE * self.settings.classes[class_index].deadline_s:
            raise UnusableQueryError("field wait is out of range")
        if query.wait_s <= 0:
            raise UnusableQueryError("field wait is not above 0")
        if now >= deadline:
            raise ExpiredQueryError("past its wait on arrival")
        if self.settings.classes[class_index].repeat_safety is api.RepeatSafety.KEYED and query.token is None:
            raise UnusableQueryError("field once is missing")
        self._last_number += 1
        number = self._last_number
        open_query = OpenQuery(query, reply, arrived_at, min(self._answer_by, deadline))
        self.open_queries[number] = open_query
        self._open_ids.add(query.id)
        self.unanswered_count += 1
        self.counters.add("queries_taken")
        self.counters.record_max("queries_open", self.unanswered_count)
        # Should the controller miss the deadline, this timer still answers the client within the slack.
        slack = self.settings.rules.answer_slack_s
        open_query.overdue_timer = self.timers.call_later(deadline - now + slack, self._fail_overdue, number)
        self._queue_event(
            api.QueryArrived(
                query=number,
                class_index=class_index,
                tenant_index=tenant_index,
                deadline=open_query.deadline,
                estimated_cost_s=query.estimated_cost_s,
                estimated_memory_mb=query.estimated_memory_mb,
                table_group=query.table_group,
                is_write=query.is_write,
            )
        )
        return number

    def begin_shutdown(self, answer_by: float) -> None:
        """Limits deadlines of open and later queries to ``answer_by``, and notifies the controller.

        This lets the controller refuse early what will not be served. Otherwise queries stay open until they
        are failed at exit, which is too late for their clients to try another gateway.
        """
        self._answer_by = answer_by
        for open_query in self.open_queries.values():
            if not open_query.answered and open_query.deadline > self._answer_by:
                open_query.deadline = self._answer_by
                for attempt in open_query.attempts:
                    attempt.shorten_expiry(self._answer_by)
        self._queue_event(api.GatewayClosing(self._answer_by))

    def drop(self, number: int) -> None:
        """Closes a query without an answer, because its client disconnected or interrupted it."""
        open_query = self.open_queries.get(number)
        if open_query is None or open_query.answered:
            return
        self.counters.add("queries_dropped")
        self._close_query(number, open_query, "dropped")
        self._queue_event(api.QueryDropped(number))
        for attempt in open_query.attempts:
            attempt.abandon_unread()  # whether cancelling is allowed or not: it has not begun

    def apply_list_update(self, list_event: EngineListEvent) -> None:
        """Applies an update of the engine list to the directory, the pools and the controller.

        The directory goes first, because calls look up an engine's address at the time they are written.
        """
        changes = self.directory.update(list_event)
        for listing in changes.ended:
            self.pools.close_ended(listing)
        update = list_event.update
        if changes.displaced:
            self.counters.add("engines_displaced", len(changes.displaced))
            self.log("engines_displaced", engines=changes.displaced, cursor=list_event.cursor)
            update = self._without_displaced(update, changes.displaced)
        if update.kind is not api.ListKind.CHANGES:
            self._engine_entries.clear()
        for entry in update.entries:
            if entry.state is api.EngineState.GONE:
                # Engine ids are not reused: keeping entries of engines that have gone would leak memory.
                previous = self._engine_entries.pop(entry.engine, None)
            else:
                previous = self._engine_entries.get(entry.engine)
                self._engine_entries[entry.engine] = entry
            if update.kind is api.ListKind.CHANGES:
                self._log_engine_state(entry, previous, list_event.cursor)
        self.counters.add("list_updates")
        self._queue_event(update)

    def _without_displaced(self, update: api.ListUpdate, displaced: list[str]) -> api.ListUpdate:
        """The update with engines listed as gone whose address another one has."""
        known = {**self._engine_entries, **{entry.engine: entry for entry in update.entries}}
        others = tuple(entry for entry in update.entries if entry.engine not in displaced)
        gone = tuple(replace(known[engine], state=api.EngineState.GONE) for engine in displaced)
        return replace(update, entries=others + gone)

    def _log_engine_state(
        self, entry: api.EngineEntry, previous: api.EngineEntry | None, cursor: int
    ) -> None:
        """Logs a change of an engine's state, with the number of the list event that told it."""
        before = previous.state if previous is not None else api.EngineState.GONE
        if entry.state is not before:
            self.counters.add(f"engines_{entry.state.value}")
            self.log(
                "engine", engine=entry.engine, before=before.value, state=entry.state.value, cursor=cursor
            )

    def _on_attempt_end(
        self, attempt_result: AttemptResult, number: int, attempt: int, engine: str, sent_at: float
    ) -> None:
        open_query = self.open_queries[number]
        open_query.in_flight -= 1
        self.counters.add(f"attempts_{attempt_result.outcome.value}")
        open_query.may_have_run |= (
            attempt_result.evidence is not EndEvidence.NEVER_SENT
            and attempt_result.outcome not in NOT_RUN_OUTCOMES
        )
        elapsed = self.now() - sent_at - attempt_result.confirmation_s
        result_set = attempt_result.result_set
        if result_set is not None:
            self._answer(number, "served", lambda reply: reply.send_result(result_set))
        load_values = parse_load_report(attempt_result.load_report, self.settings.report_columns)
        self._queue_event(
            api.AttemptEnded(
                query=number,
                attempt=attempt,
                engine=engine,
                outcome=attempt_result.outcome,
                elapsed_s=elapsed,
                query_settled=open_query.answered,
                report=decode_report(load_values),
            )
        )
        if attempt_result.outcome is not api.Outcome.OK:
            self.log(
                "attempt",
                id=open_query.request.id.decode(),
                attempt=attempt,
                engine=engine,
                outcome=attempt_result.outcome.value,
                over=attempt_result.evidence.value,
                s=round(elapsed, 4),
            )
        self._remove_if_finished(number, open_query)

    def _fail_overdue(self, number: int) -> None:
        open_query = self.open_queries[number]
        if self._pending_events:
            # The event loop runs late: the controller has not yet processed events that were due earlier.
            open_query.overdue_timer = self.timers.call_later(
                OVERDUE_RETRY_DELAY_S, self._fail_overdue, number
            )
            return
        self.counters.add("queries_overdue")
        self.log("query_overdue", id=open_query.request.id.decode())
        self._answer(number, "failed", lambda reply: reply.fail("no answer in time"))
        self._queue_event(api.QueryDropped(number))
        for attempt in open_query.attempts:
            attempt.abort(api.Outcome.CANCELLED)

    # Actions

    def _flush(self) -> None:
        """Passes the queued events to the controller and executes its actions.

        An exception in the controller is logged, and every open query is still answered.
        """
        self._flush_scheduled = False
        events = self._pending_events
        self._pending_events = []
        self.counters.add("batches")
        self.counters.record_max("batch_events", len(events))
        try:
            actions = self._controller.handle(self.now(), events)
        except Exception as error:
            self._replace_controller(error)
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception as error:  # an action that fails must not prevent the execution of the others
                self.log("action_error", action=repr(action), error=repr(error))
                self.counters.add("action_errors")

    def _replace_controller(self, error: Exception) -> None:
        """Fails all open queries, which a new controller has no state for, and starts a new controller."""
        self.log("decisions_fault", error=f"{type(error).__name__}: {error}")
        self.counters.add("decisions_faults")
        self.fail_open_queries("internal error")
        self._controller_generation += 1
        self._pending_events.clear()
        self._controller = self._controller_factory(self.settings, self.seed + self._controller_generation)
        entries = tuple(self._engine_entries.values())
        self._queue_event(api.ListUpdate(api.ListKind.FULL, 0, entries))

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.Send(query, engine, expires, start_by):
                self._start_attempt(query, engine, expires, start_by)
            case api.Refuse(query, retry_after, reason):
                self._answer(query, "refused", lambda reply: reply.refuse(retry_after), reason)
            case api.Fail(query, reason):
                self._answer(query, "failed", lambda reply: reply.fail("failed"), reason)
            case api.Cancel(query, attempt):
                open_query = self.open_queries.get(query)
                if open_query is not None and attempt < len(open_query.attempts):
                    open_query.attempts[attempt].abort(api.Outcome.CANCELLED)
            case api.SetTimer(timer, delay):
                self.clock.callLater(
                    max(0.0, delay), self._on_timer, timer, self._controller_generation, self.now() + delay
                )
            case api.CloseIdle(engine):
                self.pools.close_idle(engine)
            case api.Log(line):
                self.log("decisions", line=line)
            case api.WatchList() | api.FetchList():
                pass  # the command channel pushes every change of the engine list
            case _:
                self.log("action_unsupported", action=type(action).__name__)

    def _on_timer(self, timer: int, generation: int, due: float) -> None:
        if generation == self._controller_generation:
            self.counters.record_max("timer_late_ms", round((self.now() - due) * 1000))
            self._queue_event(api.TimerFired(timer))

    def _start_attempt(self, number: int, engine: str, expires: float, start_by: float) -> None:
        open_query = self.open_queries.get(number)
        now = self.now()
        if open_query is None:
            self.log("action_error", action="send for an unknown query")
            return
        expires_at = min(expires or open_query.deadline, open_query.deadline)
        request = AttemptRequest(
            engine=engine,
            query_id=open_query.request.id,
            class_name=open_query.request.class_name,
            token=open_query.request.token,
            statement=open_query.request.statement,
            expires_at=expires_at,
            deadline=open_query.deadline,
            start_by=start_by,
        )
        index = len(open_query.attempts)

        def on_alive() -> None:
            self._queue_event(api.AttemptStatus(number, index, engine, api.AttemptStatusKind.ALIVE))

        log = partial(self.log, id=open_query.request.id.decode(), attempt=index, engine=engine)
        attempt = Attempt(
            request, self.pools, self.directory, self.counters, self.now, self.timers, on_alive, log
        )
        open_query.attempts.append(attempt)
        open_query.in_flight += 1
        self.counters.add("attempts_sent")
        attempt.done.addCallback(self._on_attempt_end, number, index, engine, now)
        attempt.done.addErrback(self._log_attempt_error)
        if open_query.answered or index >= self.settings.limits.max_attempts:
            attempt.abort(api.Outcome.NOT_STARTED)
        elif now >= expires_at:
            attempt.abort(api.Outcome.TIMEOUT)
        else:
            attempt.start()

    def _log_attempt_error(self, failure: Failure) -> None:
        self.log("attempt_error", error=failure.getErrorMessage(), trace=failure.getBriefTraceback())

    # Final answers

    def _answer(
        self,
        number: int,
        ending: str,
        send: Callable[[QueryReply], None],
        reason: api.GiveUpReason | None = None,
    ) -> None:
        """Gives a query its one final answer through ``send``; does nothing if it already has one.

        ``ending`` is the suffix of the counter; ``reason`` is set where the controller gave the query up.
        """
        open_query = self.open_queries.get(number)
        if open_query is None or open_query.answered:
            return
        self.counters.add(f"queries_{ending}")
        if reason is not None:
            self.counters.add(f"given_up_{open_query.request.class_name.decode()}_{reason.value}")
        self._close_query(number, open_query, ending, reason)
        try:
            send(open_query.reply)
        except Exception as error:  # concerns only this client's session
            self.log("answer_error", error=repr(error))

    def _close_query(
        self, number: int, open_query: OpenQuery, ending: str, reason: api.GiveUpReason | None = None
    ) -> None:
        open_query.answered = True
        self.unanswered_count -= 1
        if open_query.overdue_timer is not None and open_query.overdue_timer.active():
            open_query.overdue_timer.cancel()
        now = self.now()
        self.log(
            "query",
            id=open_query.request.id.decode(),
            end=ending,
            query_class=open_query.request.class_name.decode(),
            s=round(now - open_query.arrived_at, 4),
            left=round(open_query.deadline - now, 3),
            attempts=len(open_query.attempts),
            **({"why": reason.value} if reason is not None else {}),
        )
        self._remove_if_finished(number, open_query)

    def _remove_if_finished(self, number: int, open_query: OpenQuery) -> None:
        """Removes a query that is answered and has no attempt in flight."""
        if (
            open_query.answered
            and open_query.in_flight == 0
            and self.open_queries.pop(number, None) is not None
        ):
            self._release_id(open_query)

    def _release_id(self, open_query: OpenQuery) -> None:
        """Lets the id be used again, once no attempt can run and a repeat can't be the same request.

        Engines identify queries by id, and know one that has ended for the time of a lease. A client that has
        left may come again with its query as long as its wait lasts.
        """
        running = next((attempt for attempt in open_query.attempts if not attempt.over.called), None)
        if running is not None:
            running.over.addCallback(lambda _: self._release_id(open_query))
        elif open_query.may_have_run:
            wait_s = max(open_query.deadline - self.now(), ENGINE_LEASE_S + LIMIT_TOLERANCE_S)
            self.timers.call_later(wait_s, self._open_ids.discard, open_query.request.id)
        else:
            self._open_ids.discard(open_query.request.id)

    def fail_open_queries(self, text: str) -> None:
        """Fails every open query with ``text`` and cancels all attempts.

        The answer is "failed" rather than "refused", since attempts may already have run.
        """
        for number, open_query in list(self.open_queries.items()):
            if not open_query.answered:
                self._answer(number, "failed", lambda reply: reply.fail(text))
                self._queue_event(api.QueryDropped(number))
            for attempt in open_query.attempts:
                attempt.abort(api.Outcome.CANCELLED)
