"""The log blocks no process, whatever its standard output is."""

import contextlib
import json
import os
import pty
import socket
import subprocess
import sys
import time
import tty

import eventlet
import pytest

from examples.launcher import ROOT
from tests.support.log_load import GREENTHREADS, ROUNDS

LINES = GREENTHREADS * ROUNDS
# Only ends processes that hang.
HANG_SECONDS = 20.0
READ_BYTES = 65536
POLL_SECONDS = 0.05


class Output:
    """A standard output; `read()` returns its bytes until the writer ends."""

    def __init__(self, *, reader, writer, is_read=True):
        """Use two descriptors; `reader` is None if the reader has gone."""
        self._reader = reader
        self.writer = writer
        self._is_read = is_read
        self.received = b""
        if reader is not None:
            os.set_blocking(reader, False)

    def read_available(self):
        """Keep the bytes that have arrived."""
        while self._is_read and self._reader is not None:
            try:
                data = os_read(self._reader, READ_BYTES)
            except OSError:
                return
            if not data:
                return
            self.received += data

    def close(self):
        """Close what is still open."""
        for descriptor in (self._reader, self.writer):
            with contextlib.suppress(OSError, TypeError):
                os.close(descriptor)


# Eventlet's os.read waits for data.
os_read = eventlet.patcher.original("os").read


def make_file(tmp_path, *, is_read):
    path = tmp_path / "log"
    writer = os.open(path, os.O_CREAT | os.O_WRONLY | os.O_APPEND)
    return Output(reader=os.open(path, os.O_RDONLY), writer=writer)


def make_pipe(tmp_path, *, is_read):
    reader, writer = os.pipe()
    return Output(reader=reader, writer=writer, is_read=is_read)


def make_pipe_without_reader(tmp_path, *, is_read):
    reader, writer = os.pipe()
    os.close(reader)
    return Output(reader=None, writer=writer)


def make_socket(tmp_path, *, is_read):
    reader, writer = socket.socketpair()
    return Output(
        reader=reader.detach(), writer=writer.detach(), is_read=is_read
    )


def make_terminal(tmp_path, *, is_read):
    reader, writer = pty.openpty()
    tty.setraw(writer)
    return Output(reader=reader, writer=writer, is_read=is_read)


@pytest.fixture
def run_load(tmp_path):
    """Run the load with an output; return its report, None if it hangs."""

    def run(output):
        report_path = tmp_path / "report.json"
        process = subprocess.Popen(
            [sys.executable, "-m", "tests.support.log_load", report_path],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=output.writer,
        )
        end = time.monotonic() + HANG_SECONDS
        try:
            while process.poll() is None and time.monotonic() < end:
                output.read_available()
                eventlet.sleep(POLL_SECONDS)
        finally:
            process.kill()
            process.wait()
        output.read_available()
        output.close()
        if not report_path.exists():
            return None
        return json.loads(report_path.read_text(encoding="utf-8"))

    return run


@pytest.mark.parametrize("is_read", [True, False])
@pytest.mark.parametrize(
    "make",
    [
        make_file,
        make_pipe,
        make_pipe_without_reader,
        make_socket,
        make_terminal,
    ],
)
def test_a_process_that_logs_at_once_never_hangs(
    run_load, tmp_path, make, is_read
):
    """Guard against a logger's lock that is held while the loop runs."""
    output = make(tmp_path, is_read=is_read)
    report = run_load(output)
    assert report is not None, "the process hangs"
    assert report["finished"] == GREENTHREADS
    if output.received:
        # A process that ends leaves the rest of its last line unwritten.
        complete, _, _ = output.received.rpartition(b"\n")
        lines = complete.decode().splitlines()
        assert all(json.loads(line) for line in lines)
        events = [line for line in lines if '"started"' in line]
        assert len(events) <= LINES
        assert len(events) + report["dropped"] >= LINES - 1
    if make is make_file:
        assert report["dropped"] == 0
