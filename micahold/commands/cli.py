"""``micahold COMMAND``: the group of sub-commands, whose modules are imported by name on demand."""

from __future__ import annotations

import importlib
import sys

import click

COMMANDS = {
    "check": "check the operator's own file and report all errors",
    "keys": "make, list, add and retire the keys of gossip members",
    "members": "show the group membership as a running front sees it",
    "trial": "run experiments that measure a subsystem in simulation",
}


class LazyGroup(click.Group):
    """Imports the module of a sub-command when the command or its help is requested."""

    def list_commands(self, context: click.Context) -> list[str]:
        """The names of all sub-commands, sorted."""
        return sorted(COMMANDS)

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """The ``command`` of the module called ``name``; None for unknown names."""
        if name not in COMMANDS:
            return None
        module = importlib.import_module(f"micahold.commands.{name}")
        command: click.Command = module.command
        return command

    def format_commands(self, context: click.Context, formatter: click.HelpFormatter) -> None:
        """Writes the help of the group from ``COMMANDS``, without importing the modules."""
        with formatter.section("Commands"):
            formatter.write_dl(sorted(COMMANDS.items()))


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="micahold", message="%(version)s")
def main() -> None:
    """An admission controller for queries on a pool of engines.

    Without a command, the front starts with the configuration that NODE_CONFIG names.
    """


def run() -> int:
    """Runs the command line; the exit code is 0 for success, 1 for an error found, 2 for an unusable call."""
    try:
        # Without the standalone mode click returns the code of ``Context.exit`` instead of raising it.
        result = main.main(prog_name="micahold", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.Abort:
        return 130
    except click.exceptions.Exit as exit_request:
        return exit_request.exit_code
    except ModuleNotFoundError as error:
        extra_of_package = {"numpy": "lab", "scipy": "lab", "hdrh": "lab", "cryptography": "gossip"}
        extra = extra_of_package.get((error.name or "").partition(".")[0], "operator")
        print(f"micahold: {error.name} is missing: pip install 'micahold[{extra}]'", file=sys.stderr)
        return 2
    return result if isinstance(result, int) else 0
