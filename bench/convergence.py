"""Print convergence times and control bytes of a zone; check no bounds.

    python -m bench.convergence --proxies 10,50,100,200

One process runs two control hosts with versions in memory, without disk and
quorum; up to 50 proxies, without callers, share a process. The modes: `delta`
subscribes each proxy to five services and those that its target calls,
`delta-all` to all, and `whole` sends the full state on each change. Control
bytes are the payload of the connections in both directions, without TCP and
IP headers.
"""

import argparse
import json
import subprocess
import sys
import time

from hdrh.histogram import HdrHistogram

PROXIES_PER_PROCESS = 50
SERVICES = 50
ROUTES_PER_SERVICE = 4
CHANGES = 20
CHANGE_INTERVAL_SECONDS = 0.25
CHURN_EVENTS = 40
CHURN_INTERVAL_SECONDS = 0.05
IDLE_SECONDS = 4.0
MISSED_CHANGES = 300
DEADLINE_SECONDS = 60.0
MAX_MICROSECONDS = 120_000_000
MODES = {
    "delta": {"needed_only": True, "full_updates": False},
    "delta-all": {"needed_only": False, "full_updates": False},
    "whole": {"needed_only": False, "full_updates": True},
}


class Process:
    """A child process of the benchmark."""

    def __init__(self, **request):
        """Start it and send `request`, whose command is its role."""
        self._child = subprocess.Popen(
            [
                sys.executable,
                "-W",
                "ignore",
                "-m",
                "bench.distribution_process",
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.ask(**request)

    def send(self, **request):
        """Send a command without waiting for its answer."""
        self._child.stdin.write(json.dumps(request) + "\n")
        self._child.stdin.flush()

    def receive(self):
        """Return the answer to the oldest unanswered command."""
        return json.loads(self._child.stdout.readline())

    def ask(self, **request):
        """Send a command and return its answer."""
        self.send(**request)
        return self.receive()

    def stop(self):
        """End the process."""
        self._child.stdin.close()
        self._child.wait()


class Run:
    """One zone with a number of proxies, in one mode."""

    def __init__(self, *, proxies, needed_only, full_updates):
        """Start all processes and wait for the first version."""
        self.count = proxies
        self.control = Process(
            command="control",
            services=SERVICES,
            routes_per_service=ROUTES_PER_SERVICE,
            full_updates=full_updates,
        )
        ports = self.control.ask(command="ports")
        self.processes = [
            Process(
                command="proxies",
                first=first,
                count=min(PROXIES_PER_PROCESS, proxies - first),
                services=SERVICES,
                ports=ports,
                needed_only=needed_only,
            )
            for first in range(0, proxies, PROXIES_PER_PROCESS)
        ]
        self.wait_for(1)
        time.sleep(2.0)

    def wait_for(self, index):
        """Wait until the version is active at every proxy."""
        deadline = time.monotonic() + DEADLINE_SECONDS
        while time.monotonic() < deadline:
            answers = [p.ask(command="versions") for p in self.processes]
            if all(answer["index"] >= index for answer in answers):
                return
            time.sleep(0.1)
        print("  not in force everywhere within the deadline")

    def report(self):
        """Return the versions applied since the last report, and all bytes."""
        reports = [p.ask(command="report") for p in self.processes]
        applied = [item for report in reports for item in report["applied"]]
        return applied, sum(report["bytes"] for report in reports)

    def usage(self):
        """Return the processor seconds of control and proxies, and memory.

        The memory is that of the largest process of proxies, in KiB.
        """
        control = self.control.ask(command="usage")
        proxies = [p.ask(command="usage") for p in self.processes]
        return (
            control["processor_seconds"],
            sum(item["processor_seconds"] for item in proxies),
            max(item["resident_kb"] for item in proxies),
        )

    def stop(self):
        """End all processes."""
        for process in (*self.processes, self.control):
            process.stop()


def histogram_of(seconds):
    """Return an HDR histogram, in microseconds, of durations in seconds."""
    histogram = HdrHistogram(1, MAX_MICROSECONDS, 3)
    for duration in seconds:
        histogram.record_value(max(1, int(duration * 1e6)))
    return histogram


def show(name, histogram, expected):
    """Print a histogram's percentiles, and its count out of `expected`."""
    values = [histogram.get_value_at_percentile(p) for p in (50, 99)]
    values.append(histogram.get_max_value())
    p50, p99, maximum = (value / 1000 for value in values)
    print(
        f"  {name}: p50 {p50:.1f} ms, p99 {p99:.1f} ms, "
        f"max {maximum:.1f} ms, "
        f"{histogram.get_total_count()} of {expected}"
    )


def measure_idle(run):
    """Print the cost without changes; return bytes per second and proxy."""
    _, before = run.report()
    control, proxies, _ = run.usage()
    started_at = time.monotonic()
    time.sleep(IDLE_SECONDS)
    _, after = run.report()
    elapsed_seconds = time.monotonic() - started_at
    control_after, proxies_after, _ = run.usage()
    rate = (after - before) / run.count / elapsed_seconds
    print(
        f"  idle: {rate:.0f} B/s a proxy, "
        f"{(proxies_after - proxies) / elapsed_seconds / run.count * 100:.3f}"
        "% of a core a proxy, "
        f"{(control_after - control) / elapsed_seconds * 100:.2f}"
        "% for the control process"
    )
    return rate


def measure_changes(run, idle_rate):
    """Print how long a version takes to become active, and its bytes."""
    started_at = time.monotonic()
    _, before = run.report()
    control, proxies, _ = run.usage()
    accepted_at = {}
    for _ in range(CHANGES):
        answer = run.control.ask(command="change")
        accepted_at[answer["index"]] = answer["at"]
        time.sleep(CHANGE_INTERVAL_SECONDS)
    run.wait_for(max(accepted_at))
    applied, after = run.report()
    control_after, proxies_after, resident_kb = run.usage()
    elapsed_seconds = time.monotonic() - started_at
    show(
        "change in force at a proxy",
        histogram_of(
            at - accepted_at[index]
            for _, index, at in applied
            if index in accepted_at
        ),
        CHANGES * run.count,
    )
    last_applied_at = {}
    for _, index, at in applied:
        last_applied_at[index] = max(last_applied_at.get(index, 0.0), at)
    show(
        "change in force everywhere",
        histogram_of(
            last_applied_at[index] - at
            for index, at in accepted_at.items()
            if index in last_applied_at
        ),
        CHANGES,
    )
    change_bytes = (after - before) / run.count - idle_rate * elapsed_seconds
    print(f"  bytes a change and proxy: {max(0, change_bytes) / CHANGES:.0f}")
    print(
        "  processor a change, renewals included: "
        f"{(control_after - control) / CHANGES * 1000:.1f} ms for the "
        "control process, "
        f"{(proxies_after - proxies) / CHANGES / run.count * 1000:.2f} ms a "
        f"proxy; {resident_kb / 1024:.0f} MB for a process of proxies"
    )


def measure_churn(run, idle_rate):
    """Print the bytes of one restarted target."""
    started_at = time.monotonic()
    _, before = run.report()
    run.processes[0].ask(
        command="churn", count=CHURN_EVENTS, pause=CHURN_INTERVAL_SECONDS
    )
    time.sleep(1.0)
    _, after = run.report()
    elapsed_seconds = time.monotonic() - started_at
    churn_bytes = (after - before) / run.count - idle_rate * elapsed_seconds
    print(
        "  bytes a churn event and proxy: "
        f"{max(0, churn_bytes) / CHURN_EVENTS:.0f}"
        f" ({1 / CHURN_INTERVAL_SECONDS:.0f} events/s)"
    )


def measure_storm(run):
    """Print how long proxies take to reconnect and apply a new version."""
    _, before = run.report()
    at = run.control.ask(command="reset")["at"]
    index = run.control.ask(command="change")["index"]
    run.wait_for(index)
    applied, after = run.report()
    show(
        "reconnect storm, new version in force",
        histogram_of(
            applied_at - at
            for _, applied_index, applied_at in applied
            if applied_index == index
        ),
        run.count,
    )
    print(f"  bytes a proxy: {(after - before) / run.count:.0f}")


def measure_return(run, *, starting):
    """Print how one process's proxies catch up with missed changes.

    With `starting` they begin with an empty snapshot store.
    """
    process = run.processes[0]
    count = min(run.count, PROXIES_PER_PROCESS)
    process.ask(command="disconnect")
    before = process.ask(command="report")["bytes"]
    index = run.control.ask(command="change", count=MISSED_CHANGES)["index"]
    time.sleep(2.0)
    at = process.ask(command="reconnect", starting=starting)["at"]
    run.wait_for(index)
    report = process.ask(command="report")
    name = "restarted" if starting else "returning"
    show(
        f"{name} after {MISSED_CHANGES} missed changes",
        histogram_of(
            applied_at - at
            for _, applied_index, applied_at in report["applied"]
            if applied_index == index
        ),
        count,
    )
    print(f"  bytes a proxy: {(report['bytes'] - before) / count:.0f}")


def main():
    """Measure each number of proxies in each mode."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--proxies", default="10,50,100,200")
    parser.add_argument("--modes", default=",".join(MODES))
    options = parser.parse_args()
    print(
        f"{SERVICES} services, {SERVICES * ROUTES_PER_SERVICE} routes, one "
        f"target a proxy, up to {PROXIES_PER_PROCESS} proxies a process"
    )
    for mode in options.modes.split(","):
        for proxies in map(int, options.proxies.split(",")):
            print(f"{mode}, {proxies} proxies")
            run = Run(proxies=proxies, **MODES[mode])
            try:
                idle_rate = measure_idle(run)
                measure_changes(run, idle_rate)
                measure_churn(run, idle_rate)
                measure_storm(run)
                measure_return(run, starting=False)
                measure_return(run, starting=True)
            finally:
                run.stop()
            sys.stdout.flush()


if __name__ == "__main__":
    main()
