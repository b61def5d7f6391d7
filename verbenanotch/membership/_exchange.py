"""Exchange of zone tables between control hosts."""

import random
import time

import attrs
import eventlet

from verbenanotch import loop
from verbenanotch.conf import ControlHostAddress
from verbenanotch.crashes import (
    CrashDigest,
    CrashExchange,
    CrashRecords,
    CrashTable,
)
from verbenanotch.membership import events
from verbenanotch.membership._auto_reset_event import AutoResetEvent
from verbenanotch.membership._entry_set import EntrySet, decode_entry
from verbenanotch.membership._messages import (
    ZoneDrain,
    ZoneHello,
    ZoneResync,
    ZoneSummary,
    ZoneTableUpdate,
)
from verbenanotch.membership._published_table import PublishedTable
from verbenanotch.membership._records import HostRecord
from verbenanotch.membership._target_registry import Merged, Stale, WrongBase
from verbenanotch.telemetry import emit
from verbenanotch.wire import (
    ConnectionClosedError,
    Purpose,
    WireError,
    dial_from_host,
    full_jitter,
)

SUMMARY_INTERVAL_SECONDS = 1.0
RECEIVE_TIMEOUT_SECONDS = 5.0
RECONNECT_BASE_SECONDS = 0.1
RECONNECT_CAP_SECONDS = 2.0
MILLISECONDS_PER_SECOND = 1000


@attrs.frozen(kw_only=True)
class ReceivedSummary:
    """A zone's last ZoneSummary; `received_at` is in monotonic seconds."""

    summary: ZoneSummary
    received_at: float


class ZoneExchange:
    """Serve the own zone's table and receive those of the other zones.

    Control hosts of the own zone are sent the records of the hosts that renew
    their lease at this control host; those of other zones are sent the zone's
    full table. `zone_summary` returns the ZoneSummary of the own zone.
    `on_change` is called after an update has changed a record, `on_drain` with
    the id of a target to drain. `crash_exchange` is the CrashExchange that the
    connections are links of.
    """

    def __init__(
        self,
        *,
        settings,
        target_registry,
        on_change,
        zone_summary,
        on_drain,
        crash_exchange=None,
    ):
        """Start without connections."""
        self._settings = settings
        self._target_registry = target_registry
        self._on_change = on_change
        self._zone_summary = zone_summary
        self._on_drain = on_drain
        self._crash_exchange = crash_exchange or CrashExchange(
            table=CrashTable()
        )
        self._incarnation = int(time.time() * MILLISECONDS_PER_SECOND)
        self._direct_table = PublishedTable()
        self._full_table = PublishedTable()
        self._published_sequence = None
        self._wake_events = set()
        self._greenthreads = []
        self._dialed_names = {settings.host.name}
        self._connections_by_zone = {}
        self.summaries_by_zone = {}

    def start(self):
        """Dial the own zone's control hosts and one of each other zone."""
        for zone, peers_by_name in self._peers_by_zone().items():
            self._dialed_names.update(peers_by_name)
            if zone == self._settings.host.effective_control_zone:
                for name, peer in peers_by_name.items():
                    self._start_subscription(zone, {name: peer})
            else:
                self._start_subscription(zone, peers_by_name)

    def add_control_hosts(self, members_by_name):
        """Dial control hosts that are not in the settings.

        Their zone is not known here, so each of them is dialled.
        """
        for name, member in members_by_name.items():
            if name in self._dialed_names:
                continue
            self._dialed_names.add(name)
            peer = ControlHostAddress(
                address=member.address, peer_port=member.peer_port
            )
            self._start_subscription("", {name: peer})

    def stop(self):
        """End every exchange."""
        for greenthread in self._greenthreads:
            greenthread.kill()

    def wake(self):
        """Send the changes of the own zone's table."""
        for wake_event in self._wake_events:
            wake_event.set()

    def drain(self, availability_zone, target_id):
        """Send a ZoneDrain to a zone; return whether it was sent."""
        connection = self._connections_by_zone.get(availability_zone)
        if connection is None:
            return False
        try:
            connection.send(ZoneDrain(target_id=target_id))
        except WireError:
            return False
        return True

    def handle(self, connection):
        """Serve the own zone's table to a control host."""
        hello = connection.receive()
        own_zone = self._settings.host.effective_control_zone
        same_zone = hello.availability_zone == own_zone
        table = self._direct_table if same_zone else self._full_table
        session = _Session(
            connection=connection,
            table=table,
            sent_digest=hello.current_digest or None,
            same_zone=same_zone,
        )
        self._wake_events.add(session.wake_event)
        sender = eventlet.spawn(self._send_forever, session)
        self._crash_exchange.connect(connection)
        try:
            while True:
                message = connection.receive()
                match message:
                    case ZoneResync():
                        session.sent_digest = None
                        session.wake_event.set()
                    case ZoneDrain(target_id=target_id):
                        self._on_drain(target_id)
                    case CrashDigest() | CrashRecords():
                        self._crash_exchange.receive(connection, message)
        finally:
            sender.kill()
            self._crash_exchange.disconnect(connection)
            self._wake_events.discard(session.wake_event)

    def _send_forever(self, session):
        coalesce_seconds = (
            self._settings.control.coalesce_ms / MILLISECONDS_PER_SECOND
        )
        next_summary_at = 0.0
        try:
            while True:
                self._update_published_tables()
                self._send_table(session)
                if time.monotonic() >= next_summary_at:
                    next_summary_at = (
                        time.monotonic() + SUMMARY_INTERVAL_SECONDS
                    )
                    session.connection.send(self._zone_summary())
                eventlet.sleep(coalesce_seconds)
                session.wake_event.wait(SUMMARY_INTERVAL_SECONDS)
        except ConnectionClosedError:
            pass
        finally:
            session.connection.close()

    def _update_published_tables(self):
        table = self._target_registry.zone_table
        if table.sequence != self._published_sequence:
            self._published_sequence = table.sequence
            self._direct_table.replace_records(table.direct_records_by_host)
            self._full_table.replace_records(table.records_by_host)

    def _send_table(self, session):
        table = self._target_registry.zone_table
        warm_up_remaining_seconds = table.warm_up_remaining_seconds(
            now=time.monotonic()
        )
        if not session.same_zone and warm_up_remaining_seconds > 0:
            # A control host that has just started does not know all hosts yet.
            return
        entries = session.table.entries
        if session.sent_digest == entries.digest:
            return
        delta = session.table.delta_from(session.sent_digest)
        full = delta is None
        session.connection.send(
            ZoneTableUpdate(
                availability_zone=table.availability_zone,
                source=self._settings.host.name,
                source_incarnation=self._incarnation,
                sequence=table.sequence,
                full=full,
                base_digest=0 if full else session.sent_digest,
                digest=entries.digest,
                changed=entries.entries_by_key if full else delta.changed,
                removed=() if full else delta.removed,
            )
        )
        session.sent_digest = entries.digest

    def _peers_by_zone(self):
        control = self._settings.control
        peers_by_zone = {}
        peers = {**control.voters_by_name, **control.control_hosts_by_name}
        for name, peer in peers.items():
            if name != self._settings.host.name:
                # Without a zone in the settings a control host gets a
                # separate one here, so that it is dialled.
                zone = peer.availability_zone or f"(zone of {name})"
                peers_by_zone.setdefault(zone, {})[name] = peer
        return peers_by_zone

    def _start_subscription(self, zone, peers_by_name):
        self._greenthreads.append(
            loop.spawn_lasting(self._run_forever, zone, peers_by_name)
        )

    def _run_forever(self, zone, peers_by_name):
        failures = 0
        names = sorted(peers_by_name)
        random.shuffle(names)
        while True:
            name = names[0]
            subscription = _Subscription(name=name)
            try:
                self._run(peers_by_name[name], subscription)
            except WireError as error:
                if subscription.has_received:
                    failures = 0
                    emit(events.ZONE_LOST, peer=name, error=str(error))
            finally:
                self._remove_leases_of(subscription)
            names = [*names[1:], name]
            failures += 1
            wait = full_jitter(
                failures,
                base_seconds=RECONNECT_BASE_SECONDS,
                cap_seconds=RECONNECT_CAP_SECONDS,
                random=random,
            )
            eventlet.sleep(wait)

    def _run(self, peer, subscription):
        host = self._settings.host
        connection = dial_from_host(
            host,
            address=peer.address,
            port=peer.peer_port,
            purpose=Purpose.ZONE,
        )
        # The peer's summaries are its heartbeat: if nothing is received for
        # this long, the connection is considered lost.
        connection.set_timeout(RECEIVE_TIMEOUT_SECONDS)
        connection.send(
            ZoneHello(
                availability_zone=host.effective_control_zone,
                current_digest=self._current_digest(peer, subscription.name),
            )
        )
        self._crash_exchange.connect(connection)
        try:
            while True:
                self._receive(connection, connection.receive(), subscription)
        finally:
            connection.close()
            self._crash_exchange.disconnect(connection)
            if self._connections_by_zone.get(subscription.zone) is connection:
                del self._connections_by_zone[subscription.zone]

    def _current_digest(self, peer, name):
        current = self._target_registry.remote_tables_by_zone.get(
            peer.availability_zone
        )
        same_source = current is not None and current.source == name
        return current.entries.digest if same_source else 0

    def _receive(self, connection, message, subscription):
        subscription.has_received = True
        match message:
            case ZoneSummary():
                subscription.zone = message.availability_zone
                self._connections_by_zone[subscription.zone] = connection
                self.summaries_by_zone[subscription.zone] = ReceivedSummary(
                    summary=message, received_at=time.monotonic()
                )
            case ZoneTableUpdate():
                outcome = self._apply_update(message, subscription)
                if isinstance(outcome, WrongBase):
                    emit(events.ZONE_RESYNC, peer=subscription.name)
                    connection.send(ZoneResync())
                elif isinstance(outcome, Merged) and outcome.hosts:
                    self._on_change()
            case CrashDigest() | CrashRecords():
                self._crash_exchange.receive(connection, message)

    def _apply_update(self, update, subscription):
        """Apply an update; return Merged, Stale or WrongBase.

        Other zones' tables are merged by the registry. The own zone's records
        are added to the zone table, as leases at the control host that sent
        them.
        """
        if (
            update.availability_zone
            != self._settings.host.effective_control_zone
        ):
            return self._target_registry.receive(update, now=time.monotonic())
        entries = EntrySet() if update.full else subscription.entries
        if not update.full and entries.digest != update.base_digest:
            return WrongBase()
        entries = entries.evolve(
            changed=update.changed, removed=update.removed
        )
        if entries.digest != update.digest:
            return WrongBase()
        removed_hosts = (
            subscription.entries.entries_by_key.keys() - entries.entries_by_key
        )
        subscription.entries = entries
        return self._update_remote_leases(
            update.changed, removed_hosts, subscription.name
        )

    def _update_remote_leases(self, changed, removed_hosts, source):
        table = self._target_registry.zone_table
        now = time.monotonic()
        for data in changed.values():
            record = decode_entry(data, HostRecord)
            table.add_remote_lease(record, source=source, now=now)
        for host in removed_hosts:
            table.remove_remote_lease(host=host, source=source, now=now)
        hosts = self._target_registry.refresh(changed.keys() | removed_hosts)
        return Merged(hosts=frozenset(hosts)) if hosts else Stale()

    def _remove_leases_of(self, subscription):
        """End a disconnected control host's leases, after one lease time."""
        table = self._target_registry.zone_table
        for host in subscription.entries.entries_by_key:
            table.remove_remote_lease(
                host=host,
                source=subscription.name,
                now=time.monotonic(),
                grace_seconds=table.lease_seconds,
            )


@attrs.define(kw_only=True, eq=False)
class _Session:
    """A connected control host and the PublishedTable that is sent to it.

    `sent_digest` is the digest of the table that the control host has, None
    if it must be sent in full.
    """

    connection: object
    table: PublishedTable
    sent_digest: int | None
    same_zone: bool
    wake_event: AutoResetEvent = attrs.field(factory=AutoResetEvent)


@attrs.define(kw_only=True, eq=False)
class _Subscription:
    """A control host that was dialled, and what it has sent.

    `zone` is its zone, empty until its first ZoneSummary. `entries` are the
    records with a lease there, if it is in the own zone.
    """

    name: str
    zone: str = ""
    has_received: bool = False
    entries: EntrySet = attrs.field(factory=EntrySet)
