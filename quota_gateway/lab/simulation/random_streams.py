"""Independent random generators for the entities of a run.

The number of draws of one entity does not affect the values that another one draws.
"""

from __future__ import annotations

import random
import zlib

import numpy as np


def random_stream(seed: int, role: str, index: int = 0) -> random.Random:
    """Return the generator of one entity, identified by role and index."""
    return random.Random(f"{seed}/{role}/{index}")


def numpy_stream(seed: int, role: str, index: int = 0) -> np.random.Generator:
    """Return the numpy generator of one entity, identified by role and index, for draws of whole arrays."""
    return np.random.default_rng(np.random.SeedSequence([seed, zlib.crc32(role.encode()), index]))
