"""Orders of the engines by rendezvous hash, one for each table group, for fleets of thousands of engines.

The rank of an engine for a table group is a hash of both, so that all gateways agree on the order, and an
engine that comes or goes leaves the others in place. A query needs the first few engines of an order, and
more only while those have no room. Kept is therefore the head of each order, for the table groups used last.
A head is brought up to date when it is used next, by the engines that came and went meanwhile.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Iterator, Sequence
from hashlib import blake2b
from itertools import islice
from typing import NamedTuple

HEAD_ENGINES = 128  # kept of an order; all of it in smaller fleets
# A head that has lost engines is computed anew below this length.
MIN_HEAD_ENGINES = HEAD_ENGINES // 2
MAX_HEADS = 8192  # of the table groups used last
MAX_COMPLETE_ORDERS = 64  # kept for queries that find no room at the head
# A head that missed more changes is computed anew.
MAX_REPLAYED_CHANGES = 1024
RANK_BYTES = 8
MAX_RANK = 2 ** (8 * RANK_BYTES) - 1


class _Change(NamedTuple):
    """An engine that came to the list or left it."""

    engine: str
    is_listed: bool


class _Head:
    """The first engines of one order, with their ranks ascending."""

    __slots__ = ("change_count", "engines", "is_complete", "ranks")

    def __init__(
        self, ranks: Sequence[int], engines: list[str], is_complete: bool, change_count: int
    ) -> None:
        self.ranks = array("Q", ranks)
        self.engines = engines
        self.is_complete = is_complete  # it holds all listed engines
        self.change_count = change_count  # of the list when it was brought up to date

    def apply(self, change: _Change, rank: int) -> None:
        """Inserts or removes the engine of the change if its place is within the head."""
        position = bisect_left(self.ranks, rank)
        is_present = change.engine in self.engines[position : position + 1]
        if not change.is_listed:
            if is_present:
                del self.ranks[position], self.engines[position]
        elif not is_present and (self.is_complete or position < len(self.ranks)):
            self.ranks.insert(position, rank)
            self.engines.insert(position, change.engine)
            if len(self.engines) > HEAD_ENGINES:
                del self.ranks[-1], self.engines[-1]
                self.is_complete = False


class EngineOrders:
    """The listed engines in the order of each table group, ascending or descending by rank."""

    def __init__(self) -> None:
        self._engines: dict[str, None] = {}
        self._change_count = 0
        self._recent_changes: list[_Change] = []  # the last ones of ``_change_count``
        self._heads: dict[tuple[int, bool], _Head] = {}  # the one used last is the last
        self._complete_orders: dict[int, list[str]] = {}  # ascending, of the present list

    def add(self, engine: str) -> None:
        """Lists an engine; one that is listed stays where it is."""
        if engine not in self._engines:
            self._engines[engine] = None
            self._note_change(_Change(engine, is_listed=True))

    def remove(self, engine: str) -> None:
        """Removes an engine, if it is listed."""
        if engine in self._engines:
            del self._engines[engine]
            self._note_change(_Change(engine, is_listed=False))

    def order(self, table_group: int, descending: bool = False) -> Iterator[str]:
        """Yields all listed engines in the order of a table group; the list must not change meanwhile."""
        head = self._current_head(table_group, descending)
        yield from head.engines
        if not head.is_complete:
            complete = self._complete_order(table_group)
            yield from islice(reversed(complete) if descending else complete, len(head.engines), None)

    def kept_entries(self) -> int:
        """How many entries of engines the kept parts of all orders hold, for tests and measurements."""
        heads = sum(len(head.engines) for head in self._heads.values())
        return heads + sum(map(len, self._complete_orders.values()))

    def _note_change(self, change: _Change) -> None:
        self._change_count += 1
        self._complete_orders.clear()
        self._recent_changes.append(change)
        if len(self._recent_changes) > 2 * MAX_REPLAYED_CHANGES:
            del self._recent_changes[:-MAX_REPLAYED_CHANGES]

    def _current_head(self, table_group: int, descending: bool) -> _Head:
        """The head of an order, brought up to date."""
        key = (table_group, descending)
        head = self._heads.pop(key, None)
        if head is not None:
            self._replay_changes(head, table_group, descending)
        if head is None or self._is_outdated(head):
            head = self._compute_head(table_group, descending)
        self._heads[key] = head
        if len(self._heads) > MAX_HEADS:
            del self._heads[next(iter(self._heads))]
        return head

    def _replay_changes(self, head: _Head, table_group: int, descending: bool) -> None:
        """Applies the changes that a head missed, unless they are too many."""
        missed = self._change_count - head.change_count
        if not 0 < missed <= min(MAX_REPLAYED_CHANGES, len(self._engines)):
            return
        changes = self._recent_changes[-missed:]
        ranks = _ranks(table_group, [change.engine for change in changes], descending)
        for change, rank in zip(changes, ranks, strict=True):
            head.apply(change, rank)
        head.change_count = self._change_count

    def _is_outdated(self, head: _Head) -> bool:
        too_short = not head.is_complete and len(head.engines) < MIN_HEAD_ENGINES
        return too_short or head.change_count != self._change_count

    def _compute_head(self, table_group: int, descending: bool) -> _Head:
        engines = list(self._engines)
        ranks = _ranks(table_group, engines, descending)
        first = sorted(range(len(engines)), key=ranks.__getitem__)[:HEAD_ENGINES]
        return _Head(
            [ranks[index] for index in first],
            [engines[index] for index in first],
            len(first) == len(engines),
            self._change_count,
        )

    def _complete_order(self, table_group: int) -> list[str]:
        """All listed engines in ascending order, kept for some table groups until the list changes."""
        order = self._complete_orders.pop(table_group, None)
        if order is None:
            engines = list(self._engines)
            ranks = _ranks(table_group, engines, descending=False)
            order = [engines[index] for index in sorted(range(len(engines)), key=ranks.__getitem__)]
        self._complete_orders[table_group] = order
        if len(self._complete_orders) > MAX_COMPLETE_ORDERS:
            del self._complete_orders[next(iter(self._complete_orders))]
        return order


def _rank(group_hash: blake2b, engine: str) -> int:
    """The rank of an engine, by the hash of its table group's part of the text."""
    engine_hash = group_hash.copy()
    engine_hash.update(engine.encode())
    return int.from_bytes(engine_hash.digest(), "big")


def _ranks(table_group: int, engines: Sequence[str], descending: bool) -> list[int]:
    """The ranks of engines for a table group; for a descending order counted from the highest rank."""
    group_hash = blake2b(f"{table_group}:".encode(), digest_size=RANK_BYTES)
    ranks = [_rank(group_hash, engine) for engine in engines]
    return [MAX_RANK - rank for rank in ranks] if descending else ranks
