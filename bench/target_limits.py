"""Arrivals at targets that name a limit, and at one that says it leaves.

    .venv/bin/python -m bench.target_limits --meanwhile nothing

Real processes of an example mesh under load through all proxies. Two targets
name a limit after `LIMIT_AT_SECONDS`, one of them says after
`LEAVING_AT_SECONDS` that it leaves. Printed are the most arrivals in 4 s from
3 s after the naming, and those at the leaving target from 2 s after its word.
"""

import os
import warnings

os.environ["EVENTLET_NO_GREENDNS"] = "yes"
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

if __name__ == "__main__":
    eventlet.monkey_patch()

import pathlib  # noqa: E402
import random  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402

import click  # noqa: E402

from bench.crashing_request import (  # noqa: E402
    inject_random_faults,
    make_mesh,
)
from examples.deployments import DEPLOYMENTS_BY_NAME  # noqa: E402
from tests.integration.request_load import Load  # noqa: E402
from tests.integration.test_target_limits import (  # noqa: E402
    DRAIN_SECONDS,
    STABLE_SECONDS,
    arrivals,
    most_in_window,
)

SERVICE = "docket-viewer"
PATH = "/docket/1"
LATENCY_MS = 30
LIMIT_AT_SECONDS = 5.0
LEAVING_AT_SECONDS = 18.0
END_AT_SECONDS = 30.0
KILL_INTERVAL_SECONDS = 2.0


def do_nothing(mesh, proxies, seconds, seed):
    """Leave all processes alone."""
    eventlet.sleep(seconds)


def kill_target_proxies(mesh, proxies, seconds, seed):
    """Kill the proxies of the targets in turn and start them again."""
    end = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end:
        name = proxies[number % len(proxies)]
        number += 1
        mesh.kill(name)
        mesh.start_host(name)
        eventlet.sleep(KILL_INTERVAL_SECONDS)


def inject_faults(mesh, proxies, seconds, seed):
    """Stop and kill random hosts of both roles; faults overlap."""
    inject_random_faults(mesh, seconds, random.Random(seed))


EVENTS_BY_NAME = {
    "nothing": do_nothing,
    "target-proxies-killed": kill_target_proxies,
    "random-faults": inject_faults,
}


@click.command()
@click.option(
    "--meanwhile", type=click.Choice(sorted(EVENTS_BY_NAME)), required=True
)
@click.option("--limit", default=10.0, help="Requests per second.")
@click.option("--rate", default=150.0, help="Requests per second, in all.")
@click.option("--seed", default=1)
def main(meanwhile, limit, rate, seed):
    """Print how many requests reach targets beyond what they have said."""
    deployment = DEPLOYMENTS_BY_NAME["prairie"]
    folder = pathlib.Path(tempfile.mkdtemp())
    with make_mesh(deployment, folder) as mesh:
        names_by_proxy = {
            proxy: mesh.start_target(
                proxy, service, slots=deployment.slots, latency_ms=LATENCY_MS
            )
            for proxy, service in deployment.services_by_proxy.items()
        }
        mesh.accept(deployment.mesh_path.read_text(encoding="utf-8"))
        proxies = [
            proxy
            for proxy, service in deployment.services_by_proxy.items()
            if service == SERVICE
        ]
        mesh.wait_until(
            lambda: all(
                mesh.call("GET", PATH, proxy=host.name).outcome == "answered"
                for host in mesh.topology.proxies
            ),
            what="served requests",
        )
        play(mesh, proxies, names_by_proxy, meanwhile, limit, rate, seed)


def play(mesh, proxies, names_by_proxy, meanwhile, limit, rate, seed):
    """Put the mesh under load and print what arrived."""
    limited = [names_by_proxy[proxy] for proxy in proxies[:2]]
    with Load(
        mesh=mesh,
        proxies=[host.name for host in mesh.topology.proxies],
        seed=seed,
        rate=rate,
        path=PATH,
        idempotent_share=1,
    ) as load:
        events = eventlet.spawn(
            EVENTS_BY_NAME[meanwhile], mesh, proxies, END_AT_SECONDS, seed
        )
        eventlet.sleep(LIMIT_AT_SECONDS)
        for name in limited:
            mesh.control_target(name, named_limit=str(limit))
        named_at = time.time()
        eventlet.sleep(LEAVING_AT_SECONDS - LIMIT_AT_SECONDS)
        mesh.control_target(limited[0], says_leaving=True)
        said_at = time.time()
        events.wait()
    print(f"{meanwhile}, seed {seed}: {load.counts()}")
    since = named_at + STABLE_SECONDS
    print(
        f"most in 4 s, of {1.5 * limit * 4 + 5:.0f} allowed:",
        *[most_in_window(arrivals(mesh, n, load, since)) for n in limited],
    )
    late = arrivals(mesh, limited[0], load, said_at + DRAIN_SECONDS)
    print("later at the leaving one:", len(late))


if __name__ == "__main__":
    main()
