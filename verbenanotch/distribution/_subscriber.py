"""The proxy's side of the streams from control hosts."""

import random

import eventlet

from verbenanotch.distribution import events
from verbenanotch.distribution._messages import (
    Acknowledge,
    DrainTarget,
    MeshUpdate,
    Subscribe,
    TargetsUpdate,
)
from verbenanotch.distribution._snapshot import Applied, Unclosed
from verbenanotch.membership import Announce, AnnounceNeeded, Release, Renew
from verbenanotch.telemetry import emit
from verbenanotch.wire import Purpose, WireError, dial

RENEW_SECONDS = 1.0
RECONNECT_BASE_SECONDS = 0.1
RECONNECT_CAP_SECONDS = 5.0


class Subscriber:
    """Keep one stream to each control host of the zone.

    `holder` gets the versions and targets. `announcement` is a callable
    that returns the HostRecord to announce. `on_drain` is called with the
    id of a target that is to get no new work.
    """

    def __init__(self, *, settings, holder, announcement, on_drain):
        """Do nothing until `start`."""
        self._settings = settings
        self._holder = holder
        self._announcement = announcement
        self._on_drain = on_drain
        self._connections_by_name = {}
        self._greenthreads = []

    def start(self):
        """Dial every control host in the background."""
        proxy = self._settings.proxy
        for name, peer in proxy.control_hosts_by_name.items():
            self._greenthreads.append(
                eventlet.spawn(self._run_forever, name, peer)
            )
        self._greenthreads.append(eventlet.spawn(self._renew_forever))

    def announce(self):
        """Send the current announcement to every control host."""
        record = self._announcement()
        self._send_all(Announce(record=record))

    def release(self):
        """Give up the lease at every control host."""
        record = self._announcement()
        self._send_all(
            Release(host=record.host, incarnation=record.incarnation)
        )

    def stop(self):
        """End every stream."""
        for greenthread in self._greenthreads:
            greenthread.kill()
        for connection in list(self._connections_by_name.values()):
            connection.close()

    def _send_all(self, item):
        for connection in list(self._connections_by_name.values()):
            try:
                connection.send(item)
            except WireError:
                continue

    def _renew_forever(self):
        while True:
            eventlet.sleep(RENEW_SECONDS)
            record = self._announcement()
            self._send_all(
                Renew(
                    host=record.host,
                    incarnation=record.incarnation,
                    sequence=record.sequence,
                )
            )

    def _run_forever(self, name, peer):
        failures = 0
        while True:
            try:
                self._run(name, peer)
            except WireError as error:
                if self._connections_by_name.pop(name, None) is not None:
                    failures = 0
                    emit(events.CONTROL_LOST, peer=name, error=str(error))
            bound = min(
                RECONNECT_CAP_SECONDS, RECONNECT_BASE_SECONDS * 2**failures
            )
            failures += 1
            eventlet.sleep(random.uniform(0, bound))

    def _run(self, name, peer):
        host = self._settings.host
        connection = dial(
            address=peer.address,
            port=peer.peer_port,
            key=host.peer_key.encode(),
            name=host.name,
            purpose=Purpose.DISTRIBUTION,
        )
        self._connections_by_name[name] = connection
        connection.send(Announce(record=self._announcement()))
        connection.send(
            Subscribe(
                services=self._settings.proxy.entry_services,
                held=self._holder.snapshot.version,
            )
        )
        while True:
            self._receive(connection, connection.receive())

    def _receive(self, connection, item):
        match item:
            case MeshUpdate():
                self._apply_mesh(connection, item)
            case TargetsUpdate(records=records):
                self._holder.apply_targets(records)
            case AnnounceNeeded():
                connection.send(Announce(record=self._announcement()))
            case DrainTarget(target_id=target_id):
                self._on_drain(target_id)

    def _apply_mesh(self, connection, item):
        outcome = self._holder.apply_mesh(
            version=item.version,
            services_by_name=item.services,
            routes_by_name=item.routes,
        )
        match outcome:
            case Applied(version=version):
                emit(events.VERSION_IN_FORCE, version=str(version))
            case Unclosed(route=route, service=service):
                emit(
                    events.VERSION_REFUSED,
                    version=str(item.version),
                    route=route,
                    service=service,
                )
                return
        connection.send(Acknowledge(version=self._holder.snapshot.version))
