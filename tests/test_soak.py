"""A short soak: two seeds keep all rules, and each planted fault is found."""

from __future__ import annotations

import errno
import json
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import pytest

from micahold.laboratory.planted_faults import PLANTS
from micahold.laboratory.soak import SoakResult
from micahold.laboratory.soak_plan import Fault, SoakPlan, draw_plan
from micahold.laboratory.soak_series import run_one

SECONDS = 10.0
SEEDS = (2, 5)
# More would make the loops of the experiments late.
MAX_RUNS_AT_ONCE = 4


# A stop is short, and shows only where a client sends in it; a copy only where another call follows soon.
CLIENTS = {"stops": 48, "copies": 48}
DEFAULT_CLIENTS = 16


def telling_plan(plant: str) -> SoakPlan:
    """A plan of one front and three engines with the faults alone that show the planted one."""
    return SoakPlan(
        seed=1, seconds=8.0, fronts=1, engines=3, deadlines_s={"lookup": 4.0, "load": 6.0, "job": 6.0},
        dedup_window_s=20.0, sockets=1024, clients=CLIENTS.get(plant, DEFAULT_CLIENTS), crowd=0,
        crowd_at_s=0.0, faults=TELLING_FAULTS[plant],
    )  # fmt: skip


# Faults that show each planted one.
TELLING_FAULTS = {
    "lease": [
        Fault(1.5, "drain", 0, 5.0, 4.0),
        Fault(1.8, "reset", 0, 0.0),
        Fault(2.5, "drain", 1, 5.0, 4.0),
        Fault(2.8, "reset", 1, 0.0),
    ],
    "clock": [Fault(2.0, "clock", 0, 0.0, -3600.0)],
    "copies": [Fault(1.0, "second_copies", engine, 6.0) for engine in range(3)],
    "pages": [Fault(1.0, "spoilt_pages", engine, 6.0) for engine in range(3)],
    "lengths": [Fault(1.0, "short_lengths", engine, 6.0) for engine in range(3)],
    "stops": [Fault(1.0, "stop", 0, 0.3), Fault(2.5, "stop", 0, 1.2), Fault(5.0, "stop", 0, 2.0)],
    "texts": [Fault(1.0, "texts", 0, 1.0), Fault(3.0, "texts", 0, 1.0)],
    # Short ones, since an answer that can't be sent for their span has only the rest of its slack left.
    "calls": [Fault(1.5 + index / 2, "call", 0, 0.2, float(errno.ENOMEM), "send") for index in range(8)],
}


def run_side_by_side(folder: Path, runs: list[tuple[SoakPlan, str]]) -> list[SoakResult]:
    """Plays the plans with their planted faults, some at the same time."""
    with ProcessPoolExecutor(MAX_RUNS_AT_ONCE) as pool:
        futures = [
            pool.submit(run_one, folder / f"run{number}", plant, plan)
            for number, (plan, plant) in enumerate(runs)
        ]
        return [future.result() for future in futures]


def test_drawn_plans_keep_every_rule(tmp_path: Path) -> None:
    results = run_side_by_side(tmp_path, [(draw_plan(seed, SECONDS), "") for seed in SEEDS])
    assert [result.violations for result in results] == [[], []]
    assert all(result.answers["served"] > 0 for result in results)


def test_each_planted_fault_is_found_and_its_plan_is_kept(tmp_path: Path) -> None:
    runs = [(telling_plan(plant), plant) for plant in PLANTS]
    results = run_side_by_side(tmp_path, runs)
    for number, (result, (plan, plant)) in enumerate(zip(results, runs, strict=True)):
        assert result.violations, plant
        kept = json.loads((tmp_path / f"run{number}" / "seed-1" / "plan.json").read_text())
        assert SoakPlan.from_json(kept) == plan


def test_plans_that_show_planted_faults_keep_every_rule_without_them(tmp_path: Path) -> None:
    runs = [(telling_plan(plant), "") for plant in PLANTS]
    for plant, result in zip(PLANTS, run_side_by_side(tmp_path, runs), strict=True):
        assert result.violations == [], plant


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_plan_is_the_same_for_its_seed_and_survives_json(seed: int) -> None:
    plan = draw_plan(seed, SECONDS)
    assert plan == draw_plan(seed, SECONDS) != draw_plan(seed + 1, SECONDS)
    assert SoakPlan.from_json(json.loads(json.dumps(plan.to_json()))) == plan
