"""The pages name files that exist, and the log events that the programs write."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
PAGES = [ROOT / "README.md", ROOT / "DEVELOPERS.md", *sorted((ROOT / "docs").glob("*.md"))]
SOURCES = sorted((ROOT / "quota_gateway").rglob("*.py"))
FILE_NAME = re.compile(r"`([\w./-]+\.(?:py|md|toml|json))`|\]\(([\w./-]+\.md)\)")
LOG_EVENT = re.compile(r"^\| .* \| (`[a-z_]+`.*?) \| ", re.MULTILINE)


def project_files() -> list[str]:
    folders = ("quota_gateway", "tests", "docs", "deploy", "experiments")
    paths = [path for folder in folders for path in (ROOT / folder).rglob("*") if path.is_file()]
    return [f"/{path.relative_to(ROOT)}" for path in [*paths, *ROOT.glob("*.md"), *ROOT.glob("*.toml")]]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_files_that_a_page_names_exist(page: Path) -> None:
    files = project_files()
    named = [code or link for code, link in FILE_NAME.findall(page.read_text())]
    missing = [name for name in named if not any(file.endswith(f"/{name}") for file in files)]
    assert missing == []


def test_log_events_that_the_architecture_page_names_are_written() -> None:
    page = (ROOT / "docs" / "ARCHITECTURE.md").read_text()
    symptoms = page[page.index("## Where to look") :]
    events = {event for row in LOG_EVENT.findall(symptoms) for event in re.findall(r"`([a-z_]+)`", row)}
    source = "".join(path.read_text() for path in SOURCES)
    events -= {"servers", "stale_s"}  # fields
    assert len(events) > 10
    assert [event for event in sorted(events) if f'"{event}"' not in source] == []
