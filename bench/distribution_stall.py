"""Measure the longest stall of the event loop while a version is distributed.

    python -m bench.distribution_stall --routes 1000,3000,10000

A greenthread sleeps for a millisecond repeatedly and measures how late it
wakes, while each step of distributing a version runs in the same process.
"""

import os

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import argparse  # noqa: E402
import time  # noqa: E402

import attrs  # noqa: E402
import msgpack  # noqa: E402

from tests.support.control_side import make_mesh  # noqa: E402
from verbenanotch.catalog import NO_VERSION, Version  # noqa: E402
from verbenanotch.distribution import SnapshotStore  # noqa: E402
from verbenanotch.distribution._mesh_state import encode_mesh  # noqa: E402
from verbenanotch.distribution._messages import Subscribe  # noqa: E402
from verbenanotch.distribution._session import ProxySession  # noqa: E402
from verbenanotch.wire import decode, encode  # noqa: E402

SERVICES = 550
TICK_SECONDS = 0.001


class StallMeter:
    """Measures the longest time in which the event loop was blocked."""

    def __init__(self):
        """Start to measure."""
        self.longest_seconds = 0.0
        eventlet.spawn(self._run)

    def measure(self, name, function):
        """Run a function; print its time and the longest stall in it."""
        eventlet.sleep(0.01)
        self.longest_seconds = 0.0
        started_at = time.monotonic()
        result = function()
        elapsed_seconds = time.monotonic() - started_at
        eventlet.sleep(0.01)
        print(
            f"  {name}: {elapsed_seconds * 1000:.1f} ms, "
            f"longest stall {self.longest_seconds * 1000:.1f} ms"
        )
        return result

    def _run(self):
        while True:
            started_at = time.monotonic()
            eventlet.sleep(TICK_SECONDS)
            delay_seconds = time.monotonic() - started_at - TICK_SECONDS
            self.longest_seconds = max(self.longest_seconds, delay_seconds)


def pause():
    """Let other greenthreads run."""
    eventlet.sleep(0)


def make_session(entry_services):
    """Return the session of a proxy without a version."""
    return ProxySession(
        host="p",
        connection=None,
        subscription=Subscribe(
            entry_services=entry_services,
            current_version=NO_VERSION,
            current_digest=0,
            digests_by_service={},
            starting=False,
            minimum_version=NO_VERSION,
        ),
    )


def measure(routes):
    """Measure one number of routes, for all services and for two of them."""
    stall_meter = StallMeter()
    mesh = make_mesh(SERVICES, routes_per_service=max(1, routes // SERVICES))
    print(f"{len(mesh.routes)} routes, {SERVICES} services")
    name = next(iter(mesh.routes))
    changed = attrs.evolve(
        mesh,
        routes={
            **mesh.routes,
            name: attrs.evolve(mesh.routes[name], timeout_ms=1),
        },
    )
    states = [
        stall_meter.measure(
            f"encode version {index}",
            lambda index=index, item=item: encode_mesh(
                version=Version(epoch=1, index=index), mesh=item, pause=pause
            ),
        )
        for index, item in ((1, mesh), (2, changed))
    ]
    for label, services in (("all", ()), ("2 services", ("s1", "s2"))):
        measure_proxy(stall_meter, label, services, states)


def measure_proxy(stall_meter, label, services, states):
    """Measure each step of a full update and of a delta of one route.

    An empty `services` means that the proxy needs all services.
    """
    session = make_session(services)
    snapshot_store = SnapshotStore(minimum_version=NO_VERSION)
    for kind, state in zip(("whole", "delta"), states, strict=True):
        name = f"{label}, {kind}"
        update = stall_meter.measure(
            f"{name}: make",
            lambda state=state: session.next_update(
                state=state, tables_by_service={}
            ),
        )
        data = stall_meter.measure(
            f"{name}: to bytes", lambda update=update: encode(update)
        )
        received = stall_meter.measure(
            f"{name}: from bytes",
            lambda data=data: decode(msgpack.unpackb(data)),
        )
        stall_meter.measure(
            f"{name}: apply",
            lambda received=received: snapshot_store.apply(
                received, pause=pause
            ),
        )
        print(f"  {name}: {len(data)} B")


def main():
    """Measure each number of routes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--routes", default="1000,3000,10000")
    for routes in map(int, parser.parse_args().routes.split(",")):
        measure(routes)


if __name__ == "__main__":
    main()
