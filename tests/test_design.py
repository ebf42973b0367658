"""The design's points 1 to 4, through the controller alone."""

from __future__ import annotations

from dataclasses import replace

from micahold import interface as api
from tests import build
from tests.build import LOOKUP, REPORT, Gateway, finals, sends


def crowd(gateway: Gateway, query_class: int = LOOKUP, number: int = 30, **changes: object) -> list[int]:
    """Many queries at one moment; the ids of those that were sent."""
    asked = [gateway.query(query_class, **changes) for _ in range(number)]
    return [one.query for one in sends(gateway.tell(*asked))]


def press(gateway: Gateway, slowdown: float = 10.0, rounds: int = 14) -> None:
    """Teach the controller what is usual, then that all engines are far slower than that."""
    for factor in (1.0, slowdown):
        for _ in range(rounds):
            for tables in range(12):
                query, _ = gateway.ask(estimated_cost_s=0.1, table_group=tables)
                gateway.end(query, api.Outcome.OK, after=0.1 * factor)


def fill(gateway: Gateway) -> None:
    """Under pressure: ask until a query is held."""
    for _ in range(400):
        if not sends(gateway.ask(estimated_cost_s=0.1)[1]):
            return
    raise AssertionError("nothing is ever held")


def test_a_query_out_of_debt_is_sent_at_once() -> None:
    gateway = Gateway()
    query, actions = gateway.ask()
    assert [one.query for one in sends(actions)] == [query]


def test_a_tenant_in_debt_waits_behind_others_and_still_leaves_when_there_is_room() -> None:
    gateway = Gateway(number=1)
    gateway.ask(REPORT, estimated_cost_s=50.0)  # goes in full, far below zero
    owing = gateway.query(tenant_index=0)
    clear = gateway.query(tenant_index=1)
    assert [one.query for one in sends(gateway.tell(owing, clear))] == [clear.query, owing.query]


def test_debt_is_paid_back_at_the_rate() -> None:
    gateway = Gateway(number=1)
    gateway.ask(REPORT, estimated_cost_s=40.0)
    gateway.now += 20.0
    first, second = (
        gateway.query(tenant_index=0, estimated_cost_s=0.1),
        gateway.query(tenant_index=1, estimated_cost_s=0.1),
    )
    assert [one.query for one in sends(gateway.tell(first, second))][-1] == first.query  # by use over share
    gateway.now += 300.0
    again = gateway.query(tenant_index=0, estimated_cost_s=0.1)
    assert [one.query for one in sends(gateway.tell(again))] == [again.query]


def test_a_table_group_keeps_to_the_first_three_of_its_order_alike_at_all_gateways() -> None:
    homes: set[str] = set()
    for number in range(6):
        gateway = Gateway(number=8, gateway_index=number)
        for _ in range(10):
            asked = [gateway.ask(table_group=3)[0] for _ in range(3)]
            homes |= {gateway.engine_of[one] for one in asked}
            for one in asked:
                gateway.end(one, api.Outcome.OK)
    assert len(homes) == 3


def test_bounds_do_not_bind_without_pressure() -> None:
    assert len(crowd(Gateway(number=1), number=200, estimated_cost_s=0.001)) == 200


def test_bounds_bind_under_pressure_and_free_slots_go_to_held_queries() -> None:
    gateway = Gateway(number=3)
    press(gateway)
    sent = crowd(gateway, number=400)
    assert 4 <= len(sent) < 400
    released = sends(gateway.end(sent[0], api.Outcome.OK, after=0.1))
    assert released


def test_a_full_engine_is_under_pressure() -> None:
    gateway = Gateway(number=1)
    query, _ = gateway.ask()
    gateway.end(query, api.Outcome.FULL)
    assert len(crowd(gateway, number=200)) < 200


def test_a_busy_report_is_pressure() -> None:
    gateway = Gateway(number=1)
    query, _ = gateway.ask()
    gateway.end(query, api.Outcome.OK, report=api.LoadReport(busy_share=1.0))
    assert len(crowd(gateway, number=200)) < 200


def test_freed_slots_go_to_the_lowest_use_over_share() -> None:
    gateway = Gateway(number=3)
    press(gateway)  # all of it the use of tenant 0
    fill(gateway)
    first, second = gateway.query(tenant_index=0), gateway.query(tenant_index=1)
    gateway.tell(first, second)
    order: list[int] = []
    for query in list(gateway.attempts):
        if second.query not in order:
            ended = gateway.controller.queries.get(query)
            if ended is not None and ended.engine is not None:
                order += [one.query for one in sends(gateway.end(query, api.Outcome.OK, after=0.01))]
    assert second.query in order
    assert first.query not in order[: order.index(second.query)]


def test_a_held_query_is_refused_once_its_wait_is_over_with_a_jittered_hint() -> None:
    gateway = Gateway(number=3)
    press(gateway)
    fill(gateway)
    held, actions = gateway.ask()
    assert not sends(actions)
    hints = []
    for _ in range(200):
        hints += [one for one in finals(gateway.tick()) if one.query == held]
    assert len(hints) == 1
    assert isinstance(hints[0], api.Refuse)
    assert 0 < hints[0].retry_after <= gateway.settings.limits.max_retry_after_s


def test_no_hint_where_clients_are_told_none() -> None:
    gateway = Gateway(number=0, limits=replace(build.LIMITS, retry_hints_allowed=False))
    gateway.ask()
    assert [one.retry_after for one in finals(gateway.tick(times=200)) if isinstance(one, api.Refuse)] == [
        0.0
    ]


def test_a_class_without_told_costs_is_priced_by_its_learned_mean() -> None:
    gateway = Gateway(number=1)
    for _ in range(60):
        query, _ = gateway.ask(REPORT, estimated_cost_s=None)
        gateway.end(query, api.Outcome.OK, after=2.0)
    query, _ = gateway.ask(REPORT, estimated_cost_s=None)
    assert 6.0 < gateway.controller.queries[query].estimated_cost_s < 10.0  # two seconds on four threads


def test_a_group_that_takes_longer_for_its_cost_is_priced_higher_within_limits() -> None:
    gateway = Gateway(number=1)
    for _ in range(80):
        for tables, took in ((1, 0.1), (2, 0.4)):
            query, _ = gateway.ask(estimated_cost_s=0.1, table_group=tables)
            gateway.end(query, api.Outcome.OK, after=took)
    light, _ = gateway.ask(estimated_cost_s=0.1, table_group=1)
    heavy, _ = gateway.ask(estimated_cost_s=0.1, table_group=2)
    prices = [gateway.controller.queries[one].price for one in (light, heavy)]
    assert prices[1] > 3 * prices[0]
    assert prices[1] < 0.1 * 100


def test_names_do_not_matter() -> None:
    def play(prefix: str) -> list[list[api.Action]]:
        gateway = Gateway(
            classes=tuple(replace(one, name=prefix + one.name) for one in build.CLASSES),
            tenants=tuple(replace(one, name=prefix + one.name) for one in build.TENANTS),
            engine_kinds=tuple(replace(one, name=prefix + one.name) for one in build.KINDS),
            zones=(prefix + "a", prefix + "b"),
        )
        done = []
        for number in range(60):
            query, actions = gateway.ask(
                number % 3, ordering_key=number % 2, table_group=number % 5, tenant_index=number % 2
            )
            done.append(actions)
            if query in gateway.attempts:
                done.append(gateway.end(query, api.Outcome.OK if number % 4 else api.Outcome.ERROR))
        return done

    assert play("") == play("other-")
