"""The control host's side of the streams to proxies."""

import time

import attrs
import eventlet
from eventlet import event

from verbenanotch.catalog import NO_VERSION, Version
from verbenanotch.distribution import events
from verbenanotch.distribution._messages import (
    Acknowledge,
    DrainTarget,
    MeshUpdate,
    Subscribe,
    TargetsUpdate,
)
from verbenanotch.membership import Announce, AnnounceNeeded, Release, Renew
from verbenanotch.telemetry import emit
from verbenanotch.wire import ConnectionClosedError


@attrs.define(kw_only=True)
class ProxySession:
    """One connected proxy; `acknowledged` is the version in force there."""

    host: str
    connection: object
    services: tuple[str, ...] | None = None
    sent: Version = NO_VERSION
    acknowledged: Version = NO_VERSION
    sent_targets_mark: object = None
    wakeup: object = attrs.field(factory=event.Event)


class Publisher:
    """Serve the streams of the zone's proxies.

    `versions` gives the current version, `directory` the targets.
    """

    def __init__(self, *, versions, directory):
        """Publish each change of `versions` as it happens."""
        self._versions = versions
        self._directory = directory
        self.sessions_by_host = {}
        versions.on_change(lambda record: self.wake())

    def handle(self, connection):
        """Serve one proxy until its connection ends."""
        session = ProxySession(
            host=connection.peer_name, connection=connection
        )
        self.sessions_by_host[session.host] = session
        sender = eventlet.spawn(self._send_forever, session)
        try:
            while True:
                self._receive(session, connection.receive())
        finally:
            sender.kill()
            if self.sessions_by_host.get(session.host) is session:
                del self.sessions_by_host[session.host]

    def wake(self):
        """Let every stream look for something new to send."""
        for session in self.sessions_by_host.values():
            _wake(session)

    def drain(self, target_id):
        """Tell the proxies of the zone to give a target no new work."""
        for session in list(self.sessions_by_host.values()):
            try:
                session.connection.send(DrainTarget(target_id=target_id))
            except ConnectionClosedError:
                continue

    def _receive(self, session, item):
        table = self._directory.zone_table
        match item:
            case Subscribe(services=services, held=held):
                session.services = services
                session.sent = held
                session.acknowledged = held
                _wake(session)
            case Acknowledge(version=version):
                session.acknowledged = version
            case Announce(record=record):
                if table.announce(record, now=time.monotonic()):
                    emit(events.HOST_ANNOUNCED, peer=record.host)
                    self.wake()
            case Renew(host=host, incarnation=incarnation, sequence=sequence):
                held = table.renew(
                    host=host,
                    incarnation=incarnation,
                    sequence=sequence,
                    now=time.monotonic(),
                )
                if not held:
                    session.connection.send(AnnounceNeeded())
            case Release(host=host, incarnation=incarnation):
                table.release(host=host, incarnation=incarnation)
                self.wake()

    def _send_forever(self, session):
        try:
            while True:
                session.wakeup.wait()
                session.wakeup = event.Event()
                if session.services is not None:
                    self._send_targets(session)
                    self._send_mesh(session)
        except ConnectionClosedError:
            session.connection.close()

    def _send_mesh(self, session):
        current = self._versions.current
        if current is None or current.version <= session.sent:
            return
        session.connection.send(
            MeshUpdate(
                version=current.version,
                services=current.mesh.services_by_name,
                routes=current.mesh.routes_by_name,
            )
        )
        session.sent = current.version

    def _send_targets(self, session):
        records = tuple(self._directory.records_by_host.values())
        if records != session.sent_targets_mark:
            session.sent_targets_mark = records
            session.connection.send(TargetsUpdate(records=records))


def _wake(session):
    if not session.wakeup.ready():
        session.wakeup.send()
