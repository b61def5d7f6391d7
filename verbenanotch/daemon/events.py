"""Events 9000 to 9999: start, stop and settings of a process."""

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
    "a periodic task failed; it will run again",
    "Report the traceback to the project.",
)
RELOADED = event(
    9007, "reloaded", Level.INFO, "the daemon applied changed settings"
)
RELOAD_REFUSED = event(
    9008,
    "reload-refused",
    Level.WARNING,
    "the settings file is invalid; the previous settings stay active",
    "Correct every problem that is listed.",
)
START_FAILED = event(
    9006,
    "start-failed",
    Level.ERROR,
    "the daemon could not start",
    "Follow the error message; if an address is in use, stop the process "
    "that uses it or correct the settings.",
)
ANSWER_FAILED = event(
    9009,
    "answer-failed",
    Level.ERROR,
    "an internal error left a request without an answer; the connection is "
    "closed after a 504",
    "Report the traceback to the project.",
)
PIPELINE_FULL = event(
    9010,
    "pipeline-full",
    Level.INFO,
    "a connection has its maximum of requests in progress, an unsafe one, or "
    "answers that its caller does not read; logged once a connection",
)
GREENTHREAD_FAILED = event(
    9011,
    "greenthread-failed",
    Level.ERROR,
    "an internal error ended a task in the background; one that has to last "
    "is started again; logged once a second for each type of error",
    "Report the traceback to the project.",
)
HTTP_REQUEST_FAILED = event(
    9012,
    "http-request-failed",
    Level.ERROR,
    "an internal error ended a request, which was answered with status 500; "
    "logged once a second for each type of error",
    "Report the traceback to the project.",
)
LOOP_LAGGED = event(
    9013,
    "loop-lagged",
    Level.WARNING,
    "the event loop ran late, so that work that had arrived waited; logged "
    "once a second with the longest times of a turn for sockets and for "
    "tasks, during which nothing is read",
    "Give the daemon more processor time, or spread its callers over more "
    "hosts; a process that was suspended logs this once.",
)
PORT_IN_USE = event(
    9014,
    "port-in-use",
    Level.WARNING,
    "an address is in use; the start waits until it is free",
    "If it stays in use, stop the process that uses it.",
)
MEMORY_GROWN = event(
    9015,
    "memory-grown",
    Level.INFO,
    "the peak of the process's memory has grown by 32 MB or more",
    "If it comes close to the limit of the process, look at "
    "`proxy.body_bytes` and lower `proxy.max_receiving_bytes`.",
)
ANSWERS_UNREAD = event(
    9016,
    "answers-unread",
    Level.WARNING,
    "ended the connections of `count` callers that did not read their "
    "answers, while the bodies of others needed the room",
    "Find out why they stopped reading, or raise proxy.max_receiving_bytes.",
)
