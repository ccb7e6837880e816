"""Result files, which are written whole or not at all."""

from __future__ import annotations

import os
import tempfile
from pathlib import Path

import msgspec

FILE_MODE = 0o644


def check_output_path(path: Path) -> None:
    """Check that a result can be written to a path, before a run that would end there in vain.

    Raises:
        IsADirectoryError: a directory stands there.
        PermissionError: the directory it would stand in is missing or not writable.
    """
    if path.is_dir():
        raise IsADirectoryError(f"{path} is a directory")
    if not os.access(path.parent, os.W_OK):
        raise PermissionError(f"can't write into {path.parent}")


def write(path: Path, result: object) -> None:
    """Write a result as JSON, under a temporary name that is then replaced by the right one.

    Raises:
        OSError: it can't be written; nothing is left behind.
    """
    data = msgspec.json.format(msgspec.json.encode(result), indent=2)
    handle, temporary = tempfile.mkstemp(prefix=f".{path.name}.", dir=path.parent)
    try:
        with os.fdopen(handle, "wb") as file:
            file.write(data + b"\n")
            file.flush()
            os.fsync(file.fileno())
        os.chmod(temporary, FILE_MODE)
        os.replace(temporary, path)
    except BaseException:
        os.unlink(temporary)
        raise
