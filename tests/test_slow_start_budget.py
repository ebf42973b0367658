"""All fronts together stay within a starting engine's budget in every window, however few or many."""

from __future__ import annotations

from bisect import bisect_left
from math import sqrt
from random import Random

import pytest

from micahold import interface as api
from micahold.controller import EngineView
from tests import build

WINDOW_S = 2.0
STEP_S = 0.05
COLD_S = 14.0
STARTED_AT = 100.0


def allowed_requests(mean_requests: float) -> float:
    """The budget of the protocol: N requests of mean work in a window, and what chance may add."""
    if mean_requests < 30:
        return mean_requests + 3 * sqrt(mean_requests) + 3
    return mean_requests + 2 * sqrt(mean_requests) + 2


def most_work_in_a_window(front_count: int, mean_requests: float, seed: int) -> float:
    """Lets every front send all that its budget allows; returns the most in a window, in mean requests."""
    random = Random(seed)
    rules = api.Rules(
        cold_initial_speed=0.3, cold_duration_s=COLD_S, cold_budget_multiple=3.0, cold_window_s=WINDOW_S
    )
    settings = build.settings(gateway_count=front_count, rules=rules)
    cores = build.KINDS[0].cores
    mean_work_s = 3.0 * 0.3 * cores * WINDOW_S / mean_requests
    views = []
    for _ in range(front_count):
        entry = api.EngineEntry("a", started_at=STARTED_AT)
        size = api.GroupSize(front_count, front_count)
        views.append(EngineView(entry, settings, STARTED_AT, Random(random.random()), size))
    sent_at: list[float] = []
    total_work = [0.0]  # up to each send
    now = STARTED_AT
    while now < STARTED_AT + COLD_S - STEP_S:
        random.shuffle(views)
        for view in views:
            work_s = mean_work_s * random.choice((0.5, 1.0, 1.5))
            if view.cold_budget_allows(now, work_s):
                view.cold_work_sent += work_s
                sent_at.append(now)
                total_work.append(total_work[-1] + work_s / mean_work_s)
        now += STEP_S
    return max(
        (
            total_work[index + 1] - total_work[bisect_left(sent_at, time - WINDOW_S)]
            for index, time in enumerate(sent_at)
        ),
        default=0.0,
    )


@pytest.mark.parametrize("mean_requests", [1.0, 4.0, 12.0, 40.0, 400.0])
@pytest.mark.parametrize("front_count", [1, 2, 3, 5, 20, 200])
def test_no_window_exceeds_the_budget_of_a_starting_engine(front_count: int, mean_requests: float) -> None:
    for seed in range(3):
        most = most_work_in_a_window(front_count, mean_requests, seed)
        assert most <= allowed_requests(mean_requests)
