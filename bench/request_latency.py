"""Latency that the mesh adds to a call, compared with the direct path.

    .venv/bin/python -m bench.request_latency --rate 360 --seconds 20

The mesh has one control host, two proxies, and one target on the host of the
first proxy. One open-loop client sends requests in turn directly to the
target, through the proxy on its host, and through the other proxy. Latencies
are measured from the time at which a request was due.
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

from bench.request_client import MeasuredPath, make_request, run_open_loop  # noqa: E402
from examples.topology import CALLER_PORT, TARGET_SERVICE_PORT  # noqa: E402
from tests.support.harness import Mesh  # noqa: E402

# The proxy on the target's host, and one that forwards calls to it.
TARGET_PROXY = "z1-proxy-1"
FORWARDING_PROXY = "z1-proxy-2"
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
    """Return the processor time in seconds that a process has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    user, system = text.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid):
    """Return the resident memory of a process in MB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(
        line for line in text.splitlines() if line.startswith("VmRSS:")
    )
    return int(line.split()[1]) / 1024


def make_paths(mesh):
    """Return the direct path and those through each of the proxies."""
    target_address = mesh.topology.hosts_by_name[TARGET_PROXY].address
    forwarding_address = mesh.topology.hosts_by_name[FORWARDING_PROXY].address
    endpoints = (
        ("direct", target_address, TARGET_SERVICE_PORT),
        ("one proxy", target_address, CALLER_PORT),
        ("two proxies", forwarding_address, CALLER_PORT),
    )
    return [
        MeasuredPath(
            name=name,
            address=address,
            port=port,
            request=make_request(address=address),
        )
        for name, address, port in endpoints
    ]


def part_medians_ms(paths):
    """Return the median in ms and the sample count of each part of a call.

    `paths` are event files. For a traced request through two proxies, the
    entry proxy logs the time of the request and of its call, and the target's
    proxy logs the time of the call there. The parts are the differences.
    """
    times_by_request = {}
    for path in paths:
        for line in path.read_text(encoding="utf-8").splitlines():
            event = json.loads(line)
            # request-ended, call-ended, call-finished
            if event["event"] in (
                5001,
                5007,
                5015,
            ):
                times = times_by_request.setdefault(event["request"], {})
                times[event["event"], event["host"]] = event["milliseconds"]
    parts = {"entry": [], "stream": [], "target and its proxy": []}
    for times in times_by_request.values():
        request_ms = times.get((5001, FORWARDING_PROXY))
        call_ms = times.get((5007, FORWARDING_PROXY))
        local_ms = times.get((5015, TARGET_PROXY))
        if None not in (request_ms, call_ms, local_ms):
            parts["entry"].append(request_ms - call_ms)
            parts["stream"].append(call_ms - local_ms)
            parts["target and its proxy"].append(local_ms)
    return {
        name: (statistics.median(values), len(values))
        for name, values in parts.items()
        if values
    }


def report(paths, rate):
    """Print the percentiles of each path and the latency that it adds."""
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
    """Run the mesh under load and print the results."""
    with tempfile.TemporaryDirectory() as folder:
        folder = pathlib.Path(folder)
        with Mesh(
            folder=folder, control_hosts_per_zone=1, proxies_per_zone=2
        ) as mesh:
            target = mesh.start_target(TARGET_PROXY, "pay", slots=64)
            mesh.accept(MESH_TEXT)
            for proxy in (TARGET_PROXY, FORWARDING_PROXY):
                mesh.wait_until(
                    lambda name=proxy: (
                        mesh.call("GET", "/pay/1", proxy=name).status == 200
                    ),
                    what="served requests",
                )
            run_open_loop(make_paths(mesh), rate=rate, seconds=WARM_UP_SECONDS)
            pids = {
                name: mesh.child(name)._process.pid
                for name in (TARGET_PROXY, FORWARDING_PROXY, target)
            }
            before = {
                name: processor_seconds(pid) for name, pid in pids.items()
            }
            paths = make_paths(mesh)
            run_open_loop(paths, rate=rate, seconds=seconds)
            used = {
                name: processor_seconds(pid) - before[name]
                for name, pid in pids.items()
            }
            report(paths, rate)
            calls_per_path = sum(path.answered for path in paths) / 3
            # The number of paths that lead through each process.
            for name, path_count in (
                (TARGET_PROXY, 2),
                (FORWARDING_PROXY, 1),
                (target, 3),
            ):
                print(
                    f"  {name:20} "
                    f"{used[name] / calls_per_path / path_count * 1000:.3f} "
                    f"ms of processor a call, {used[name] / seconds:.1%} of a "
                    f"core, {resident_mb(pids[name]):.0f} MB"
                )
        for name, (median, count) in part_medians_ms(
            sorted(folder.glob("*.events.jsonl"))
        ).items():
            print(f"  part {name:20} p50 {median:.3f} ms of {count} traced")


if __name__ == "__main__":
    main()
