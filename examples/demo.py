"""Run a small mesh: submit a mesh file and send requests through the mesh.

`python -m examples.demo --mesh brittany` starts one daemon per host and one
stand-in target on each proxy's host, shows the operators' commands and
callers' requests, and stops everything that it started. Logs, data and event
files stay in `run/` until the next start.
"""

import argparse
import collections
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import time

import urllib3

from examples import topology as plans
from examples.deployments import DEPLOYMENTS_BY_NAME
from examples.launcher import (
    ROOT,
    Child,
    WaitTimeoutError,
    stop_all,
    wait_until,
)

START_TIMEOUT_SECONDS = 60.0
REACHABLE_TIMEOUT_SECONDS = 20.0
DRAIN_WAIT_SECONDS = 5.0
KEYED_REQUESTS_TIMEOUT_SECONDS = 30.0
# New keys that must be answered in a row at each proxy. They have different
# record holders.
ANSWERED_KEYS_IN_A_ROW = 3
REQUEST_TIMEOUT_SECONDS = 15.0
REQUESTS_AFTER_DRAIN = 20
NANOSECONDS_PER_MILLISECOND = 1_000_000


class DemonstrationError(Exception):
    """A step of the demonstration failed."""


class Demonstration:
    """Processes and steps of one demonstration."""

    def __init__(self, *, deployment):
        """Plan the mesh without starting a process."""
        self._deployment = deployment
        self._topology = deployment.topology
        self._run_directory = ROOT / deployment.run_directory
        self._daemons = []
        self._targets_by_proxy = {}
        self._pool = urllib3.PoolManager(
            retries=False, timeout=REQUEST_TIMEOUT_SECONDS
        )

    def run(self):
        """Run every step; stop all processes also after an error."""
        self._check_addresses()
        shutil.rmtree(self._run_directory, ignore_errors=True)
        self._run_directory.mkdir(parents=True)
        try:
            self._start()
            self._submit()
            self._show_query()
            request_id = self._show_change()
            self._show_drain()
            self._show_explanation(request_id)
        finally:
            _print_heading("Stopping every process")
            stop_all(list(self._targets_by_proxy.values()))
            stop_all(self._daemons)

    def _check_addresses(self):
        for host in self._topology.hosts_by_name.values():
            if _accepts_connections(host.address, plans.PEER_PORT):
                raise DemonstrationError(
                    f"{host.address}:{plans.PEER_PORT} is in use; "
                    "end the other demonstration first"
                )

    def _start(self):
        hosts = self._topology.hosts_by_name
        _print_heading(
            f"Starting {len(self._topology.control_hosts)} control hosts, "
            f"{len(self._topology.proxies)} proxies and as many targets in "
            f"{len(self._deployment.services_by_zone)} availability zones"
        )
        for name in hosts:
            settings = self._deployment.settings_directory / f"{name}.toml"
            self._daemons.append(
                self._start_child(
                    name,
                    "verbenanotch.cli.daemon",
                    [f"--settings={settings}"],
                )
            )
        for proxy_name, service in self._deployment.services_by_proxy.items():
            self._targets_by_proxy[proxy_name] = self._start_child(
                f"{proxy_name}-target",
                "examples.stand_in_target",
                self._target_arguments(hosts[proxy_name], service),
            )
        for host in self._topology.control_hosts:
            self._wait_until_ready(
                lambda host=host: self._is_ready(host), host.name
            )
        for host in self._topology.proxies:
            self._wait_until_ready(
                lambda host=host: _accepts_connections(
                    host.address, plans.CALLER_PORT
                ),
                host.name,
            )

    def _submit(self):
        _print_heading("An operator checks the file and submits it")
        path = os.path.relpath(self._deployment.mesh_path, ROOT)
        self._run_tool("check", path)
        self._run_tool("submit", path, "--wait")
        self._run_tool("status")

    def _show_query(self):
        sample = self._deployment.query
        _print_heading("A caller sends a query; any proxy can be its entry")
        for zone in self._deployment.services_by_zone:
            self._send_when_reachable(sample, proxy=f"{zone}-proxy-1")

    def _show_change(self):
        sample = self._deployment.change
        _print_heading(
            "A caller sends one change twice, through two zones, with one key"
        )
        proxies = [
            f"{zone}-proxy-1" for zone in self._deployment.services_by_zone
        ][:2]
        self._wait_until_keys_are_recorded(sample, proxies)
        key = _make_key("demo")
        first = self._send_when_reachable(sample, proxy=proxies[0], key=key)
        self._send_and_print(sample, proxy=proxies[1], key=key)
        runs = self._count_runs(key)
        print(f"  the ledgers of the targets show {runs} run of key {key}")
        if runs != 1:
            raise DemonstrationError(f"key {key} ran {runs} times")
        return first.headers["X-Request-Id"]

    def _show_drain(self):
        proxy_name = next(iter(self._deployment.services_by_proxy))
        service = self._deployment.services_by_proxy[proxy_name]
        host = self._topology.hosts_by_name[proxy_name]
        target_id = f"{service}/{host.server(plans.TARGET_SERVICE_PORT)}"
        _print_heading("An operator drains a target")
        self._run_tool("drain", target_id)
        time.sleep(DRAIN_WAIT_SECONDS)
        counts_by_target = collections.Counter(
            self._answering_target(self._deployment.query, proxy=proxy_name)
            for _ in range(REQUESTS_AFTER_DRAIN)
        )
        for name, count in sorted(counts_by_target.items()):
            print(f"  {count} requests served by {name}")
        if target_id in counts_by_target:
            raise DemonstrationError(
                f"{target_id} received requests after its drain"
            )

    def _show_explanation(self, request_id):
        _print_heading("What happened to the change")
        self._run_tool("explain", request_id, self._deployment.run_directory)

    def _start_child(self, name, module, arguments):
        child = Child(
            name=name,
            module=module,
            arguments=arguments,
            log_path=self._run_directory / f"{name}.log",
        )
        child.start()
        return child

    def _target_arguments(self, host, service):
        ledger = self._run_directory / f"{host.name}.ledger.jsonl"
        return [
            f"--service={service}",
            f"--address={host.address}",
            f"--port={plans.TARGET_SERVICE_PORT}",
            f"--proxy={host.server(plans.TARGET_PORT)}",
            f"--mesh-entry={host.server(plans.CALLER_PORT)}",
            f"--slots={self._deployment.slots}",
            f"--ledger={ledger}",
        ]

    def _run_tool(self, *arguments):
        print(f"$ verbenanotch {' '.join(arguments)}", flush=True)
        settings = self._deployment.settings_directory / "tool.toml"
        result = subprocess.run(
            [sys.executable, "-m", "verbenanotch.cli.tool", *arguments],
            cwd=ROOT,
            env=os.environ | {"VERBENANOTCH_TOOL_SETTINGS": str(settings)},
        )
        if result.returncode:
            raise DemonstrationError(
                f"verbenanotch {arguments[0]} ended with code "
                f"{result.returncode}; see the logs in {self._run_directory}"
            )

    def _send_and_print(self, sample, *, proxy, key=None):
        """Send a request, print it and its outcome; return the response."""
        response = self._request(sample, proxy=proxy, key=key)
        print(
            f"  {sample.method} {sample.path} at {proxy}: "
            f"{response.status} "
            f"{response.headers.get('X-Verbenanotch-Outcome')} "
            f"{_target_name(response)}"
        )
        return response

    def _send_when_reachable(self, sample, *, proxy, key=None):
        """Send a request once the proxy reaches the service.

        Raises DemonstrationError if the outcome is not `answered`.
        """
        self._wait_until_reachable(sample, proxy=proxy)
        response = self._send_and_print(sample, proxy=proxy, key=key)
        if response.headers.get("X-Verbenanotch-Outcome") != "answered":
            raise DemonstrationError(f"{sample.path} was not answered")
        return response

    def _answering_target(self, sample, *, proxy):
        return _target_name(self._request(sample, proxy=proxy))

    def _wait_until_reachable(self, sample, *, proxy):
        """Wait until the proxy answers a harmless query to the service."""
        query = _as_query(sample)
        wait_until(
            lambda: self._request(query, proxy=proxy).status == 200,
            timeout_seconds=REACHABLE_TIMEOUT_SECONDS,
            what=f"answer to {query.path} at {proxy}",
            explain=self._logs_of_ended_daemons,
        )

    def _wait_until_keys_are_recorded(self, sample, proxies):
        """Wait until proxies answer requests with new keys.

        Record holders that have just joined may have missed keys issued
        before, so they answer such keys as unknown.
        """
        wait_until(
            lambda: all(
                self._request(
                    sample, proxy=proxy, key=_make_key("probe")
                ).headers.get("X-Verbenanotch-Outcome")
                == "answered"
                for proxy in proxies * ANSWERED_KEYS_IN_A_ROW
            ),
            timeout_seconds=KEYED_REQUESTS_TIMEOUT_SECONDS,
            what=f"answers to {sample.path} with new idempotency keys at "
            f"{' and '.join(proxies)}",
            explain=self._logs_of_ended_daemons,
        )

    def _request(self, sample, *, proxy, key=None):
        host = self._topology.hosts_by_name[proxy]
        return self._pool.request(
            sample.method,
            f"http://{host.server(plans.CALLER_PORT)}{sample.path}",
            body=sample.body,
            headers={"Idempotency-Key": key} if key else {},
        )

    def _count_runs(self, key):
        count = 0
        for path in self._run_directory.glob("*.ledger.jsonl"):
            for line in path.read_text(encoding="utf-8").splitlines():
                entry = json.loads(line)
                if entry["key"] == key and entry["phase"] == "started":
                    count += 1
        return count

    def _is_ready(self, host):
        url = f"http://{host.server(plans.OPERATOR_PORT)}/v1/ready"
        try:
            return self._pool.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _wait_until_ready(self, predicate, name):
        wait_until(
            predicate,
            timeout_seconds=START_TIMEOUT_SECONDS,
            what=f"readiness of {name}",
            explain=self._logs_of_ended_daemons,
        )

    def _logs_of_ended_daemons(self):
        return "\n".join(
            f"--- {child.name}\n{child.tail()}"
            for child in self._daemons
            if not child.is_alive
        )


def _make_key(name):
    """Return an idempotency key that is issued now."""
    return f"{time.time_ns() // NANOSECONDS_PER_MILLISECOND}-{name}"


def _as_query(sample):
    """Return a harmless request to the route of a sample request."""
    return type(sample)(method="GET", path=sample.path)


def _target_name(response):
    try:
        return json.loads(response.data).get("target", "no target")
    except ValueError:
        return "no target"


def _accepts_connections(address, port):
    try:
        socket.create_connection((address, port), 1.0).close()
    except OSError:
        return False
    return True


def _print_heading(text):
    print(f"\n== {text}", flush=True)


def main():
    """Run the demonstration with the mesh that the arguments name."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--mesh", choices=sorted(DEPLOYMENTS_BY_NAME), default="brittany"
    )
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    demo = Demonstration(deployment=DEPLOYMENTS_BY_NAME[arguments.mesh])
    try:
        demo.run()
    except (DemonstrationError, WaitTimeoutError) as error:
        print(f"the demonstration failed: {error}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
