"""What must hold where gateways and engines are many, through the controller alone."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise
from typing import Any

import pytest

from micahold import interface as api
from micahold.controller import EngineView
from tests import build
from tests.build import LOOKUP, REPORT, Gateway, finals, sends


class Looked:
    """Counts how often any part of an engine's view is looked at."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.count = 0
        plain = EngineView.__getattribute__

        def counted(view: EngineView, name: str) -> Any:
            self.count += 1
            return plain(view, name)

        monkeypatch.setattr(EngineView, "__getattribute__", counted)


def play(gateway: Gateway, number: int = 60) -> None:
    """Ordinary traffic: queries, answers, notes and ticks."""
    for at in range(number):
        query, _ = gateway.ask(at % 2, table_group=at % 7)
        engine = gateway.engine_of[query]
        gateway.tell(api.AttemptStatus(query, 0, engine, api.AttemptStatusKind.PROGRESS, 0.5), after=0.05)
        gateway.tick()
        gateway.end(query, api.Outcome.OK, after=0.05)


def test_work_for_a_query_and_its_outcome_does_not_grow_with_the_fleet(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each query, answer and tick looked at every engine: days with many gateways were cut off."""
    looked = Looked(monkeypatch)
    counts = []
    for number in (8, 800):
        gateway = Gateway(number=number, gateway_count=number * 6)
        play(gateway)  # the hash orders are made once
        before = looked.count
        play(gateway)
        counts.append(looked.count - before)
    assert counts[1] <= counts[0] * 1.2


def test_an_idle_gateway_sets_no_timer_and_a_busy_one_sets_one_at_a_time() -> None:
    gateway = Gateway()
    timers = [one for one in gateway.tick() if isinstance(one, api.SetTimer)]
    assert not timers
    for _ in range(10):
        timers += [one for one in gateway.ask()[1] if isinstance(one, api.SetTimer)]
    assert len(timers) == 1


def test_a_timer_that_fires_a_moment_early_is_set_anew() -> None:
    """A due time that was rounded down left the gateway without a timer, and held queries were lost."""
    gateway = Gateway(number=0)
    query, actions = gateway.ask()
    for _ in range(400):
        delays = [one.delay for one in actions if isinstance(one, api.SetTimer)]
        if not delays:
            break
        actions = gateway.tell(api.TimerFired(1), after=delays[-1] - 1e-9)
        if finals(actions):
            break
    assert [one.query for one in finals(actions)] == [query]


@pytest.mark.parametrize("outcome", [api.Outcome.CONNECT_FAILED, api.Outcome.RESET, api.Outcome.TIMEOUT])
def test_an_engine_back_from_quarantine_gets_one_query_until_it_answers(outcome: api.Outcome) -> None:
    """Quarantine ends by time; a crowd let in at once would be lost on an engine that is still dead."""
    gateway = Gateway(number=2)
    query, _ = gateway.ask(LOOKUP)
    bad = gateway.engine_of[query]
    gateway.end(query, outcome, after=4.0)
    assert bad not in {gateway.engine_of[gateway.ask()[0]] for _ in range(10)}
    gateway.tick(after=12.0)
    crowd = sends(gateway.tell(*(gateway.query(REPORT) for _ in range(30))))
    (trial,) = [one.query for one in crowd if one.engine == bad]
    gateway.end(trial, api.Outcome.OK)
    crowd = sends(gateway.tell(*(gateway.query(REPORT) for _ in range(30))))
    assert [one.engine for one in crowd].count(bad) > 1


def test_a_gateway_among_many_still_sends_its_queries() -> None:
    gateway = Gateway(number=30, gateway_count=250)
    for tables in range(20):
        query, actions = gateway.ask(REPORT, estimated_cost_s=4.0, table_group=tables)
        assert [one.query for one in sends(actions)] == [query]


def test_quiet_gateways_do_not_pile_on_the_same_home() -> None:
    """Homes are alike at all gateways, and at a quiet one each looks idle: all took the first."""
    firsts = []
    for number in range(30):
        gateway = Gateway(number=9, gateway_index=number, gateway_count=60)
        firsts.append(gateway.engine_of[gateway.ask(table_group=5)[0]])
    assert all(firsts.count(one) == 10 for one in set(firsts))
    assert len(set(firsts)) == 3


def test_an_engine_that_others_crowd_is_passed_over_by_its_report() -> None:
    """A gateway among many sees little of an engine by its own queries; reports tell of the others'."""
    gateway = Gateway(number=9, gateway_count=60)
    query, _ = gateway.ask()
    crowded = gateway.engine_of[query]
    gateway.end(query, api.Outcome.OK, report=api.LoadReport(busy_share=0.9, in_flight=60))
    assert gateway.engine_of[gateway.ask()[0]] != crowded


def test_a_busy_report_is_believed_until_a_better_one() -> None:
    """Where a gateway hears from an engine every few seconds, a belief of one second forgot the pressure."""
    for later, most in ((None, 20), (api.LoadReport(busy_share=0.3), 60)):
        gateway = Gateway(number=1)
        first, second = gateway.ask()[0], gateway.ask()[0]
        gateway.end(first, api.Outcome.OK, report=api.LoadReport(busy_share=1.0))
        gateway.end(second, api.Outcome.OK, after=2.0, report=later)
        assert (len(sends(gateway.tell(*(gateway.query() for _ in range(60))))) == 60) is (most == 60)


@pytest.mark.parametrize("outcome", [api.Outcome.TIMEOUT, api.Outcome.OK])
def test_work_that_its_client_has_left_is_called_off(outcome: api.Outcome) -> None:
    """Clients left early and asked again; engines went on with both."""
    gateway = Gateway()
    query, _ = gateway.ask()
    assert api.Cancel(query, 0) in gateway.tell(api.QueryDropped(query))
    assert not finals(gateway.end(query, outcome))


def cold_work(gateways: int, cost: float, seconds: float, per_second: float) -> list[tuple[float, float]]:
    """When, and how much, all gateways of a fleet send to the one engine there is, which is cold."""
    sent = []
    for number in range(gateways):
        gateway = Gateway(number=1, seed=number, gateway_index=number, gateway_count=gateways)
        start = gateway.now
        gateway.tell(api.ListUpdate(api.ListKind.CHANGES, 2, (build.entry(0, started_at=start),)))
        for _ in range(int(seconds * per_second)):
            actions = gateway.ask(estimated_cost_s=cost)[1] + gateway.tick(after=0.0)
            while out := sends(actions):
                sent += [(gateway.now - start, cost) for _ in out]
                actions = gateway.tell(*(gateway.ended(one.query, api.Outcome.OK, cost) for one in out))
            gateway.now += 1.0 / per_second
    return sorted(sent)


@pytest.mark.parametrize("cost", [0.05, 0.5, 0.85])
def test_many_gateways_neither_starve_a_cold_engine_nor_push_it_over(cost: float) -> None:
    """An even part was less than one query: cold engines got nothing until they were warm."""
    rules = build.RULES
    total = rules.cold_budget_multiple * rules.cold_initial_speed * 16 * rules.cold_window_s
    sent = cold_work(gateways=120, cost=cost, seconds=8.0, per_second=4.0)
    windows = [sum(work for at, work in sent if start <= at < start + 1.0) for start in range(8)]
    assert max(windows) < total
    assert sum(windows) / len(windows) > total * 0.15


def test_a_query_too_large_for_any_lot_is_not_sent_to_a_cold_engine() -> None:
    assert not cold_work(gateways=40, cost=10.0, seconds=5.0, per_second=2.0)


def test_a_full_engine_is_left_alone_ever_longer_until_it_answers() -> None:
    """Quiet gateways each tried a full engine again at once: most attempts were turned away as full."""
    gateway = Gateway(number=1, limits=replace(build.LIMITS, max_attempts=100))
    query, _ = gateway.ask(REPORT)
    tries: list[float] = []
    for _ in range(200):
        if gateway.attempts[query] + 1 > len(tries):
            tries.append(gateway.now)
            gateway.end(query, api.Outcome.FULL, after=0.0)
        gateway.tick()
    gaps = [later - earlier for earlier, later in pairwise(tries)]
    assert 2 <= len(tries) <= 12
    assert max(gaps) > 2 * gaps[0]


def jam(outcome: api.Outcome, gateways: int) -> int:
    """Attempts end as said on engines that still give signs; how many of a crowd are sent then."""
    gateway = Gateway(number=10, gateway_count=gateways, limits=replace(build.LIMITS, max_attempts=1))
    for at in range(40):
        query, _ = gateway.ask(table_group=at)
        note = api.AttemptStatus(query, 0, gateway.engine_of[query], api.AttemptStatusKind.SPILLING, 9.0)
        gateway.tell(note, after=1.0)
        gateway.end(query, outcome, after=3.0)
        gateway.tick(after=12.0)
    return len(sends(gateway.tell(*(gateway.query(table_group=one) for one in range(60)))))


def test_in_a_jam_a_gateway_among_many_keeps_to_part_of_its_even_bound() -> None:
    """One query from each of many gateways on each engine kept a jam going for the rest of the day."""
    assert jam(api.Outcome.TIMEOUT, gateways=60) <= 2
    assert jam(api.Outcome.OK, gateways=60) > 10


def test_a_jam_binds_no_gateway_among_few() -> None:
    assert jam(api.Outcome.TIMEOUT, gateways=2) > 10
