"""Writes result files atomically."""

from __future__ import annotations

import os
import tempfile
from pathlib import Path

import msgspec

FILE_MODE = 0o644


def check_output_path(path: Path) -> None:
    """Check before a long run that its result can be written to a path.

    Raises:
        IsADirectoryError: the path is a directory.
        PermissionError: the parent directory is missing or not writable.
    """
    if path.is_dir():
        raise IsADirectoryError(f"{path} is a directory")
    if not os.access(path.parent, os.W_OK):
        raise PermissionError(f"can't write into {path.parent}: it is not a writable directory")


def write(path: Path, result: object) -> None:
    """Write a result as JSON to a temporary file, which is then renamed to the path.

    Raises:
        OSError: the file can't be written. The temporary file is removed, and an existing result stays.
    """
    data = msgspec.json.format(msgspec.json.encode(result), indent=2)
    descriptor, temporary_path = tempfile.mkstemp(prefix=f".{path.name}.", dir=path.parent)
    try:
        with os.fdopen(descriptor, "wb") as file:
            file.write(data + b"\n")
            file.flush()
            os.fsync(file.fileno())
        os.chmod(temporary_path, FILE_MODE)
        os.replace(temporary_path, path)
    except BaseException:
        os.unlink(temporary_path)
        raise
