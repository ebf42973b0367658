"""``micahold trial``: experiments that print the figures of a subsystem, with their seeds."""

from __future__ import annotations

import os

import click
import orjson


@click.group("trial")
def command() -> None:
    """Run an experiment of the project's own laboratory; the figures are simulated."""


@command.command("gossip")
@click.option("--seeds", default=8, show_default=True, help="How many seeds, 1 and up.")
@click.option("--sizes", default="10,50,200,1000", show_default=True, help="Members, for the detection.")
@click.option("--processes", default=os.cpu_count() or 1, show_default=True, help="Runs side by side.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of tables.")
def gossip(seeds: int, sizes: str, processes: int, as_json: bool) -> None:
    """Detection, traffic, false deaths, liars, and what hearsay is worth; some minutes."""
    from rich.console import Console
    from rich.table import Table as RichTable

    from micahold.laboratory.gossip_trial import Table, run_all

    try:
        members = tuple(int(one) for one in sizes.split(","))
    except ValueError:
        raise click.UsageError("--sizes: expected numbers with commas between them") from None
    if seeds < 2 or min(members) < 3:
        raise click.UsageError("two seeds and groups of three are the least")
    console = Console(width=160)

    def show(table: Table) -> None:
        if not as_json:
            shown = RichTable(
                *table.headings, title=table.title, caption=table.note or None, title_justify="left"
            )
            for row in table.rows:
                shown.add_row(*row)
            console.print(shown)

    tables = run_all(list(range(1, seeds + 1)), members, processes, show)
    if as_json:
        kept = {one.title: [dict(zip(one.headings, row, strict=True)) for row in one.rows] for one in tables}
        click.echo(orjson.dumps({"seeds": seeds, "tables": kept}))
    else:
        console.print(f"seeds 1 to {seeds}; simulated, in virtual time")
