"""Tests of configuration files: decoding into records, and errors that name file, line and key."""

from __future__ import annotations

from pathlib import Path

import pytest

from quota_gateway.lab.toml_config import ConfigFileError, PositiveInt, Problem, Table, load_config


class Row(Table, frozen=True):
    size: PositiveInt


class Document(Table, frozen=True):
    name: str
    rows: tuple[Row, ...] = ()


def nothing_wrong(_: Document) -> None:
    return None


def test_a_file_is_decoded_into_records(tmp_path: Path) -> None:
    path = tmp_path / "document.toml"
    path.write_text('name = "a"\n[[rows]]\nsize = 1\n[[rows]]\nsize = 2\n')
    assert load_config(path, Document, nothing_wrong) == Document(name="a", rows=(Row(size=1), Row(size=2)))


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("name = \n", ":1: not TOML: Invalid value"),
        ("[[rows]]\nsize = 1\n", ":1: name: missing"),
        ('name = "a"\n[[rows]]\nsize = 1\n[[rows]]\nsize = 0\n', ":5: rows[1].size: expected `int` >= 1"),
        ('name = "a"\n[[rows]]\nsize = 1\nheight = 2\n', ":4: rows[0].height: unknown key"),
    ],
)
def test_an_error_names_file_line_and_key(tmp_path: Path, text: str, error: str) -> None:
    path = tmp_path / "document.toml"
    path.write_text(text)
    with pytest.raises(ConfigFileError) as caught:
        load_config(path, Document, nothing_wrong)
    assert str(caught.value) == f"{path}{error}"


def test_an_error_of_the_validation_function_names_its_line(tmp_path: Path) -> None:
    path = tmp_path / "document.toml"
    path.write_text('\nname = "a"\n')
    with pytest.raises(ConfigFileError, match=r":2: name: taken$"):
        load_config(path, Document, lambda _: Problem("name", "taken"))


def test_a_file_that_is_not_utf_8_can_not_be_read(tmp_path: Path) -> None:
    path = tmp_path / "document.toml"
    path.write_bytes(b'name = "\xff"\n')
    with pytest.raises(ConfigFileError, match=r"can't be read: not UTF-8$"):
        load_config(path, Document, nothing_wrong)
