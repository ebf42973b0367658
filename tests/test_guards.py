"""Each of the seven rules, by single events that would break it."""

from __future__ import annotations

from dataclasses import replace
from math import inf

import pytest

from micahold import interface as api
from tests import build
from tests.build import LOAD, LOOKUP, GatewayHarness, finals, sends

MAY_HAVE_RUN = [api.Outcome.ERROR, api.Outcome.TIMEOUT, api.Outcome.RESET]
NEVER_RAN = [api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_STARTED]


def test_a_query_without_an_engine_gets_one_final_answer_before_its_deadline() -> None:
    gateway = GatewayHarness(number=0)
    query, actions = gateway.submit_query()
    answers = finals(actions) + finals(gateway.fire_timer(times=99))
    assert [answer.query for answer in answers] == [query]


def test_nothing_is_sent_for_a_query_that_its_client_has_dropped() -> None:
    gateway = GatewayHarness()
    query, _ = gateway.submit_query()
    gateway.handle_events(api.QueryDropped(query))
    actions = gateway.end_attempt(query, api.Outcome.ERROR)
    assert not sends(actions)
    assert not finals(actions)


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_an_unsafe_query_that_may_have_run_is_failed_at_once(outcome: api.Outcome) -> None:
    gateway = GatewayHarness(classes=build.change_class(LOOKUP, repeat_safety=api.RepeatSafety.UNSAFE))
    query, _ = gateway.submit_query()
    assert finals(gateway.end_attempt(query, outcome)) == [api.Fail(query)]


def test_a_repeat_of_a_keyed_query_must_start_within_the_window_of_its_first_run() -> None:
    gateway = GatewayHarness(
        classes=build.change_class(LOOKUP, repeat_safety=api.RepeatSafety.KEYED, dedup_window_s=3.0)
    )
    first_sent_at = gateway.now
    query, actions = gateway.submit_query()
    assert [send.start_by for send in sends(actions)] == [inf]
    (repeat,) = sends(gateway.end_attempt(query, api.Outcome.RESET))
    assert first_sent_at + 2.5 < repeat.start_by < first_sent_at + 3.0


@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_an_unsafe_query_that_never_ran_may_be_sent_again(outcome: api.Outcome) -> None:
    gateway = GatewayHarness(classes=build.change_class(LOOKUP, repeat_safety=api.RepeatSafety.UNSAFE))
    query, _ = gateway.submit_query()
    assert [send.query for send in sends(gateway.end_attempt(query, outcome))] == [query]


@pytest.mark.parametrize("scope", [api.DedupScope.ZONE, api.DedupScope.CELL])
def test_a_keyed_query_stays_in_the_group_that_drops_its_repeat(scope: api.DedupScope) -> None:
    classes = build.change_class(
        LOOKUP, repeat_safety=api.RepeatSafety.KEYED, dedup_scope=scope, dedup_window_s=3.0
    )
    gateway = GatewayHarness(number=8, classes=classes)
    query, _ = gateway.submit_query()
    first = int(gateway.engine_of[query][1:])
    (again,) = sends(gateway.end_attempt(query, api.Outcome.ERROR))
    second = int(again.engine[1:])
    assert second % 2 == first % 2 if scope is api.DedupScope.ZONE else second // 2 == first // 2


def test_a_keyed_query_is_not_sent_again_after_its_window() -> None:
    gateway = GatewayHarness(
        classes=build.change_class(LOOKUP, repeat_safety=api.RepeatSafety.KEYED, dedup_window_s=1.0)
    )
    query, _ = gateway.submit_query()
    actions = gateway.end_attempt(query, api.Outcome.ERROR, after=1.5)
    assert not sends(actions)
    assert [answer.query for answer in finals(actions)] == [query]


@pytest.mark.parametrize("state", [api.EngineState.DRAINING, api.EngineState.GONE])
def test_an_engine_that_is_draining_or_gone_gets_no_new_query(state: api.EngineState) -> None:
    gateway = GatewayHarness(number=2)
    gateway.handle_events(api.ListUpdate(api.ListKind.CHANGES, 2, (build.entry(0, state=state),)))
    for _ in range(20):
        query, _ = gateway.submit_query()
        assert gateway.engine_of[query] == "e1"


def test_an_engine_missing_from_a_full_list_is_gone() -> None:
    gateway = GatewayHarness(number=2)
    gateway.handle_events(api.ListUpdate(api.ListKind.FULL, 2, (build.entry(1),)))
    for _ in range(20):
        query, _ = gateway.submit_query()
        assert gateway.engine_of[query] == "e1"


def test_a_cold_engine_is_sent_no_more_than_the_part_of_this_gateway() -> None:
    gateway = GatewayHarness(number=1)
    gateway.handle_events(
        api.ListUpdate(api.ListKind.CHANGES, 2, (build.entry(0, started_at=gateway.now - 0.1),))
    )
    rules = gateway.settings.rules
    max_work_s = (
        rules.cold_budget_multiple
        * rules.cold_initial_speed
        * 16
        * rules.cold_window_s
        / gateway.settings.gateway_count
    )
    sent = sends(gateway.handle_events(*(gateway.build_arrival(estimated_cost_s=0.1) for _ in range(300))))
    assert 0 < len(sent) * 0.1 <= max_work_s


def test_data_loads_of_one_key_run_one_at_a_time_and_rest_after_an_attempt_that_may_still_run() -> None:
    gateway = GatewayHarness(rules=replace(build.RULES, order_settle_s=0.4))
    first, _ = gateway.submit_query(LOAD, ordering_key=7)
    second, actions = gateway.submit_query(LOAD, ordering_key=7)
    assert not sends(actions)
    gateway.handle_events(api.QueryDropped(first))
    assert not sends(gateway.end_attempt(first, api.Outcome.TIMEOUT))
    assert not sends(gateway.fire_timer(times=7))
    assert [send.query for send in sends(gateway.fire_timer(times=3))] == [second]


def test_a_class_with_allowed_kinds_is_held_when_engines_of_those_kinds_are_gone() -> None:
    gateway = GatewayHarness(number=4, classes=build.change_class(LOOKUP, allowed_kinds=frozenset({0})))
    leaving = tuple(build.entry(number, state=api.EngineState.GONE) for number in (0, 2))
    gateway.handle_events(api.ListUpdate(api.ListKind.CHANGES, 2, leaving))
    query, actions = gateway.submit_query()
    actions += gateway.fire_timer(times=99)
    assert not sends(actions)
    assert [answer.query for answer in finals(actions)] == [query]


def test_further_attempts_stay_within_the_retry_budget() -> None:
    rules = replace(build.RULES, retry_window_s=5.0, retry_budget_floor=2.0, retry_budget_ratio=0.1)
    gateway = GatewayHarness(rules=rules)
    queries = [gateway.submit_query()[0] for _ in range(10)]
    further_attempts = sum(
        len(sends(gateway.end_attempt(query, api.Outcome.FULL, after=0.01))) for query in queries
    )
    assert further_attempts == 3
