"""What several attempts of one request amount to."""

from verbenanotch.proxy._outcome import NotRun, Unknown


def combined(earlier, outcome):
    """Return the outcome of all attempts of one request.

    After an attempt that may have run, the request is never NotRun.
    """
    match earlier, outcome:
        case Unknown(), NotRun():
            return earlier
        case _:
            return outcome
