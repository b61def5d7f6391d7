"""A process of the convergence benchmark, driven by its standard input.

As `control` it runs two control hosts of one zone over versions in memory;
as `proxies` it runs the connections of several proxies to control hosts, but
no callers. Each input line is a JSON object with a `command`; each answer is a
JSON object on a line of the standard output. Times are in seconds of the
machine's monotonic clock, which all processes share.
"""

import os

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import json  # noqa: E402
import resource  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import attrs  # noqa: E402
from eventlet import hubs  # noqa: E402

from tests.support.control_side import (  # noqa: E402
    ADDRESS,
    ControlSide,
    FakeVersionStateMachine,
    ProxySide,
    make_mesh,
)
from verbenanotch.conf import ControlHostAddress  # noqa: E402
from verbenanotch.distribution import SnapshotStore  # noqa: E402
from verbenanotch.telemetry import configure  # noqa: E402

READ_BYTES = 65536
ENTRY_SERVICES = 5


class ControlProcess:
    """Two control hosts that share their versions."""

    def __init__(self, *, services, routes_per_service, full_updates, **_):
        """Start both with a first version.

        With `full_updates` they send the full state on each change.
        """
        self._versions = FakeVersionStateMachine()
        self._mesh = make_mesh(services, routes_per_service=routes_per_service)
        self._versions.accept(self._mesh)
        self._changes = 0
        self._controls = [
            ControlSide(
                name=name,
                versions=self._versions,
                lease_ms=5000,
                whole_state_updates=full_updates,
            )
            for name in ("c1", "c2")
        ]
        peers = {control.name: control.peer for control in self._controls}
        for control in self._controls:
            control.start(
                {n: p for n, p in peers.items() if n != control.name}
            )

    def ports(self, **_):
        """Return the peer ports by name."""
        return {c.name: c.listener.port for c in self._controls}

    def change(self, count=1, **_):
        """Accept `count` versions with one changed route each."""
        names = list(self._mesh.routes)
        for _ in range(count):
            self._changes += 1
            name = names[self._changes % len(names)]
            route = attrs.evolve(
                self._mesh.routes[name], timeout_ms=1 + self._changes
            )
            self._mesh = attrs.evolve(
                self._mesh, routes={**self._mesh.routes, name: route}
            )
            version = self._versions.accept(self._mesh)
        return {"index": version.index, "at": time.monotonic()}

    def reset(self, **_):
        """Close the connections to all proxies at once."""
        at = time.monotonic()
        for control in self._controls:
            sessions = list(control.publisher.sessions_by_host.values())
            for session in sessions:
                session.connection.close()
        return {"at": at}

    def usage(self, **_):
        """Return the processor seconds and the largest resident size."""
        return _usage()


class ProxiesProcess:
    """Several proxies, connected to the control hosts at `ports`."""

    def __init__(self, *, first, count, services, ports, needed_only, **_):
        """Start `count` proxies with one target each.

        With `needed_only` each has ENTRY_SERVICES entry services, else none,
        so that it is sent all services.
        """
        self._control_hosts = {
            name: ControlHostAddress(address=ADDRESS, peer_port=port)
            for name, port in ports.items()
        }
        self._applied = []
        self._earlier_bytes = 0
        self._proxies = [
            self._start(number, services, needed_only)
            for number in range(first, first + count)
        ]

    def versions(self, **_):
        """Return the lowest version and the lowest number of known hosts."""
        snapshots = [proxy.snapshot_store.snapshot for proxy in self._proxies]
        return {
            "index": min(s.version.index for s in snapshots),
            "hosts": min(len(s.hosts_by_name) for s in snapshots),
        }

    def report(self, **_):
        """Return the versions applied since the last report, and all bytes."""
        applied, self._applied = self._applied, []
        return {
            "applied": applied,
            "bytes": self._earlier_bytes
            + sum(p.subscriber.control_bytes for p in self._proxies),
        }

    def usage(self, **_):
        """Return the processor seconds and the largest resident size."""
        return _usage()

    def churn(self, count, pause, **_):
        """Announce `count` target incarnations, `pause` seconds apart."""
        for number in range(count):
            proxy = self._proxies[number % len(self._proxies)]
            proxy.announce(
                attrs.evolve(target, incarnation=target.incarnation + 1)
                for target in proxy.record.targets
            )
            eventlet.sleep(pause)
        return {}

    def disconnect(self, **_):
        """Close every connection."""
        for proxy in self._proxies:
            proxy.subscriber.stop()
        return {}

    def reconnect(self, starting, **_):
        """Connect again, with an empty snapshot store if `starting`."""
        at = time.monotonic()
        for proxy in self._proxies:
            self._earlier_bytes += proxy.subscriber.control_bytes
            if starting:
                proxy.snapshot_store = SnapshotStore()
                self._record_applied(proxy)
            proxy.reconnect()
        return {"at": at}

    def _start(self, number, services, needed_only):
        entry_services = [
            f"s{(number * 7 + step) % services}"
            for step in range(ENTRY_SERVICES)
        ]
        proxy = ProxySide(
            name=f"p{number}",
            services=[f"s{number % services}"],
            entry_services=entry_services if needed_only else (),
            control_hosts_by_name=self._control_hosts,
        )
        self._record_applied(proxy)
        return proxy.start()

    def _record_applied(self, proxy):
        apply = proxy.snapshot_store.apply

        def recording_apply(update, **arguments):
            outcome = apply(update, **arguments)
            if update.mesh:
                self._applied.append(
                    (
                        proxy.name,
                        proxy.snapshot_store.snapshot.version.index,
                        time.monotonic(),
                    )
                )
            return outcome

        proxy.snapshot_store.apply = recording_apply


def _usage():
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "processor_seconds": usage.ru_utime + usage.ru_stime,
        "resident_kb": usage.ru_maxrss,
    }


def _read_lines():
    pending = b""
    while True:
        hubs.trampoline(0, read=True)
        data = os.read(0, READ_BYTES)
        if not data:
            return
        pending += data
        *lines, pending = pending.split(b"\n")
        yield from lines


def main():
    """Execute commands until the input ends."""
    configure(host="bench", level="error")
    process = None
    for line in _read_lines():
        request = json.loads(line)
        command = request.pop("command")
        if command == "control":
            process, answer = ControlProcess(**request), {}
        elif command == "proxies":
            process, answer = ProxiesProcess(**request), {}
        else:
            answer = getattr(process, command)(**request)
        sys.stdout.write(json.dumps(answer) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()
