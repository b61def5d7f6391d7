"""Crashes of targets by one request that its caller sends again and again.

    .venv/bin/python -m bench.crashing_request --meanwhile nothing

The request goes to the proxies in turn, every `--interval`, while proxies or
control hosts are stopped, killed or started. Targets that end are started
again at once. Printed are the runs of the request by the targets' ledgers.
"""

import os
import warnings

os.environ["EVENTLET_NO_GREENDNS"] = "yes"
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

if __name__ == "__main__":
    eventlet.monkey_patch()

import collections  # noqa: E402
import pathlib  # noqa: E402
import random  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402

import click  # noqa: E402

from examples.deployments import DEPLOYMENTS_BY_NAME  # noqa: E402
from tests.integration.crashing_callers import CrashingCaller  # noqa: E402
from tests.support.harness import Mesh  # noqa: E402

RESTART_INTERVAL_SECONDS = 2.0
KILL_ALL_AT_SECONDS = 12.0
KILLED_SHARE = 0.5
DEFAULT_PATIENCE_MS = 15_000
PATHS_BY_MESH = {"prairie": "/docket/1", "brittany": "/jobs/1"}


def do_nothing(mesh, seconds, random):
    """Leave all processes alone."""
    eventlet.sleep(seconds)


def restart_proxies_in_turn(mesh, seconds, random):
    """Stop each proxy by SIGTERM and start it again, one after the other."""
    names = [host.name for host in mesh.topology.proxies]
    for number in range(int(seconds / RESTART_INTERVAL_SECONDS)):
        name = names[number % len(names)]
        eventlet.spawn_n(_terminate_and_start, mesh, name)
        eventlet.sleep(RESTART_INTERVAL_SECONDS)


def kill_proxies(mesh, seconds, random):
    """Kill all proxies at once and start them again."""
    _kill_all(mesh, [host.name for host in mesh.topology.proxies], seconds)


def kill_all(mesh, seconds, random):
    """Kill all proxies and control hosts at once and start them again."""
    _kill_all(mesh, list(mesh.topology.hosts_by_name), seconds)


def inject_random_faults(mesh, seconds, random):
    """Stop or kill random hosts; faults overlap."""
    names = list(mesh.topology.hosts_by_name)
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        count = random.choice((1, 1, 1, 2, 4))
        for name in random.sample(names, count):
            is_killed = random.random() < KILLED_SHARE
            eventlet.spawn_n(_terminate_and_start, mesh, name, is_killed)
        eventlet.sleep(random.uniform(0, 2 * RESTART_INTERVAL_SECONDS))


def _terminate_and_start(mesh, name, is_killed=False):
    child = mesh.child(name)
    if not child.is_alive:
        return
    if is_killed:
        child.kill()
    else:
        child.terminate()
    while child.is_alive:
        eventlet.sleep(0.05)
    child.start()


def _kill_all(mesh, names, seconds):
    eventlet.sleep(KILL_ALL_AT_SECONDS)
    for name in names:
        mesh.kill(name)
    for name in names:
        mesh.start_host(name)
    eventlet.sleep(seconds - KILL_ALL_AT_SECONDS)


EVENTS_BY_NAME = {
    "nothing": do_nothing,
    "restarts-in-turn": restart_proxies_in_turn,
    "proxies-killed": kill_proxies,
    "all-killed": kill_all,
    "random-faults": inject_random_faults,
}


def make_mesh(deployment, folder):
    """Return the processes of an example deployment, with random networks."""
    return Mesh(
        folder=folder,
        zones=tuple(deployment.services_by_zone),
        control_hosts_per_zone=1,
        proxies_per_zone=[
            len(services) for services in deployment.services_by_zone.values()
        ],
    )


@click.command()
@click.option(
    "--mesh",
    "mesh_name",
    type=click.Choice(sorted(DEPLOYMENTS_BY_NAME)),
    default="prairie",
)
@click.option("--method", default="GET")
@click.option(
    "--meanwhile", type=click.Choice(sorted(EVENTS_BY_NAME)), required=True
)
@click.option("--seconds", default=40.0)
@click.option("--interval", default=0.25, help="Seconds between requests.")
@click.option("--seed", default=1, help="For random faults.")
@click.option(
    "--crash-after-ms", default=0, help="Work of a target before its crash."
)
@click.option("--timeout-ms", type=int, help="Deadline of each request.")
@click.option(
    "--patience-ms",
    type=int,
    help="Time after which the caller closes its connection.",
)
@click.option("--folder", help="Directory for logs; kept after the run.")
def main(
    mesh_name,
    method,
    meanwhile,
    seconds,
    interval,
    seed,
    crash_after_ms,
    timeout_ms,
    patience_ms,
    folder,
):
    """Print how often one request crashed a target."""
    deployment = DEPLOYMENTS_BY_NAME[mesh_name]
    folder = pathlib.Path(folder or tempfile.mkdtemp())
    folder.mkdir(parents=True, exist_ok=True)
    with make_mesh(deployment, folder) as mesh:
        for proxy, service in deployment.services_by_proxy.items():
            mesh.start_target(proxy, service, slots=deployment.slots)
        mesh.accept(deployment.mesh_path.read_text(encoding="utf-8"))
        path = PATHS_BY_MESH[mesh_name]
        mesh.wait_until(
            lambda: all(
                mesh.call("GET", path, proxy=host.name).outcome == "answered"
                for host in mesh.topology.proxies
            ),
            what="served requests",
        )
        with CrashingCaller(
            mesh=mesh,
            path=path,
            method=method,
            parameters=f"&crash_after_ms={crash_after_ms}",
            timeout_ms=timeout_ms,
            patience_seconds=(patience_ms or DEFAULT_PATIENCE_MS) / 1000,
            interval_seconds=interval,
        ) as caller:
            EVENTS_BY_NAME[meanwhile](mesh, seconds, random.Random(seed))
        times = caller.crash_times()
        print(
            f"{mesh_name} {method} {meanwhile} (seed {seed}): "
            f"{len(times)} crashes"
        )
        print("at", *times)
        print(collections.Counter(caller.results).most_common())


if __name__ == "__main__":
    main()
