"""Combine the outcomes of a request's attempts."""

from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy._outcome import NotRun, Unknown


def combine_outcomes(earlier, outcome):
    """Return the outcome of all attempts of one request.

    After an attempt that may have run, the request is never NotRun. The
    refusal of the last target is returned rather than `EXCLUDED`, which only
    says that every target has been tried.
    """
    match earlier, outcome:
        case Unknown(), NotRun():
            return earlier
        case NotRun(), NotRun(reason=reasons.EXCLUDED):
            return earlier
        case _:
            return outcome
