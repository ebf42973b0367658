"""Clocks that disagree: bounds on each front's offset, from pairs of moments whose order is known.

True time is a front's own time plus its offset, which drifts at most ``drift`` seconds a second and may jump.
A pair says that one moment came before another: a message and its receipt, an attempt and the engine's stamp,
a query that was tried again elsewhere, a list revision and its use. Each pair bounds a difference of offsets,
so all of them together are difference constraints, and shortest paths give the tightest bounds (Bellman 1958;
Cormen and others, chapter 24). Time is cut into windows; a front in a window is a node. Where the pairs
contradict each other (a negative cycle) a clock has jumped: the front on which most contradicting pairs lie
begins a new epoch there, unbound to the one before.

An interval, not a guess: what is stated holds if the pairs are true, and where two intervals overlap the
order of two events is not known and is said to be so.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise
from math import inf

WINDOW_S = 10.0
DRIFT_BOUND = 200e-6  # seconds a second: a poor quartz
MAX_EPOCH_SPLITS = 64

Node = tuple[str, int]  # clock, window of its own time


@dataclass(slots=True, frozen=True)
class HappenedBefore:
    """By true time ``early_time_s`` on clock ``early_clock`` came before ``late_time_s`` on
    clock ``late_clock``, ``min_delay_s`` at least.
    """

    early_clock: str
    early_time_s: float
    late_clock: str
    late_time_s: float
    min_delay_s: float = 0.0
    reason: str = ""


@dataclass(slots=True, frozen=True)
class Interval:
    """True time lies within, both ends included; seconds."""

    low_s: float
    high_s: float

    def precedes(self, other: Interval) -> bool | None:
        """None where the order is not known."""
        if self.high_s < other.low_s:
            return True
        return False if other.high_s < self.low_s else None


@dataclass(slots=True, frozen=True)
class ClockJump:
    """A clock that contradicts itself from this window on, by its own time."""

    clock: str
    time_s: float


class ClockOffsets:
    """``reference_clock`` is the clock whose own time is called true; others are told relative to it."""

    def __init__(
        self,
        reference_clock: str,
        ordered_pairs: Iterable[HappenedBefore],
        drift_bound: float = DRIFT_BOUND,
        window_s: float = WINDOW_S,
    ) -> None:
        self.reference_clock, self.drift_bound, self.window_s = reference_clock, drift_bound, window_s
        self.ordered_pairs = list(ordered_pairs)
        self.jumps: list[ClockJump] = []
        self._epochs: dict[str, list[float]] = {}
        self._bounds: dict[Node, tuple[float, float]] = {}
        for _ in range(MAX_EPOCH_SPLITS):
            cycle = self._solve()
            if cycle is None:
                break
            self._split(cycle)

    # The graph: an edge (u, v, w) says offset(v) - offset(u) <= w

    def node(self, clock: str, time_s: float) -> Node:
        return clock, int(time_s // self.window_s)

    def _edges(self) -> dict[tuple[Node, Node], float]:
        edges: dict[tuple[Node, Node], float] = {}

        def bound(one: Node, other: Node, most: float) -> None:
            edges[one, other] = min(most, edges.get((one, other), inf))

        nodes: set[Node] = set()
        for pair in self.ordered_pairs:
            early, late = (
                self.node(pair.early_clock, pair.early_time_s),
                self.node(pair.late_clock, pair.late_time_s),
            )
            nodes |= {early, late}
            # early_at + offset(early) + least <= late_at + offset(late)
            slack = self.drift_bound * self.window_s  # a node stands for the middle of its window
            bound(late, early, pair.late_time_s - pair.early_time_s - pair.min_delay_s + slack)
        by_clock: dict[str, list[int]] = {}
        for clock, number in nodes:
            by_clock.setdefault(clock, []).append(number)
        for clock, numbers in by_clock.items():
            numbers.sort()
            for one, other in pairwise(numbers):
                if self._epoch(clock, one) == self._epoch(clock, other):
                    most = (
                        0.0
                        if clock == self.reference_clock
                        else self.drift_bound * self.window_s * (other - one + 1)
                    )
                    bound((clock, one), (clock, other), most)
                    bound((clock, other), (clock, one), most)
        return edges

    def _epoch(self, clock: str, number: int) -> int:
        return sum(number * self.window_s >= at for at in self._epochs.get(clock, ()))

    def _solve(self) -> list[Node] | None:
        """Bounds of each node, or the nodes of a negative cycle."""
        edges = self._edges()
        nodes = {one for pair in edges for one in pair}
        origin = [one for one in nodes if one[0] == self.reference_clock and self._epoch(*one) == 0]
        cycle = self._cycle(nodes, edges)
        if cycle is not None:
            return cycle
        high = self._shortest(nodes, edges, origin)
        low = self._shortest(nodes, {(v, u): w for (u, v), w in edges.items()}, origin)
        self._bounds = {one: (-low[one], high[one]) for one in nodes}
        return None

    @staticmethod
    def _shortest(
        nodes: set[Node], edges: dict[tuple[Node, Node], float], origin: list[Node]
    ) -> dict[Node, float]:
        far = {one: inf for one in nodes}
        for one in origin:
            far[one] = 0.0
        for _ in range(len(nodes)):
            changed = False
            for (u, v), w in edges.items():
                if far[u] + w < far[v] - 1e-12:
                    far[v], changed = far[u] + w, True
            if not changed:
                break
        return far

    @staticmethod
    def _cycle(nodes: set[Node], edges: dict[tuple[Node, Node], float]) -> list[Node] | None:
        """The nodes of one negative cycle, if there is any: Bellman and Ford from everywhere at once."""
        far = {one: 0.0 for one in nodes}
        came: dict[Node, Node] = {}
        last: Node | None = None
        for _ in range(len(nodes)):
            last = None
            for (u, v), w in edges.items():
                if far[u] + w < far[v] - 1e-9:
                    far[v], came[v], last = far[u] + w, u, v
            if last is None:
                return None
        assert last is not None
        for _ in range(len(nodes)):
            last = came[last]
        cycle, at = [last], came[last]
        while at != last:
            cycle.append(at)
            at = came[at]
        return cycle

    def _split(self, cycle: list[Node]) -> None:
        """The clock with the most windows on the cycle, the reference only if alone, jumped there."""
        windows = Counter(clock for clock, _ in cycle)
        blamed = max(windows, key=lambda one: (one != self.reference_clock, windows[one]))
        numbers = sorted({number for clock, number in cycle if clock == blamed})
        at = numbers[-1] * self.window_s
        epochs = self._epochs.setdefault(blamed, [])
        if at in epochs:
            # Within one window: the pairs of that window can't be used at all.
            inside = set(cycle)
            self.ordered_pairs = [
                one
                for one in self.ordered_pairs
                if not {
                    self.node(one.early_clock, one.early_time_s),
                    self.node(one.late_clock, one.late_time_s),
                }
                <= inside
            ]
        else:
            epochs.append(at)
            self.jumps.append(ClockJump(blamed, at))

    # Answers

    def offset(self, clock: str, time_s: float) -> Interval:
        """What has to be added to that clock's own time ``time_s``; infinite ends where nothing bounds it."""
        if clock == self.reference_clock and not self._epochs.get(clock):
            return Interval(0.0, 0.0)
        node = self.node(clock, time_s)
        epoch = self._epoch(*node)
        known = [one for one in self._bounds if one[0] == clock and self._epoch(*one) == epoch]
        low, high = -inf, inf
        for one in known:
            apart = self.drift_bound * self.window_s * (abs(one[1] - node[1]) + 1)
            low, high = max(low, self._bounds[one][0] - apart), min(high, self._bounds[one][1] + apart)
        return Interval(low, high)

    def true_time(self, clock: str, time_s: float) -> Interval:
        """True time of a moment on that clock."""
        offset = self.offset(clock, time_s)
        return Interval(time_s + offset.low_s, time_s + offset.high_s)
