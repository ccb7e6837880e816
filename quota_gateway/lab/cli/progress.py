"""A progress bar on standard error, where that is a terminal."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from rich.console import Console
from rich.progress import Progress, TaskProgressColumn, TextColumn, TimeElapsedColumn


@contextmanager
def progress_bar(text: str) -> Iterator[Callable[[float], None]]:
    """Show a bar while the block runs; it is given a function that takes the share done, from 0 to 1."""
    console = Console(stderr=True)
    columns = (TextColumn("{task.description}"), TaskProgressColumn(), TimeElapsedColumn())
    with Progress(*columns, console=console, transient=True, disable=not console.is_terminal) as progress:
        task = progress.add_task(text, total=1.0)

        def update(share: float) -> None:
            progress.update(task, completed=share)

        yield update
