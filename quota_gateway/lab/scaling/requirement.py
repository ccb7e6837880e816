"""One line of the capacity page."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Requirement:
    """One resource that a role needs, its limit, and the mechanism that keeps it within the limit.

    Attributes:
        role: "gateway" (one gateway), "counter" or "discovery".
        what: the resource and the situation in which it is needed.
        value: the amount needed, in `unit`.
        unit: the unit of `value` and `limit`.
        limit: the largest amount allowed; None if there is no limit.
        mechanism: begins with "missing" if no mechanism keeps the value within the limit.
    """

    role: str
    what: str
    value: float
    unit: str
    limit: float | None
    mechanism: str

    @property
    def margin(self) -> float | None:
        """The limit divided by the value; None without a limit or if the value is 0."""
        return None if self.limit is None or self.value <= 0.0 else self.limit / self.value
