"""Measure how long one connection's pipelined requests take together.

Run: `python -m bench.pipelined_requests`. Sends safe requests in one write to
an idle proxy, whose target answers each after a fixed time, and prints the
time until the last answer, for several rounds.
"""

import contextlib
import pathlib
import socket
import tempfile
import time

import click

from examples import topology as plans
from tests.support.harness import Mesh

PROXY = "z1-proxy-1"
SLOTS = 64
MESH_TEXT = """
name = "pipelined"

[services.pay]
slots = 64
cold_start_ms = 0

[routes.pay]
prefix = "/pay"
service = "pay"
timeout_ms = 5000
"""


@click.command()
@click.option("--requests", default=20, show_default=True)
@click.option("--latency-ms", default=100, show_default=True)
@click.option("--rounds", default=5, show_default=True)
def main(requests, latency_ms, rounds):
    """Print the seconds of each round."""
    with (
        tempfile.TemporaryDirectory() as folder,
        _serving_mesh(folder) as mesh,
    ):
        address = mesh.topology.hosts_by_name[PROXY].address
        with socket.create_connection((address, plans.CALLER_PORT)) as sock:
            for _ in range(rounds):
                seconds = _run_round(sock, requests, latency_ms)
                click.echo(f"{requests} requests: {seconds:.3f} s")


@contextlib.contextmanager
def _serving_mesh(folder):
    """Start a mesh; yield it once the target is served."""
    with Mesh(
        folder=pathlib.Path(folder),
        control_hosts_per_zone=1,
        proxies_per_zone=1,
    ) as mesh:
        mesh.start_target(PROXY, "pay", slots=SLOTS)
        mesh.accept(MESH_TEXT)
        mesh.wait_until(
            lambda: (
                mesh.call("GET", "/pay/1", proxy=PROXY).outcome == "answered"
            ),
            what="served requests",
        )
        yield mesh


def _run_round(sock, requests, latency_ms):
    request = (
        f"GET /pay/1?latency_ms={latency_ms} HTTP/1.1\r\nHost: x\r\n\r\n"
    ).encode()
    started = time.monotonic()
    sock.sendall(request * requests)
    received = b""
    while received.count(b"HTTP/1.1 ") < requests:
        data = sock.recv(65536)
        if not data:
            raise click.ClickException("the proxy closed the connection")
        received += data
    return time.monotonic() - started


if __name__ == "__main__":
    main()
