"""Time until a faulty target is avoided, and retries in a call chain.

    .venv/bin/python -m bench.request_faults

Three targets serve 60 requests a second through all proxies while each fault
is injected into one of them, first with idempotent requests, then with others.
Then requests are sent to the first of a chain of services whose last one
fails, and the runs of the last service are counted for each request.
"""

import os
import warnings

os.environ["EVENTLET_NO_GREENDNS"] = "yes"
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

if __name__ == "__main__":
    eventlet.monkey_patch()

import pathlib  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402

import click  # noqa: E402
import urllib3  # noqa: E402

from examples.topology import TARGET_PORT  # noqa: E402
from tests.integration.request_load import MESH_TEXT, Load  # noqa: E402
from tests.support.harness import Mesh  # noqa: E402
from tests.support.ledger import read_ledgers  # noqa: E402

PROXIES = ["z1-proxy-1", "z1-proxy-2", "z1-proxy-3"]
FAULTY_INDEX = 1
SECONDS_BEFORE_FAULT = 2
SECONDS_AFTER_FAULT = 8
RATE = 60.0
TIMEOUT_MS = 800
CHAIN_DEPTHS = (1, 3, 9)
CHAIN_REQUESTS = 60
SEED = 31


def kill(mesh, name):
    """Kill the target's process."""
    mesh.kill(name)


def freeze(mesh, name):
    """Suspend the target's process."""
    mesh.freeze(name)


def mislead(mesh, name):
    """Make the target fail while it reports health and no load."""
    mesh.control_target(
        name, fail_status=500, reported_health=200, reported_in_flight=0
    )


def drain(mesh, name):
    """Drain the target."""
    host = mesh.topology.hosts_by_name[PROXIES[FAULTY_INDEX]]
    urllib3.request(
        "POST",
        f"http://{host.server(TARGET_PORT)}/v1/targets/"
        f"{mesh.target_id(name)}/drain",
    )


def start_mesh(folder):
    """Return a running mesh with three targets, and their names."""
    mesh = Mesh(folder=folder, control_hosts_per_zone=1, proxies_per_zone=3)
    mesh.__enter__()
    names = [
        mesh.start_target(proxy, "pay", latency_ms=20) for proxy in PROXIES
    ]
    mesh.accept(MESH_TEXT)
    wait_until_served(mesh, "/pay/1")
    return mesh, names


def wait_until_served(mesh, path):
    """Wait until every proxy answers requests for a path."""
    for proxy in PROXIES:
        mesh.wait_until(
            lambda name=proxy: (
                mesh.call("GET", path, proxy=name).status == 200
            ),
            what=f"served {path}",
        )


def run_fault(fault, idempotent_share):
    """Inject a fault into one target under load and print its effects."""
    with tempfile.TemporaryDirectory() as folder:
        folder = pathlib.Path(folder)
        mesh, names = start_mesh(folder)
        try:
            load = Load(
                mesh=mesh,
                proxies=PROXIES,
                seed=SEED,
                rate=RATE,
                timeout_ms=TIMEOUT_MS,
                idempotent_share=idempotent_share,
            )
            with load:
                eventlet.sleep(SECONDS_BEFORE_FAULT)
                injected_at = time.time()
                fault(mesh, names[FAULTY_INDEX])
                eventlet.sleep(SECONDS_AFTER_FAULT)
            faulty_id = mesh.target_id(names[FAULTY_INDEX])
        finally:
            mesh.stop()
        run_times = [
            entry.time - injected_at
            for entry in read_ledgers(folder)
            if entry.phase == "started"
            and entry.target == faulty_id
            and entry.time > injected_at
        ]
        unanswered = [
            load.sent_at_by_request_id[result.request_id] - injected_at
            for result in load.results
            if result.outcome != "answered"
        ]
        request_kind = (
            "idempotent" if idempotent_share == 1 else "not idempotent"
        )
        print(
            f"  {fault.__name__:8} {request_kind:15} {load.counts()}  "
            f"runs at that target afterwards {len(run_times)}, "
            f"last after {max(run_times, default=0):.2f} s; last request "
            f"without an answer sent after {max(unanswered, default=0):.2f} s"
        )


def make_chain_mesh(depth):
    """Return a mesh file with a chain of `depth` services."""
    sections = ['name = "chain"']
    for number in range(1, depth + 1):
        calls = f'calls = ["s{number + 1}"]' if number < depth else ""
        sections.append(
            f"[services.s{number}]\nslots = 32\ncold_start_ms = 0\n{calls}\n"
            f'[routes.s{number}]\nprefix = "/s{number}"\n'
            f'service = "s{number}"\ntimeout_ms = 5000\n'
        )
    return "\n".join(sections)


def run_chain(depth):
    """Print how often a failing last service runs for each request."""
    with tempfile.TemporaryDirectory() as folder:
        folder = pathlib.Path(folder)
        with Mesh(
            folder=folder, control_hosts_per_zone=1, proxies_per_zone=3
        ) as mesh:
            for number in range(1, depth):
                mesh.start_target(
                    PROXIES[number % 3],
                    f"s{number}",
                    slots=32,
                    call_on=f"/s{number + 1}/x",
                )
            last_targets = [
                mesh.start_target(proxy, f"s{depth}", slots=32)
                for proxy in PROXIES
            ]
            mesh.accept(make_chain_mesh(depth))
            for number in range(depth, 0, -1):
                wait_until_served(mesh, f"/s{number}/x")
            for name in last_targets:
                mesh.control_target(name, cut_body=True, padding_bytes=1000)
            injected_at = time.time()
            for number in range(CHAIN_REQUESTS):
                mesh.call(
                    "GET",
                    "/s1/x",
                    proxy=PROXIES[number % 3],
                    timeout_ms=5000,
                )
            runs = sum(
                entry.phase == "started"
                and entry.target.startswith(f"s{depth}/")
                and entry.time >= injected_at
                for entry in read_ledgers(folder)
            )
            print(
                f"  depth {depth}: {runs} runs of the last service for "
                f"{CHAIN_REQUESTS} requests, {runs / CHAIN_REQUESTS:.2f} each"
            )


@click.command()
def main():
    """Run every fault and every chain depth, and print the results."""
    print(f"one faulty target of three, {RATE:.0f} requests a second")
    for fault in (kill, freeze, mislead, drain):
        for idempotent_share in (1, 0):
            run_fault(fault, idempotent_share)
    print("runs of a failing service at the end of a chain")
    for depth in CHAIN_DEPTHS:
        run_chain(depth)


if __name__ == "__main__":
    main()
