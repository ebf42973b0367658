"""Between clients, engines and the decisions: happenings become events, actions are carried out.

It decides nothing. All events of one reactor turn go to the controller as one batch.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
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
from micahold.transport.attempts import Attempt, AttemptRequest, AttemptResult
from micahold.transport.calls import EngineConnectionPools
from micahold.transport.clients import QueryReply, UnusableQueryError
from micahold.transport.directory import EngineDirectory
from micahold.transport.timers import TimerQueue


class Decider(Protocol):
    """What the exchange needs of the decision module."""

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]: ...


MOST_WAITS = 2.0  # a wait of so many deadlines of its class is no usable figure


@dataclass(slots=True, eq=False)
class OpenQuery:
    """A query from its arrival until it is answered and nothing of it is out."""

    asked: ClientQuery
    reply: QueryReply
    arrived: float
    deadline: float
    answered: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    out: int = 0
    overdue: Any = None


class Exchange:
    """Owns the controller, its timers and the open queries."""

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
        at_turn_end: Callable[[Callable[[], None]], Any],
        decider: Callable[[api.Settings, int], Decider] = Controller,
        late_by: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.late_by = late_by
        self.settings, self.seed, self.clock, self.now = settings, seed, clock, now
        self.pools, self.directory, self.counters, self.log = pools, directory, counters, log
        self.classes = {one.name.encode(): index for index, one in enumerate(settings.classes)}
        self.tenants = {one.name.encode(): index for index, one in enumerate(settings.tenants)}
        self.timers = TimerQueue(clock)
        self.queries: dict[int, OpenQuery] = {}
        self.unanswered = 0
        self._decider = decider
        self._controller: Decider = decider(settings, seed)
        self._by = inf  # all has to be answered by then
        self._generation = 0  # of the controller: timers of an earlier one are void
        self._ids: set[bytes] = set()
        self._last = 0
        self._events: list[api.Event] = []
        self._at_turn_end, self._flushing = at_turn_end, False
        self._entries: dict[str, api.EngineEntry] = {}
        self.observer: Callable[[api.Event], None] | None = None  # sees what the decisions are told from here

    # What happens

    def tell(self, event: api.Event) -> None:
        """An event from another subsystem for the decisions."""
        self._happened(event)

    def _happened(self, event: api.Event) -> None:
        if self.observer is not None:
            self.observer(event)
        self._events.append(event)
        if not self._flushing:
            self._flushing = True
            self._at_turn_end(self._flush)

    def submit(self, query: ClientQuery, reply: QueryReply, waited: float = 0.0) -> int:
        """A query of a client; ``UnusableQueryError`` where it can't be taken: nothing goes to an engine."""
        now = self.now()
        left = query.wait_s - waited
        query_class = self.classes.get(query.class_name)
        tenant = self.tenants.get(query.tenant or b"") if self.tenants else 0
        if query_class is None:
            raise UnusableQueryError("unknown class")
        if tenant is None:
            raise UnusableQueryError("unknown tenant")
        if query.id in self._ids:
            raise UnusableQueryError("this id is open already")
        if query.wait_s > MOST_WAITS * self.settings.classes[query_class].deadline_s:
            raise UnusableQueryError("field wait is out of range")
        if left <= 0:
            raise UnusableQueryError("past its wait on arrival")
        if self.settings.classes[query_class].repeat_safety is api.RepeatSafety.KEYED and query.token is None:
            raise UnusableQueryError("field once is missing")
        self._last += 1
        number = self._last
        # The decisions are told the deadline that the front can keep, with its own lateness taken off.
        item = OpenQuery(query, reply, now - waited, min(self._by, now + left - self.late_by()))
        self.queries[number] = item
        self._ids.add(query.id)
        self.unanswered += 1
        self.counters.add("queries_taken")
        self.counters.most("queries_open", self.unanswered)
        # Should the decisions ever miss a deadline, the client still gets its answer within the slack.
        slack = self.settings.rules.answer_slack_s
        item.overdue = self.timers.call_later(left + slack, self._overdue, number)
        self._happened(
            api.QueryArrived(
                query=number,
                class_index=query_class,
                tenant_index=tenant,
                deadline=item.deadline,
                estimated_cost_s=query.estimated_cost_s,
                estimated_memory_mb=query.estimated_memory_mb,
                table_group=query.table_group,
                is_write=query.is_write,
            )
        )
        return number

    def close_within(self, seconds: float) -> None:
        """The program ends: the decisions are told by when, so that they can refuse what will not be served.

        Guards against queries that stand open until the exit fails them, too late to ask elsewhere.
        """
        self._by = self.now() + seconds
        for item in self.queries.values():
            if not item.answered and item.deadline > self._by:
                item.deadline = self._by
                for attempt in item.attempts:
                    attempt.shorten_expiry(self._by)
        self._happened(api.GatewayClosing(self._by))

    def drop(self, ticket: int) -> None:
        """The client is gone."""
        item = self.queries.get(ticket)
        if item is None or item.answered:
            return
        self.counters.add("queries_dropped")
        self._close(ticket, item, "dropped")
        self._happened(api.QueryDropped(ticket))

    def list_changed(self, news: EngineListEvent) -> None:
        """News of the engine list: the directory first, since calls look there as they are written."""
        for engine in self.directory.update(news):
            self.pools.close_idle(engine)  # it is gone, or listens elsewhere now
        if news.update.kind is not api.ListKind.CHANGES:
            self._entries.clear()
        for entry in news.update.entries:
            if entry.state is api.EngineState.GONE:
                self._entries.pop(entry.engine, None)  # ids are ever new: what has gone must not be kept
            else:
                self._entries[entry.engine] = entry
        self.counters.add("list_updates")
        self._happened(news.update)

    def _attempt_ended(self, end: AttemptResult, number: int, attempt: int, engine: str, sent: float) -> None:
        item = self.queries[number]
        item.out -= 1
        self.counters.add(f"attempts_{end.outcome.value}")
        elapsed = self.now() - sent
        result = end.result_set
        if result is not None:
            self._answer(number, "served", lambda reply: reply.send_result(result))
        figures = parse_load_report(end.load_report, self.settings.report_columns)
        self._happened(
            api.AttemptEnded(
                query=number,
                attempt=attempt,
                engine=engine,
                outcome=end.outcome,
                elapsed_s=elapsed,
                query_settled=item.answered,
                report=decode_report(figures),
            )
        )
        if end.outcome is not api.Outcome.OK:
            self.log(
                "attempt",
                id=item.asked.id.decode(),
                attempt=attempt,
                engine=engine,
                outcome=end.outcome.value,
                s=round(elapsed, 4),
            )
        self._forget(number, item)

    def _overdue(self, number: int) -> None:
        item = self.queries[number]
        if self._events:
            # A late turn: the decisions have not yet seen what came due before this.
            item.overdue = self.timers.call_later(0.001, self._overdue, number)
            return
        self.counters.add("queries_overdue")
        self.log("query_overdue", id=item.asked.id.decode())
        self._answer(number, "failed", lambda reply: reply.fail("no answer in time"))
        self._happened(api.QueryDropped(number))
        for attempt in item.attempts:
            attempt.abort(api.Outcome.CANCELLED)

    # What the decisions want

    def _flush(self) -> None:
        """One batch; an error in the decisions is logged, and every query still gets its answer."""
        self._flushing = False
        events, self._events = self._events, []
        self.counters.add("batches")
        self.counters.most("batch_events", len(events))
        try:
            actions = self._controller.handle(self.now(), events)
        except Exception as problem:
            self._fault(problem)
            return
        for action in actions:
            try:
                self._carry_out(action)
            except Exception as problem:  # one action that can't be carried out must not take others along
                self.log("action_error", action=repr(action), error=repr(problem))
                self.counters.add("action_errors")

    def _fault(self, problem: Exception) -> None:
        """Start the decisions over: what is open is failed, for a new controller knows nothing of it."""
        self.log("decisions_fault", error=f"{type(problem).__name__}: {problem}")
        self.counters.add("decisions_faults")
        self.give_up_all("internal error")
        self._generation += 1
        self._events.clear()
        self._controller = self._decider(self.settings, self.seed + self._generation)
        entries = tuple(self._entries.values())
        self._happened(api.ListUpdate(api.ListKind.FULL, 0, entries))

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Send(query, engine, expires):
                self._send(query, engine, expires)
            case api.Refuse(query, retry_after, why):
                self._answer(query, "refused", lambda reply: reply.refuse(retry_after), why)
            case api.Fail(query, why):
                self._answer(query, "failed", lambda reply: reply.fail("failed"), why)
            case api.Cancel(query, attempt):
                item = self.queries.get(query)
                if item is not None and attempt < len(item.attempts):
                    item.attempts[attempt].abort(api.Outcome.CANCELLED)
            case api.SetTimer(timer, delay):
                self.clock.callLater(
                    max(0.0, delay), self._timer, timer, self._generation, self.now() + delay
                )
            case api.CloseIdle(engine):
                self.pools.close_idle(engine)
            case api.Log(line):
                self.log("decisions", line=line)
            case api.WatchList() | api.FetchList():
                pass  # the command channel tells of every change unasked
            case _:
                self.log("action_unsupported", action=type(action).__name__)

    def _timer(self, timer: int, generation: int, due: float) -> None:
        if generation == self._generation:
            self.counters.most("timer_late_ms", round((self.now() - due) * 1000))
            self._happened(api.TimerFired(timer))

    def _send(self, number: int, engine: str, expires: float) -> None:
        item, now = self.queries.get(number), self.now()
        if item is None:
            self.log("action_error", action="send for an unknown query")
            return
        until = min(expires or item.deadline, item.deadline)
        order = AttemptRequest(
            engine=engine,
            query_id=item.asked.id,
            class_name=item.asked.class_name,
            token=item.asked.token,
            statement=item.asked.statement,
            expires_at=until,
            deadline=item.deadline,
        )
        index = len(item.attempts)

        def alive() -> None:
            self._happened(api.AttemptStatus(number, index, engine, api.AttemptStatusKind.ALIVE))

        attempt = Attempt(order, self.pools, self.directory, self.counters, self.now, self.timers, alive)
        item.attempts.append(attempt)
        item.out += 1
        self.counters.add("attempts_sent")
        attempt.done.addCallback(self._attempt_ended, number, index, engine, now)
        attempt.done.addErrback(self._attempt_error)
        if item.answered or index >= self.settings.limits.max_attempts:
            attempt.abort(api.Outcome.NOT_STARTED)
        elif now >= until:
            attempt.abort(api.Outcome.TIMEOUT)
        else:
            attempt.start()

    def _attempt_error(self, failure: Failure) -> None:
        self.log("attempt_error", error=failure.getErrorMessage(), trace=failure.getBriefTraceback())

    # Final answers

    def _answer(
        self, number: int, kind: str, give: Callable[[QueryReply], None], why: api.GiveUpReason | None = None
    ) -> None:
        """The one final answer of a query; nothing where it has had that. ``why``: what the decisions say."""
        item = self.queries.get(number)
        if item is None or item.answered:
            return
        self.counters.add(f"queries_{kind}")
        if why is not None:
            self.counters.add(f"given_up_{item.asked.class_name.decode()}_{why.value}")
        self._close(number, item, kind, why)
        try:
            give(item.reply)
        except Exception as problem:  # ends that session alone
            self.log("answer_error", error=repr(problem))

    def _close(self, number: int, item: OpenQuery, kind: str, why: api.GiveUpReason | None = None) -> None:
        item.answered = True
        self.unanswered -= 1
        if item.overdue is not None and item.overdue.active():
            item.overdue.cancel()
        now = self.now()
        self.log(
            "query",
            id=item.asked.id.decode(),
            end=kind,
            query_class=item.asked.class_name.decode(),
            s=round(now - item.arrived, 4),
            left=round(item.deadline - now, 3),
            attempts=len(item.attempts),
            **({"why": why.value} if why is not None else {}),
        )
        self._forget(number, item)

    def _forget(self, number: int, item: OpenQuery) -> None:
        """The id is taken as long as an attempt with it may be out: engines tell queries apart by it."""
        if item.answered and item.out == 0 and self.queries.pop(number, None) is not None:
            self._ids.discard(item.asked.id)

    def give_up_all(self, text: str) -> None:
        """End every open query at once, as failed, which promises nothing of what may have run."""
        for number, item in list(self.queries.items()):
            if not item.answered:
                self._answer(number, "failed", lambda reply: reply.fail(text))
                self._happened(api.QueryDropped(number))
            for attempt in item.attempts:
                attempt.abort(api.Outcome.CANCELLED)
