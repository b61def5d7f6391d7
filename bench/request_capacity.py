"""Highest rate that one proxy sustains, and goodput under overload.

    .venv/bin/python -m bench.request_capacity --seconds 6

The rates run one after the other, through the proxy on the target's host, up
to the first that is not sustained. A rate is sustained if at least 99% of its
requests are answered. The overload runs send one to three times as many
requests as the target's slots can serve.
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

import click  # noqa: E402

from bench.request_client import MeasuredPath, make_request, run_open_loop  # noqa: E402
from bench.request_latency import (  # noqa: E402
    MESH_TEXT,
    TARGET_PROXY,
    processor_seconds,
)
from examples.topology import CALLER_PORT  # noqa: E402
from tests.support.harness import Mesh  # noqa: E402

RATES = (100, 200, 300, 400, 500, 600, 700, 800)
MIN_ANSWERED_SHARE = 0.99
SLOTS = 8
OVERSTATED_SLOTS = 256
LATENCY_MS = 40
OVERLOAD_FACTORS = (1, 2, 3)


def make_path(mesh, headers=""):
    """Return the path through the proxy on the target's host."""
    address = mesh.topology.hosts_by_name[TARGET_PROXY].address
    return MeasuredPath(
        name="one proxy",
        address=address,
        port=CALLER_PORT,
        request=make_request(address=address, headers=headers),
    )


def run_rate(mesh, *, rate, seconds, headers=""):
    """Run one rate and print its results; return whether it was sustained."""
    path = make_path(mesh, headers)
    pid = mesh.child(TARGET_PROXY)._process.pid
    before = processor_seconds(pid)
    run_open_loop([path], rate=rate, seconds=seconds)
    used_seconds = processor_seconds(pid) - before
    sent = path.answered + path.refused + path.failed
    p50, _, p99 = path.percentiles_ms()
    print(
        f"  {rate:5.0f}/s  answered {path.answered / seconds:6.1f}/s  "
        f"refused {path.refused}  failed {path.failed}  "
        f"p50 {p50:8.2f}  p99 {p99:8.2f} ms  "
        f"{used_seconds / seconds:6.1%} of a core  "
        f"{used_seconds / sent * 1000:.2f} ms a call"
    )
    return path.answered >= MIN_ANSWERED_SHARE * sent


def start_mesh(folder, *, slots, adaptive_limits=True, **behaviour):
    """Return a running mesh with one target that serves requests."""
    mesh = Mesh(
        folder=folder,
        control_hosts_per_zone=1,
        proxies_per_zone=1,
        overrides={"proxy": {"adaptive_limits": adaptive_limits}},
    )
    mesh.__enter__()
    mesh.start_target(TARGET_PROXY, "pay", slots=slots, **behaviour)
    mesh.accept(MESH_TEXT)
    mesh.wait_until(
        lambda: mesh.call("GET", "/pay/1", proxy=TARGET_PROXY).status == 200,
        what="served requests",
    )
    return mesh


@click.command()
@click.option("--seconds", default=6)
def main(seconds):
    """Run the rates and the overloads and print the results."""
    with tempfile.TemporaryDirectory() as folder:
        mesh = start_mesh(pathlib.Path(folder), slots=64)
        try:
            print("rates through one proxy to a target without latency")
            for rate in RATES:
                if not run_rate(mesh, rate=rate, seconds=seconds):
                    break
        finally:
            mesh.stop()
    for announced in (SLOTS, OVERSTATED_SLOTS):
        for adaptive in (True, False):
            run_overload(seconds, announced=announced, adaptive=adaptive)


def run_overload(seconds, *, announced, adaptive):
    """Print the goodput at rates above the capacity of a target.

    `announced` is the number of slots that the target announces.
    """
    print(
        f"goodput, {SLOTS} slots of {LATENCY_MS} ms, {announced} announced, "
        f"deadline 500 ms, adaptive limits: {adaptive}"
    )
    with tempfile.TemporaryDirectory() as folder:
        mesh = start_mesh(
            pathlib.Path(folder),
            slots=SLOTS,
            adaptive_limits=adaptive,
            latency_ms=LATENCY_MS,
            announced_slots=announced,
        )
        try:
            capacity = SLOTS * 1000 / LATENCY_MS
            for factor in OVERLOAD_FACTORS:
                run_rate(
                    mesh,
                    rate=capacity * factor,
                    seconds=seconds,
                    headers="X-Request-Timeout-Ms: 500\r\n",
                )
        finally:
            mesh.stop()


if __name__ == "__main__":
    main()
