"""Measure how fast a learner catches up after missed changes.

Usage: python -m bench.replication_catch_up [FOLDER]. Three voters and one
learner share one process; the learner is stopped, misses changes of a mesh
of 550 services, and starts again. Prints the time from its start until it
has the newest version, by log entries, by a snapshot, and from an empty
folder.
"""

import pathlib
import shutil
import sys
import tempfile
import time

import eventlet

eventlet.monkey_patch()

from tests.support.replicas import Cluster  # noqa: E402
from verbenanotch import telemetry  # noqa: E402
from verbenanotch.catalog import Submission  # noqa: E402

MISSED_CHANGES = (100, 300, 600)
SERVICES = 550
# Entries between snapshots. With the first value none is taken; the second is
# less than any number of missed changes.
LOG_ONLY_INTERVAL = 100_000
SNAPSHOT_INTERVAL = 50


def main():
    """Print a row per number of missed changes and kind of transfer."""
    telemetry.configure(host="bench", level="error")
    parent = sys.argv[1] if len(sys.argv) > 1 else None
    for missed in MISSED_CHANGES:
        measure(parent, "log", missed, snapshot_every=LOG_ONLY_INTERVAL)
        measure(parent, "snapshot", missed, snapshot_every=SNAPSHOT_INTERVAL)
        measure(
            parent,
            "empty folder",
            missed,
            snapshot_every=LOG_ONLY_INTERVAL,
            wipe=True,
        )


def measure(parent, label, missed, *, snapshot_every, wipe=False):
    """Stop the learner, submit changes, and time how it catches up."""
    directory = tempfile.mkdtemp(dir=parent)
    cluster = Cluster(
        path=pathlib.Path(directory),
        voters=("c1", "c2", "c3"),
        learners=("c4",),
        election_timeout_ms=1000,
        heartbeat_ms=200,
        snapshot_every_entries=snapshot_every,
    )
    cluster.start()
    try:
        cluster.agree(cluster.leader().submit(0).version)
        cluster.stop("c4")
        if wipe:
            cluster.wipe("c4")
        leader = cluster.leader()
        for number in range(missed):
            submit_large(leader, number)
        newest = leader.versions.current_version
        began = time.monotonic()
        cluster.start("c4")
        cluster.agree(newest)
        seconds = time.monotonic() - began
        size = len(leader.versions.snapshot())
        print(
            f"{label:14} missed {missed:4}  {seconds * 1000:8.0f} ms  "
            f"snapshot of all {size / 1000:8.0f} KB",
            flush=True,
        )
    finally:
        cluster.close()
        shutil.rmtree(directory)


def submit_large(host, number):
    """Submit a mesh of many services with slots that depend on `number`."""
    lines = ['name = "bench"']
    for service in range(SERVICES):
        slots = 1 + (number * 7 + service) % 100
        lines.append(f"[services.service-{service}]\nslots = {slots}")
    outcome = host.service.submit(
        submission=Submission(
            submission_id=f"large-{number}",
            operator="bench",
            text="\n".join(lines).encode(),
            base=host.versions.current_version,
        ),
        timeout_seconds=30,
    )
    assert outcome.version == host.versions.current_version


if __name__ == "__main__":
    main()
