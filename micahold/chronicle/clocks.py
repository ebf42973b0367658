"""Bounds on the clock offset of each front, from pairs of events whose order is known.

True time is a clock's own time plus its offset. The offset drifts by at most the drift bound, in seconds per
second, and may jump. A pair states that one event happened before another: a message and its receipt, an
attempt and the engine's timestamp of it, a query that was retried on another front, a revision of the engine
list and its use. Each pair bounds the difference of two offsets, so that all pairs together are a system of
difference constraints. Shortest paths in its constraint graph give the tightest bounds (Bellman 1958; Cormen
et al., Introduction to Algorithms, chapter 24).

Time is divided into windows, and each clock has one graph node for each window. Pairs that contradict each
other form a negative cycle, which means that a clock jumped: the clock with the most windows on the cycle
starts a new epoch there, with an offset independent of the previous epoch.

The result is an interval instead of an estimate. It holds whenever the pairs are true, and where the
intervals of two events overlap, their order is reported as unknown.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise
from math import inf

WINDOW_S = 10.0
DRIFT_BOUND = 200e-6  # seconds per second: that of a poor quartz oscillator
MAX_EPOCH_SPLITS = 64  # negative cycles resolved; with more, the offsets stay unbounded

Node = tuple[str, int]  # clock, number of a window of its own time


@dataclass(slots=True, frozen=True)
class HappenedBefore:
    """An ordered pair of events on two clocks.

    In true time, the event at ``early_time_s`` on ``early_clock`` precedes the event at ``late_time_s`` on
    ``late_clock`` by at least ``min_delay_s``.
    """

    early_clock: str
    early_time_s: float
    late_clock: str
    late_time_s: float
    min_delay_s: float = 0.0
    reason: str = ""


@dataclass(slots=True, frozen=True)
class Interval:
    """Closed interval in seconds that contains a true time or an offset."""

    low_s: float
    high_s: float

    def precedes(self, other: Interval) -> bool | None:
        """Whether this time is before the other one; None where the intervals overlap."""
        if self.high_s < other.low_s:
            return True
        return False if other.high_s < self.low_s else None


@dataclass(slots=True, frozen=True)
class ClockJump:
    """A clock whose pairs contradict each other; ``time_s`` is its own time where the new epoch begins."""

    clock: str
    time_s: float


class ClockOffsets:
    """Bounds on the offset of each clock from the reference clock, whose own time counts as true time.

    ``drift_bound`` is in seconds per second. ``jumps`` lists the jumps that were found.
    """

    def __init__(
        self,
        reference_clock: str,
        ordered_pairs: Iterable[HappenedBefore],
        drift_bound: float = DRIFT_BOUND,
        window_s: float = WINDOW_S,
    ) -> None:
        self.reference_clock = reference_clock
        self.drift_bound = drift_bound
        self.window_s = window_s
        self.ordered_pairs = list(ordered_pairs)
        self.jumps: list[ClockJump] = []
        self._epochs: dict[str, list[float]] = {}  # by clock: its own times at which a new epoch begins
        self._bounds: dict[Node, tuple[float, float]] = {}  # lowest and highest offset of each node
        for _ in range(MAX_EPOCH_SPLITS):
            cycle = self._solve()
            if cycle is None:
                break
            self._split(cycle)

    # The constraint graph: an edge (u, v) of weight w states that offset(v) - offset(u) <= w.

    def node(self, clock: str, time_s: float) -> Node:
        """Returns the graph node of a clock at its own time."""
        return clock, int(time_s // self.window_s)

    def _edges(self) -> dict[tuple[Node, Node], float]:
        """Returns the edge weights: from the pairs, and from the drift bound within each epoch of a clock."""
        edges: dict[tuple[Node, Node], float] = {}

        def add_bound(source: Node, target: Node, max_difference: float) -> None:
            edges[source, target] = min(max_difference, edges.get((source, target), inf))

        nodes: set[Node] = set()
        for pair in self.ordered_pairs:
            early_node = self.node(pair.early_clock, pair.early_time_s)
            late_node = self.node(pair.late_clock, pair.late_time_s)
            nodes |= {early_node, late_node}
            # early_time_s + offset(early_node) + min_delay_s <= late_time_s + offset(late_node)
            drift_allowance = self.drift_bound * self.window_s  # a node stands for the middle of its window
            add_bound(
                late_node,
                early_node,
                pair.late_time_s - pair.early_time_s - pair.min_delay_s + drift_allowance,
            )
        windows_by_clock: dict[str, list[int]] = {}
        for clock, node_window in nodes:
            windows_by_clock.setdefault(clock, []).append(node_window)
        for clock, windows in windows_by_clock.items():
            windows.sort()
            for window, next_window in pairwise(windows):
                if self._epoch(clock, window) == self._epoch(clock, next_window):
                    max_drift = (
                        0.0
                        if clock == self.reference_clock
                        else self.drift_bound * self.window_s * (next_window - window + 1)
                    )
                    add_bound((clock, window), (clock, next_window), max_drift)
                    add_bound((clock, next_window), (clock, window), max_drift)
        return edges

    def _epoch(self, clock: str, window: int) -> int:
        """Returns the number of the clock's epoch in a window: how many of its jumps lie at or before it."""
        return sum(window * self.window_s >= start_s for start_s in self._epochs.get(clock, ()))

    def _solve(self) -> list[Node] | None:
        """Computes the bounds of each node; returns the nodes of a negative cycle if there is no solution."""
        edges = self._edges()
        nodes = {node for edge in edges for node in edge}
        sources = [node for node in nodes if node[0] == self.reference_clock and self._epoch(*node) == 0]
        cycle = self._negative_cycle(nodes, edges)
        if cycle is not None:
            return cycle
        high = self._shortest_paths(nodes, edges, sources)
        # Distances in the reversed graph are those to the sources; they bound the offsets from below.
        low = self._shortest_paths(nodes, {(v, u): w for (u, v), w in edges.items()}, sources)
        self._bounds = {node: (-low[node], high[node]) for node in nodes}
        return None

    @staticmethod
    def _shortest_paths(
        nodes: set[Node], edges: dict[tuple[Node, Node], float], sources: list[Node]
    ) -> dict[Node, float]:
        """Returns the Bellman-Ford distance of each node from the nearest source; infinite if unreachable."""
        distance = {node: inf for node in nodes}
        for node in sources:
            distance[node] = 0.0
        for _ in range(len(nodes)):
            changed = False
            for (u, v), w in edges.items():
                if distance[u] + w < distance[v] - 1e-12:
                    distance[v], changed = distance[u] + w, True
            if not changed:
                break
        return distance

    @staticmethod
    def _negative_cycle(nodes: set[Node], edges: dict[tuple[Node, Node], float]) -> list[Node] | None:
        """Returns the nodes of a negative cycle, or None: Bellman-Ford with every node as a source."""
        distance = {node: 0.0 for node in nodes}
        predecessor: dict[Node, Node] = {}
        last: Node | None = None
        for _ in range(len(nodes)):
            last = None
            for (u, v), w in edges.items():
                if distance[u] + w < distance[v] - 1e-9:
                    distance[v], predecessor[v], last = distance[u] + w, u, v
            if last is None:
                return None
        assert last is not None
        # A node relaxed in the last round is reachable from a negative cycle. Going back len(nodes) steps
        # ends on the cycle.
        for _ in range(len(nodes)):
            last = predecessor[last]
        cycle, cycle_node = [last], predecessor[last]
        while cycle_node != last:
            cycle.append(cycle_node)
            cycle_node = predecessor[cycle_node]
        return cycle

    def _split(self, cycle: list[Node]) -> None:
        """Starts a new epoch of the clock with the most windows on the cycle, in the last of these windows.

        The reference clock is chosen only if it is the only one on the cycle.
        """
        window_counts = Counter(clock for clock, _ in cycle)
        jumped_clock = max(
            window_counts, key=lambda candidate: (candidate != self.reference_clock, window_counts[candidate])
        )
        windows = sorted({window for clock, window in cycle if clock == jumped_clock})
        epoch_start_s = windows[-1] * self.window_s
        epochs = self._epochs.setdefault(jumped_clock, [])
        if epoch_start_s in epochs:
            # The contradiction is within a single window, where no epoch can separate the pairs. The pairs
            # between nodes of the cycle are dropped.
            cycle_nodes = set(cycle)
            self.ordered_pairs = [
                pair
                for pair in self.ordered_pairs
                if not {
                    self.node(pair.early_clock, pair.early_time_s),
                    self.node(pair.late_clock, pair.late_time_s),
                }
                <= cycle_nodes
            ]
        else:
            epochs.append(epoch_start_s)
            self.jumps.append(ClockJump(jumped_clock, epoch_start_s))

    # Results

    def offset(self, clock: str, time_s: float) -> Interval:
        """Returns the offset to add to the clock's own time ``time_s``; ends without a bound are infinite."""
        if clock == self.reference_clock and not self._epochs.get(clock):
            return Interval(0.0, 0.0)
        node = self.node(clock, time_s)
        epoch = self._epoch(*node)
        nodes_in_epoch = [
            bounded for bounded in self._bounds if bounded[0] == clock and self._epoch(*bounded) == epoch
        ]
        low_s, high_s = -inf, inf
        for bounded in nodes_in_epoch:
            max_drift = self.drift_bound * self.window_s * (abs(bounded[1] - node[1]) + 1)
            low_s = max(low_s, self._bounds[bounded][0] - max_drift)
            high_s = min(high_s, self._bounds[bounded][1] + max_drift)
        return Interval(low_s, high_s)

    def true_time(self, clock: str, time_s: float) -> Interval:
        """Returns the true time of the moment at which the clock's own time is ``time_s``."""
        offset = self.offset(clock, time_s)
        return Interval(time_s + offset.low_s, time_s + offset.high_s)
