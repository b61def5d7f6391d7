"""Waits between attempts to reach a peer."""

MAX_DOUBLINGS = 10


def full_jitter(failures, *, base_seconds, cap_seconds, random):
    """Return the seconds to wait after so many failures in a row.

    The bound doubles with each failure up to the cap; the wait is drawn
    evenly below it. `random` is a `random.Random` or the module. Source:
    Brooker, "Exponential Backoff and Jitter", 2015.
    """
    doublings = min(failures, MAX_DOUBLINGS)
    return random.uniform(0, min(cap_seconds, base_seconds * 2**doublings))
