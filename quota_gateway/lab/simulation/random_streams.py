"""Random generators, one for each entity: what one entity draws does not move the draws of another."""

from __future__ import annotations

import random
import zlib

import numpy as np


def random_stream(seed: int, role: str, index: int = 0) -> random.Random:
    """Return the generator of one entity."""
    return random.Random(f"{seed}/{role}/{index}")


def numpy_stream(seed: int, role: str, index: int = 0) -> np.random.Generator:
    """Return the generator of one entity that draws whole arrays."""
    return np.random.default_rng(np.random.SeedSequence([seed, zlib.crc32(role.encode()), index]))
