"""The schedule of a soak run, drawn from its seed and written as JSON, so that a run can be repeated."""

from __future__ import annotations

import errno
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from random import Random
from typing import Any

from micahold.laboratory.system_faults import SHORT

# Mean time between two faults.
FAULT_INTERVAL_S = 0.7
# No fault begins in the last seconds, so that every query can end.
QUIET_END_S = 3.0
ENGINE_FAULTS = (
    "drop_responses", "stop_reading", "fail_queries", "full", "duplicates", "ignore_deletes", "drain",
    "crash", "reset", "cut", "late", "split", "second_copies", "spoilt_pages", "short_lengths",
)  # fmt: skip
FRONT_FAULTS = ("term", "kill", "reload", "counters", "clock", "call", "channel_silent", "stop", "texts")
FAILING_CALLS = {
    "accept": (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.EPROTO, errno.EINTR),
    "socket": (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    "connect": (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EINTR),
    "recv": (errno.ENOBUFS, errno.ENOMEM, errno.EINTR, SHORT),
    "send": (errno.ENOBUFS, errno.ENOMEM, errno.EINTR, SHORT),
    "epoll_wait": (errno.EINTR,),
    "write": (errno.ENOSPC, errno.EIO, errno.EINTR, SHORT),
}
BLINDING_CALLS = ("accept", "recv", "send", "epoll_wait")
STOPS_S = (0.3, 0.6, 1.2, 2.0)
CLOCK_STEPS_S = (-3600.0, -3.0, 3.0, 3600.0)


@dataclass(slots=True)
class Fault:
    """One fault: when it begins, on which engine or front, and for how long; ``detail`` depends on its kind.

    ``detail`` names the system call of "call"; ``value`` is its error number, the step of "clock" in
    seconds, or the time in seconds until a drained or crashed engine is listed as gone.
    """

    at_s: float
    kind: str
    target: int
    span_s: float
    value: float = 0.0
    detail: str = ""


@dataclass(slots=True)
class SoakPlan:
    """Everything that a run draws from its seed, except the clients' requests."""

    seed: int
    seconds: float
    fronts: int
    engines: int
    deadlines_s: dict[str, float]
    dedup_window_s: float
    sockets: int
    clients: int
    crowd: int  # idle connections that come at ``crowd_at_s`` and stay
    crowd_at_s: float
    faults: list[Fault] = field(default_factory=list)

    def to_json(self) -> dict[str, Any]:
        """The plan as data that JSON has."""
        return asdict(self)

    @classmethod
    def from_json(cls, data: dict[str, Any]) -> SoakPlan:
        """The plan that ``to_json`` gave."""
        return cls(**{**data, "faults": [Fault(**fault) for fault in data["faults"]]})


def draw_plan(seed: int, seconds: float) -> SoakPlan:
    """Draws the schedule of a run of that many seconds."""
    random = Random(seed)
    longest_s = random.choice((1.0, 2.0, 3.0, 6.0))
    plan = SoakPlan(
        seed=seed,
        seconds=seconds,
        fronts=random.choice((1, 2, 3)),
        engines=random.choice((3, 4, 6)),
        deadlines_s={"lookup": longest_s / 2, "load": longest_s, "job": longest_s},
        dedup_window_s=random.choice((1.0, 3.0, 20.0)),
        sockets=random.choice((256, 1024)),
        clients=random.choice((8, 16, 24)),
        crowd=random.choice((0, 0, 60, 120)),
        crowd_at_s=random.uniform(0.2, 0.5) * seconds,
    )
    at_s = 0.5
    while at_s < seconds - QUIET_END_S:
        plan.faults.append(_draw_fault(random, plan, at_s))
        at_s += random.expovariate(1 / FAULT_INTERVAL_S)
    return plan


def _draw_fault(random: Random, plan: SoakPlan, at_s: float) -> Fault:
    span_s = random.choice((0.1, 0.3, 1.0, 2.0, 4.0))
    if random.random() < 0.6:
        fault = Fault(at_s, random.choice(ENGINE_FAULTS), random.randrange(plan.engines), span_s)
        fault.value = random.uniform(0.3, 2.5)
        return fault
    fault = Fault(at_s, random.choice(FRONT_FAULTS), random.randrange(plan.fronts), span_s)
    complete: dict[str, Callable[[Fault, Random], None]] = {
        "clock": _draw_step, "call": _draw_call, "stop": _draw_stop
    }  # fmt: skip
    if fault.kind in complete:
        complete[fault.kind](fault, random)
    return fault


def _draw_stop(fault: Fault, random: Random) -> None:
    fault.span_s = random.choice(STOPS_S)


def _draw_step(fault: Fault, random: Random) -> None:
    fault.value = random.choice(CLOCK_STEPS_S)


def _draw_call(fault: Fault, random: Random) -> None:
    fault.detail = random.choice(sorted(FAILING_CALLS))
    fault.value = random.choice(FAILING_CALLS[fault.detail])
    # A front that can't read for longer than this can't answer in time.
    fault.span_s = min(fault.span_s, 0.3 if fault.detail in BLINDING_CALLS else 2.0)
