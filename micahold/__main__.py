"""Without arguments, starts the front that ``NODE_CONFIG`` configures; otherwise runs a sub-command.

Neither imports the other: a front does not load the command line, and a command loads no reactor that it does
not need.
"""

from __future__ import annotations

import sys


def main() -> int:
    """Runs the front or a sub-command and returns the exit code.

    ``micahold.program.start`` documents the codes of the front, ``micahold --help`` the commands.
    """
    if len(sys.argv) > 1:
        try:
            from micahold.commands.cli import run
        except ModuleNotFoundError as error:
            print(
                f"micahold: {error.name} is missing: pip install 'micahold[operator]'",
                file=sys.stderr,
                flush=True,
            )
            return 2
        return run()
    from micahold.program.start import start

    return start()


if __name__ == "__main__":
    sys.exit(main())
