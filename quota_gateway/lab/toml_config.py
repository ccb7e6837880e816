"""Configuration files in TOML, decoded into typed records; errors are one line with file, line and key."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

# Upper bounds too: a size with some noughts too many would exhaust the machine's memory before any later
# check could say so.
PositiveFloat = Annotated[float, Meta(gt=0, le=1e9)]
NonNegativeFloat = Annotated[float, Meta(ge=0, le=1e9)]
Share = Annotated[float, Meta(ge=0, le=1)]
PositiveInt = Annotated[int, Meta(ge=1, le=10_000_000)]

T = TypeVar("T")


class ConfigFileError(ValueError):
    """A file that can't be used; the text is one line with file, line and key."""


class Table(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table of a file. Unknown keys are errors."""


@dataclass(frozen=True, slots=True)
class Problem:
    """What is wrong with a file: the path of the key, and the reason."""

    key: str
    reason: str


def load_config(
    path: Path,
    record_type: type[T],
    find_problem: Callable[[T], Problem | None],
    rename_former_keys: Callable[[dict[str, Any]], dict[str, str]] = lambda _: {},
) -> T:
    """Read a file into a record and check it.

    Args:
        path: the file.
        record_type: the record that it holds.
        find_problem: checks what the types can't express.
        rename_former_keys: renames keys of the decoded file that have another name now; returns their paths
            as the file writes them, by present path.

    Raises:
        ConfigFileError: the file can't be read, is not TOML, or its content is invalid.
    """
    text = _read_text(path)
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        found = re.search(r"^(.*) \(at line (\d+), column \d+\)$", str(error))
        line, reason = (found[2], found[1]) if found else (str(text.count("\n") + 1), str(error))
        raise ConfigFileError(f"{path}:{line}: not TOML: {reason}") from None
    as_written = rename_former_keys(raw)
    try:
        record = msgspec.convert(raw, record_type)
    except msgspec.ValidationError as error:
        problem = _validation_problem(str(error))
    else:
        found_problem = find_problem(record)
        if found_problem is None:
            return record
        problem = found_problem
    key = _key_as_written(problem.key, as_written)
    raise ConfigFileError(f"{path}:{_line_of(text, key)}: {key}: {problem.reason}")


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise ConfigFileError(f"{path}: can't be read: {error.strerror}") from None
    except UnicodeDecodeError:
        raise ConfigFileError(f"{path}: can't be read: not UTF-8") from None


def _validation_problem(message: str) -> Problem:
    """Return key and reason from a message of the validating library."""
    reason, _, location = message.partition(" - at `$")
    key = location.rstrip("`").lstrip(".")
    if found := re.search(r"(unknown|required) field `([^`]+)`", reason):
        key = f"{key}.{found[2]}" if key else found[2]
        reason = "unknown key" if found[1] == "unknown" else "missing"
    return Problem(key or "the file", reason[:1].lower() + reason[1:])


def _key_as_written(key: str, as_written: dict[str, str]) -> str:
    """Return a key's path as the file writes it; the path may go on with an index into its value."""
    name, bracket, index = key.partition("[") if key.endswith("]") else (key, "", "")
    return f"{as_written.get(name, name)}{bracket}{index}"


def _line_of(text: str, key: str) -> int:
    """Return the line of a key; of its table's header if the key is missing, 1 if that is missing too."""
    wanted = [part for part in re.split(r"[.\[\]]+", key) if part]
    table: list[str] = []
    last_index: dict[str, int] = {}  # of each array of tables
    best_line, best_depth = 1, 0
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
        if path == wanted[: len(path)] and len(path) > best_depth:
            best_line, best_depth = number, len(path)
    return best_line
