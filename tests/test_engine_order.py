"""The orders of engines by table group: the same as one sort of all engines, in bounded memory."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from itertools import islice

from hypothesis import given
from hypothesis import strategies as st

from micahold import interface as api
from micahold.engine_order import HEAD_ENGINES, MAX_COMPLETE_ORDERS, MAX_HEADS, EngineOrders
from tests import build
from tests.build import GatewayHarness

HOMES = 3


def sorted_by_hash(engines: Iterable[str], table_group: int) -> list[str]:
    """The order by definition: ascending by the hash of table group and engine."""
    return sorted(
        engines, key=lambda engine: blake2b(f"{table_group}:{engine}".encode(), digest_size=8).digest()
    )


def orders_of(count: int) -> EngineOrders:
    orders = EngineOrders()
    for number in range(count):
        orders.add(f"s-{number}")
    return orders


# Engines by number that come (or leave, where listed), and table groups that are asked for in between.
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("change"), st.integers(0, 400)),
        st.tuples(st.just("many"), st.integers(0, 400)),
        st.tuples(st.just("ask"), st.integers(0, 5)),
    ),
    max_size=60,
)


@given(STEPS, st.booleans())
def test_orders_stay_those_of_one_sort_while_engines_come_and_go(
    steps: list[tuple[str, int]], descending: bool
) -> None:
    """Guards against queries that move to other engines because an order was brought up to date wrongly."""
    orders, listed = EngineOrders(), set[str]()

    def change(engine: str) -> None:
        if engine in listed:
            orders.remove(engine)
        else:
            orders.add(engine)
        listed.symmetric_difference_update({engine})

    for kind, number in steps:
        if kind == "ask":
            expected = sorted_by_hash(listed, number)
            assert list(orders.order(number, descending)) == (expected[::-1] if descending else expected)
        else:
            for offset in range(150 if kind == "many" else 1):
                change(f"s-{(number + offset) % 400}")


def test_memory_does_not_grow_with_table_groups_times_engines() -> None:
    """Guards against a front over its limit of memory: a list of 3,200 engines was kept for each group."""
    orders = orders_of(3200)
    for table_group in range(300):
        assert len(list(islice(orders.order(table_group), HOMES))) == HOMES
    assert orders.kept_entries() <= 300 * HEAD_ENGINES
    for table_group in range(MAX_COMPLETE_ORDERS + 20):
        assert len(list(orders.order(table_group))) == 3200
    assert orders.kept_entries() <= 300 * HEAD_ENGINES + MAX_COMPLETE_ORDERS * 3200


def test_heads_are_kept_for_a_bounded_number_of_table_groups() -> None:
    orders = orders_of(2)
    for table_group in range(MAX_HEADS + 100):
        next(orders.order(table_group))
    assert orders.kept_entries() <= 2 * MAX_HEADS


def test_a_replaced_engine_leaves_the_kept_orders_in_use() -> None:
    """Guards against a front that stands still while engines are replaced: each change emptied all orders."""
    hashes = 0

    class CountingName(str):
        """An engine id that counts how often it is encoded for its hash."""

        __slots__ = ()

        def encode(self, encoding: str = "utf-8", errors: str = "strict") -> bytes:
            nonlocal hashes
            hashes += 1
            return super().encode(encoding, errors)

    orders = EngineOrders()
    for number in range(3200):
        orders.add(CountingName(f"s-{number}"))
    for table_group in range(10):
        next(orders.order(table_group))
    hashes = 0
    for number in range(5):
        orders.remove(CountingName(f"s-{number}"))
        orders.add(CountingName(f"r-{number}"))
        for table_group in range(10):
            next(orders.order(table_group))
    assert hashes == 5 * 2 * 10


def test_router_follows_the_list_as_one_that_is_given_all_of_it() -> None:
    """Guards against sums over the fleet that drift from the list while it is changed entry by entry."""
    changed, whole = GatewayHarness(number=0), GatewayHarness(number=0)
    up, draining, gone = api.EngineState.UP, api.EngineState.DRAINING, api.EngineState.GONE
    states = {number: [up, up, draining, gone][number % 4] for number in range(200)}
    for number in states:
        changed.handle_events(api.ListUpdate(api.ListKind.CHANGES, number, (build.entry(number),)))
    for number, state in states.items():
        entry = build.entry(number, state=state)
        changed.handle_events(api.ListUpdate(api.ListKind.CHANGES, 200 + number, (entry,)))
    listed = tuple(build.entry(number, state=state) for number, state in states.items() if state is not gone)
    whole.handle_events(api.ListUpdate(api.ListKind.FULL, 400, listed))
    one, other = changed.controller.router, whole.controller.router
    assert (one.total_cores, one.own_cores) == (other.total_cores, other.own_cores)
    assert one.listed.keys() == other.listed.keys()
    for table_group in range(20):
        names = [[view.entry.engine for view in router.hash_order(table_group)] for router in (one, other)]
        assert names[0] == names[1] == sorted_by_hash(one.listed, table_group)
