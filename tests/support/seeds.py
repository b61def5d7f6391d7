"""The seeds of random tests."""

import os


def chosen_seeds(count):
    """Return the seeds to run, `count` of them by default.

    VERBENANOTCH_FIRST_SEED and VERBENANOTCH_SEEDS choose others.
    """
    first = int(os.environ.get("VERBENANOTCH_FIRST_SEED", "0"))
    count = int(os.environ.get("VERBENANOTCH_SEEDS", count))
    return range(first, first + count)
