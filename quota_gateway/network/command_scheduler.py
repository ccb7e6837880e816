"""Shares the event loop among the client connections whose commands wait to be processed.

A limit on the commands of one connection does not bound an iteration of the event loop: hundreds of
connections may have commands at once, and everything else, such as the responses of servers, waits for all of
them.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

MAX_COMMANDS_PER_TURN = 16  # commands of one connection that are processed at once
MIN_COMMANDS_PER_TURN = 2  # the same while many connections wait
ITERATION_BUDGET_S = 0.01  # time for commands in one iteration of the event loop


class CommandSource(Protocol):
    """The part of a connection's interface that the scheduler uses."""

    def process_commands(self, max_commands: int) -> None:
        """Process buffered commands; the connection has itself scheduled again if more are left."""


class ScheduledCall(Protocol):
    """A call that the event loop will make."""

    def cancel(self) -> None:
        """Keep the call from being made."""


class EventLoop(Protocol):
    """The part of the event loop's interface that the scheduler uses."""

    def time(self) -> float:
        """Return the time of the present iteration in seconds."""

    def call_soon(self, callback: Callable[[], None], /) -> ScheduledCall:
        """Call a function in the next iteration."""


class CommandScheduler:
    """Lets connections process their commands: at once if there is time, otherwise in turn."""

    def __init__(self, loop: EventLoop, monotonic_s: Callable[[], float] = time.monotonic) -> None:
        self._loop = loop
        self._monotonic_s = monotonic_s
        self._waiting: dict[CommandSource, None] = {}  # in the order of their turns; serves as an ordered set
        self._next_run: ScheduledCall | None = None
        self._iteration_time = -1.0  # the event loop's time, which is the same throughout an iteration
        self._used_s = 0.0  # time used for commands in that iteration

    def process(self, source: CommandSource) -> bool:
        """Let a connection process its commands now; return False if it has to be scheduled instead."""
        if self._waiting or self._is_used_up():
            return False
        self._give_turn(source, MAX_COMMANDS_PER_TURN)
        return True

    def schedule(self, source: CommandSource) -> None:
        """Let a connection process its commands when it has its turn, in a later iteration of the loop."""
        self._waiting[source] = None
        if self._next_run is None:
            self._next_run = self._loop.call_soon(self._run)

    def discard(self, source: CommandSource) -> None:
        """Forget a connection that is closed."""
        self._waiting.pop(source, None)

    def close(self) -> None:
        """Give no more turns."""
        self._waiting.clear()
        if self._next_run is not None:
            self._next_run.cancel()

    def _run(self) -> None:
        """Give each waiting connection one turn, as far as the time of one iteration allows."""
        self._next_run = None
        turn = max(MIN_COMMANDS_PER_TURN, MAX_COMMANDS_PER_TURN // max(1, len(self._waiting)))
        for source in list(self._waiting):
            if self._is_used_up():
                break
            self.discard(source)
            self._give_turn(source, turn)
        if self._waiting and self._next_run is None:
            self._next_run = self._loop.call_soon(self._run)

    def _give_turn(self, source: CommandSource, max_commands: int) -> None:
        started_at = self._monotonic_s()
        source.process_commands(max_commands)
        self._used_s += self._monotonic_s() - started_at

    def _is_used_up(self) -> bool:
        """Return whether the time for commands in this iteration of the event loop is used up."""
        iteration_time = self._loop.time()
        if iteration_time != self._iteration_time:
            self._iteration_time = iteration_time
            self._used_s = 0.0
        return self._used_s >= ITERATION_BUDGET_S
