"""Checks the rules of the protocol from the records of clients and engines alone.

Nothing that the front says of itself is used. Times are in seconds of the monotonic clock of one machine.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import pairwise
from math import inf

from micahold.laboratory.emulated_engine import AttemptRecord
from micahold.laboratory.result_rows import expected_rows
from micahold.laboratory.sql_client import QueryRecord

# The protocol's slack on sockets: every time limit may run this much longer.
LIMIT_SLACK_S = 0.05
# An answer up to this long after the client's wait is late, and not lost.
LATE_ANSWER_S = 0.5
# An attempt may begin up to this long after its client has left.
ATTEMPT_AFTER_LEAVING_S = 0.1
# The deadline passed to an engine may exceed what the client has left by this much.
PASSED_DEADLINE_SLACK_S = 0.15
# A query that crosses the end of a connection that was idle is sent again by its client.
CROSSING_S = 0.05
RETRY_BUDGET_TOLERANCE = 1.15


@dataclass(slots=True, frozen=True)
class Violation:
    """One broken rule: its name as in the protocol page, the query, and what the records show."""

    rule: str
    query_id: str
    text: str


@dataclass(slots=True)
class RuleLimits:
    """The figures of the rules that depend on the settings."""

    drain_grace_s: float = 1.0
    told_after_s: float = 7.0  # an event of the list counts as told this long after it was published
    retry_window_s: float = 0.0
    retry_floor: float = 0.0
    retry_ratio: float = 0.0
    unsafe_classes: frozenset[str] = frozenset()
    # Windows of keyed classes in seconds; a repeat after it would take effect again.
    dedup_windows_s: dict[str, float] = field(default_factory=dict)
    max_attempts: int = 0


@dataclass(slots=True)
class RunRecords:
    """What clients and engines recorded of one run.

    ``unavailable`` holds, by engine, the spans from the list's event "draining" or "gone" to the next
    "ready". ``kills`` are the times at which each front was killed without notice: what was open then is not
    owed. ``cuts`` are the spans, by engine, in which the network held what was sent to it, and ``stops``
    those, by front, in which its process was stopped.
    """

    queries: list[QueryRecord]
    attempts: list[AttemptRecord]
    limits: RuleLimits
    unavailable: Mapping[str, list[tuple[float, float]]] = field(default_factory=dict)
    kills: Mapping[str, list[float]] = field(default_factory=dict)
    cuts: Mapping[str, list[tuple[float, float]]] = field(default_factory=dict)
    stops: Mapping[str, list[tuple[float, float]]] = field(default_factory=dict)


def check_records(records: RunRecords) -> list[Violation]:
    """All violations of the rules that the records show."""
    attempts_by_query: dict[str, list[AttemptRecord]] = defaultdict(list)
    for attempt in records.attempts:
        attempts_by_query[attempt.query_id].append(attempt)
    violations: list[Violation] = []
    for query in records.queries:
        attempts = sorted(attempts_by_query.pop(query.query_id, ()), key=lambda attempt: attempt.began_at)
        violations += check_answer(query, records)
        violations += check_served(query, attempts)
        violations += check_overlap(query.query_id, attempts)
        violations += check_repeats(query, attempts, records.limits)
        violations += check_left_clients(query, attempts)
        violations += check_passed_deadlines(query, attempts, records)
    for query_id in attempts_by_query:
        violations.append(Violation("lost", query_id, "no client sent this query"))
    violations += check_drains(records)
    violations += check_retry_budget(records)
    return violations


def check_answer(query: QueryRecord, records: RunRecords) -> Iterable[Violation]:
    """Each query has its one final answer in time, unless its client left or its front was killed."""
    if query.left_at is not None:
        return
    limit = query.sent_at + query.wait_s + LATE_ANSWER_S
    for stopped_at, resumed_at in records.stops.get(query.front, ()):
        if stopped_at < limit < resumed_at + LATE_ANSWER_S:
            limit = resumed_at + LATE_ANSWER_S
    owed_until = min(limit, query.answered_at if query.answered_at is not None else inf)
    if any(query.sent_at <= killed_at <= owed_until for killed_at in records.kills.get(query.front, ())):
        return
    if query.connection_lost_at is not None:
        crossed = not query.is_first and query.connection_lost_at - query.sent_at < CROSSING_S
        if not crossed:
            after_s = query.connection_lost_at - query.sent_at
            yield Violation("lost", query.query_id, f"connection closed with no answer after {after_s:.3f} s")
    elif query.answered_at is None:
        yield Violation("lost", query.query_id, f"no answer within {query.wait_s:.3f} s")
    elif query.answered_at > limit:
        late_s = query.answered_at - query.sent_at - query.wait_s
        yield Violation("lost", query.query_id, f"answer {late_s:.3f} s late")


def check_served(query: QueryRecord, attempts: list[AttemptRecord]) -> Iterable[Violation]:
    """What was answered as served was done by an engine, and its rows are those that the engine made."""
    if query.answer != "served":
        return
    if not any(attempt.ending == "ok" for attempt in attempts):
        yield Violation("lost", query.query_id, "served, and no engine did it")
    if query.asked_rows is None:
        return
    expected = expected_rows(query.query_id, query.asked_rows)
    if query.rows != expected:
        place = next(
            (
                place
                for place, (row, right) in enumerate(zip(query.rows, expected, strict=False))
                if row != right
            ),
            min(len(query.rows), len(expected)),
        )
        text = f"{len(query.rows)} rows where {len(expected)} were made, wrong from place {place} on"
        yield Violation("lost", query.query_id, text)


def check_overlap(query_id: str, attempts: list[AttemptRecord]) -> Iterable[Violation]:
    """No attempt begins before the one before it is over at its engine."""
    for earlier, later in pairwise(attempts):
        ended_at = earlier.ended_at if earlier.ended_at is not None else inf
        if later.began_at < ended_at:
            both_s = min(ended_at, later.ended_at or inf) - later.began_at
            text = f"{earlier.engine} still ran it when {later.engine} began, both for {both_s:.3f} s"
            yield Violation("duplicate", query_id, text)


def check_repeats(
    query: QueryRecord, attempts: list[AttemptRecord], limits: RuleLimits
) -> Iterable[Violation]:
    """A query that may have run is sent again only as its class allows, and not too often."""
    if limits.max_attempts and len(attempts) > limits.max_attempts:
        yield Violation("limits", query.query_id, f"{len(attempts)} attempts")
    if len(attempts) > 1 and query.class_name in limits.unsafe_classes:
        yield Violation("duplicate", query.query_id, "a query that must not be repeated ran twice")
    window_s = limits.dedup_windows_s.get(query.class_name)
    if window_s is not None and attempts:
        age_s = attempts[-1].began_at - attempts[0].began_at
        if age_s > window_s:
            yield Violation("duplicate", query.query_id, f"repeated {age_s:.3f} s after its first attempt")


def check_left_clients(query: QueryRecord, attempts: list[AttemptRecord]) -> Iterable[Violation]:
    """No attempt begins more than ``ATTEMPT_AFTER_LEAVING_S`` after the client closed or cancelled."""
    if query.left_at is None:
        return
    for attempt in attempts:
        after_s = attempt.earliest_begin - query.left_at
        if after_s > ATTEMPT_AFTER_LEAVING_S:
            yield Violation("lost", query.query_id, f"an attempt began {after_s:.3f} s after the client left")


def check_passed_deadlines(
    query: QueryRecord, attempts: list[AttemptRecord], records: RunRecords
) -> Iterable[Violation]:
    """The deadline passed to an engine is at most what the client has left, but for the network's delay."""
    for attempt in attempts:
        cuts = records.cuts.get(attempt.engine, ())
        if any(begin <= attempt.began_at <= end + LIMIT_SLACK_S for begin, end in cuts):
            continue
        left_s = query.sent_at + query.wait_s - attempt.earliest_begin
        if attempt.wait_s > left_s + PASSED_DEADLINE_SLACK_S:
            text = f"passed {attempt.wait_s:.3f} s where {left_s:.3f} s were left"
            yield Violation("deadline", query.query_id, text)


def check_drains(records: RunRecords) -> Iterable[Violation]:
    """No attempt begins on an engine longer than its grace after its drain or end counts as told."""
    grace_s = records.limits.told_after_s + records.limits.drain_grace_s + LIMIT_SLACK_S
    for attempt in records.attempts:
        for begin, end in records.unavailable.get(attempt.engine, ()):
            if begin + grace_s < attempt.began_at < end:
                after_s = attempt.began_at - begin
                yield Violation("drain", attempt.query_id, f"sent {after_s:.3f} s after its engine left")


def check_retry_budget(records: RunRecords) -> Iterable[Violation]:
    """In any window the further attempts of a front stay within the stated floor and ratio."""
    limits = records.limits
    if limits.retry_window_s <= 0:
        return
    front_by_query = {query.query_id: query.front for query in records.queries}
    further: dict[str, list[tuple[float, str]]] = defaultdict(list)
    seen: set[str] = set()
    for attempt in sorted(records.attempts, key=lambda attempt: attempt.began_at):
        if attempt.query_id in seen:
            further[front_by_query.get(attempt.query_id, "")].append((attempt.began_at, attempt.query_id))
        seen.add(attempt.query_id)
    for front, further_attempts in further.items():
        arrivals = [query.sent_at for query in records.queries if query.front == front]
        for began_at, query_id in further_attempts:
            window_start = began_at - limits.retry_window_s
            count = sum(window_start < other <= began_at for other, _ in further_attempts)
            taken = sum(window_start < sent_at <= began_at for sent_at in arrivals)
            allowed = (limits.retry_floor + limits.retry_ratio * taken) * RETRY_BUDGET_TOLERANCE + 1
            if count > allowed:
                text = f"{count} further attempts of {front} where {allowed:.1f} are allowed"
                yield Violation("ration", query_id, text)
