"""A planned stop cuts requests that wait, or for which there is still time.

Two stops of one proxy each: in the first, requests that were sent before the
SIGTERM wait for a slot of their upstream; in the second, long requests are
sent late in the stop.
"""

import pathlib
import signal
import socket
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
    exchange,
    is_disturbed,
    run_case,
)
from operator_stand_in import Operator, configuration, route  # noqa: E402
from upstream import Upstream  # noqa: E402

HOST = "bookings.example"
# One machine in each zone: if it is not ready, fewer than half of the zone's
# nodes are in, and its clients go on sending.
SERVICES_AND_ZONES = [("captiondesk", "z0"), ("docketview", "z1")]
BUDGET_SECONDS = 5.0
USUAL_SECONDS = 0.3
LONGEST_SECONDS = 2.1
CONNECTIONS = 60
# The requests after the signal: one each INTERVAL_SECONDS until LAST_SECONDS.
INTERVAL_SECONDS = 0.1
LAST_SECONDS = 3.5
# From then on they take LONGEST_SECONDS.
LONG_FROM_SECONDS = 3.05


# In the first stop, the slots are taken by requests that last longer than the
# time from the SIGTERM to the cut; those that wait take MEAN_SECONDS.
SLOTS = 4
PLATES_HOST = "plates.example"
PLATES_PREFIX = "/plates/"
TAIL_SECONDS = 5.6
MEAN_SECONDS = 0.7
PLATES_BUDGET_SECONDS = 10.0


def main():
    """Return 1 if the rule was broken, 0 if it held."""
    record = Record(HERE / "record.txt")
    codes = (run_waiting(record), run_late(record))
    return 1 if 1 in codes else max(codes)


def run_waiting(record):
    """Stop a proxy whose requests wait for a slot; return the result."""
    targets = [("plates", "z0"), ("desk", "z1"), ("desk", "z2")]
    with Mesh(targets=targets) as mesh:
        operator = Operator(mesh=mesh, record=record)
        routes = {
            "r-1": route(
                PLATES_HOST,
                PLATES_PREFIX,
                "plates",
                Kind="unsafe",
                TimeoutS=12,
                SloS=2.5,
            )
        }
        if (
            operator.put(configuration(1, routes, ["plates", "desk"]), 0)
            != 200
        ):
            raise CannotRunError("the configuration is refused")
        mesh.wait_until_ready()
        upstream = Upstream(
            mesh=mesh,
            proxy=mesh.proxies[0],
            slots=SLOTS,
            work=lambda path: TAIL_SECONDS if "tail" in path else MEAN_SECONDS,
            record=record,
        )
        upstream.announce()
        others, own = (
            Client(
                mesh=mesh,
                proxy=proxy,
                host=PLATES_HOST,
                prefix=PLATES_PREFIX,
                budget_seconds=PLATES_BUDGET_SECONDS,
                record=record,
            )
            for proxy in mesh.proxies[1:]
        )
        for client, name in ((others, "other"), (own, "own")):
            client.wait_until_served(f"first-{name}")
        threads = []
        for client, name in ((others, "tail"), (own, "waits")):
            for number in range(SLOTS):
                threads.append(client.start(f"{name}-{number}"))
                time.sleep(0.02)
        time.sleep(0.2)
        if is_disturbed():
            mesh.proxies[2].signal(signal.SIGTERM)
            record.write("platform", "SIGTERM")
        for thread in threads:
            thread.join()
        return judge_waiting(record, upstream, own)


def judge_waiting(record, upstream, client):
    """Return 1 if requests that waited got no answer at all."""
    names = [name for name in client.answers if name.startswith("waits")]
    runs = {run["id"] for run in upstream.runs}
    lost = [
        name
        for name in names
        if client.answers[name] is None and name not in runs
    ]
    for name in lost:
        record.write("result", f"{name} was read, not run and not answered")
    record.write("result", f"{len(lost)} requests that waited are lost")
    if not is_disturbed():
        served = all(client.answers[name] == 200 for name in names)
        return 0 if served else 2
    return 1 if lost else 0


def run_late(record):
    """Send long requests late in a stop; return the result."""
    with Mesh(targets=SERVICES_AND_ZONES) as mesh:
        operator = Operator(mesh=mesh, record=record)
        routes = {
            "r-1": route(
                HOST,
                "/book/",
                "captiondesk",
                Kind="unsafe",
                TimeoutS=6,
                SloS=0.8,
            )
        }
        body = configuration(1, routes, ["captiondesk", "docketview"])
        if operator.put(body, 0) != 200:
            raise CannotRunError("the configuration is refused")
        mesh.wait_until_ready()
        return run(mesh, record)


def run(mesh, record):
    """Stop the proxy of the clients while they send."""
    upstream = Upstream(
        mesh=mesh,
        proxy=mesh.proxies[0],
        slots=18,
        work=lambda path: LONGEST_SECONDS if "long" in path else USUAL_SECONDS,
        record=record,
    )
    upstream.announce()
    proxy = mesh.proxies[1]
    clients = open_connections(mesh, proxy, record)
    is_stopped = is_disturbed()
    if is_stopped:
        proxy.signal(signal.SIGTERM)
        record.write("platform", "SIGTERM")
    started = time.monotonic()
    used = []
    for client in clients[CONNECTIONS // 3 :]:
        sent_after = time.monotonic() - started
        if sent_after > LAST_SECONDS:
            break
        kind = "long" if sent_after >= LONG_FROM_SECONDS else "usual"
        client.start(f"{kind}-{len(used)}", sent_after)
        used.append(client)
        time.sleep(INTERVAL_SECONDS)
    end = started + BOUNDS["GraceS"]
    for client in used:
        client.thread.join()
    if is_stopped and proxy.exit_status is None:
        time.sleep(max(0, end - time.monotonic()))
        proxy.kill()
    return judge(record, upstream, used, is_stopped)


def open_connections(mesh, proxy, record):
    """Return clients with kept connections that were all used once."""
    for number in range(100):
        client = KeptConnection(mesh=mesh, proxy=proxy, record=record)
        if client.send(f"first-{number}", 0.0) == 200:
            break
        time.sleep(0.1)
    else:
        raise CannotRunError("no request is served")
    clients = [
        KeptConnection(mesh=mesh, proxy=proxy, record=record)
        for _ in range(CONNECTIONS)
    ]
    for number, client in enumerate(clients):
        client.start(f"usual-before-{number}", 0.0)
        time.sleep(0.04)
    for client in clients:
        client.thread.join()
        if client.status != 200:
            raise CannotRunError("a request before the stop is not served")
    return clients


def judge(record, upstream, clients, is_stopped):
    """Return 1 if a request that was passed on got no answer."""
    runs = {run["id"]: run for run in upstream.runs}
    lost = []
    for client in clients:
        run = runs.get(client.request_id)
        if run is None or client.status == 200:
            continue
        # Those sent up to 3 s after the signal may be cut in the last sixth.
        if is_stopped and client.sent_after <= 3.0:
            continue
        lost.append(client)
        record.write(
            "result",
            f"{client.request_id}, sent {client.sent_after:.3f} s after the"
            f" signal, was passed on, and got {client.status}"
            f" ({client.ended!r}) {client.took:.3f} s later; its run at the"
            f" upstream: {run['end']!r}",
        )
    record.write("result", f"{len(lost)} requests lost")
    if not is_stopped and any(client.status != 200 for client in clients):
        return 2
    return 1 if lost else 0


class KeptConnection:
    """One kept connection of a client."""

    def __init__(self, *, mesh, proxy, record):
        """Connect."""
        self._record = record
        self._sock = socket.create_connection(
            (proxy.address, mesh.outbound_port), timeout=2
        )
        self.thread = None
        self.status = None
        self.ended = ""
        self.request_id = ""
        self.sent_after = 0.0
        self.took = 0.0

    def start(self, request_id, sent_after):
        """Send a request in the background."""
        self.thread = threading.Thread(
            target=self.send, args=(request_id, sent_after)
        )
        self.thread.start()

    def send(self, request_id, sent_after):
        """Send a request; return its status, None without an answer."""
        self.request_id, self.sent_after = request_id, sent_after
        self.status, self.ended = None, ""
        self._record.write("client", f"sends {request_id}")
        started = time.monotonic()
        try:
            self.status, fields, body = exchange(
                self._sock,
                "POST",
                f"/book/{request_id}",
                [
                    ("Host", HOST),
                    ("Verbenanotch-Request-Id", request_id),
                    (
                        "Verbenanotch-Deadline-Ms",
                        str(int(BUDGET_SECONDS * 1000)),
                    ),
                ],
                b"x" * 100,
                BUDGET_SECONDS + 1,
            )
            self.ended = fields.get("connection", "")
            if self.status != 200:
                self.ended += f" {body[:90]!r}"
        except OSError as error:
            self.ended = repr(error)
        self.took = time.monotonic() - started
        self._record.write(
            "client", f"{request_id}: {self.status} {self.ended}"
        )
        return self.status


if __name__ == "__main__":
    run_case(main)
