"""What was last logged of the states that operators are notified of."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class LoggedState:
    """One state, as last logged."""

    active: bool = False
    logged_at_ms: float = -math.inf  # Unix ms
