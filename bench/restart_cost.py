"""What a restart of a proxy costs: processor, time, and time to serve.

    .venv/bin/python -m bench.restart_cost --restarts 5

A proxy beside a target is killed and started again; each time the processor
time until it serves, and the time from its start to the first answer of its
own target through it, are printed.
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
    """Return whether the proxy serves its own target."""
    return mesh.call("GET", "/pay/1", proxy=TARGET_PROXY).status == 200


def restart(mesh):
    """Restart the proxy; return seconds to serve, of processor, and MB."""
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
    """Restart one proxy a few times and print the medians."""
    with tempfile.TemporaryDirectory() as folder:
        mesh = start_mesh(pathlib.Path(folder), slots=64)
        try:
            figures = [restart(mesh) for _ in range(restarts)]
        finally:
            mesh.stop()
    columns = zip(*figures, strict=True)
    names = ("s to serve", "s of processor", "MB")
    for name, values in zip(names, columns, strict=True):
        print(
            f"{name:15} median {statistics.median(values):.3f}  "
            f"least {min(values):.3f}  most {max(values):.3f}"
        )


if __name__ == "__main__":
    main()
