"""Admission, routing, pressure, fair release and pricing: points 1 to 4 of the design."""

from __future__ import annotations

from dataclasses import replace

from micahold import interface as api
from tests import build
from tests.build import LOOKUP, REPORT, GatewayHarness, finals, sends


def send_burst(
    gateway: GatewayHarness, query_class: int = LOOKUP, number: int = 30, **changes: object
) -> list[int]:
    """Many queries in one batch; returns the numbers of those that were sent."""
    arrivals = [gateway.build_arrival(query_class, **changes) for _ in range(number)]
    return [send.query for send in sends(gateway.handle_events(*arrivals))]


def create_pressure(gateway: GatewayHarness, slowdown: float = 10.0, rounds: int = 14) -> None:
    """Lets the controller learn the usual durations, then ``slowdown`` times those on all engines."""
    for factor in (1.0, slowdown):
        for _ in range(rounds):
            for table_group in range(12):
                query, _ = gateway.submit_query(estimated_cost_s=0.1, table_group=table_group)
                gateway.end_attempt(query, api.Outcome.OK, after=0.1 * factor)


def submit_until_held(gateway: GatewayHarness) -> None:
    """Submits queries under pressure until one is held."""
    for _ in range(400):
        if not sends(gateway.submit_query(estimated_cost_s=0.1)[1]):
            return
    raise AssertionError("no query is held")


def test_a_query_out_of_debt_is_sent_at_once() -> None:
    gateway = GatewayHarness()
    query, actions = gateway.submit_query()
    assert [send.query for send in sends(actions)] == [query]


def test_a_tenant_in_debt_is_released_after_others_and_still_when_there_is_room() -> None:
    gateway = GatewayHarness(number=1)
    # The query is charged in full, which puts the tenant far into debt.
    gateway.submit_query(REPORT, estimated_cost_s=50.0)
    in_debt = gateway.build_arrival(tenant_index=0)
    out_of_debt = gateway.build_arrival(tenant_index=1)
    assert [send.query for send in sends(gateway.handle_events(in_debt, out_of_debt))] == [
        out_of_debt.query,
        in_debt.query,
    ]


def test_debt_is_paid_back_at_the_rate() -> None:
    gateway = GatewayHarness(number=1)
    gateway.submit_query(REPORT, estimated_cost_s=40.0)
    gateway.now += 20.0
    first, second = (
        gateway.build_arrival(tenant_index=0, estimated_cost_s=0.1),
        gateway.build_arrival(tenant_index=1, estimated_cost_s=0.1),
    )
    assert [send.query for send in sends(gateway.handle_events(first, second))][
        -1
    ] == first.query  # ordered by recent use per share
    gateway.now += 300.0
    again = gateway.build_arrival(tenant_index=0, estimated_cost_s=0.1)
    assert [send.query for send in sends(gateway.handle_events(again))] == [again.query]


def test_a_table_group_uses_the_same_three_home_engines_at_all_gateways() -> None:
    homes: set[str] = set()
    for number in range(6):
        gateway = GatewayHarness(number=8, gateway_index=number)
        for _ in range(10):
            queries = [gateway.submit_query(table_group=3)[0] for _ in range(3)]
            homes |= {gateway.engine_of[query] for query in queries}
            for query in queries:
                gateway.end_attempt(query, api.Outcome.OK)
    assert len(homes) == 3


def test_thread_bounds_do_not_apply_without_pressure() -> None:
    assert len(send_burst(GatewayHarness(number=1), number=200, estimated_cost_s=0.001)) == 200


def test_thread_bounds_apply_under_pressure_and_freed_slots_go_to_held_queries() -> None:
    gateway = GatewayHarness(number=3)
    create_pressure(gateway)
    sent = send_burst(gateway, number=400)
    assert 4 <= len(sent) < 400
    released = sends(gateway.end_attempt(sent[0], api.Outcome.OK, after=0.1))
    assert released


def test_a_full_engine_is_under_pressure() -> None:
    gateway = GatewayHarness(number=1)
    query, _ = gateway.submit_query()
    gateway.end_attempt(query, api.Outcome.FULL)
    assert len(send_burst(gateway, number=200)) < 200


def test_a_busy_report_puts_an_engine_under_pressure() -> None:
    gateway = GatewayHarness(number=1)
    query, _ = gateway.submit_query()
    gateway.end_attempt(query, api.Outcome.OK, report=api.LoadReport(busy_share=1.0))
    assert len(send_burst(gateway, number=200)) < 200


def test_freed_slots_go_to_the_tenant_with_the_lowest_use_per_share() -> None:
    gateway = GatewayHarness(number=3)
    create_pressure(gateway)  # all of it is used by tenant 0
    submit_until_held(gateway)
    first, second = gateway.build_arrival(tenant_index=0), gateway.build_arrival(tenant_index=1)
    gateway.handle_events(first, second)
    released: list[int] = []
    for query in list(gateway.attempts):
        if second.query not in released:
            state = gateway.controller.queries.get(query)
            if state is not None and state.engine is not None:
                released += [
                    send.query for send in sends(gateway.end_attempt(query, api.Outcome.OK, after=0.01))
                ]
    assert second.query in released
    assert first.query not in released[: released.index(second.query)]


def test_a_held_query_is_refused_with_a_retry_hint_when_its_wait_ends() -> None:
    gateway = GatewayHarness(number=3)
    create_pressure(gateway)
    submit_until_held(gateway)
    held, actions = gateway.submit_query()
    assert not sends(actions)
    refusals = []
    for _ in range(200):
        refusals += [answer for answer in finals(gateway.fire_timer()) if answer.query == held]
    assert len(refusals) == 1
    assert isinstance(refusals[0], api.Refuse)
    assert 0 < refusals[0].retry_after <= gateway.settings.limits.max_retry_after_s


def test_no_retry_hint_where_none_are_allowed() -> None:
    gateway = GatewayHarness(number=0, limits=replace(build.LIMITS, retry_hints_allowed=False))
    gateway.submit_query()
    assert [
        answer.retry_after
        for answer in finals(gateway.fire_timer(times=200))
        if isinstance(answer, api.Refuse)
    ] == [0.0]


def test_a_class_without_estimates_is_priced_by_its_learned_mean_cost() -> None:
    gateway = GatewayHarness(number=1)
    for _ in range(60):
        query, _ = gateway.submit_query(REPORT, estimated_cost_s=None)
        gateway.end_attempt(query, api.Outcome.OK, after=2.0)
    query, _ = gateway.submit_query(REPORT, estimated_cost_s=None)
    assert 6.0 < gateway.controller.queries[query].estimated_cost_s < 10.0  # two seconds on four threads


def test_a_table_group_with_too_low_estimates_is_priced_higher_within_limits() -> None:
    gateway = GatewayHarness(number=1)
    for _ in range(80):
        for table_group, duration_s in ((1, 0.1), (2, 0.4)):
            query, _ = gateway.submit_query(estimated_cost_s=0.1, table_group=table_group)
            gateway.end_attempt(query, api.Outcome.OK, after=duration_s)
    light, _ = gateway.submit_query(estimated_cost_s=0.1, table_group=1)
    heavy, _ = gateway.submit_query(estimated_cost_s=0.1, table_group=2)
    prices = [gateway.controller.queries[query].price for query in (light, heavy)]
    assert prices[1] > 3 * prices[0]
    assert prices[1] < 0.1 * 100


def test_decisions_do_not_depend_on_the_names_of_classes_tenants_kinds_and_zones() -> None:
    def play(prefix: str) -> list[list[api.Action]]:
        gateway = GatewayHarness(
            classes=tuple(
                replace(query_class, name=prefix + query_class.name) for query_class in build.CLASSES
            ),
            tenants=tuple(replace(tenant, name=prefix + tenant.name) for tenant in build.TENANTS),
            engine_kinds=tuple(replace(kind, name=prefix + kind.name) for kind in build.KINDS),
            zones=(prefix + "a", prefix + "b"),
        )
        batches = []
        for number in range(60):
            query, actions = gateway.submit_query(
                number % 3, ordering_key=number % 2, table_group=number % 5, tenant_index=number % 2
            )
            batches.append(actions)
            if query in gateway.attempts:
                batches.append(
                    gateway.end_attempt(query, api.Outcome.OK if number % 4 else api.Outcome.ERROR)
                )
        return batches

    assert play("") == play("other-")
