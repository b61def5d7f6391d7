"""Delays between attempts to connect to a peer."""

# Limits the power of two, which would overflow a float after about 1000
# failures.
MAX_DOUBLINGS = 10


def full_jitter(failures, *, base_seconds, cap_seconds, random):
    """Return the delay in seconds after `failures` consecutive failures.

    The delay is drawn uniformly from zero to a bound that doubles with each
    failure up to the cap. `random` is a `random.Random` or the module.
    Source: Brooker, "Exponential Backoff and Jitter", 2015.
    """
    doublings = min(failures, MAX_DOUBLINGS)
    return random.uniform(0, min(cap_seconds, base_seconds * 2**doublings))
