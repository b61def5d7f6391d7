"""Start, monitor and stop the processes of a small mesh."""

import os
import pathlib
import signal
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
STOP_TIMEOUT_SECONDS = 15.0
POLL_INTERVAL_SECONDS = 0.05
TAIL_CHARACTERS = 2000
LOG_PIPES_VARIABLE = "VERBENANOTCH_LOG_PIPES"


class WaitTimeoutError(Exception):
    """A condition did not become true in time."""


def wait_until(predicate, *, timeout_seconds, what, explain=lambda: ""):
    """Call `predicate` repeatedly; return its first true value.

    Raises WaitTimeoutError after `timeout_seconds`. Its message contains
    `what`, a noun phrase for the awaited condition, and ends with the text
    that `explain` returns.
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
        time.sleep(POLL_INTERVAL_SECONDS)


class Child:
    """A child process and its log file.

    With the environment variable LOG_PIPES_VARIABLE, the process writes to a
    pipe, as under a supervisor, and another process copies that to the file.
    """

    def __init__(self, *, name, module, arguments, log_path):
        """Prepare to run `python -m module` in the root of the repository."""
        self.name = name
        self.log_path = pathlib.Path(log_path)
        self._command = [sys.executable, "-m", module, *arguments]
        self._process = None
        self._copier = None

    def start(self):
        """Start the process; its output is appended to the log."""
        with self.log_path.open("ab") as log:
            if os.environ.get(LOG_PIPES_VARIABLE):
                self._copier = subprocess.Popen(
                    ["cat"], stdin=subprocess.PIPE, stdout=log
                )
                with self._copier.stdin as pipe:
                    self._process = self._start_with_output(pipe)
            else:
                self._process = self._start_with_output(log)

    def _start_with_output(self, output):
        return subprocess.Popen(
            self._command,
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
        )

    def _finish_log(self):
        """Wait until the file has all that the ended process has written."""
        if self._copier is not None:
            self._copier.wait(STOP_TIMEOUT_SECONDS)

    @property
    def is_alive(self):
        """Whether the process runs; also true while SIGSTOP suspends it."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self):
        """The id of the process that was started last."""
        return self._process.pid

    @property
    def exit_code(self):
        """The exit code, negative for a signal; None while it runs."""
        return self._process.poll()

    def signal(self, number):
        """Send a signal, unless the process has ended."""
        if self.is_alive:
            os.kill(self._process.pid, number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        self._process.wait(STOP_TIMEOUT_SECONDS)
        self._finish_log()

    def terminate(self):
        """Request a graceful shutdown without waiting for its end.

        A suspended process is resumed first.
        """
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)

    def wait(self, timeout_seconds=STOP_TIMEOUT_SECONDS):
        """Return the exit code; kill the process after `timeout_seconds`."""
        try:
            self._process.wait(timeout_seconds)
        except subprocess.TimeoutExpired:
            self.kill()
        self._finish_log()
        return self._process.returncode

    def tail(self):
        """Return the last TAIL_CHARACTERS characters of the log."""
        if not self.log_path.exists():
            return ""
        text = self.log_path.read_text(encoding="utf-8", errors="replace")
        return text[-TAIL_CHARACTERS:]


def stop_all(children):
    """Shut down every child; kill those that have not ended in time."""
    running = [child for child in children if child.is_alive]
    for child in running:
        child.terminate()
    end = time.monotonic() + STOP_TIMEOUT_SECONDS
    for child in running:
        child.wait(max(0.0, end - time.monotonic()))
