"""``micahold trial``: runs seeded experiments on a subsystem and prints their results."""

from __future__ import annotations

import os

import click
import orjson


@click.group("trial")
def command() -> None:
    """Run an experiment from the project's laboratory; all results are simulated."""


@command.command("gossip")
@click.option("--seeds", default=8, show_default=True, help="Number of seeds, from 1 on.")
@click.option("--sizes", default="10,50,200,1000", show_default=True, help="Group sizes for the detection.")
@click.option("--processes", default=os.cpu_count() or 1, show_default=True, help="Parallel runs.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object instead of tables.")
def gossip(seeds: int, sizes: str, processes: int, as_json: bool) -> None:
    """Measure detection, traffic, false deaths, liars and the benefit of peer reports; takes minutes."""
    from rich.console import Console
    from rich.table import Table as RichTable

    from micahold.laboratory.gossip_trial import Table, run_all

    try:
        group_sizes = tuple(int(size) for size in sizes.split(","))
    except ValueError:
        raise click.UsageError("--sizes: expected numbers separated by commas") from None
    if seeds < 2 or min(group_sizes) < 3:
        raise click.UsageError("at least two seeds and groups of at least three members are needed")
    console = Console(width=160)

    def show(table: Table) -> None:
        if not as_json:
            rich_table = RichTable(
                *table.headings, title=table.title, caption=table.note or None, title_justify="left"
            )
            for row in table.rows:
                rich_table.add_row(*row)
            console.print(rich_table)

    tables = run_all(list(range(1, seeds + 1)), group_sizes, processes, show)
    if as_json:
        rows_by_title = {
            result.title: [dict(zip(result.headings, row, strict=True)) for row in result.rows]
            for result in tables
        }
        click.echo(orjson.dumps({"seeds": seeds, "tables": rows_by_title}))
    else:
        console.print(f"seeds 1 to {seeds}; simulated in virtual time")


@command.command("soak")
@click.option("--seeds", default=50, show_default=True, help="Number of seeds.")
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--seconds", default=15.0, show_default=True, help="Length of each run under load.")
@click.option("--processes", default=4, show_default=True, help="Parallel runs.")
@click.option("--folder", default="soak", show_default=True, type=click.Path(file_okay=False))
@click.option("--plant", default="", help="Plant a fault in the fronts, by its name.")
@click.option("--replay", type=click.Path(exists=True, dir_okay=False), help="Play the plan in this file.")
def soak(
    seeds: int, first: int, seconds: float, processes: int, folder: str, plant: str, replay: str | None
) -> None:
    """Run real fronts under drawn faults and check the rules from the records of clients and engines.

    The plan, the logs and the findings of a seed that breaks a rule stay in FOLDER. The exit code is 1 if
    any rule was broken.
    """
    from pathlib import Path

    from micahold.laboratory.planted_faults import PLANTS
    from micahold.laboratory.soak_plan import SoakPlan, draw_plan
    from micahold.laboratory.soak_series import run_series

    if plant and plant not in PLANTS:
        raise click.UsageError(f"--plant: expected one of {', '.join(PLANTS)}")
    if replay is not None:
        plans = [SoakPlan.from_json(orjson.loads(Path(replay).read_bytes()))]
    else:
        plans = [draw_plan(seed, seconds) for seed in range(first, first + seeds)]
    found = run_series(plans, Path(folder), processes, plant, click.echo)
    click.get_current_context().exit(1 if found else 0)
