"""Reads one JSON batch per line from standard input and writes one JSON reply per line to standard output."""

from __future__ import annotations

import json
import sys

from micahold.benchlink.host import ControllerHost, write_error
from micahold.settings import FormatError


def main() -> int:
    """Answers batches until the input ends and returns 0, or stops at an invalid batch and returns 1."""
    host = ControllerHost()
    for number, line in enumerate(sys.stdin.buffer, start=1):
        if not line.strip():
            continue
        try:
            reply = host.handle_batch(json.loads(line))
        except (ValueError, RecursionError, FormatError) as error:
            write_error(f"line {number} is not a valid batch: {error}")
            return 1
        sys.stdout.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
