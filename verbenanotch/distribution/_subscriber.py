"""The proxy's side of the connections to control hosts."""

import itertools
import random
import time

import eventlet

from verbenanotch import loop
from verbenanotch.catalog import NO_VERSION
from verbenanotch.conf import ControlHostAddress
from verbenanotch.crashes import (
    CrashDigest,
    CrashExchange,
    CrashRecords,
    CrashTable,
)
from verbenanotch.distribution import events
from verbenanotch.distribution._control_connection import ControlConnection
from verbenanotch.distribution._control_host_choice import (
    Candidate,
    StaleDetector,
    choose_control_host,
    is_unresponsive,
)
from verbenanotch.distribution._leader_channel import LeaderChannel
from verbenanotch.distribution._messages import (
    Acknowledge,
    Busy,
    ControlHosts,
    ControlHostZone,
    DrainTarget,
    FromLeader,
    MinimumVersionConfirmed,
    MinimumVersionReply,
    MinimumVersionUnknown,
    Resync,
    Subscribe,
    Unsubscribe,
    Update,
)
from verbenanotch.distribution._minimum_version import (
    MinimumVersionUndetermined,
)
from verbenanotch.distribution._minimum_version_search import (
    MinimumVersionSearch,
)
from verbenanotch.distribution._snapshot_store import (
    Applied,
    BelowMinimumVersion,
    DanglingReference,
    Outdated,
    WrongBase,
)
from verbenanotch.membership import (
    Announce,
    AutoResetEvent,
    LeaseRenewed,
    ReannounceRequired,
    ReleaseLease,
    RenewLease,
    StaleIncarnation,
)
from verbenanotch.telemetry import emit, metrics
from verbenanotch.wire import Purpose, WireError, dial_from_host, full_jitter

# The subscribed control host is sent a renewal at each check, to detect that
# it no longer answers; the others only at every fourth check.
CHECK_INTERVAL_SECONDS = 0.25
CHECKS_PER_RENEWAL = 4
RECEIVE_TIMEOUT_SECONDS = 3.0
RECONNECT_BASE_SECONDS = 0.1
RECONNECT_CAP_SECONDS = 1.0
RESUBSCRIBE_BASE_SECONDS = 0.2
RESUBSCRIBE_CAP_SECONDS = 5.0
CHOICE_INTERVAL_SECONDS = 0.25
# Time after the first answer in which the others may answer before a choice.
OTHER_ANSWERS_WAIT_SECONDS = 0.5
MILLISECONDS_PER_SECOND = 1000


class Subscriber:
    """Announces to every control host of the zone and subscribes to one.

    Updates are applied to `snapshot_store`. `announcement` returns the
    HostRecord to announce. `on_drain` is called with the id of a target that
    must receive no new requests. `on_renewed` is called when a control host
    has confirmed the lease, with the time in monotonic seconds at which the
    announcement or renewal was sent. `on_version_reported` is called with
    the version of each control host that confirms a lease, and that time, or
    None if the control host is not in contact with a quorum.
    `on_stale_incarnation` is called with the incarnation that the own one
    must exceed. `crash_exchange` is the CrashExchange that the connections
    are links of, `leader_channel` the LeaderChannel that uses them.
    """

    def __init__(
        self,
        *,
        settings,
        snapshot_store,
        announcement,
        on_drain,
        on_renewed=lambda sent_at: None,
        on_version_reported=lambda version, sent_at: None,
        on_stale_incarnation=lambda incarnation: None,
        crash_exchange=None,
        leader_channel=None,
    ):
        """Do nothing until `start`."""
        self._settings = settings
        self._snapshot_store = snapshot_store
        self._announcement = announcement
        self._on_drain = on_drain
        self._on_renewed = on_renewed
        self._on_version_reported = on_version_reported
        self._on_stale_incarnation = on_stale_incarnation
        self._crash_exchange = crash_exchange or CrashExchange(
            table=CrashTable()
        )
        self._leader_channel = leader_channel or LeaderChannel()
        self._connections_by_name = {}
        self._configured_peers = dict(settings.proxy.control_hosts_by_name)
        self._peers_by_name = {}
        self._dialers_by_name = {}
        self._subscribed = None
        self._subscribe_attempts = 0
        self._choose_not_before = 0.0
        self._first_answer_at = None
        self._closed_connection_bytes = 0
        self._stale_detector = StaleDetector()
        self._search = MinimumVersionSearch(
            settings=settings,
            snapshot_store=snapshot_store,
            send_all=self._send_all,
            control_hosts=lambda: frozenset(self._peers_by_name),
            on_end=self._on_search_end,
        )
        self._choose_event = AutoResetEvent()
        self._greenthreads = []

    @property
    def subscribed_to(self):
        """Return the name of the subscribed control host, or None."""
        return None if self._subscribed is None else self._subscribed.name

    @property
    def control_bytes(self):
        """Return the bytes sent and received so far on all connections."""
        return self._closed_connection_bytes + sum(
            control.control_bytes
            for control in self._connections_by_name.values()
        )

    def start(self):
        """Start to dial every control host in the background."""
        self.set_configured_peers(self._configured_peers)
        self._greenthreads += [
            loop.spawn_lasting(self._renew_forever),
            loop.spawn_lasting(self._choose_forever),
        ]

    def set_configured_peers(self, peers_by_name):
        """Dial these peers of the settings, and the ones dialled already."""
        self._configured_peers = dict(peers_by_name)
        self._set_peers({**self._peers_by_name, **self._configured_peers})

    def _set_peers(self, peers_by_name):
        """Dial exactly these control hosts from now on."""
        previous_peers = self._peers_by_name
        self._peers_by_name = dict(peers_by_name)
        current = eventlet.getcurrent()
        is_ending = False
        for name, peer in previous_peers.items():
            if _endpoint(peers_by_name.get(name)) != _endpoint(peer):
                is_ending |= self._dialers_by_name.get(name) is current
                self._stop_dialing(name)
        # Later peers may have been set while a dialer was killed.
        for name, peer in self._peers_by_name.items():
            if name not in self._dialers_by_name:
                self._dialers_by_name[name] = loop.spawn_lasting(
                    self._connect_forever, name, peer
                )
        if is_ending:
            current.kill()

    def _stop_dialing(self, name):
        """End a dialer, unless it is this greenthread, and its connection."""
        dialer = self._dialers_by_name.pop(name)
        if dialer is not eventlet.getcurrent():
            dialer.kill()
        control = self._connections_by_name.pop(name, None)
        if control is not None:
            self._handle_lost_connection(
                control,
                "the control host was removed or its address has changed",
            )

    def _update_control_hosts(self, control):
        """Use the list of control hosts of the subscribed control host.

        The control hosts of the settings are dialled even if they are not on
        it: the list may come from a control host that does not see them all.
        """
        if control is not self._subscribed or not control.control_hosts:
            return
        listed_peers = {
            host.name: ControlHostAddress(
                address=host.address, peer_port=host.peer_port
            )
            for host in control.control_hosts
        }
        self._set_peers({**listed_peers, **self._configured_peers})

    def announce(self):
        """Send the current announcement to every control host."""
        record = self._announcement()
        for control in list(self._connections_by_name.values()):
            control.send_lease(Announce(record=record))

    def release(self):
        """Release the lease at every control host."""
        record = self._announcement()
        self._send_all(
            ReleaseLease(host=record.host, incarnation=record.incarnation)
        )

    def stop(self):
        """Close every connection."""
        self._search.stop()
        for greenthread in self._greenthreads:
            greenthread.kill()
        for dialer in self._dialers_by_name.values():
            dialer.kill()
        for control in list(self._connections_by_name.values()):
            control.connection.close()

    def _send_all(self, message):
        for control in list(self._connections_by_name.values()):
            control.send(message)

    def _renew_forever(self):
        for number in itertools.count(1):
            eventlet.sleep(CHECK_INTERVAL_SECONDS)
            if number % CHECKS_PER_RENEWAL == 0:
                controls = list(self._connections_by_name.values())
            else:
                controls = [self._subscribed] if self._subscribed else []
            record = self._announcement()
            renewal = RenewLease(
                host=record.host,
                incarnation=record.incarnation,
                sequence=record.sequence,
                current_version=self._snapshot_store.snapshot.version,
            )
            for control in controls:
                control.send_lease(renewal)

    def _connect_forever(self, name, peer):
        failures = 0
        while True:
            try:
                self._connect_and_receive(name, peer)
            except Exception as error:
                control = self._connections_by_name.pop(name, None)
                if control is not None:
                    failures = 0
                    self._handle_lost_connection(control, error)
                if not isinstance(error, WireError):
                    raise
            wait = full_jitter(
                failures,
                base_seconds=RECONNECT_BASE_SECONDS,
                cap_seconds=RECONNECT_CAP_SECONDS,
                random=random,
            )
            failures += 1
            eventlet.sleep(wait)

    def _connect_and_receive(self, name, peer):
        connection = dial_from_host(
            self._settings.host,
            address=peer.address,
            port=peer.peer_port,
            purpose=Purpose.DISTRIBUTION,
        )
        # Each renewal is answered: if nothing is received for this long, the
        # connection is considered lost.
        connection.set_timeout(RECEIVE_TIMEOUT_SECONDS)
        control = ControlConnection(name=name, connection=connection)
        self._connections_by_name[name] = control
        control.send_lease(Announce(record=self._announcement()))
        self._crash_exchange.connect(connection)
        while True:
            self._receive(control, connection.receive())

    def _handle_lost_connection(self, control, error):
        emit(events.CONTROL_LOST, peer=control.name, error=str(error))
        self._closed_connection_bytes += control.control_bytes
        control.connection.close()
        self._crash_exchange.disconnect(control.connection)
        self._leader_channel.disconnect(control)
        if self._subscribed is control:
            self._subscribed = None
            self._delay_choice()

    def _delay_choice(self):
        """Delay the next choice at random.

        Otherwise all proxies of a zone would subscribe again at once.
        """
        wait = full_jitter(
            self._subscribe_attempts,
            base_seconds=RESUBSCRIBE_BASE_SECONDS,
            cap_seconds=RESUBSCRIBE_CAP_SECONDS,
            random=random,
        )
        self._subscribe_attempts += 1
        self._choose_not_before = time.monotonic() + wait

    def _choose_forever(self):
        while True:
            now = time.monotonic()
            self._unsubscribe_if_stale(now)
            self._unsubscribe_if_unresponsive(now)
            if self._subscribed is None and now >= self._choose_not_before:
                self._subscribe_to_one(now)
            self._choose_event.wait(CHOICE_INTERVAL_SECONDS)

    def _unsubscribe_if_stale(self, now):
        control = self._subscribed
        if control is None:
            return
        own_version = self._snapshot_store.snapshot.version
        others = [other.current for other in self._others(control)]
        if self._stale_detector.is_stale(
            subscribed=max(control.current, own_version),
            others=others,
            now=now,
        ):
            emit(
                events.CONTROL_STALE, peer=control.name, held=str(own_version)
            )
            self._unsubscribe(control)

    def _unsubscribe_if_unresponsive(self, now):
        control = self._subscribed
        if control is None:
            return
        others = [other.unanswered_since for other in self._others(control)]
        if is_unresponsive(
            unanswered_since=control.unanswered_since,
            others_unanswered_since=others,
            now=now,
        ):
            emit(
                events.CONTROL_SILENT,
                peer=control.name,
                held=str(self._snapshot_store.snapshot.version),
                milliseconds=round((now - control.unanswered_since) * 1000),
            )
            control.busy_until = now + RECEIVE_TIMEOUT_SECONDS
            self._unsubscribe(control)

    def _unsubscribe(self, control):
        """End the subscription, so that another control host is chosen."""
        self._subscribed = None
        control.send(Unsubscribe())

    def _others(self, control):
        return [
            other
            for other in self._answered_connections()
            if other is not control
        ]

    def _answered_connections(self):
        return [
            control
            for control in self._connections_by_name.values()
            if control.current is not None
        ]

    def _may_choose(self, controls, now):
        """Return whether enough control hosts have answered to choose.

        The first one to answer may have an old version, and choosing the
        fastest one would not spread the proxies evenly.
        """
        if not controls:
            self._first_answer_at = None
            return False
        if self._first_answer_at is None:
            self._first_answer_at = now
        known_count = len(self._peers_by_name)
        return len(controls) >= known_count or (
            now - self._first_answer_at >= OTHER_ANSWERS_WAIT_SECONDS
        )

    def _subscribe_to_one(self, now):
        controls = self._answered_connections()
        if not self._may_choose(controls, now):
            return
        name = choose_control_host(
            [
                Candidate(
                    name=control.name,
                    current=control.current,
                    busy_until=control.busy_until,
                    is_in_own_zone=(
                        control.availability_zone
                        == self._settings.host.availability_zone
                    ),
                )
                for control in controls
            ],
            host=self._settings.host.name,
            at_least=max(control.current for control in controls),
            now=now,
        )
        if name is not None:
            self._subscribed = self._connections_by_name[name]
            self._subscribe()
            self._update_control_hosts(self._subscribed)

    def _subscribe(self):
        snapshot_store = self._snapshot_store
        minimum_version = snapshot_store.minimum_version
        self._subscribed.send(
            Subscribe(
                entry_services=self._settings.proxy.entry_services,
                current_version=snapshot_store.snapshot.version,
                current_digest=snapshot_store.mesh_digest,
                digests_by_service=snapshot_store.digests_by_service,
                starting=minimum_version is None,
                minimum_version=NO_VERSION
                if minimum_version is None
                else minimum_version,
            ),
        )

    def _receive(self, control, message):
        match message:
            case Update() if control is self._subscribed:
                self._apply(control, message)
            case LeaseRenewed() | ReannounceRequired() | StaleIncarnation():
                self._receive_lease_message(control, message)
            case ControlHostZone() | ControlHosts():
                self._receive_description(control, message)
            case DrainTarget(target_id=target_id):
                self._on_drain(target_id)
            case Busy(retry_after_ms=retry_after_ms):
                self._postpone(control, retry_after_ms)
            case (
                MinimumVersionConfirmed()
                | MinimumVersionUnknown()
                | MinimumVersionReply()
            ):
                self._receive_minimum_version(control, message)
            case FromLeader():
                self._leader_channel.receive(control, message)
            case CrashDigest() | CrashRecords():
                self._crash_exchange.receive(control.connection, message)

    def _receive_minimum_version(self, control, message):
        match message:
            case MinimumVersionConfirmed(version=version):
                self._snapshot_store.raise_minimum_version(version)
                emit(events.MINIMUM_VERSION_CONFIRMED, version=str(version))
            case MinimumVersionUnknown() if control is self._subscribed:
                self._search.start(message.peers_by_host)
            case MinimumVersionReply():
                self._search.receive_reply(control.name, message)

    def _receive_description(self, control, message):
        match message:
            case ControlHostZone(availability_zone=availability_zone):
                control.availability_zone = availability_zone
            case ControlHosts(hosts=hosts):
                control.control_hosts = hosts
                self._update_control_hosts(control)

    def _postpone(self, control, retry_after_ms):
        wait_seconds = retry_after_ms / MILLISECONDS_PER_SECOND
        control.busy_until = time.monotonic() + wait_seconds * (
            1 + random.random()
        )
        metrics.increment("distribution.postponed")
        if self._subscribed is control:
            self._subscribed = None
            self._choose_event.set()

    def _receive_lease_message(self, control, message):
        sent_at = control.sent_at.popleft() if control.sent_at else None
        match message:
            case LeaseRenewed(current=current, is_in_contact=is_in_contact):
                control.current = current
                self._on_version_reported(
                    current, sent_at if is_in_contact else None
                )
                if sent_at is not None:
                    self._on_renewed(sent_at)
                self._choose_event.set()
            case ReannounceRequired():
                control.send_lease(Announce(record=self._announcement()))
            case StaleIncarnation(incarnation=incarnation):
                self._on_stale_incarnation(incarnation)

    def _apply(self, control, update):
        outcome = self._snapshot_store.apply(update, pause=_pause)
        match outcome:
            case Applied(version=version, services=services):
                self._subscribe_attempts = 0
                if services:
                    control.send(Resync(mesh=False, services=services))
                if update.mesh:
                    emit(events.VERSION_ACTIVE, version=str(version))
                    self._send_all(Acknowledge(version=version))
            case WrongBase(mesh=mesh, services=services):
                # No part of the update was applied: all its services are
                # needed in full, too.
                names = {item.service for item in update.targets}
                needed = tuple(sorted(names | set(services)))
                emit(events.RESYNC_NEEDED, mesh=mesh, services=list(needed))
                control.send(Resync(mesh=bool(update.mesh), services=needed))
            case DanglingReference(route=route, service=service):
                emit(events.VERSION_REFUSED, route=route, service=service)
                control.send(Resync(mesh=True, services=(service,)))
            case Outdated() | BelowMinimumVersion():
                emit(events.VERSION_TOO_OLD, peer=control.name)

    def _on_search_end(self, outcome):
        """Subscribe again after a search.

        If the minimum version is still undetermined, the next subscription is
        delayed; it requests the minimum version again.
        """
        if isinstance(outcome, MinimumVersionUndetermined):
            self._delay_choice()
        self._subscribed = None
        self._choose_event.set()


def _endpoint(peer):
    return None if peer is None else (peer.address, peer.peer_port)


def _pause():
    eventlet.sleep(0)
