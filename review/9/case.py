"""After a herd kill, a late liveness report brings back who has left."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig"))

from client import Client  # noqa: E402
from mesh import (  # noqa: E402
    BOUNDS,
    CannotRunError,
    Mesh,
    Record,
    is_disturbed,
    run_case,
)
from operator_stand_in import Operator, configuration, route  # noqa: E402
from upstream import Upstream  # noqa: E402

HOST = "orders.example"
PREFIX = "/orders/"
TARGETS = [("orders", "z0"), ("orders", "z1"), ("tracker", "z2")]
WORK_SECONDS = 0.08
BUDGET_SECONDS = 0.6
# After the ack: the kill, the starts, the late report, and the exit.
KILL_SECONDS = 0.3
START_SECONDS = 0.8
LATE_REPORT_SECONDS = 4.0
EXIT_SECONDS = 9.0
INTERVAL_SECONDS = 0.02
USED_SECONDS = 20.0


def main():
    """Return 1 if the rule was broken, 0 if it held."""
    record = Record(HERE / "record.txt")
    with Mesh(targets=TARGETS) as mesh:
        operator = Operator(mesh=mesh, record=record)
        routes = {
            "r-1": route(
                HOST,
                PREFIX,
                "orders",
                Kind="unsafe",
                TimeoutS=2,
                SloS=0.25,
            )
        }
        body = configuration(1, routes, ["orders", "tracker"])
        if operator.put(body, 0) != 200:
            raise CannotRunError("the configuration is refused")
        mesh.wait_until_ready()
        return run(mesh, record)


def run(mesh, record):
    """Let an upstream leave, kill the herd, and deliver a late report."""
    leaving, staying = (
        Upstream(
            mesh=mesh,
            proxy=proxy,
            slots=14,
            work=lambda path: WORK_SECONDS,
            record=record,
        )
        for proxy in mesh.proxies[:2]
    )
    for upstream in (leaving, staying):
        upstream.announce()
    client = Client(
        mesh=mesh,
        proxy=mesh.proxies[2],
        host=HOST,
        prefix=PREFIX,
        budget_seconds=BUDGET_SECONDS,
        record=record,
    )
    wait_until_used(client, (leaving, staying))
    late = leaving.prepare_report("ready")
    if leaving.leave_without_draining() != 200:
        raise CannotRunError("the upstream gets no ack")
    acked_at = time.monotonic()
    threading.Timer(EXIT_SECONDS, leaving.exit).start()
    threading.Timer(
        LATE_REPORT_SECONDS, deliver, (leaving, late, record)
    ).start()
    touch_at = acked_at
    if is_disturbed():
        wait_until(acked_at + KILL_SECONDS)
        touch_at = kill_herd(mesh, record, acked_at)
    send_until(client, acked_at + EXIT_SECONDS + 0.5)
    return judge(record, leaving, client, acked_at, touch_at)


def kill_herd(mesh, record, acked_at):
    """Kill and start the core and a proxy; return when they are in touch."""
    herd = [*mesh.controls, mesh.proxies[0]]
    for process in herd:
        process.kill()
        record.write("platform", f"kills {process.address}")
    wait_until(acked_at + START_SECONDS)
    for process in herd:
        process.fields["Bootstrap"] = False
        process.start()
        record.write("platform", f"starts {process.address}")
    return time.monotonic() + BOUNDS["StableWindowS"]


def deliver(upstream, report, record):
    """Deliver a liveness report that was sent before the DELETE."""
    record.write(upstream.id, f"late report answered {report()}")


def judge(record, leaving, client, acked_at, touch_at):
    """Return 1 if requests reached the upstream later than DrainS."""
    limit = max(acked_at + BOUNDS["DrainS"], touch_at)
    late = [each for each in leaving.arrivals if each[1] > limit]
    ends = {run["id"]: run["end"] for run in leaving.runs}
    lost = [
        request_id
        for request_id, _ in late
        if ends.get(request_id) == "broken off"
    ]
    if late:
        first, last = late[0][1] - acked_at, late[-1][1] - acked_at
        record.write(
            "result",
            f"{len(late)} requests reached {leaving.id} from {first:.3f} to"
            f" {last:.3f} s after the ack",
        )
    for request_id in lost:
        record.write(
            "result",
            f"{request_id} was broken off when the upstream exited,"
            f" the client got {client.answers.get(request_id)}",
        )
    record.write("result", f"{len(late)} late, {len(lost)} lost")
    return 1 if late else 0


def wait_until_used(client, upstreams):
    """Send requests until each of the upstreams has run one."""
    end = time.monotonic() + USED_SECONDS
    while not all(upstream.runs for upstream in upstreams):
        if time.monotonic() > end:
            raise CannotRunError("not all upstreams are used")
        client.start()
        time.sleep(INTERVAL_SECONDS)


def send_until(client, moment):
    """Send one request each INTERVAL_SECONDS; wait for the answers."""
    threads = []
    while time.monotonic() < moment:
        threads.append(client.start())
        time.sleep(INTERVAL_SECONDS)
    for thread in threads:
        thread.join()


def wait_until(moment):
    """Sleep until a moment of the steady clock."""
    time.sleep(max(0.0, moment - time.monotonic()))


if __name__ == "__main__":
    run_case(main)
