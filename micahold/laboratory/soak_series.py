"""Soak runs of many seeds, some at a time, and what is kept of those that broke a rule."""

from __future__ import annotations

import json
import shutil
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from functools import partial
from pathlib import Path

from micahold.laboratory.soak import SoakResult, run_plan
from micahold.laboratory.soak_plan import SoakPlan

MAX_TRIES = 3  # of a plan whose run was too late to judge by


def run_one(folder: Path, plant: str, plan: SoakPlan) -> SoakResult:
    """Plays a plan, again if the run was late, and keeps its folder only if a rule was broken."""
    seed_folder = folder / f"seed-{plan.seed}"
    for _ in range(MAX_TRIES):
        shutil.rmtree(seed_folder, ignore_errors=True)
        result = run_plan(plan, seed_folder, plant)
        if not result.was_late:
            break
    if result.violations:
        (seed_folder / "plan.json").write_text(json.dumps(plan.to_json(), indent=1))
        findings = [asdict(violation) for violation in result.violations]
        (seed_folder / "findings.json").write_text(json.dumps(findings, indent=1))
    else:
        shutil.rmtree(seed_folder)
    return result


def run_series(
    plans: Sequence[SoakPlan], folder: Path, processes: int, plant: str, write: Callable[[str], object]
) -> int:
    """Plays all plans, writes a line each and a summary, and returns how many broke a rule."""
    results = []
    with ProcessPoolExecutor(processes) as pool:
        for result in pool.map(partial(run_one, folder, plant), plans):
            results.append(result)
            write(format_result(result))
    found = [result for result in results if result.violations]
    answers: Counter[str] = Counter()
    for result in results:
        answers.update(result.answers)
    write(
        f"{len(results)} seeds, {sum(answers.values())} queries ({_format_counts(answers)}), "
        f"{sum(result.attempts for result in results)} attempts; "
        f"{len(found)} seeds broke a rule, {sum(result.was_late for result in results)} were late"
    )
    return len(found)


def format_result(result: SoakResult) -> str:
    """One line on a run, and one on each rule that it broke."""
    state = "late" if result.was_late else "broken" if result.violations else "kept"
    lines = [f"seed {result.seed}: rules {state}; {_format_counts(result.answers)}"]
    for violation in result.violations:
        lines.append(f"  {violation.rule} {violation.query_id}: {violation.text}")
    return "\n".join(lines)


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
