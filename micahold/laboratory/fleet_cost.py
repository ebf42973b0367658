"""Measures what the engine list costs the decisions, by number of engines and of table groups.

Run with ``python -m micahold.laboratory.fleet_cost``. For each size it prints the memory of the process, the
time of an event of the list, and the time of a decision on a list that has just changed and on one that has
not. Times are medians in milliseconds of processor time.
"""

from __future__ import annotations

import gc
import random
import resource
import statistics
import subprocess
import sys
import time
from collections.abc import Callable

from micahold import interface as api
from micahold.controller import Controller

ENGINE_COUNTS = (200, 800, 3200)
TABLE_GROUP_COUNTS = (64, 7360)
REPLACED_ENGINES = 200
GATEWAYS = 200
MS_PER_S = 1000.0
KB_PER_MB = 1024.0
SETTINGS = api.Settings(
    gateway_count=GATEWAYS,
    engine_kinds=(api.EngineKind("std", 8.0),),
    classes=(api.QueryClass("lookup", deadline_s=4.0, soft_deadline_s=1.0),),
    tenants=(api.Tenant("one", 1.0),),
)


class FleetCost:
    """One controller that knows many engines, and what its work on them takes."""

    def __init__(self, engines: int) -> None:
        self.controller = Controller(SETTINGS, 1)
        self.now = 1.0
        self.next_query = 0
        entries = tuple(api.EngineEntry(f"s-{number:08x}") for number in range(engines))
        self.controller.handle(self.now, [api.ListUpdate(api.ListKind.FULL, 1, entries)])

    def ask(self, table_group: int) -> float:
        """Sends one query and ends its attempt well; returns the time of the first decision."""
        self.now += 0.01
        self.next_query += 1
        arrival = api.QueryArrived(self.next_query, 0, 0, self.now + 4.0, table_group=table_group)
        actions: list[api.Action] = []
        spent_ms = timed_ms(lambda: actions.extend(self.controller.handle(self.now, [arrival])))
        for action in actions:
            if isinstance(action, api.Send):
                end = api.AttemptEnded(self.next_query, 0, action.engine, api.Outcome.OK, 0.01, True)
                self.controller.handle(self.now, [end])
        return spent_ms

    def replace_engine(self, number: int) -> float:
        """Replaces one engine in three events; returns the mean time of one."""
        gone = f"s-{number:08x}"
        entries = (
            api.EngineEntry(gone, api.EngineState.DRAINING),
            api.EngineEntry(gone, api.EngineState.GONE),
            api.EngineEntry(f"r-{number:08x}"),
        )
        updates = [api.ListUpdate(api.ListKind.CHANGES, 2, (entry,)) for entry in entries]
        self.now += 0.01
        return timed_ms(lambda: [self.controller.handle(self.now, [one]) for one in updates]) / len(updates)


def timed_ms(call: Callable[[], object]) -> float:
    """The processor time of a call in milliseconds."""
    before = time.process_time()
    call()
    return (time.process_time() - before) * MS_PER_S


def resident_mb() -> float:
    """The most memory that the process had in use so far."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KB_PER_MB


def measure(engines: int, table_groups: int) -> str:
    """One row: memory, events and decisions at one size."""
    fleet = FleetCost(engines)
    gc.collect()
    before_mb = resident_mb()
    first_ms = [fleet.ask(table_group) for table_group in range(table_groups)]
    memory_mb = resident_mb() - before_mb
    drawn = random.Random(1)
    steady_ms = [fleet.ask(drawn.randrange(table_groups)) for _ in range(500)]
    event_ms, changed_ms = [], []
    for number in range(min(REPLACED_ENGINES, engines)):
        event_ms.append(fleet.replace_engine(number))
        changed_ms.append(fleet.ask(drawn.randrange(table_groups)))
    columns = [statistics.median(times) for times in (event_ms, changed_ms, first_ms, steady_ms)]
    return f"{engines:7} {table_groups:7} {memory_mb:10.1f} " + " ".join(f"{ms:10.3f}" for ms in columns)


def main() -> None:
    """Measures each size in a process of its own."""
    if len(sys.argv) > 1:
        print(measure(int(sys.argv[1]), int(sys.argv[2])), flush=True)
        return
    print("engines  groups  memory MB   event ms  changed ms   first ms  steady ms", flush=True)
    for engines in ENGINE_COUNTS:
        for table_groups in TABLE_GROUP_COUNTS:
            subprocess.run([sys.executable, __file__, str(engines), str(table_groups)], check=True)


if __name__ == "__main__":
    main()
