"""The control host: versions, its zone's table, streams to proxies."""

import random
import time

import attrs
import eventlet

from verbenanotch.catalog import Versions, VersionService
from verbenanotch.daemon._http import HttpServer
from verbenanotch.distribution import Publisher
from verbenanotch.membership import Directory, ZoneExchange, ZoneTable
from verbenanotch.operator import OperatorInterface
from verbenanotch.replication import Replica
from verbenanotch.wire import Listener, Purpose

EXPIRY_SECONDS = 0.5
MILLISECONDS_PER_SECOND = 1000


class ControlHost:
    """All parts of a control host; the operators' interface reads it."""

    def __init__(self, *, settings):
        """Bind every address and recover the data folder."""
        host = settings.host
        control = settings.control
        self._versions = Versions()
        self._replica = Replica(
            settings=settings,
            state_machine=self._versions,
            random=random.Random(),
        )
        self._table = ZoneTable(
            availability_zone=host.availability_zone,
            lease_seconds=control.lease_ms / MILLISECONDS_PER_SECOND,
        )
        self._directory = Directory(zone_table=self._table)
        self._publisher = Publisher(
            versions=self._versions, directory=self._directory
        )
        self._exchange = ZoneExchange(
            settings=settings,
            directory=self._directory,
            on_change=self._publisher.wake,
        )
        self._listener = Listener(
            address=host.address,
            port=host.peer_port,
            key=host.peer_key.encode(),
            name=host.name,
            handlers_by_purpose={
                Purpose.REPLICATION: self._replica.handle,
                Purpose.DISTRIBUTION: self._publisher.handle,
                Purpose.ZONE: self._exchange.handle,
            },
        )
        service = VersionService(
            replica=self._replica, versions=self._versions
        )
        interface = OperatorInterface(
            token=control.operator_token, versions=service, control=self
        )
        self._http = HttpServer(
            address=host.address,
            port=control.operator_port,
            application=interface.application,
        )
        self._expirer = None

    def start(self):
        """Start serving."""
        self._replica.start()
        self._listener.start()
        self._exchange.start()
        self._http.start()
        self._expirer = eventlet.spawn(self._expire_forever)

    def stop(self):
        """Stop serving; what is committed is on disk already."""
        self._expirer.kill()
        self._http.stop()
        self._exchange.stop()
        self._replica.stop()
        self._listener.stop()

    def ready(self):
        """Return whether the control host can serve operators."""
        return bool(self._replica.status().leader)

    def status(self):
        """Return the state of the replica and of the zone's proxies."""
        current = self._versions.current
        return {
            "replica": attrs.asdict(self._replica.status()),
            "version": str(current.version) if current else "",
            "proxies": {
                host: str(session.acknowledged)
                for host, session in self._publisher.sessions_by_host.items()
            },
        }

    def targets(self):
        """Return every known target with its host and zone."""
        return [
            {
                "host": record.host,
                "availability_zone": record.availability_zone,
                **attrs.asdict(target),
            }
            for record in self._directory.records_by_host.values()
            for target in record.targets
        ]

    def drain(self, target_id):
        """Give a target no new work; return whether it is known."""
        known = any(t["target_id"] == target_id for t in self.targets())
        self._publisher.drain(target_id)
        return known

    def _expire_forever(self):
        while True:
            eventlet.sleep(EXPIRY_SECONDS)
            if self._table.expire(now=time.monotonic()):
                self._publisher.wake()
