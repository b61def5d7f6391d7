"""Events 9000 to 9999: life of a process."""

from verbenanotch.telemetry import Level, event

STARTED = event(9001, "started", Level.INFO, "the daemon has started")
STOPPING = event(9002, "stopping", Level.INFO, "the daemon is stopping")
STOPPED = event(9003, "stopped", Level.INFO, "the daemon has stopped")
ACCEPT_FAILED = event(
    9004,
    "http-accept-failed",
    Level.ERROR,
    "could not accept an HTTP connection",
    "Raise the limit of open files for the daemon.",
)
BACKGROUND_FAILED = event(
    9005,
    "background-failed",
    Level.ERROR,
    "a repeated task failed; it is tried again",
    "Report the traceback to the project.",
)
RELOADED = event(9007, "reloaded", Level.INFO, "changed settings are in force")
RELOAD_REFUSED = event(
    9008,
    "reload-refused",
    Level.WARNING,
    "the settings file has faults; the old settings stay in force",
    "Correct every problem that is listed.",
)
START_FAILED = event(
    9006,
    "start-failed",
    Level.ERROR,
    "the daemon could not start",
    "Do as the error says; for an address, end what uses it or correct "
    "the settings.",
)
