"""Exchange of zone tables between control hosts."""

import random
import time

import eventlet

from verbenanotch.membership._messages import ZoneHello, ZoneTableUpdate
from verbenanotch.wire import Purpose, WireError, dial

POLL_SECONDS = 0.1
RECONNECT_SECONDS = 1.0
MILLISECONDS_PER_SECOND = 1000


class ZoneExchange:
    """Send the own zone's table to, and take tables from, other hosts."""

    def __init__(self, *, settings, directory, on_change):
        """Call `on_change` when another zone's table has changed."""
        self._settings = settings
        self._directory = directory
        self._on_change = on_change
        self._incarnation = int(time.time() * MILLISECONDS_PER_SECOND)
        self._greenthreads = []

    def start(self):
        """Dial every other control host in the background."""
        peers_by_name = {
            **self._settings.control.voters_by_name,
            **self._settings.control.control_hosts_by_name,
        }
        for name, peer in peers_by_name.items():
            if name != self._settings.host.name:
                self._greenthreads.append(
                    eventlet.spawn(self._run_forever, peer)
                )

    def stop(self):
        """End every exchange."""
        for greenthread in self._greenthreads:
            greenthread.kill()

    def handle(self, connection):
        """Send the own zone's table whenever it changes."""
        connection.receive()
        sent = None
        while not connection.closed:
            table = self._directory.zone_table
            if table.sequence != sent:
                sent = table.sequence
                connection.send(self._update(table))
            eventlet.sleep(POLL_SECONDS)

    def _update(self, table):
        return ZoneTableUpdate(
            availability_zone=table.availability_zone,
            source=self._settings.host.name,
            source_incarnation=self._incarnation,
            sequence=table.sequence,
            records=tuple(table.records_by_host.values()),
        )

    def _run_forever(self, peer):
        while True:
            try:
                self._run(peer)
            except WireError:
                eventlet.sleep(random.uniform(0, RECONNECT_SECONDS))

    def _run(self, peer):
        host = self._settings.host
        connection = dial(
            address=peer.address,
            port=peer.peer_port,
            key=host.peer_key.encode(),
            name=host.name,
            purpose=Purpose.ZONE,
        )
        connection.send(ZoneHello(availability_zone=host.availability_zone))
        while True:
            if self._directory.receive(connection.receive()):
                self._on_change()
