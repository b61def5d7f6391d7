"""Exchange of zone tables between control hosts."""

import random
import time

import attrs
import eventlet

from verbenanotch.conf import Voter
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
from verbenanotch.membership._published import PublishedTable
from verbenanotch.membership._records import HostRecord
from verbenanotch.membership._target_registry import Stale, Taken, WrongBase
from verbenanotch.telemetry import emit
from verbenanotch.wire import (
    ConnectionClosedError,
    Purpose,
    WireError,
    dial_as,
    full_jitter,
)

SUMMARY_SECONDS = 1.0
SILENCE_SECONDS = 5.0
RECONNECT_BASE_SECONDS = 0.1
RECONNECT_CAP_SECONDS = 2.0
MILLISECONDS_PER_SECOND = 1000


@attrs.frozen(kw_only=True)
class ReceivedSummary:
    """A zone's last ZoneSummary and when it came, in monotonic seconds."""

    summary: ZoneSummary
    received_at: float


class ZoneExchange:
    """Serve the own zone's table and take those of the other zones.

    Control hosts of the own zone get the leases held here; those of other
    zones get the zone's whole table. `zone_summary` returns the ZoneSummary of
    the own zone, `on_drain` is called with the id of a target.
    """

    def __init__(
        self, *, settings, target_registry, on_change, zone_summary, on_drain
    ):
        """Call `on_change` when a table has changed."""
        self._settings = settings
        self._target_registry = target_registry
        self._on_change = on_change
        self._zone_summary = zone_summary
        self._on_drain = on_drain
        self._incarnation = int(time.time() * MILLISECONDS_PER_SECOND)
        self._direct = PublishedTable()
        self._full = PublishedTable()
        self._followed_sequence = None
        self._wake_events = set()
        self._greenthreads = []
        self._followed_names = {settings.host.name}
        self._connections_by_zone = {}
        self.summaries_by_zone = {}

    def start(self):
        """Dial the own zone's control hosts and one of each other zone."""
        for zone, peers_by_name in self._peers_by_zone().items():
            self._followed_names.update(peers_by_name)
            if zone == self._settings.host.effective_control_zone:
                for name, peer in peers_by_name.items():
                    self._spawn(zone, {name: peer})
            else:
                self._spawn(zone, peers_by_name)

    def follow(self, members_by_name):
        """Exchange with control hosts that were found since the start.

        One whose zone the settings don't tell is dialled by itself.
        """
        for name, member in members_by_name.items():
            if name in self._followed_names:
                continue
            self._followed_names.add(name)
            peer = Voter(address=member.address, peer_port=member.peer_port)
            self._spawn("", {name: peer})

    def stop(self):
        """End every exchange."""
        for greenthread in self._greenthreads:
            greenthread.kill()

    def wake(self):
        """Send what has changed in the own zone."""
        for wake_event in self._wake_events:
            wake_event.set()

    def drain(self, availability_zone, target_id):
        """Pass a drain on to another zone; return whether it was sent."""
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
        table = self._direct if same_zone else self._full
        session = _Session(
            connection=connection,
            table=table,
            sent_digest=hello.current_digest or None,
            same_zone=same_zone,
        )
        self._wake_events.add(session.wake_event)
        sender = eventlet.spawn(self._send_forever, session)
        try:
            while True:
                match connection.receive():
                    case ZoneResync():
                        session.sent_digest = None
                        session.wake_event.set()
                    case ZoneDrain(target_id=target_id):
                        self._on_drain(target_id)
        finally:
            sender.kill()
            self._wake_events.discard(session.wake_event)

    def _send_forever(self, session):
        pause = self._settings.control.coalesce_ms / MILLISECONDS_PER_SECOND
        summary_at = 0.0
        try:
            while True:
                self._follow()
                self._send_table(session)
                if time.monotonic() >= summary_at:
                    summary_at = time.monotonic() + SUMMARY_SECONDS
                    session.connection.send(self._zone_summary())
                eventlet.sleep(pause)
                session.wake_event.wait(SUMMARY_SECONDS)
        except ConnectionClosedError:
            session.connection.close()

    def _follow(self):
        table = self._target_registry.zone_table
        if table.sequence != self._followed_sequence:
            self._followed_sequence = table.sequence
            self._direct.follow(table.direct_records_by_host)
            self._full.follow(table.records_by_host)

    def _send_table(self, session):
        table = self._target_registry.zone_table
        warm_up_remaining_seconds = table.warm_up_remaining_seconds(
            now=time.monotonic()
        )
        if not session.same_zone and warm_up_remaining_seconds > 0:
            # A control host that has just started knows too few hosts yet.
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
                # Without a zone in the settings, each host is dialled.
                zone = peer.availability_zone or f"(zone of {name})"
                peers_by_zone.setdefault(zone, {})[name] = peer
        return peers_by_zone

    def _spawn(self, zone, peers_by_name):
        self._greenthreads.append(
            eventlet.spawn(self._run_forever, zone, peers_by_name)
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
                if subscription.received:
                    failures = 0
                    emit(events.ZONE_LOST, peer=name, error=str(error))
            self._lose(subscription)
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
        connection = dial_as(
            host,
            address=peer.address,
            port=peer.peer_port,
            purpose=Purpose.ZONE,
        )
        # The peer's summaries are its heartbeat; silence is a cut network.
        connection.set_timeout(SILENCE_SECONDS)
        connection.send(
            ZoneHello(
                availability_zone=host.effective_control_zone,
                current_digest=self._current_digest(peer, subscription.name),
            )
        )
        try:
            while True:
                self._receive(connection, connection.receive(), subscription)
        finally:
            connection.close()
            if self._connections_by_zone.get(subscription.zone) is connection:
                del self._connections_by_zone[subscription.zone]

    def _current_digest(self, peer, name):
        current = self._target_registry.remote_tables_by_zone.get(
            peer.availability_zone
        )
        same = current is not None and current.source == name
        return current.entries.digest if same else 0

    def _receive(self, connection, item, subscription):
        subscription.received = True
        match item:
            case ZoneSummary():
                subscription.zone = item.availability_zone
                self._connections_by_zone[subscription.zone] = connection
                self.summaries_by_zone[subscription.zone] = ReceivedSummary(
                    summary=item, received_at=time.monotonic()
                )
            case ZoneTableUpdate():
                outcome = self._take(item, subscription)
                if isinstance(outcome, WrongBase):
                    emit(events.ZONE_RESYNC, peer=subscription.name)
                    connection.send(ZoneResync())
                elif isinstance(outcome, Taken) and outcome.hosts:
                    self._on_change()

    def _take(self, update, subscription):
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
        gone = (
            subscription.entries.entries_by_key.keys() - entries.entries_by_key
        )
        subscription.entries = entries
        return self._update_remote_leases(
            update.changed, gone, subscription.name
        )

    def _update_remote_leases(self, changed, gone, source):
        table = self._target_registry.zone_table
        now = time.monotonic()
        for data in changed.values():
            record = decode_entry(data, HostRecord)
            table.add_remote_lease(record, source=source, now=now)
        for host in gone:
            table.remove_remote_lease(host=host, source=source, now=now)
        hosts = self._target_registry.refresh(changed.keys() | gone)
        return Taken(hosts=frozenset(hosts)) if hosts else Stale()

    def _lose(self, subscription):
        """Let the leases held by a lost control host go on for a while."""
        table = self._target_registry.zone_table
        for host in subscription.entries.entries_by_key:
            table.remove_remote_lease(
                host=host,
                source=subscription.name,
                now=time.monotonic(),
                hold_seconds=table.lease_seconds,
            )


@attrs.define(kw_only=True, eq=False)
class _Session:
    """A control host that is served; `sent_digest` names what it holds."""

    connection: object
    table: PublishedTable
    sent_digest: int | None
    same_zone: bool
    wake_event: AutoResetEvent = attrs.field(factory=AutoResetEvent)


@attrs.define(kw_only=True, eq=False)
class _Subscription:
    """A control host that is dialled, with what it sent."""

    name: str
    zone: str = ""
    received: bool = False
    entries: EntrySet = attrs.field(factory=EntrySet)
