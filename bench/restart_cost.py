"""Measure what a restart of a proxy costs.

    .venv/bin/python -m bench.restart_cost --restarts 5

A proxy with a local target is killed and started again several times. The
benchmark prints the median, lowest and highest of three figures: the time from
the start until the proxy answers a request by its local target, the processor
time of the proxy until then, and its resident memory.
"""

import os
import warnings

os.environ["EVENTLET_NO_GREENDNS"] = "yes"
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

if __name__ == "__main__":
    eventlet.monkey_patch()

import pathlib  # noqa: E402
import statistics  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402

import click  # noqa: E402

from bench.request_capacity import start_mesh  # noqa: E402
from bench.request_latency import (  # noqa: E402
    TARGET_PROXY,
    processor_seconds,
    resident_mb,
)


def serves(mesh):
    """Return whether a request through the proxy gets status 200."""
    return mesh.call("GET", "/pay/1", proxy=TARGET_PROXY).status == 200


def restart(mesh):
    """Restart the proxy and wait until it serves its local target.

    Return the seconds until then, the processor seconds and the resident MB.
    """
    mesh.child(TARGET_PROXY).kill()
    started = time.monotonic()
    mesh.restart(TARGET_PROXY)
    mesh.wait_until(lambda: serves(mesh), what="served requests")
    seconds = time.monotonic() - started
    pid = mesh.child(TARGET_PROXY)._process.pid
    return seconds, processor_seconds(pid), resident_mb(pid)


@click.command()
@click.option("--restarts", default=5)
def main(restarts):
    """Restart one proxy several times and print the three figures."""
    with tempfile.TemporaryDirectory() as directory:
        mesh = start_mesh(pathlib.Path(directory), slots=64)
        try:
            figures = [restart(mesh) for _ in range(restarts)]
        finally:
            mesh.stop()
    columns = zip(*figures, strict=True)
    names = ("s to serve", "s of processor", "MB")
    for name, values in zip(names, columns, strict=True):
        print(
            f"{name:15} median {statistics.median(values):.3f}  "
            f"lowest {min(values):.3f}  highest {max(values):.3f}"
        )


if __name__ == "__main__":
    main()
