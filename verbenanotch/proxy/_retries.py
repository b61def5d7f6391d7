"""What several attempts of one request amount to."""

from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy._outcome import NotRun, Unknown


def combined(earlier, outcome):
    """Return the outcome of all attempts of one request.

    After an attempt that may have run, the request is never NotRun. That
    no other target is left says less than why the last one refused.
    """
    match earlier, outcome:
        case Unknown(), NotRun():
            return earlier
        case NotRun(), NotRun(reason=reasons.EXCLUDED):
            return earlier
        case _:
            return outcome
