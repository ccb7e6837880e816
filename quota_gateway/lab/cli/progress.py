"""A progress bar on standard error, shown only if standard error is a terminal."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from rich.console import Console
from rich.progress import Progress, TaskProgressColumn, TextColumn, TimeElapsedColumn


@contextmanager
def progress_bar(label: str) -> Iterator[Callable[[float], None]]:
    """Show a bar while the block runs; yields a function that sets the completed share, from 0 to 1."""
    console = Console(stderr=True)
    columns = (TextColumn("{task.description}"), TaskProgressColumn(), TimeElapsedColumn())
    with Progress(*columns, console=console, transient=True, disable=not console.is_terminal) as progress:
        task = progress.add_task(label, total=1.0)

        def update(completed_share: float) -> None:
            progress.update(task, completed=completed_share)

        yield update
