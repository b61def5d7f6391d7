"""Start, watch and stop the processes of a small mesh."""

import os
import pathlib
import signal
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
STOP_SECONDS = 15.0
POLL_SECONDS = 0.05
TAIL_CHARACTERS = 2000


class WaitTimeoutError(Exception):
    """A condition did not come true within its bound."""


def wait_until(predicate, *, timeout_seconds, what, explain=lambda: ""):
    """Return the first true value of `predicate`; call it repeatedly.

    Raises WaitTimeoutError, naming `what` was awaited and the text that
    `explain` returns, once the time is over.
    """
    end = time.monotonic() + timeout_seconds
    while True:
        value = predicate()
        if value:
            return value
        if time.monotonic() >= end:
            raise WaitTimeoutError(
                f"no {what} within {timeout_seconds:g} s\n{explain()}"
            )
        time.sleep(POLL_SECONDS)


class Child:
    """One process that this one started, with its log file."""

    def __init__(self, *, name, module, arguments, log_path):
        """Run `python -m module` from the root of the repository."""
        self.name = name
        self.log_path = pathlib.Path(log_path)
        self._command = [sys.executable, "-m", module, *arguments]
        self._process = None

    def start(self):
        """Start the process; its output is appended to the log."""
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def is_alive(self):
        """Whether the process runs, frozen or not."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self):
        """The exit code, negative for a signal; None while it runs."""
        return self._process.poll()

    def signal(self, number):
        """Send a signal, unless the process has ended."""
        if self.is_alive:
            os.kill(self._process.pid, number)

    def kill(self):
        """End the process at once and wait for its end."""
        self.signal(signal.SIGKILL)
        self._process.wait(STOP_SECONDS)

    def terminate(self):
        """Ask the process to shut down gracefully; do not wait."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)

    def wait(self, timeout_seconds=STOP_SECONDS):
        """Return the exit code; kill the process if it outlives the time."""
        try:
            return self._process.wait(timeout_seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return self._process.returncode

    def tail(self):
        """Return the end of the log."""
        if not self.log_path.exists():
            return ""
        text = self.log_path.read_text(encoding="utf-8", errors="replace")
        return text[-TAIL_CHARACTERS:]


def stop_all(children):
    """Shut down every child; kill those that do not end in time."""
    running = [child for child in children if child.is_alive]
    for child in running:
        child.terminate()
    end = time.monotonic() + STOP_SECONDS
    for child in running:
        child.wait(max(0.0, end - time.monotonic()))
