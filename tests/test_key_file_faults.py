"""Key files outlast kills and failing disks: what was acknowledged is there, and no file is half written."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from micahold.membership import durable_file
from micahold.membership.signing import KeyFileError, generate_key, read_signing_keys, write_signing_keys

CALLS = ("open", "write", "fsync", "replace")


class KilledError(BaseException):
    """Stands for the end of the process: nothing after it runs but what the system does."""


class FaultyOs:
    """The os module with calls that fail, are short, or end the process at a given byte."""

    def __init__(self) -> None:
        self.failures: dict[tuple[str, int], int] = {}  # error by call and its number
        self.counts = dict.fromkeys(CALLS, 0)
        self.killed_after_bytes: int | None = None
        self.max_write_bytes: int | None = None
        self.killed = False

    def __getattr__(self, name: str) -> Any:
        real: Any = getattr(os, name)
        return self._wrap(name, real) if name in CALLS else real

    def _wrap(self, name: str, real: Callable[..., Any]) -> Callable[..., Any]:
        def call(*arguments: Any, **options: Any) -> Any:
            if self.killed:
                raise KilledError
            number = self.counts[name]
            self.counts[name] += 1
            if (name, number) in self.failures:
                error = self.failures[name, number]
                raise OSError(error, os.strerror(error))
            return self._write(*arguments) if name == "write" else real(*arguments, **options)

        return call

    def _write(self, descriptor: int, data: Any) -> int:
        if self.max_write_bytes is not None:
            data = data[: self.max_write_bytes]
        if self.killed_after_bytes is not None:
            if len(data) > self.killed_after_bytes:
                os.write(descriptor, data[: self.killed_after_bytes])
                self.killed = True
                raise KilledError
            self.killed_after_bytes -= len(data)
        return os.write(descriptor, data)


@pytest.fixture
def faulty_os(monkeypatch: pytest.MonkeyPatch) -> FaultyOs:
    faulty = FaultyOs()
    monkeypatch.setattr(durable_file, "os", faulty)
    return faulty


def key_ids(path: Path) -> list[str]:
    """Ids of the keys in the file, which must be readable."""
    return [key.key_id for key in read_signing_keys(str(path))]


def test_kill_at_any_byte_leaves_the_old_or_the_new_keys(tmp_path: Path, faulty_os: FaultyOs) -> None:
    path = tmp_path / "own.keys"
    first, second = generate_key("k1"), generate_key("k2")
    write_signing_keys(str(path), [first, second])
    size = path.stat().st_size
    write_signing_keys(str(path), [first])
    for byte in range(size):
        faulty_os.killed = False
        faulty_os.killed_after_bytes = byte
        with pytest.raises(KilledError):
            write_signing_keys(str(path), [first, second])
        assert key_ids(path) == ["k1"]
    faulty_os.killed = False
    faulty_os.killed_after_bytes = None
    write_signing_keys(str(path), [first, second])  # over what the killed runs left
    assert key_ids(path) == ["k1", "k2"]
    assert path.stat().st_mode & 0o777 == 0o600
    assert os.listdir(tmp_path) == ["own.keys"]


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("call", CALLS)
def test_failing_call_is_reported_and_leaves_no_file_half_written(
    tmp_path: Path, faulty_os: FaultyOs, call: str, error: int
) -> None:
    path = tmp_path / "own.keys"
    first, second = generate_key("k1"), generate_key("k2")
    write_signing_keys(str(path), [first])
    calls_before = dict(faulty_os.counts)
    faulty_os.failures[call, calls_before[call]] = error
    with pytest.raises(KeyFileError, match="cannot be written"):
        write_signing_keys(str(path), [first, second])
    assert key_ids(path) == ["k1"]
    assert os.listdir(tmp_path) == ["own.keys"]
    write_signing_keys(str(path), [first, second])
    assert key_ids(path) == ["k1", "k2"]


def test_rename_that_can_not_be_synced_is_not_acknowledged(tmp_path: Path, faulty_os: FaultyOs) -> None:
    path = tmp_path / "own.keys"
    faulty_os.failures["fsync", 1] = errno.EIO
    with pytest.raises(KeyFileError):
        write_signing_keys(str(path), [generate_key("k1")])


def test_short_writes_are_continued(tmp_path: Path, faulty_os: FaultyOs) -> None:
    path = tmp_path / "own.keys"
    faulty_os.max_write_bytes = 1
    write_signing_keys(str(path), [generate_key("k1"), generate_key("k2")])
    assert key_ids(path) == ["k1", "k2"]
