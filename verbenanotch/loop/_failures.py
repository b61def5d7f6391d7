"""The report of exceptions that a greenthread goes on after."""

import sys

from eventlet import hubs


def report_failure():
    """Report the exception that is being handled, as one nothing handles."""
    hubs.get_hub().squelch_generic_exception(sys.exc_info())
