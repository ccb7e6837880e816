"""A progress bar on standard error while a load runs."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

from quota_gateway.lab.load.client import OpenLoopClient

REFRESH_INTERVAL_S = 0.2


@contextlib.asynccontextmanager
async def progress_bar(client: OpenLoopClient) -> AsyncIterator[None]:
    """Show the number of completed requests; nothing if standard error is not a terminal."""
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    console = Console(stderr=True)
    with Progress(*columns, console=console, transient=True, disable=not console.is_terminal) as progress:
        task = progress.add_task("requests", total=len(client.records))

        async def refresh() -> None:
            while True:
                progress.update(task, completed=client.completed_count)
                await asyncio.sleep(REFRESH_INTERVAL_S)

        refresh_task = asyncio.ensure_future(refresh())
        try:
            yield
        finally:
            refresh_task.cancel()
