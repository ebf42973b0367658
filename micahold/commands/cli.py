"""``micahold COMMAND``: the group of sub-commands, loaded by name when they are asked for."""

from __future__ import annotations

import importlib
import sys

import click

COMMANDS = {
    "check": "every error of the operator's own file, in one pass",
    "keys": "make, list, add and retire the keys of gossip members",
    "members": "what a running front knows of its group",
    "trial": "experiments that print the figures of a subsystem",
}


class LazyGroup(click.Group):
    """Imports a sub-command's module when it is called or its help is asked for."""

    def list_commands(self, context: click.Context) -> list[str]:
        return sorted(COMMANDS)

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name not in COMMANDS:
            return None
        module = importlib.import_module(f"micahold.commands.{name}")
        command: click.Command = module.command
        return command

    def format_commands(self, context: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl(sorted(COMMANDS.items()))


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="micahold", message="%(version)s")
def main() -> None:
    """An admission controller for queries on a pool of engines.

    Without a command the front starts, with the configuration that NODE_CONFIG names.
    """


def run() -> int:
    """Exit code: 0 done, 1 something is wrong with what was asked about, 2 it could not be asked."""
    try:
        main.main(prog_name="micahold", standalone_mode=False)
    except click.ClickException as problem:
        problem.show()
        return problem.exit_code
    except click.Abort:
        return 130
    except click.exceptions.Exit as end:
        return end.exit_code
    except ModuleNotFoundError as problem:
        extra = {"numpy": "lab", "scipy": "lab", "hdrh": "lab", "cryptography": "gossip"}
        wanted = extra.get((problem.name or "").partition(".")[0], "operator")
        print(f"micahold: {problem.name} is missing: pip install 'micahold[{wanted}]'", file=sys.stderr)
        return 2
    return 0
