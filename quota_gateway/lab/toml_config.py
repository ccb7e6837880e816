"""Reads TOML configuration files into typed records.

Each error is one line that names the file and, if known, the line and the key.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

# The upper bounds reject a size with a few zeros too many, which would otherwise exhaust the machine's memory
# before a later check reports it.
PositiveFloat = Annotated[float, Meta(gt=0, le=1e9)]
NonNegativeFloat = Annotated[float, Meta(ge=0, le=1e9)]
Share = Annotated[float, Meta(ge=0, le=1)]
PositiveInt = Annotated[int, Meta(ge=1, le=10_000_000)]

T = TypeVar("T")


class ConfigFileError(ValueError):
    """A file that can't be used. The message is one line, see the module's documentation."""


class Table(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Base class of a TOML table. Unknown keys are errors."""


@dataclass(frozen=True, slots=True)
class Problem:
    """An invalid value in a file: the dotted path of its key, and the reason."""

    key: str
    reason: str


def load_config(
    path: Path,
    record_type: type[T],
    find_problem: Callable[[T], Problem | None],
    rename_former_keys: Callable[[dict[str, Any]], dict[str, str]] = lambda _: {},
) -> T:
    """Read a file into a record, and validate it.

    Args:
        path: the file.
        record_type: the type of the record.
        find_problem: validates what the types can't express; returns None if the record is valid.
        rename_former_keys: renames former keys in the decoded file to the current ones, in place; returns the
            paths as written in the file, by current path, for error messages.

    Raises:
        ConfigFileError: the file can't be read, is not TOML, or its content is invalid.
    """
    text = _read_text(path)
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        if located := re.search(r"^(.*) \(at line (\d+), column \d+\)$", str(error)):
            reason = located[1]
            line = located[2]
        else:  # an error at the end of the file has no line
            reason = str(error)
            line = str(text.count("\n") + 1)
        raise ConfigFileError(f"{path}:{line}: not TOML: {reason}") from None
    written_paths = rename_former_keys(raw)
    try:
        record = msgspec.convert(raw, record_type)
    except msgspec.ValidationError as error:
        problem = _validation_problem(str(error))
    else:
        found_problem = find_problem(record)
        if found_problem is None:
            return record
        problem = found_problem
    key = _key_as_written(problem.key, written_paths)
    raise ConfigFileError(f"{path}:{_line_of(text, key)}: {key}: {problem.reason}")


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise ConfigFileError(f"{path}: can't be read: {error.strerror}") from None
    except UnicodeDecodeError:
        raise ConfigFileError(f"{path}: can't be read: not UTF-8") from None


def _validation_problem(message: str) -> Problem:
    """Return the problem that a message of msgspec's validation describes."""
    reason, _, location = message.partition(" - at `$")
    key = location.rstrip("`").lstrip(".")
    if field_error := re.search(r"(unknown|required) field `([^`]+)`", reason):
        kind = field_error[1]
        field = field_error[2]
        key = f"{key}.{field}" if key else field
        reason = "unknown key" if kind == "unknown" else "missing"
    return Problem(key or "the file", reason[:1].lower() + reason[1:])


def _key_as_written(key: str, written_paths: dict[str, str]) -> str:
    """Return a key's path as written in the file; an index at the end of the path is kept."""
    name, bracket, index = key.partition("[") if key.endswith("]") else (key, "", "")
    return f"{written_paths.get(name, name)}{bracket}{index}"


def _line_of(text: str, key: str) -> int:
    """Return the line of a key, else the line of its table's header, else 1."""
    wanted_path = [part for part in re.split(r"[.\[\]]+", key) if part]
    table: list[str] = []
    last_index: dict[str, int] = {}  # index of the latest element, by array of tables
    best_line = 1
    best_depth = 0
    for number, line in enumerate(text.splitlines(), 1):
        if header := re.match(r"\s*\[\[\s*([\w.\"-]+)\s*\]\]", line):
            last_index[header[1]] = last_index.get(header[1], -1) + 1
            table = [*header[1].split("."), str(last_index[header[1]])]
            path = table
        elif header := re.match(r"\s*\[\s*([\w.\"-]+)\s*\]", line):
            table = header[1].split(".")
            path = table
        elif assignment := re.match(r"\s*([\w.\"-]+)\s*=", line):
            path = [*table, *assignment[1].replace('"', "").split(".")]
        else:
            continue
        if path == wanted_path[: len(path)] and len(path) > best_depth:
            best_line = number
            best_depth = len(path)
    return best_line
