"""Control hosts and proxies without a replicated log, HTTP or callers.

They use real connections over loopback. FakeVersionStateMachine replaces the
replicated log, and `ControlSide.confirms` the quorum reads.
"""

import time

import attrs
import eventlet

from verbenanotch.catalog import Mesh, Route, Service, Version
from verbenanotch.conf import (
    ControlHostAddress,
    ControlSettings,
    HostSettings,
    ProxySettings,
    Settings,
)
from verbenanotch.distribution import (
    MinimumVersionResponder,
    Publisher,
    SnapshotStore,
    Subscriber,
)
from verbenanotch.membership import (
    HostRecord,
    TargetRecord,
    TargetRegistry,
    ZoneExchange,
    ZoneTable,
)
from verbenanotch.wire import Listener, Purpose

PEER_KEY = "key of the tests, long enough"
ADDRESS = "127.0.0.1"
EXPIRY_INTERVAL_SECONDS = 0.2


@attrs.frozen(kw_only=True)
class FakeRecord:
    """One accepted version."""

    version: Version
    mesh: Mesh


class FakeVersionStateMachine:
    """Accepted versions in memory, shared by several control hosts."""

    def __init__(self):
        """Start without versions."""
        self.current = None
        self.records_by_version = {}
        self._callbacks = []

    def on_change(self, callback):
        """Call `callback(record)` after each accepted version."""
        self._callbacks.append(callback)

    def accept(self, mesh, *, index=None):
        """Accept a mesh as the next version, or at `index`; return it."""
        if index is None:
            index = self.current.version.index + 1 if self.current else 1
        version = Version(epoch=1, index=index)
        self.current = FakeRecord(version=version, mesh=mesh)
        self.records_by_version[version] = self.current
        for callback in self._callbacks:
            callback(self.current)
        return version


def make_mesh(service_count, *, routes_per_service=1, timeout_ms=2000):
    """Return a Mesh; service `s1` calls `s2`."""
    names = [f"s{number}" for number in range(service_count)]
    services = {name: Service() for name in names}
    if service_count > 2:
        services["s1"] = Service(calls=("s2",))
    routes = {
        f"{name}-{number}": Route(
            prefix=f"/{name}/{number}", service=name, timeout_ms=timeout_ms
        )
        for name in names
        for number in range(routes_per_service)
    }
    return Mesh(name="mesh", services=services, routes=routes)


def make_target(service, *, host, draining=False):
    """Return the TargetRecord of the target of a service on a host."""
    return TargetRecord(
        target_id=f"{service}/{host}:80",
        service=service,
        address=ADDRESS,
        port=80,
        slots=4,
        incarnation=1,
        draining=draining,
    )


class ControlSide:
    """A control host that distributes versions and keeps leases."""

    def __init__(
        self,
        *,
        name,
        versions,
        zone="z1",
        lease_ms=1000,
        port=0,
        confirms=True,
        **control_settings,
    ):
        """Bind a port.

        `confirms` is whether quorum reads succeed; it may be changed later.
        `control_settings` are fields of ControlSettings.
        """
        self.name = name
        self.zone = zone
        self.confirms = confirms
        self.versions = versions
        self._settings = {"lease_ms": lease_ms, **control_settings}
        self.table = ZoneTable(
            availability_zone=zone,
            lease_seconds=lease_ms / 1000,
            started_at=time.monotonic() - lease_ms / 1000,
        )
        self.target_registry = TargetRegistry(zone_table=self.table)
        self.publisher = None
        self.exchange = None
        self._expirer = None
        self.listener = Listener(
            address=ADDRESS,
            port=port,
            key=PEER_KEY.encode(),
            name=name,
            handlers_by_purpose={
                Purpose.DISTRIBUTION: lambda c: self.publisher.handle(c),
                Purpose.ZONE: lambda c: self.exchange.handle(c),
            },
        )
        self.peer = ControlHostAddress(
            address=ADDRESS,
            peer_port=self.listener.port,
            availability_zone=zone,
        )

    def start(self, peers_by_name=None):
        """Start to serve; exchange tables with these peers."""
        settings = self._make_settings(peers_by_name or {})
        self.publisher = Publisher(
            settings=settings,
            versions=self.versions,
            target_registry=self.target_registry,
            confirm=lambda timeout_seconds: self.confirms,
            on_zone_change=lambda: self.exchange.wake(),
        )
        self.exchange = ZoneExchange(
            settings=settings,
            target_registry=self.target_registry,
            on_change=self.publisher.wake,
            zone_summary=self.publisher.zone_summary,
            on_drain=self.publisher.drain,
        )
        self.publisher.start()
        self.listener.start()
        self.exchange.start()
        self._expirer = eventlet.spawn(self._expire_forever)
        return self

    def stop(self):
        """Stop, and close every connection."""
        self._expirer.kill()
        self.exchange.stop()
        self.publisher.stop()
        self.listener.stop()

    def _expire_forever(self):
        while True:
            eventlet.sleep(EXPIRY_INTERVAL_SECONDS)
            expiry = self.table.expire(now=time.monotonic())
            if self.target_registry.refresh(expiry.dropped):
                self.publisher.wake()
            if expiry.dropped or expiry.suspected:
                self.exchange.wake()

    def _make_settings(self, peers_by_name):
        return Settings(
            host=HostSettings(
                name=self.name,
                role="control",
                availability_zone=self.zone,
                address=ADDRESS,
                peer_port=self.listener.port,
                peer_key=PEER_KEY,
            ),
            control=ControlSettings(
                data_folder="",
                operator_port=1,
                operator_token="token",
                voters_by_name={},
                control_hosts_by_name=peers_by_name,
                **self._settings,
            ),
        )


class ProxySide:
    """A proxy that announces targets and applies updates.

    `drained` has the ids of the targets that it was notified to drain.
    """

    def __init__(
        self,
        *,
        name,
        control_hosts_by_name,
        services=(),
        entry_services=(),
        zone="z1",
        incarnation=1,
        floor_wait_ms=300,
    ):
        """Prepare to announce one target of each of `services`."""
        self.name = name
        self.snapshot_store = SnapshotStore()
        self.drained = []
        self.record = HostRecord(
            host=name,
            availability_zone=zone,
            address=ADDRESS,
            peer_port=1,
            incarnation=incarnation,
            sequence=1,
            targets=tuple(
                make_target(service, host=name) for service in services
            ),
        )
        self.listener = Listener(
            address=ADDRESS,
            port=0,
            key=PEER_KEY.encode(),
            name=name,
            handlers_by_purpose={
                Purpose.DISTRIBUTION: MinimumVersionResponder(
                    snapshot_store=self.snapshot_store
                ).handle
            },
        )
        self.record = attrs.evolve(self.record, peer_port=self.listener.port)
        self._settings = Settings(
            host=HostSettings(
                name=name,
                role="proxy",
                availability_zone=zone,
                address=ADDRESS,
                peer_port=self.listener.port,
                peer_key=PEER_KEY,
            ),
            proxy=ProxySettings(
                caller_port=1,
                target_port=2,
                control_hosts_by_name=control_hosts_by_name,
                entry_services=tuple(entry_services),
                floor_wait_ms=floor_wait_ms,
            ),
        )
        self.subscriber = self._make_subscriber()

    def start(self):
        """Start to serve and connect to the control hosts."""
        self.listener.start()
        self.subscriber.start()
        return self

    def reconnect(self):
        """Connect again with the current `snapshot_store`."""
        self.subscriber = self._make_subscriber()
        self.subscriber.start()

    def stop(self):
        """Close the connections without releasing the lease, like a crash."""
        self.subscriber.stop()
        self.listener.stop()

    def announce(self, targets):
        """Announce another set of targets."""
        self.record = attrs.evolve(
            self.record,
            sequence=self.record.sequence + 1,
            targets=tuple(targets),
        )
        self.subscriber.announce()

    def _make_subscriber(self):
        return Subscriber(
            settings=self._settings,
            snapshot_store=self.snapshot_store,
            announcement=lambda: self.record,
            on_drain=self.drained.append,
        )

    @property
    def version(self):
        """Return the active version."""
        return self.snapshot_store.snapshot.version


def wait_until(condition, *, seconds=15.0):
    """Wait until a condition holds; raise AssertionError on timeout."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(
                "the condition was not met before the deadline"
            )
        eventlet.sleep(0.01)
