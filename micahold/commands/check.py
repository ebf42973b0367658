"""``micahold check FILE``: reports all errors of the operator's own file in one pass."""

from __future__ import annotations

import click
import orjson

from micahold.program.operator_file import OperatorFileError, read_settings_file, render_reference


@click.command("check")
@click.argument("file", required=False)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object instead of text.")
@click.option("--reference", "show", is_flag=True, help="Print the reference of all settings and exit.")
@click.pass_context
def command(context: click.Context, file: str | None, as_json: bool, show: bool) -> None:
    """Check the operator's own FILE; the exit code is 1 if it has any error."""
    if show:
        click.echo(render_reference(), nl=False)
        return
    if file is None:
        raise click.UsageError("argument FILE is missing")
    problems: list[str] = []
    try:
        read_settings_file(file)
    except OperatorFileError as error:
        problems = error.problems
    if as_json:
        click.echo(orjson.dumps({"file": file, "problems": problems}))
    else:
        for line in problems:
            click.echo(line, err=True)
        click.echo(f"{file}: {'fine' if not problems else f'{len(problems)} wrong'}")
    context.exit(1 if problems else 0)
