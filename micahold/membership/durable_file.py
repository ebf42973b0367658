"""Replaces a file so that it survives what may happen in between: a kill, a full disk, a failing sync.

At any moment the file holds either its old content or the new one, whole. When ``replace_file`` returns, the
new content is on the disk.
"""

from __future__ import annotations

import contextlib
import os


def replace_file(path: str, data: bytes, mode: int) -> None:
    """Writes a temporary file beside ``path``, syncs it and renames it over ``path``.

    The temporary file is created with ``mode``, so that a secret is never readable by other users. Raises
    ``OSError`` where a step fails; the old content then stays, unless only the last sync failed.
    """
    temporary_path = f"{path}.new"
    with contextlib.suppress(FileNotFoundError):
        os.unlink(temporary_path)  # left by a run that was killed, perhaps with another mode
    descriptor = os.open(temporary_path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode)
    try:
        try:
            _write_all(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(temporary_path, path)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(temporary_path)
        raise
    _sync_folder(os.path.dirname(path) or ".")


def _write_all(descriptor: int, data: bytes) -> None:
    """Writes all of the data; a write may take only part of it."""
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(descriptor, remaining) :]


def _sync_folder(folder: str) -> None:
    """Makes the rename last."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
