"""Log from several greenthreads at once, then write a report to a file.

Standard output is what the test gives to this process. The patches and the
log are those of the daemon.
"""

import json
import sys

import eventlet

eventlet.monkey_patch(thread=False)

from verbenanotch.daemon import events  # noqa: E402
from verbenanotch.telemetry import configure, emit  # noqa: E402
from verbenanotch.telemetry._events import _output  # noqa: E402

GREENTHREADS = 8
ROUNDS = 40


def main(report_path):
    """Log in rounds; report how many lines were dropped."""
    configure(host="load", log_format="json")
    _output.writer.admit = lambda **_: True
    finished = []

    def log(number):
        for _ in range(ROUNDS):
            emit(events.STARTED, role="x" * 1500, number_of=number)
            eventlet.sleep(0)
        finished.append(number)

    greenthreads = [
        eventlet.spawn(log, number) for number in range(GREENTHREADS)
    ]
    for greenthread in greenthreads:
        greenthread.wait()
    with open(report_path, "w", encoding="utf-8") as file:
        json.dump(
            {"finished": len(finished), "dropped": _output.writer.dropped},
            file,
        )


if __name__ == "__main__":
    main(sys.argv[1])
