"""With no argument the front, from the configuration that ``NODE_CONFIG`` names; else a sub-command.

Neither side imports the other: a front loads no command line, a command no reactor it does not need.
"""

from __future__ import annotations

import sys


def main() -> int:
    """Exit code; see ``micahold.program.start`` for the front's and ``micahold --help`` for the commands'."""
    if len(sys.argv) > 1:
        try:
            from micahold.commands.cli import run
        except ModuleNotFoundError as problem:
            print(
                f"micahold: {problem.name} is missing: pip install 'micahold[operator]'",
                file=sys.stderr,
                flush=True,
            )
            return 2
        return run()
    from micahold.program.start import start

    return start()


if __name__ == "__main__":
    sys.exit(main())
