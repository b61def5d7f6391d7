"""The proxy's side of the streams from control hosts."""

import itertools
import random
import time

import eventlet

from verbenanotch.catalog import NO_VERSION
from verbenanotch.conf import Voter
from verbenanotch.distribution import events
from verbenanotch.distribution._control_connection import ControlConnection
from verbenanotch.distribution._control_host_choice import (
    Candidate,
    StaleWatch,
    choose_control_host,
    is_silent,
)
from verbenanotch.distribution._messages import (
    Acknowledge,
    Busy,
    ControlHosts,
    DrainTarget,
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
from verbenanotch.wire import Purpose, WireError, dial_as, full_jitter

# The control host that sends the updates is asked this often whether it still
# answers, and each of the others at every fourth time.
CHECK_SECONDS = 0.25
CHECKS_PER_RENEWAL = 4
SILENCE_SECONDS = 3.0
RECONNECT_BASE_SECONDS = 0.1
RECONNECT_CAP_SECONDS = 1.0
RESUBSCRIBE_BASE_SECONDS = 0.2
RESUBSCRIBE_CAP_SECONDS = 5.0
CHOICE_SECONDS = 0.25
# How long the choice waits for the other control hosts to answer.
CONNECTION_WAIT_SECONDS = 0.5
MILLISECONDS_PER_SECOND = 1000


class Subscriber:
    """Announce to every control host of the zone, subscribe to one.

    `snapshot_store` gets the updates. `announcement` is a callable that
    returns the HostRecord to announce. `on_drain` is called with the id of a
    target that is to get no new work. `on_renewed` is called with the time,
    in monotonic seconds, at which a renewal was sent that has been answered.
    `on_stale_incarnation` is called with the incarnation that the own one must
    exceed.
    """

    def __init__(
        self,
        *,
        settings,
        snapshot_store,
        announcement,
        on_drain,
        on_renewed=lambda sent_at: None,
        on_stale_incarnation=lambda incarnation: None,
    ):
        """Do nothing until `start`."""
        self._settings = settings
        self._snapshot_store = snapshot_store
        self._announcement = announcement
        self._on_drain = on_drain
        self._on_renewed = on_renewed
        self._on_stale_incarnation = on_stale_incarnation
        self._connections_by_name = {}
        self._named_peers = dict(settings.proxy.control_hosts_by_name)
        self._peers_by_name = {}
        self._dialers_by_name = {}
        self._subscribed = None
        self._attempts = 0
        self._not_before = 0.0
        self._answered_at = None
        self._closed_bytes = 0
        self._stale_watch = StaleWatch()
        self._search = MinimumVersionSearch(
            settings=settings,
            snapshot_store=snapshot_store,
            send_all=self._send_all,
            control_hosts=lambda: frozenset(self._peers_by_name),
            on_end=self._end_search,
        )
        self._changed = AutoResetEvent()
        self._greenthreads = []

    @property
    def subscribed_to(self):
        """Return the name of the control host that sends updates, or None."""
        return None if self._subscribed is None else self._subscribed.name

    @property
    def control_bytes(self):
        """Return the bytes sent and received so far on all streams."""
        return self._closed_bytes + sum(
            control.control_bytes
            for control in self._connections_by_name.values()
        )

    def start(self):
        """Dial every control host in the background."""
        self.follow(self._named_peers)
        self._greenthreads.append(eventlet.spawn(self._renew_forever))
        self._greenthreads.append(eventlet.spawn(self._choose_forever))

    def follow(self, named_peers):
        """Dial the control hosts that the settings name, beside the known."""
        self._named_peers = dict(named_peers)
        self._follow({**self._peers_by_name, **self._named_peers})

    def _follow(self, peers_by_name):
        """Dial exactly these control hosts from now on."""
        current = self._peers_by_name
        self._peers_by_name = dict(peers_by_name)
        for name, peer in current.items():
            if _endpoint(peers_by_name.get(name)) != _endpoint(peer):
                self._stop_dialing(name)
        for name, peer in peers_by_name.items():
            if name not in self._dialers_by_name:
                self._dialers_by_name[name] = eventlet.spawn(
                    self._run_forever, name, peer
                )

    def _stop_dialing(self, name):
        self._dialers_by_name.pop(name).kill()
        control = self._connections_by_name.pop(name, None)
        if control is not None:
            self._lose(control, "the control host left or has moved")

    def _learn_control_hosts(self, control):
        """Take the list of the control host that sends the updates.

        Those that the settings name are dialled even if they are not on
        it: the list may come from a control host that sees too few.
        """
        if control is not self._subscribed or not control.control_hosts:
            return
        known = {
            host.name: Voter(address=host.address, peer_port=host.peer_port)
            for host in control.control_hosts
        }
        self._follow({**known, **self._named_peers})

    def announce(self):
        """Send the current announcement to every control host."""
        record = self._announcement()
        for control in list(self._connections_by_name.values()):
            control.send_lease(Announce(record=record))

    def release(self):
        """Give up the lease at every control host."""
        record = self._announcement()
        self._send_all(
            ReleaseLease(host=record.host, incarnation=record.incarnation)
        )

    def stop(self):
        """End every stream."""
        self._search.stop()
        for greenthread in self._greenthreads:
            greenthread.kill()
        for dialer in self._dialers_by_name.values():
            dialer.kill()
        for control in list(self._connections_by_name.values()):
            control.connection.close()

    def _send_all(self, item):
        for control in list(self._connections_by_name.values()):
            control.send(item)

    def _renew_forever(self):
        for number in itertools.count(1):
            eventlet.sleep(CHECK_SECONDS)
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

    def _run_forever(self, name, peer):
        failures = 0
        while True:
            try:
                self._run(name, peer)
            except WireError as error:
                control = self._connections_by_name.pop(name, None)
                if control is not None:
                    failures = 0
                    self._lose(control, error)
            wait = full_jitter(
                failures,
                base_seconds=RECONNECT_BASE_SECONDS,
                cap_seconds=RECONNECT_CAP_SECONDS,
                random=random,
            )
            failures += 1
            eventlet.sleep(wait)

    def _run(self, name, peer):
        connection = dial_as(
            self._settings.host,
            address=peer.address,
            port=peer.peer_port,
            purpose=Purpose.DISTRIBUTION,
        )
        # Each renewal is answered; silence is a cut network.
        connection.set_timeout(SILENCE_SECONDS)
        control = ControlConnection(name=name, connection=connection)
        self._connections_by_name[name] = control
        control.send_lease(Announce(record=self._announcement()))
        while True:
            self._receive(control, connection.receive())

    def _lose(self, control, error):
        emit(events.CONTROL_LOST, peer=control.name, error=str(error))
        self._closed_bytes += control.control_bytes
        control.connection.close()
        if self._subscribed is control:
            self._subscribed = None
            self._delay_choice()

    def _delay_choice(self):
        """Wait at random, so that a zone does not come back at once."""
        wait = full_jitter(
            self._attempts,
            base_seconds=RESUBSCRIBE_BASE_SECONDS,
            cap_seconds=RESUBSCRIBE_CAP_SECONDS,
            random=random,
        )
        self._attempts += 1
        self._not_before = time.monotonic() + wait

    def _choose_forever(self):
        while True:
            now = time.monotonic()
            self._leave_stale(now)
            self._leave_silent(now)
            if self._subscribed is None and now >= self._not_before:
                self._subscribe_to_one(now)
            self._changed.wait(CHOICE_SECONDS)

    def _leave_stale(self, now):
        control = self._subscribed
        if control is None:
            return
        own_version = self._snapshot_store.snapshot.version
        others = [other.current for other in self._others(control)]
        if self._stale_watch.is_stale(
            subscribed=max(control.current, own_version),
            others=others,
            now=now,
        ):
            emit(
                events.CONTROL_STALE, peer=control.name, held=str(own_version)
            )
            self._leave(control)

    def _leave_silent(self, now):
        control = self._subscribed
        if control is None:
            return
        others = [other.waiting_since for other in self._others(control)]
        if is_silent(
            waiting_since=control.waiting_since,
            others_waiting_since=others,
            now=now,
        ):
            emit(
                events.CONTROL_SILENT,
                peer=control.name,
                held=str(self._snapshot_store.snapshot.version),
                milliseconds=round((now - control.waiting_since) * 1000),
            )
            control.busy_until = now + SILENCE_SECONDS
            self._leave(control)

    def _leave(self, control):
        """Take updates from another control host."""
        self._subscribed = None
        control.send(Unsubscribe())

    def _others(self, control):
        return [
            item
            for item in self._answered_connections()
            if item is not control
        ]

    def _answered_connections(self):
        return [
            control
            for control in self._connections_by_name.values()
            if control.current is not None
        ]

    def _may_choose(self, controls, now):
        """Return whether enough control hosts have answered to choose.

        The first one to answer may be a stale one, and a choice by speed
        would not spread the proxies.
        """
        if not controls:
            self._answered_at = None
            return False
        if self._answered_at is None:
            self._answered_at = now
        known = len(self._peers_by_name)
        return len(controls) >= known or (
            now - self._answered_at >= CONNECTION_WAIT_SECONDS
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
            self._learn_control_hosts(self._subscribed)

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

    def _receive(self, control, item):
        match item:
            case Update() if control is self._subscribed:
                self._apply(control, item)
            case LeaseRenewed() | ReannounceRequired() | StaleIncarnation():
                self._receive_lease(control, item)
            case ControlHosts(hosts=hosts):
                control.control_hosts = hosts
                self._learn_control_hosts(control)
            case DrainTarget(target_id=target_id):
                self._on_drain(target_id)
            case Busy(retry_after_ms=retry_after_ms):
                self._postpone(control, retry_after_ms)
            case MinimumVersionConfirmed(version=version):
                self._snapshot_store.raise_minimum_version(version)
                emit(events.MINIMUM_VERSION_CONFIRMED, version=str(version))
            case MinimumVersionUnknown() if control is self._subscribed:
                self._search.start(item.peers_by_host)
            case MinimumVersionReply():
                self._search.note(control.name, item)

    def _postpone(self, control, retry_after_ms):
        wait = retry_after_ms / MILLISECONDS_PER_SECOND
        control.busy_until = time.monotonic() + wait * (1 + random.random())
        metrics.increment("distribution.postponed")
        if self._subscribed is control:
            self._subscribed = None
            self._changed.set()

    def _receive_lease(self, control, item):
        sent_at = control.sent_at.popleft() if control.sent_at else None
        match item:
            case LeaseRenewed(current=current):
                control.current = current
                if sent_at is not None:
                    self._on_renewed(sent_at)
                self._changed.set()
            case ReannounceRequired():
                control.send_lease(Announce(record=self._announcement()))
            case StaleIncarnation(incarnation=incarnation):
                self._on_stale_incarnation(incarnation)

    def _apply(self, control, update):
        outcome = self._snapshot_store.apply(update, pause=_pause)
        match outcome:
            case Applied(version=version, services=services):
                self._attempts = 0
                if services:
                    control.send(Resync(mesh=False, services=services))
                if update.mesh:
                    emit(events.VERSION_ACTIVE, version=str(version))
                    self._send_all(Acknowledge(version=version))
            case WrongBase(mesh=mesh, services=services):
                # A refused update is not applied in part: its services are
                # needed whole, too.
                names = {item.service for item in update.targets}
                full = tuple(sorted(names | set(services)))
                emit(events.RESYNC_NEEDED, mesh=mesh, services=list(full))
                control.send(Resync(mesh=bool(update.mesh), services=full))
            case DanglingReference(route=route, service=service):
                emit(events.VERSION_REFUSED, route=route, service=service)
                control.send(Resync(mesh=True, services=(service,)))
            case Outdated() | BelowMinimumVersion():
                emit(events.VERSION_TOO_OLD, peer=control.name)

    def _end_search(self, outcome):
        """Subscribe again: with the minimum version, or to ask later."""
        if isinstance(outcome, MinimumVersionUndetermined):
            self._delay_choice()
        self._subscribed = None
        self._changed.set()


def _endpoint(peer):
    return None if peer is None else (peer.address, peer.peer_port)


def _pause():
    eventlet.sleep(0)
