"""Behaviour with many gateways and many engines, through the controller alone."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise
from typing import Any

import pytest

from micahold import interface as api
from micahold.controller import EngineView
from tests import build
from tests.build import LOOKUP, REPORT, GatewayHarness, finals, sends


class AttributeReads:
    """Counts the attribute reads of all engine views."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.count = 0
        original = EngineView.__getattribute__

        def counted(view: EngineView, name: str) -> Any:
            self.count += 1
            return original(view, name)

        monkeypatch.setattr(EngineView, "__getattribute__", counted)


def run_traffic(gateway: GatewayHarness, number: int = 60) -> None:
    """Ordinary traffic: queries, status messages, timer events and successful ends."""
    for index in range(number):
        query, _ = gateway.submit_query(index % 2, table_group=index % 7)
        engine = gateway.engine_of[query]
        gateway.handle_events(
            api.AttemptStatus(query, 0, engine, api.AttemptStatusKind.PROGRESS, 0.5), after=0.05
        )
        gateway.fire_timer()
        gateway.end_attempt(query, api.Outcome.OK, after=0.05)


def test_work_for_a_query_and_its_outcome_does_not_grow_with_the_fleet(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against visiting every engine at each query, answer and tick in a large fleet."""
    reads = AttributeReads(monkeypatch)
    counts = []
    for number in (8, 800):
        gateway = GatewayHarness(number=number, gateway_count=number * 6)
        run_traffic(gateway)  # computes the hash orders, which happens once
        before = reads.count
        run_traffic(gateway)
        counts.append(reads.count - before)
    assert counts[1] <= counts[0] * 1.2


def test_an_idle_gateway_sets_no_timer_and_a_busy_one_sets_one_at_a_time() -> None:
    gateway = GatewayHarness()
    timers = [action for action in gateway.fire_timer() if isinstance(action, api.SetTimer)]
    assert not timers
    for _ in range(10):
        timers += [action for action in gateway.submit_query()[1] if isinstance(action, api.SetTimer)]
    assert len(timers) == 1


def test_a_timer_that_fires_slightly_early_is_set_again() -> None:
    """Guards against lost held queries: a due time rounded down left the gateway without a timer."""
    gateway = GatewayHarness(number=0)
    query, actions = gateway.submit_query()
    for _ in range(400):
        delays = [action.delay for action in actions if isinstance(action, api.SetTimer)]
        if not delays:
            break
        actions = gateway.handle_events(api.TimerFired(1), after=delays[-1] - 1e-9)
        if finals(actions):
            break
    assert [answer.query for answer in finals(actions)] == [query]


@pytest.mark.parametrize("outcome", [api.Outcome.CONNECT_FAILED, api.Outcome.RESET, api.Outcome.TIMEOUT])
def test_an_engine_back_from_quarantine_gets_one_query_until_it_answers(outcome: api.Outcome) -> None:
    """Quarantine ends by time alone, and queries sent at once would be lost if the engine still fails."""
    gateway = GatewayHarness(number=2)
    query, _ = gateway.submit_query(LOOKUP)
    failed = gateway.engine_of[query]
    gateway.end_attempt(query, outcome, after=4.0)
    assert failed not in {gateway.engine_of[gateway.submit_query()[0]] for _ in range(10)}
    gateway.fire_timer(after=12.0)
    burst = sends(gateway.handle_events(*(gateway.build_arrival(REPORT) for _ in range(30))))
    (trial,) = [send.query for send in burst if send.engine == failed]
    gateway.end_attempt(trial, api.Outcome.OK)
    burst = sends(gateway.handle_events(*(gateway.build_arrival(REPORT) for _ in range(30))))
    assert [send.engine for send in burst].count(failed) > 1


def test_a_gateway_among_many_still_sends_its_queries() -> None:
    gateway = GatewayHarness(number=30, gateway_count=250)
    for table_group in range(20):
        query, actions = gateway.submit_query(REPORT, estimated_cost_s=4.0, table_group=table_group)
        assert [send.query for send in sends(actions)] == [query]


def test_gateways_with_little_traffic_do_not_all_choose_the_same_home_engine() -> None:
    """Homes are the same at all gateways and look idle to each of them, so all chose the first."""
    chosen = []
    for number in range(30):
        gateway = GatewayHarness(number=9, gateway_index=number, gateway_count=60)
        chosen.append(gateway.engine_of[gateway.submit_query(table_group=5)[0]])
    assert all(chosen.count(engine) == 10 for engine in set(chosen))
    assert len(set(chosen)) == 3


def test_an_engine_busy_with_queries_of_other_gateways_is_avoided_by_its_load_report() -> None:
    """A gateway among many sees little of an engine's load by its own queries."""
    gateway = GatewayHarness(number=9, gateway_count=60)
    query, _ = gateway.submit_query()
    loaded = gateway.engine_of[query]
    gateway.end_attempt(query, api.Outcome.OK, report=api.LoadReport(busy_share=0.9, in_flight=60))
    assert gateway.engine_of[gateway.submit_query()[0]] != loaded


def test_a_busy_report_counts_until_a_better_one() -> None:
    """Guards against forgetting pressure after one second, when reports come only every few seconds."""
    for later_report, max_sent in ((None, 20), (api.LoadReport(busy_share=0.3), 60)):
        gateway = GatewayHarness(number=1)
        first, second = gateway.submit_query()[0], gateway.submit_query()[0]
        gateway.end_attempt(first, api.Outcome.OK, report=api.LoadReport(busy_share=1.0))
        gateway.end_attempt(second, api.Outcome.OK, after=2.0, report=later_report)
        assert (len(sends(gateway.handle_events(*(gateway.build_arrival() for _ in range(60))))) == 60) is (
            max_sent == 60
        )


@pytest.mark.parametrize("outcome", [api.Outcome.TIMEOUT, api.Outcome.OK])
def test_the_attempt_of_a_dropped_query_is_cancelled(outcome: api.Outcome) -> None:
    """Guards against engines that run both the abandoned query and its repeat by the client."""
    gateway = GatewayHarness()
    query, _ = gateway.submit_query()
    assert api.Cancel(query, 0) in gateway.handle_events(api.QueryDropped(query))
    assert not finals(gateway.end_attempt(query, outcome))


def cold_work(gateways: int, cost: float, seconds: float, per_second: float) -> list[tuple[float, float]]:
    """When, and how much work, the gateways of a fleet send to its only engine, which is cold."""
    sent = []
    for number in range(gateways):
        gateway = GatewayHarness(number=1, seed=number, gateway_index=number, gateway_count=gateways)
        start = gateway.now
        gateway.handle_events(api.ListUpdate(api.ListKind.CHANGES, 2, (build.entry(0, started_at=start),)))
        for _ in range(int(seconds * per_second)):
            actions = gateway.submit_query(estimated_cost_s=cost)[1] + gateway.fire_timer(after=0.0)
            while attempts := sends(actions):
                sent += [(gateway.now - start, cost) for _ in attempts]
                actions = gateway.handle_events(
                    *(gateway.build_attempt_end(send.query, api.Outcome.OK, cost) for send in attempts)
                )
            gateway.now += 1.0 / per_second
    return sorted(sent)


@pytest.mark.parametrize("cost", [0.05, 0.5, 0.85])
def test_many_gateways_neither_starve_nor_overload_a_cold_engine(cost: float) -> None:
    """Guards against an even part smaller than one query: a cold engine got nothing until it was warm."""
    rules = build.RULES
    total = rules.cold_budget_multiple * rules.cold_initial_speed * 16 * rules.cold_window_s
    sent = cold_work(gateways=120, cost=cost, seconds=8.0, per_second=4.0)
    windows = [
        sum(work_s for sent_at, work_s in sent if start <= sent_at < start + 1.0) for start in range(8)
    ]
    assert max(windows) < total
    assert sum(windows) / len(windows) > total * 0.15


def test_a_query_too_large_for_the_random_draw_is_not_sent_to_a_cold_engine() -> None:
    assert not cold_work(gateways=40, cost=10.0, seconds=5.0, per_second=2.0)


def test_the_backoff_from_a_full_engine_grows_until_it_answers() -> None:
    """Guards against gateways with little traffic that each retry a full engine at once, mostly in vain."""
    gateway = GatewayHarness(number=1, limits=replace(build.LIMITS, max_attempts=100))
    query, _ = gateway.submit_query(REPORT)
    sent_at: list[float] = []
    for _ in range(200):
        if gateway.attempts[query] + 1 > len(sent_at):
            sent_at.append(gateway.now)
            gateway.end_attempt(query, api.Outcome.FULL, after=0.0)
        gateway.fire_timer()
    gaps = [later - earlier for earlier, later in pairwise(sent_at)]
    assert 2 <= len(sent_at) <= 12
    assert max(gaps) > 2 * gaps[0]


def sent_after_outcomes(outcome: api.Outcome, gateways: int) -> int:
    """Ends attempts with ``outcome`` on responding engines; returns how many of 60 queries are then sent."""
    gateway = GatewayHarness(number=10, gateway_count=gateways, limits=replace(build.LIMITS, max_attempts=1))
    for table_group in range(40):
        query, _ = gateway.submit_query(table_group=table_group)
        status = api.AttemptStatus(query, 0, gateway.engine_of[query], api.AttemptStatusKind.SPILLING, 9.0)
        gateway.handle_events(status, after=1.0)
        gateway.end_attempt(query, outcome, after=3.0)
        gateway.fire_timer(after=12.0)
    return len(
        sends(
            gateway.handle_events(
                *(gateway.build_arrival(table_group=table_group) for table_group in range(60))
            )
        )
    )


def test_in_congestion_a_gateway_among_many_uses_part_of_its_even_bound() -> None:
    """Guards against congestion that is kept up for hours by one query per gateway on each engine."""
    assert sent_after_outcomes(api.Outcome.TIMEOUT, gateways=60) <= 2
    assert sent_after_outcomes(api.Outcome.OK, gateways=60) > 10


def test_congestion_limits_no_gateway_among_few() -> None:
    assert sent_after_outcomes(api.Outcome.TIMEOUT, gateways=2) > 10
