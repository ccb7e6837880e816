"""One line of the capacity page."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Requirement:
    """What a role needs, beside its limit and the mechanism that provides it.

    Attributes:
        role: gateway (one of them), counter or discovery.
        limit: in the same unit; None: there is none.
        mechanism: begins with "missing" where nothing provides it.
    """

    role: str
    what: str
    value: float
    unit: str
    limit: float | None
    mechanism: str

    @property
    def margin(self) -> float | None:
        """How many times the figure fits into its limit."""
        return None if self.limit is None or self.value <= 0.0 else self.limit / self.value
