"""Background tasks that an exception does not end."""

import eventlet

from verbenanotch.loop._failures import report_failure

RESTART_SECONDS = 0.25


def spawn_lasting(function, *args):
    """Run a function in a greenthread until it returns or is killed.

    An exception is reported to the hub, as one that nothing handles; the
    function is called again after `RESTART_SECONDS`.
    """
    return eventlet.spawn(_run, function, args)


def _run(function, args):
    while True:
        try:
            return function(*args)
        except (Exception, eventlet.Timeout):
            report_failure()
        eventlet.sleep(RESTART_SECONDS)
