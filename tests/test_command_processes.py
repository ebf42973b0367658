"""Exit codes of the command line as a script sees them: every row through a process of its own."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

GOOD, WRONG, UNASKABLE = 0, 1, 2


def run(*arguments: str, folder: Path) -> subprocess.CompletedProcess[str]:
    """Runs ``python -m micahold`` in the folder."""
    return subprocess.run(
        [sys.executable, "-m", "micahold", *arguments],
        cwd=folder,
        env={"PYTHONPATH": str(Path(__file__).parent.parent), "PATH": ""},
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


@pytest.mark.parametrize(
    ("text", "code"),
    [
        ("; nothing\n", GOOD),
        ('(gossip (listn "x"))\n', WRONG),
        ("(gossip", WRONG),
        ('\\\\;"', WRONG),
        (None, WRONG),
    ],
)
def test_check_exits_with_1_for_a_file_that_is_wrong_or_missing(
    tmp_path: Path, text: str | None, code: int
) -> None:
    if text is not None:
        (tmp_path / "file.sexp").write_text(text)
    for arguments in (("check", "file.sexp"), ("check", "file.sexp", "--json")):
        result = run(*arguments, folder=tmp_path)
        assert result.returncode == code, result.stderr
        assert "Traceback" not in result.stderr


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (("--help",), GOOD),
        (("check", "--reference"), GOOD),
        (("check",), UNASKABLE),
        (("unknown",), UNASKABLE),
        (("check", "--unknown"), UNASKABLE),
        (("keys", "list", "--members", "bad.keys"), WRONG),
    ],
)
def test_other_exit_codes(tmp_path: Path, arguments: tuple[str, ...], code: int) -> None:
    (tmp_path / "bad.keys").write_text("(member")
    result = run(*arguments, folder=tmp_path)
    assert result.returncode == code, result.stderr
    assert "Traceback" not in result.stderr


def test_key_file_that_the_parser_fails_on_is_one_line(tmp_path: Path) -> None:
    (tmp_path / "own.keys").write_text('\\\\;"')
    result = run("keys", "make", "--own", "own.keys", folder=tmp_path)
    assert result.returncode == WRONG
    assert len(result.stderr.splitlines()) == 1
