"""The record of one run: what was sent, answered and run, in order of time."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

START = time.time()


class Record:
    """Collects lines in memory and writes them to ``record.txt``."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.broken: list[str] = []

    def note(self, kind: str, **fields: Any) -> None:
        """Adds one line: seconds since the start of the case, what it is, and its fields."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{time.time() - START:9.4f} {kind} {text}".rstrip())

    def rule_broken(self, text: str) -> None:
        """Notes that the rule was broken."""
        self.broken.append(text)
        self.note("BROKEN", what=text)

    def write(self, path: Path, verdict: str) -> None:
        """Writes all lines and the verdict."""
        summary = [f"verdict: {verdict}", *(f"broken: {text}" for text in self.broken), ""]
        path.write_text("\n".join(summary + self.lines) + "\n")
