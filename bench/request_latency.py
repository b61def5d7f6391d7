"""Latency that the mesh adds to a call, beside the direct path.

    .venv/bin/python -m bench.request_latency --rate 360 --seconds 20

One control host, two proxies, one target beside the first proxy. Requests go
in turn to the target itself, through the proxy beside it, and through the
other proxy, from one open-loop client. Latencies count from the due time.
"""

import os
import warnings

os.environ["EVENTLET_NO_GREENDNS"] = "yes"
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

if __name__ == "__main__":
    eventlet.monkey_patch()

import json  # noqa: E402
import pathlib  # noqa: E402
import statistics  # noqa: E402
import tempfile  # noqa: E402

import click  # noqa: E402

from bench.request_client import Path, make_request, run_open_loop  # noqa: E402
from examples.topology import CALLER_PORT, TARGET_SERVICE_PORT  # noqa: E402
from tests.support.harness import Mesh  # noqa: E402

NEAR = "z1-proxy-1"
FAR = "z1-proxy-2"
WARM_UP_SECONDS = 3
MESH_TEXT = """
name = "bench"

[services.pay]
slots = 64
cold_start_ms = 0

[routes.pay]
prefix = "/pay"
service = "pay"
"""


def processor_seconds(pid):
    """Return the processor time that a process has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    user, system = text.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid):
    """Return the resident memory of a process in MB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(x for x in text.splitlines() if x.startswith("VmRSS:"))
    return int(line.split()[1]) / 1024


def make_paths(mesh):
    """Return the direct path, the near proxy's and the far proxy's."""
    near = mesh.topology.hosts_by_name[NEAR].address
    far = mesh.topology.hosts_by_name[FAR].address
    ends = (
        ("direct", near, TARGET_SERVICE_PORT),
        ("one proxy", near, CALLER_PORT),
        ("two proxies", far, CALLER_PORT),
    )
    return [
        Path(
            name=name,
            address=address,
            port=port,
            request=make_request(address=address),
        )
        for name, address, port in ends
    ]


def parts_ms(paths):
    """Return the medians of each part, from the events of traced calls.

    A request through two proxies is timed at the entry, around its call and
    at the target's proxy; the differences are the parts.
    """
    times_by_request = {}
    for path in paths:
        for line in path.read_text(encoding="utf-8").splitlines():
            event = json.loads(line)
            if event["event"] in (
                5001,
                5007,
                5015,
            ):
                times = times_by_request.setdefault(event["request"], {})
                times[event["event"], event["host"]] = event["milliseconds"]
    parts = {"entry": [], "stream": [], "target and its side": []}
    for times in times_by_request.values():
        whole = times.get((5001, FAR))
        call = times.get((5007, FAR))
        local = times.get((5015, NEAR))
        if None not in (whole, call, local):
            parts["entry"].append(whole - call)
            parts["stream"].append(call - local)
            parts["target and its side"].append(local)
    return {
        name: (statistics.median(values), len(values))
        for name, values in parts.items()
        if values
    }


def report(paths, rate):
    """Print the percentiles of each path and what the mesh adds."""
    direct = paths[0].percentiles_ms()
    print(f"rate {rate}/s over all paths")
    for path in paths:
        p50, p90, p99 = path.percentiles_ms()
        print(
            f"  {path.name:12} p50 {p50:7.2f}  p90 {p90:7.2f}  "
            f"p99 {p99:7.2f} ms  added p50 {p50 - direct[0]:6.2f}  "
            f"p99 {p99 - direct[2]:6.2f} ms  "
            f"answered {path.answered} refused {path.refused} "
            f"failed {path.failed}"
        )


@click.command()
@click.option("--rate", default=360, help="Requests a second in all.")
@click.option("--seconds", default=20)
def main(rate, seconds):
    """Run the mesh, load it and print the figures."""
    with tempfile.TemporaryDirectory() as folder:
        folder = pathlib.Path(folder)
        with Mesh(
            folder=folder, control_hosts_per_zone=1, proxies_per_zone=2
        ) as mesh:
            target = mesh.start_target(NEAR, "pay", slots=64)
            mesh.accept(MESH_TEXT)
            for proxy in (NEAR, FAR):
                mesh.wait_until(
                    lambda name=proxy: (
                        mesh.call("GET", "/pay/1", proxy=name).status == 200
                    ),
                    what="served requests",
                )
            run_open_loop(make_paths(mesh), rate=rate, seconds=WARM_UP_SECONDS)
            pids = {
                name: mesh.child(name)._process.pid
                for name in (NEAR, FAR, target)
            }
            before = {n: processor_seconds(pid) for n, pid in pids.items()}
            paths = make_paths(mesh)
            run_open_loop(paths, rate=rate, seconds=seconds)
            used = {
                n: processor_seconds(pid) - before[n]
                for n, pid in pids.items()
            }
            report(paths, rate)
            calls = sum(path.answered for path in paths) / 3
            for name, share in ((NEAR, 2), (FAR, 1), (target, 3)):
                print(
                    f"  {name:20} {used[name] / calls / share * 1000:.3f} ms "
                    f"of processor a call, {used[name] / seconds:.1%} of a "
                    f"core, {resident_mb(pids[name]):.0f} MB"
                )
        for name, (median, count) in parts_ms(
            sorted(folder.glob("*.events.jsonl"))
        ).items():
            print(f"  part {name:20} p50 {median:.3f} ms of {count} traced")


if __name__ == "__main__":
    main()
