"""Run the daemon and send it a signal at a certain step of its start.

Usage: python -m tests.support.signalled_start SIGNAL STEP [daemon arguments].
STEP is an audit event of the interpreter and its first argument, such as
`import eventlet`, or an event alone, such as `socket.bind`.
"""

import os
import runpy
import signal
import sys

DAEMON = "verbenanotch.cli.daemon"


def main(signal_name, step, *daemon_arguments):
    """Send the signal at the first occurrence of the step."""
    number = signal.Signals[signal_name]
    event, _, name = step.partition(" ")
    pending = [number]

    def send_at_step(audited, arguments):
        if not pending or audited != event:
            return
        if not name or str(arguments[0]) == name:
            os.kill(os.getpid(), pending.pop())

    sys.addaudithook(send_at_step)
    sys.argv = [DAEMON, *daemon_arguments]
    runpy.run_module(DAEMON, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main(*sys.argv[1:])
