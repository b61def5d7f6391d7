"""Measure submissions to three voters that share one process and loop.

Usage: python -m bench.replication_submit [FOLDER]. Real connections on
127.0.0.1 and real syncs; since the three voters share a loop, their syncs
block each other, and separate processes are at least as fast. Prints the
latency of submissions one after another (on the leader and forwarded), and
of concurrent proposals, with the number of syncs per proposal.
"""

import pathlib
import shutil
import sys
import tempfile
import time

import eventlet

eventlet.monkey_patch()

from hdrh.histogram import HdrHistogram  # noqa: E402

from tests.support.replicas import Cluster  # noqa: E402
from verbenanotch import telemetry  # noqa: E402
from verbenanotch.catalog import Submission  # noqa: E402
from verbenanotch.replication import Committed  # noqa: E402
from verbenanotch.telemetry import metrics  # noqa: E402
from verbenanotch.versions._state_machine import encode_submission  # noqa: E402

SUBMISSIONS = 200
CONCURRENT = (1, 10, 50)
ROUNDS = 20
POLL_SECONDS = 0.0005
MAX_MICROSECONDS = 60_000_000


def main():
    """Measure and print all rows."""
    telemetry.configure(host="bench", level="error")
    parent = sys.argv[1] if len(sys.argv) > 1 else None
    directory = tempfile.mkdtemp(dir=parent)
    cluster = Cluster(
        path=pathlib.Path(directory),
        voters=("c1", "c2", "c3"),
        election_timeout_ms=1000,
        heartbeat_ms=200,
    )
    cluster.start()
    try:
        cluster.agree(cluster.leader().submit(0).version)
        measure_submissions(cluster, "leader", cluster.leader())
        measure_submissions(cluster, "forwarded", cluster.followers()[0])
        for count in CONCURRENT:
            measure_concurrent(cluster.leader(), count)
    finally:
        cluster.close()
        shutil.rmtree(directory)


def measure_submissions(cluster, label, host):
    """Measure submissions one after another."""
    histogram = HdrHistogram(1, MAX_MICROSECONDS, 3)
    applied_by_all = HdrHistogram(1, MAX_MICROSECONDS, 3)
    for number in range(SUBMISSIONS):
        began = time.monotonic()
        outcome = host.submit(f"{label}-{number}")
        record(histogram, began)
        while not all_applied(cluster, outcome.version):
            eventlet.sleep(POLL_SECONDS)
        record(applied_by_all, began)
    report(f"submissions, {label}", histogram)
    report("  until all voters apply it", applied_by_all)


def all_applied(cluster, version):
    """Return whether this is the current version of every host."""
    return all(
        host.versions.current_version == version
        for host in cluster.hosts_by_name.values()
    )


def measure_concurrent(host, count):
    """Propose `count` commands at once, several times."""
    histogram = HdrHistogram(1, MAX_MICROSECONDS, 3)
    syncs = metrics.totals_by_name["replication.fsyncs"]

    def propose(number):
        # Without a base the submission ends in a conflict, which is also
        # decided by a committed entry.
        submission = Submission(
            submission_id=f"{count}-{number}-{time.monotonic()}",
            operator="bench",
            text=b'name = "m"',
        )
        command = encode_submission(submission)
        began = time.monotonic()
        outcome = host.replica.propose(command=command, timeout_seconds=10)
        record(histogram, began)
        assert isinstance(outcome, Committed)

    pool = eventlet.GreenPool(count)
    for _ in range(ROUNDS):
        list(pool.imap(propose, range(count)))
    syncs = metrics.totals_by_name["replication.fsyncs"] - syncs
    report(f"proposals, {count} at once", histogram)
    syncs_per_proposal = syncs / (ROUNDS * count)
    print(f"  syncs a proposal, all three voters: {syncs_per_proposal:.2f}")


def record(histogram, began):
    """Record the time since `began`."""
    histogram.record_value(int((time.monotonic() - began) * 1e6))


def report(label, histogram):
    """Print the percentiles in a histogram as one row."""
    print(
        f"{label:28} "
        f"p50 {histogram.get_value_at_percentile(50) / 1000:7.2f} ms  "
        f"p99 {histogram.get_value_at_percentile(99) / 1000:7.2f} ms  "
        f"max {histogram.get_max_value() / 1000:7.2f} ms"
    )


if __name__ == "__main__":
    main()
