"""Time to stop using a bad target, and retries below a failing one.

    .venv/bin/python -m bench.request_faults

Three targets serve 60 idempotent requests a second through all proxies. Each
fault strikes one target. Then a chain of services with a failing last one is
asked through the first, to count the runs of the last for each request.
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
BAD = 1
BEFORE_SECONDS = 2
AFTER_SECONDS = 8
RATE = 60.0
TIMEOUT_MS = 800
DEPTHS = (1, 3, 9)
CHAIN_REQUESTS = 60
SEED = 31


def kill(mesh, name):
    """End the target's process."""
    mesh.kill(name)


def freeze(mesh, name):
    """Stop the target's process without ending it."""
    mesh.freeze(name)


def mislead(mesh, name):
    """Let the target fail while it claims to be well and idle."""
    mesh.control_target(
        name, fail_status=500, reported_health=200, reported_in_flight=0
    )


def drain(mesh, name):
    """Let the target leave."""
    host = mesh.topology.hosts_by_name[PROXIES[BAD]]
    urllib3.request(
        "POST",
        f"http://{host.server(TARGET_PORT)}/v1/targets/"
        f"{mesh.target_id(name)}/drain",
    )


def start_mesh(folder):
    """Return a running mesh of three targets and their names."""
    mesh = Mesh(folder=folder, control_hosts_per_zone=1, proxies_per_zone=3)
    mesh.__enter__()
    names = [
        mesh.start_target(proxy, "pay", latency_ms=20) for proxy in PROXIES
    ]
    mesh.accept(MESH_TEXT)
    wait_served(mesh, "/pay/1")
    return mesh, names


def wait_served(mesh, path):
    """Wait until every proxy answers a path."""
    for proxy in PROXIES:
        mesh.wait_until(
            lambda name=proxy: (
                mesh.call("GET", path, proxy=name).status == 200
            ),
            what=f"served {path}",
        )


def run_fault(fault, idempotent_share):
    """Strike one target under load and print what followed."""
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
                eventlet.sleep(BEFORE_SECONDS)
                struck_at = time.time()
                fault(mesh, names[BAD])
                eventlet.sleep(AFTER_SECONDS)
            bad_id = mesh.target_id(names[BAD])
        finally:
            mesh.stop()
        runs = [
            entry.time - struck_at
            for entry in read_ledgers(folder)
            if entry.phase == "started"
            and entry.target == bad_id
            and entry.time > struck_at
        ]
        wrong = [
            load.asked_at_by_request_id[result.request_id] - struck_at
            for result in load.results
            if result.outcome != "answered"
        ]
        methods = "idempotent" if idempotent_share == 1 else "not idempotent"
        print(
            f"  {fault.__name__:8} {methods:15} {load.counts()}  "
            f"runs there afterwards {len(runs)}, "
            f"last after {max(runs, default=0):.2f} s; last request "
            f"without an answer asked after {max(wrong, default=0):.2f} s"
        )


def chain_text(depth):
    """Return a file with a chain of `depth` services."""
    parts = ['name = "chain"']
    for number in range(1, depth + 1):
        calls = f'calls = ["s{number + 1}"]' if number < depth else ""
        parts.append(
            f"[services.s{number}]\nslots = 32\ncold_start_ms = 0\n{calls}\n"
            f'[routes.s{number}]\nprefix = "/s{number}"\n'
            f'service = "s{number}"\ntimeout_ms = 5000\n'
        )
    return "\n".join(parts)


def run_chain(depth):
    """Print the runs of a failing last service for each request."""
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
            leaves = [
                mesh.start_target(proxy, f"s{depth}", slots=32)
                for proxy in PROXIES
            ]
            mesh.accept(chain_text(depth))
            for number in range(depth, 0, -1):
                wait_served(mesh, f"/s{number}/x")
            for name in leaves:
                mesh.control_target(name, cut_body=True, padding_bytes=1000)
            struck_at = time.time()
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
                and entry.time >= struck_at
                for entry in read_ledgers(folder)
            )
            print(
                f"  depth {depth}: {runs} runs of the last service for "
                f"{CHAIN_REQUESTS} requests, {runs / CHAIN_REQUESTS:.2f} each"
            )


@click.command()
def main():
    """Run every fault and every depth, and print the figures."""
    print(f"one bad target of three, {RATE:.0f} requests a second")
    for fault in (kill, freeze, mislead, drain):
        for idempotent_share in (1, 0):
            run_fault(fault, idempotent_share)
    print("runs below a failing target")
    for depth in DEPTHS:
        run_chain(depth)


if __name__ == "__main__":
    main()
