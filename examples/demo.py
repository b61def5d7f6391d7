"""Run a small mesh from an operator's file to a served request.

`python -m examples.demo --mesh brittany` starts one daemon per host and one
stand-in target beside each proxy, shows the operators' commands and callers'
requests, and stops everything it started. Logs, data and event files stay in
`run/` until the next start.
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

START_SECONDS = 60.0
SERVED_SECONDS = 20.0
DRAIN_SECONDS = 5.0
SETTLE_SECONDS = 3.0
CALL_SECONDS = 15.0
CALLS_AFTER_DRAIN = 20
NANOSECONDS_PER_MILLISECOND = 1_000_000


class DemoError(Exception):
    """The demonstration did not go as it should."""


class Demo:
    """Processes and steps of one demonstration."""

    def __init__(self, *, deployment):
        """Plan the mesh; start nothing."""
        self._deployment = deployment
        self._topology = deployment.topology
        self._folder = ROOT / deployment.run_folder
        self._daemons = []
        self._targets_by_proxy = {}
        self._pool = urllib3.PoolManager(retries=False, timeout=CALL_SECONDS)

    def run(self):
        """Go through every step; stop all processes whatever happens."""
        self._check_addresses()
        shutil.rmtree(self._folder, ignore_errors=True)
        self._folder.mkdir(parents=True)
        try:
            self._start()
            self._submit()
            self._show_query()
            request_id = self._show_change()
            self._show_drain()
            self._show_time_line(request_id)
        finally:
            _say("Stopping every process")
            stop_all(list(self._targets_by_proxy.values()))
            stop_all(self._daemons)

    def _check_addresses(self):
        for host in self._topology.hosts_by_name.values():
            if _accepts(host.address, plans.PEER_PORT):
                raise DemoError(
                    f"{host.address}:{plans.PEER_PORT} is in use; "
                    "end the other demonstration first"
                )

    def _start(self):
        hosts = self._topology.hosts_by_name
        _say(
            f"Starting {len(self._topology.control_hosts)} control hosts, "
            f"{len(self._topology.proxies)} proxies and as many targets in "
            f"{len(self._deployment.services_by_zone)} availability zones"
        )
        for name in hosts:
            settings = self._deployment.settings_folder / f"{name}.toml"
            self._daemons.append(
                self._child(
                    name,
                    "verbenanotch.cli.daemon",
                    [f"--settings={settings}"],
                )
            )
        for proxy_name, service in self._deployment.services_by_proxy.items():
            self._targets_by_proxy[proxy_name] = self._child(
                f"{proxy_name}-target",
                "examples.stand_in_target",
                self._target_arguments(hosts[proxy_name], service),
            )
        for host in self._topology.control_hosts:
            self._wait(lambda host=host: self._is_ready(host), host.name)
        for host in self._topology.proxies:
            self._wait(
                lambda host=host: _accepts(host.address, plans.CALLER_PORT),
                host.name,
            )

    def _submit(self):
        _say("An operator checks the file and submits it")
        path = os.path.relpath(self._deployment.mesh_path, ROOT)
        self._tool("check", path)
        self._tool("submit", path, "--wait")
        self._tool("status")

    def _show_query(self):
        sample = self._deployment.query
        _say("A caller asks; any proxy serves as the entry")
        for zone in self._deployment.services_by_zone:
            self._served(sample, proxy=f"{zone}-proxy-1")

    def _show_change(self):
        sample = self._deployment.change
        _say("A caller sends a change with a key, twice through two zones")
        # Holders of records that have just joined cannot know keys issued
        # earlier, so that such a key ends as unknown.
        time.sleep(SETTLE_SECONDS)
        key = f"{time.time_ns() // NANOSECONDS_PER_MILLISECOND}-demo"
        zones = list(self._deployment.services_by_zone)
        first = self._served(sample, proxy=f"{zones[0]}-proxy-1", key=key)
        self._call(sample, proxy=f"{zones[1]}-proxy-1", key=key)
        runs = self._count_runs(key)
        print(f"  the ledgers of the targets show {runs} run of key {key}")
        if runs != 1:
            raise DemoError(f"key {key} ran {runs} times")
        return first.headers["X-Request-Id"]

    def _show_drain(self):
        proxy_name = next(iter(self._deployment.services_by_proxy))
        service = self._deployment.services_by_proxy[proxy_name]
        host = self._topology.hosts_by_name[proxy_name]
        target_id = f"{service}/{host.server(plans.TARGET_SERVICE_PORT)}"
        _say("An operator drains a target")
        self._tool("drain", target_id)
        time.sleep(DRAIN_SECONDS)
        served = collections.Counter(
            self._served_quietly(self._deployment.query, proxy=proxy_name)
            for _ in range(CALLS_AFTER_DRAIN)
        )
        for name, count in sorted(served.items()):
            print(f"  {count} requests served by {name}")
        if target_id in served:
            raise DemoError(f"{target_id} was given work after its drain")

    def _show_time_line(self, request_id):
        _say("What happened to the change")
        self._tool("explain", request_id, self._deployment.run_folder)

    def _child(self, name, module, arguments):
        child = Child(
            name=name,
            module=module,
            arguments=arguments,
            log_path=self._folder / f"{name}.log",
        )
        child.start()
        return child

    def _target_arguments(self, host, service):
        ledger = self._folder / f"{host.name}.ledger.jsonl"
        return [
            f"--service={service}",
            f"--address={host.address}",
            f"--port={plans.TARGET_SERVICE_PORT}",
            f"--proxy={host.server(plans.TARGET_PORT)}",
            f"--mesh-entry={host.server(plans.CALLER_PORT)}",
            f"--slots={self._deployment.slots}",
            f"--ledger={ledger}",
        ]

    def _tool(self, *arguments):
        print(f"$ verbenanotch {' '.join(arguments)}", flush=True)
        settings = self._deployment.settings_folder / "tool.toml"
        result = subprocess.run(
            [sys.executable, "-m", "verbenanotch.cli.tool", *arguments],
            cwd=ROOT,
            env=os.environ | {"VERBENANOTCH_TOOL_SETTINGS": str(settings)},
        )
        if result.returncode:
            raise DemoError(
                f"verbenanotch {arguments[0]} ended with code "
                f"{result.returncode}; see the logs in {self._folder}"
            )

    def _call(self, sample, *, proxy, key=None):
        """Send a request, print it with its outcome, return the response."""
        response = self._request(sample, proxy=proxy, key=key)
        print(
            f"  {sample.method} {sample.path} at {proxy}: "
            f"{response.status} "
            f"{response.headers.get('X-Verbenanotch-Outcome')} "
            f"{_target_of(response)}"
        )
        return response

    def _served(self, sample, *, proxy, key=None):
        """Send a request until it is answered; not-run may be sent again."""
        self._wait_served(sample, proxy=proxy)
        response = self._call(sample, proxy=proxy, key=key)
        if response.headers.get("X-Verbenanotch-Outcome") != "answered":
            raise DemoError(f"{sample.path} was not answered")
        return response

    def _served_quietly(self, sample, *, proxy):
        return _target_of(self._request(sample, proxy=proxy))

    def _wait_served(self, sample, *, proxy):
        """Wait until the proxy reaches the service, by harmless queries."""
        query = _harmless(sample)
        wait_until(
            lambda: self._request(query, proxy=proxy).status == 200,
            timeout_seconds=SERVED_SECONDS,
            what=f"answer to {query.path} at {proxy}",
            explain=self._tails,
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
        for path in self._folder.glob("*.ledger.jsonl"):
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

    def _wait(self, predicate, name):
        wait_until(
            predicate,
            timeout_seconds=START_SECONDS,
            what=f"ready {name}",
            explain=self._tails,
        )

    def _tails(self):
        return "\n".join(
            f"--- {child.name}\n{child.tail()}"
            for child in self._daemons
            if not child.is_alive
        )


def _harmless(sample):
    """Return a harmless request to the route of a sample."""
    return type(sample)(method="GET", path=sample.path)


def _target_of(response):
    try:
        return json.loads(response.data).get("target", "no target")
    except ValueError:
        return "no target"


def _accepts(address, port):
    try:
        socket.create_connection((address, port), 1.0).close()
    except OSError:
        return False
    return True


def _say(text):
    print(f"\n== {text}", flush=True)


def main():
    """Run the demonstration that the arguments name."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--mesh", choices=sorted(DEPLOYMENTS_BY_NAME), default="brittany"
    )
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    demo = Demo(deployment=DEPLOYMENTS_BY_NAME[arguments.mesh])
    try:
        demo.run()
    except (DemoError, WaitTimeoutError) as error:
        print(f"the demonstration failed: {error}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
