"""The control host's side of the connections to proxies."""

import collections
import contextlib
import time
import traceback

import eventlet

from verbenanotch import loop
from verbenanotch.catalog import NO_VERSION
from verbenanotch.crashes import (
    CrashDigest,
    CrashExchange,
    CrashRecords,
    CrashTable,
)
from verbenanotch.distribution import events
from verbenanotch.distribution._acknowledgements import Acknowledgements
from verbenanotch.distribution._admission import (
    Admission,
    Admitted,
    Refused,
)
from verbenanotch.distribution._leader_channel import ProxyChannel
from verbenanotch.distribution._mesh_state import MeshState, encode_mesh
from verbenanotch.distribution._messages import (
    Acknowledge,
    Busy,
    ControlHosts,
    ControlHostZone,
    DrainTarget,
    KnownControlHost,
    MinimumVersionConfirmed,
    MinimumVersionReply,
    MinimumVersionRequest,
    MinimumVersionUnknown,
    Resync,
    Subscribe,
    ToLeader,
    Unsubscribe,
)
from verbenanotch.distribution._minimum_version import MinimumVersionConfirmer
from verbenanotch.distribution._session import (
    MinimumVersionState,
    ProxySession,
    split_update,
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
from verbenanotch.wire import ConnectionClosedError, WireError

MAX_CACHED_STATES = 16
MINIMUM_VERSION_TIMEOUT_SECONDS = 1.0
RECEIVE_TIMEOUT_SECONDS = 10.0
MILLISECONDS_PER_SECOND = 1000


class Publisher:
    """Serves the connections of the zone's proxies.

    `versions` has the accepted versions, `target_registry` the targets.
    `confirm` takes a timeout in seconds and returns whether a quorum has
    confirmed that the local versions are current. `is_in_contact()` returns
    whether a leader with a quorum was active recently. `on_zone_change` is
    called after the own zone's table has changed. `crash_exchange` is the
    CrashExchange that the connections are links of, `proxy_channel` the
    ProxyChannel that uses them.
    """

    def __init__(
        self,
        *,
        settings,
        versions,
        target_registry,
        confirm,
        is_in_contact=lambda: True,
        on_zone_change=lambda: None,
        crash_exchange=None,
        proxy_channel=None,
    ):
        """Register for the changes of `versions`."""
        control = settings.control
        self._settings = settings
        self._versions = versions
        self._target_registry = target_registry
        self._is_in_contact = is_in_contact
        self._on_zone_change = on_zone_change
        self._crash_exchange = crash_exchange or CrashExchange(
            table=CrashTable()
        )
        self._proxy_channel = proxy_channel or ProxyChannel(
            leading_term=lambda: None
        )
        self._confirmer = MinimumVersionConfirmer(
            confirm=confirm, timeout_seconds=MINIMUM_VERSION_TIMEOUT_SECONDS
        )
        self._admission = Admission(limit=control.admission_limit)
        self._coalesce_seconds = control.coalesce_ms / MILLISECONDS_PER_SECOND
        self._state = MeshState()
        self._states_by_version = collections.OrderedDict()
        self._encode_event = AutoResetEvent()
        self._had_versions_at_start = False
        self._greenthreads = []
        self.acknowledgements = Acknowledgements()
        self.sessions_by_host = {}
        versions.on_change(lambda record: self._encode_event.set())

    def start(self):
        """Start encoding versions in the background."""
        self._had_versions_at_start = self._versions.current is not None
        self._encode_event.set()
        self._greenthreads = [
            loop.spawn_lasting(self._encode_forever),
            loop.spawn_lasting(self._confirm_until_successful),
        ]

    def stop(self):
        """Stop the background greenthreads."""
        for greenthread in self._greenthreads:
            greenthread.kill()

    def handle(self, connection):
        """Serve one proxy until its connection is closed."""
        session = ProxySession(
            host=connection.peer_name, connection=connection
        )
        connection.set_timeout(RECEIVE_TIMEOUT_SECONDS)
        self.sessions_by_host[session.host] = session
        sender = eventlet.spawn(self._send_forever, session)
        self._crash_exchange.connect(connection)
        self._proxy_channel.connect(session.host, connection)
        try:
            connection.send(
                ControlHostZone(
                    availability_zone=self._settings.host.availability_zone
                )
            )
            while True:
                self._receive(session, connection.receive())
        finally:
            sender.kill()
            self._crash_exchange.disconnect(connection)
            self._proxy_channel.disconnect(session.host, connection)
            self._finish_start(session)
            if self.sessions_by_host.get(session.host) is session:
                del self.sessions_by_host[session.host]

    def wake(self):
        """Send pending changes to every proxy."""
        for session in self.sessions_by_host.values():
            session.wake_event.set()

    def drain(self, target_id):
        """Notify the proxies that a target must receive no new requests."""
        for session in self.sessions_by_host.values():
            # A proxy that does not read must not delay the others.
            eventlet.spawn_n(
                _send_if_connected,
                session.connection,
                DrainTarget(target_id=target_id),
            )

    def publish_control_hosts(self, members_by_name):
        """Send the list of control hosts to the proxies if it has changed."""
        message = ControlHosts(
            hosts=tuple(
                KnownControlHost(
                    name=name,
                    address=member.address,
                    peer_port=member.peer_port,
                )
                for name, member in sorted(members_by_name.items())
            )
        )
        for session in list(self.sessions_by_host.values()):
            if session.sent_control_hosts != message:
                session.sent_control_hosts = message
                eventlet.spawn_n(
                    _send_if_connected, session.connection, message
                )

    def zone_summary(self):
        """Return the ZoneSummary of the own zone."""
        host = self._settings.host
        hosts = self._target_registry.zone_table.records_by_host
        self.acknowledgements.retain(hosts)
        return self.acknowledgements.summary(
            hosts=hosts,
            availability_zone=host.effective_control_zone,
            source=host.name,
            current=self._current_version(),
        )

    def _minimum_version_reply(self):
        is_authoritative = (
            self._had_versions_at_start or self._confirmer.has_ever_confirmed
        )
        return MinimumVersionReply(
            version=self._current_version(), is_authoritative=is_authoritative
        )

    def _confirm_until_successful(self):
        """Request confirmations until a quorum has confirmed the versions.

        From then on the minimum version replies are authoritative.
        """
        while not self._confirmer.request_confirmation():
            eventlet.sleep(MINIMUM_VERSION_TIMEOUT_SECONDS)

    def _current_version(self):
        current = self._versions.current
        return NO_VERSION if current is None else current.version

    def _receive(self, session, message):
        match message:
            case Subscribe():
                self._subscribe(session, message)
            case Unsubscribe():
                session.subscription = None
                self._finish_start(session)
            case Acknowledge(version=version):
                self.acknowledgements.record(session.host, version)
            case Resync(mesh=mesh, services=services):
                metrics.increment("distribution.resyncs")
                emit(events.RESYNC_ASKED, peer=session.host, mesh=mesh)
                session.mark_unsent(mesh=mesh, services=services)
                session.wake_event.set()
            case MinimumVersionRequest():
                session.connection.send(self._minimum_version_reply())
            case Announce() | RenewLease() | ReleaseLease():
                self._receive_lease_message(session, message)
            case ToLeader():
                self._proxy_channel.receive(session.host, message)
            case CrashDigest() | CrashRecords():
                self._crash_exchange.receive(session.connection, message)

    def _receive_lease_message(self, session, message):
        table = self._target_registry.zone_table
        match message:
            case Announce(record=record):
                session.local_services = frozenset(
                    target.service for target in record.targets
                )
                table.announce(record, now=time.monotonic())
                stored_incarnation = table.get(record.host).incarnation
                if stored_incarnation > record.incarnation:
                    session.connection.send(
                        StaleIncarnation(incarnation=stored_incarnation)
                    )
                    return
                self._send_lease_renewed(session)
                self._send_forgotten_drains(session, record)
                self._publish_host_change(record.host)
                session.wake_event.set()
            case RenewLease():
                self.acknowledgements.record(
                    session.host, message.current_version
                )
                if table.renew(
                    host=message.host,
                    incarnation=message.incarnation,
                    sequence=message.sequence,
                    now=time.monotonic(),
                ):
                    self._send_lease_renewed(session)
                else:
                    session.connection.send(ReannounceRequired())
            case ReleaseLease(host=host, incarnation=incarnation):
                table.release(host=host, incarnation=incarnation)
                self._publish_host_change(host)

    def _send_forgotten_drains(self, session, record):
        """Tell a restarted proxy which of its targets had been drained."""
        stored = self._target_registry.zone_table.get(record.host)
        announced = set(record.targets)
        for target in stored.targets:
            if target.draining and target not in announced:
                session.connection.send(
                    DrainTarget(target_id=target.target_id)
                )

    def _send_lease_renewed(self, session):
        session.connection.send(
            LeaseRenewed(
                current=self._current_version(),
                is_in_contact=self._is_in_contact(),
            )
        )

    def _publish_host_change(self, host):
        if self._target_registry.refresh({host}):
            emit(events.HOST_CHANGED, peer=host)
            self.wake()
        self._on_zone_change()

    def _subscribe(self, session, subscription):
        session.subscription = subscription
        session.minimum_version = subscription.minimum_version
        session.minimum_version_state = MinimumVersionState.KNOWN
        if subscription.starting:
            session.minimum_version_state = MinimumVersionState.ASKED
        match self._admission.request(
            session, current_version=subscription.current_version
        ):
            case Admitted():
                session.admitted = True
                session.wake_event.set()
            case Refused(retry_after_ms=retry_after_ms):
                session.subscription = None
                metrics.increment("distribution.busy")
                session.connection.send(Busy(retry_after_ms=retry_after_ms))

    def _finish_start(self, session):
        """End a start, or its wait, at the Admission; admit the next one."""
        session.admitted = False
        next_session = self._admission.finish(session)
        if next_session is not None:
            next_session.admitted = True
            next_session.wake_event.set()

    def _send_forever(self, session):
        started_subscription = None
        try:
            while True:
                session.wake_event.wait()
                if session.subscription is None or not (
                    session.admitted
                    or session.subscription is started_subscription
                ):
                    continue
                if session.subscription is not started_subscription:
                    started_subscription = session.subscription
                    self._start_subscription(session)
                if session.subscription is not started_subscription:
                    # A later subscription arrived during the quorum read.
                    session.wake_event.set()
                    continue
                self._send_update(session)
                self._finish_start(session)
                # Changes during this pause are sent as one update.
                eventlet.sleep(self._coalesce_seconds)
        except ConnectionClosedError:
            pass
        except WireError as error:
            emit(
                events.UPDATE_NOT_SENT,
                peer=session.host,
                kind=error.kind,
                error=str(error),
            )
        finally:
            # If the connection stayed open, the proxy would wait indefinitely.
            session.connection.close()

    def _start_subscription(self, session):
        """Determine what a new subscriber has, and its minimum version."""
        subscription = session.subscription
        session.sent_subset = self._current_subset(session)
        session.current_services = set(subscription.digests_by_service)
        tables = self._target_registry.entries_by_service
        session.sent_tables_by_service = {
            service: tables[service]
            for service, digest in subscription.digests_by_service.items()
            if service in tables and tables[service].digest == digest
        }
        if session.minimum_version_state is MinimumVersionState.ASKED:
            self._determine_minimum_version(session)

    def _determine_minimum_version(self, session):
        subscription = session.subscription
        is_confirmed = self._confirmer.request_confirmation()
        if session.subscription is not subscription:
            return
        if is_confirmed:
            session.minimum_version = self._current_version()
            session.minimum_version_state = MinimumVersionState.KNOWN
            session.connection.send(
                MinimumVersionConfirmed(version=session.minimum_version)
            )
            return
        session.minimum_version_state = MinimumVersionState.UNKNOWN
        metrics.increment("distribution.floors_unknown")
        records = self._target_registry.zone_table.records_by_host
        session.connection.send(
            MinimumVersionUnknown(
                peers_by_host={
                    host: f"{record.address}:{record.peer_port}"
                    for host, record in records.items()
                }
            )
        )

    def _current_subset(self, session):
        """Return the subset that the proxy has, the base of its next update.

        Returns None if it is not known or its digest does not match.
        """
        subscription = session.subscription
        if subscription.current_version == NO_VERSION:
            return None
        state = self._mesh_state_of(subscription.current_version)
        if state is None:
            return None
        services = state.needed_services(
            entry_services=subscription.entry_services,
            local_services=session.local_services,
        )
        subset = state.subset(services)
        return subset if subset.digest == subscription.current_digest else None

    def _mesh_state_of(self, version):
        state = self._states_by_version.get(version)
        record = self._versions.records_by_version.get(version)
        if state is None and record is not None:
            state = self._encode_or_none(record)
        return state

    def _send_update(self, session):
        if session.minimum_version_state is not MinimumVersionState.KNOWN:
            return
        warm_up_remaining_seconds = (
            self._target_registry.zone_table.warm_up_remaining_seconds(
                now=time.monotonic()
            )
        )
        # A control host that has just started does not know all hosts yet, so
        # it sends no targets, except to a starting proxy: that has none, and
        # some are better than none. A version is not delayed if the proxy
        # already has the targets of all services that it needs.
        is_warming_up = (
            warm_up_remaining_seconds > 0 and not session.subscription.starting
        )
        if is_warming_up:
            eventlet.spawn_after(
                warm_up_remaining_seconds, session.wake_event.set
            )
        if self._settings.control.whole_state_updates:
            session.mark_unsent(
                mesh=True, services=list(session.sent_tables_by_service)
            )
        update = session.next_update(
            state=self._state,
            tables_by_service=self._target_registry.entries_by_service,
            targets_incomplete=is_warming_up,
        )
        if update is not None:
            for chunk in split_update(update):
                metrics.increment("distribution.updates")
                session.connection.send(chunk)

    def _encode_forever(self):
        while True:
            self._encode_event.wait()
            current = self._versions.current
            if current is None or current.version <= self._state.version:
                continue
            state = self._encode_or_none(current)
            if state is not None:
                self._state = state
                self.wake()

    def _encode_or_none(self, record):
        """Return the MeshState of a version; None if it can't be encoded.

        Proxies then keep the version that they have, until a later one.
        """
        try:
            return self._encode(record)
        except Exception:
            metrics.increment("distribution.versions_not_encoded")
            emit(
                events.VERSION_NOT_ENCODED,
                version=str(record.version),
                traceback=traceback.format_exc(),
            )
            return None

    def _encode(self, record):
        state = encode_mesh(
            version=record.version,
            mesh=record.mesh,
            pause=lambda: eventlet.sleep(0),
        )
        self._states_by_version[record.version] = state
        while len(self._states_by_version) > MAX_CACHED_STATES:
            self._states_by_version.popitem(last=False)
        return state


def _send_if_connected(connection, message):
    """Send to a proxy; a disconnected one subscribes again later."""
    with contextlib.suppress(ConnectionClosedError):
        connection.send(message)
