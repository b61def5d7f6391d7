"""The control host's side of the streams to proxies."""

import collections
import contextlib
import time

import eventlet

from verbenanotch.catalog import NO_VERSION
from verbenanotch.distribution import events
from verbenanotch.distribution._acknowledgements import Acknowledgements
from verbenanotch.distribution._admission import (
    Admission,
    Admitted,
    Refused,
)
from verbenanotch.distribution._mesh_state import MeshState, encode_mesh
from verbenanotch.distribution._messages import (
    Acknowledge,
    Busy,
    ControlHosts,
    DrainTarget,
    KnownControlHost,
    MinimumVersionConfirmed,
    MinimumVersionReply,
    MinimumVersionRequest,
    MinimumVersionUnknown,
    Resync,
    Subscribe,
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

STATES_KEPT = 16
MINIMUM_VERSION_TIMEOUT_SECONDS = 1.0
SILENCE_SECONDS = 10.0
MILLISECONDS_PER_SECOND = 1000


class Publisher:
    """Serve the streams of the zone's proxies.

    `versions` gives the accepted versions, `target_registry` the targets.
    `confirm` takes a timeout in seconds and returns whether a quorum has
    confirmed that the local versions are current. `on_zone_change` is
    called when the own zone's table has changed.
    """

    def __init__(
        self,
        *,
        settings,
        versions,
        target_registry,
        confirm,
        on_zone_change=lambda: None,
    ):
        """Publish each change of `versions` as it happens."""
        control = settings.control
        self._settings = settings
        self._versions = versions
        self._target_registry = target_registry
        self._on_zone_change = on_zone_change
        self._confirmer = MinimumVersionConfirmer(
            confirm=confirm, timeout_seconds=MINIMUM_VERSION_TIMEOUT_SECONDS
        )
        self._admission = Admission(limit=control.admission_limit)
        self._pause = control.coalesce_ms / MILLISECONDS_PER_SECOND
        self._state = MeshState()
        self._states_by_version = collections.OrderedDict()
        self._encoding = AutoResetEvent()
        self._had_history = False
        self._greenthreads = []
        self.acknowledgements = Acknowledgements()
        self.sessions_by_host = {}
        versions.on_change(lambda record: self._encoding.set())

    def start(self):
        """Encode versions in the background."""
        self._had_history = self._versions.current is not None
        self._encoding.set()
        self._greenthreads = [
            eventlet.spawn(self._encode_forever),
            eventlet.spawn(self._confirm_once),
        ]

    def stop(self):
        """End the work in the background."""
        for greenthread in self._greenthreads:
            greenthread.kill()

    def handle(self, connection):
        """Serve one proxy until its connection ends."""
        session = ProxySession(
            host=connection.peer_name, connection=connection
        )
        connection.set_timeout(SILENCE_SECONDS)
        self.sessions_by_host[session.host] = session
        sender = eventlet.spawn(self._send_forever, session)
        try:
            while True:
                self._receive(session, connection.receive())
        finally:
            sender.kill()
            self._finish_start(session)
            if self.sessions_by_host.get(session.host) is session:
                del self.sessions_by_host[session.host]

    def wake(self):
        """Let every stream look for something new to send."""
        for session in self.sessions_by_host.values():
            session.wake_event.set()

    def drain(self, target_id):
        """Tell the proxies of the zone to give a target no new work."""
        for session in self.sessions_by_host.values():
            # A frozen proxy must not delay the others.
            eventlet.spawn_n(
                _send_quietly,
                session.connection,
                DrainTarget(target_id=target_id),
            )

    def publish_control_hosts(self, members_by_name):
        """Tell the proxies which control hosts there are, if that changed."""
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
                eventlet.spawn_n(_send_quietly, session.connection, message)

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
        sure = self._had_history or self._confirmer.ever_confirmed
        return MinimumVersionReply(version=self._current_version(), sure=sure)

    def _confirm_once(self):
        """Have the quorum confirm the state once after a start."""
        while not self._confirmer.confirmed():
            eventlet.sleep(MINIMUM_VERSION_TIMEOUT_SECONDS)

    def _current_version(self):
        current = self._versions.current
        return NO_VERSION if current is None else current.version

    def _receive(self, session, item):
        match item:
            case Subscribe():
                self._subscribe(session, item)
            case Unsubscribe():
                session.subscription = None
                self._finish_start(session)
            case Acknowledge(version=version):
                self.acknowledgements.note(session.host, version)
            case Resync(mesh=mesh, services=services):
                metrics.increment("distribution.resyncs")
                emit(events.RESYNC_ASKED, peer=session.host, mesh=mesh)
                session.forget(mesh=mesh, services=services)
                session.wake_event.set()
            case MinimumVersionRequest():
                session.connection.send(self._minimum_version_reply())
            case Announce() | RenewLease() | ReleaseLease():
                self._receive_lease(session, item)

    def _receive_lease(self, session, item):
        table = self._target_registry.zone_table
        match item:
            case Announce(record=record):
                session.local_services = frozenset(
                    target.service for target in record.targets
                )
                table.announce(record, now=time.monotonic())
                stored = table.get(record.host).incarnation
                if stored > record.incarnation:
                    session.connection.send(
                        StaleIncarnation(incarnation=stored)
                    )
                    return
                self._renewed(session)
                self._zone_changed(record.host)
                session.wake_event.set()
            case RenewLease():
                self.acknowledgements.note(session.host, item.current_version)
                if table.renew(
                    host=item.host,
                    incarnation=item.incarnation,
                    sequence=item.sequence,
                    now=time.monotonic(),
                ):
                    self._renewed(session)
                else:
                    session.connection.send(ReannounceRequired())
            case ReleaseLease(host=host, incarnation=incarnation):
                table.release(host=host, incarnation=incarnation)
                self._zone_changed(host)

    def _renewed(self, session):
        session.connection.send(LeaseRenewed(current=self._current_version()))

    def _zone_changed(self, host):
        if self._target_registry.refresh({host}):
            emit(events.HOST_CHANGED, peer=host)
            self.wake()
        self._on_zone_change()

    def _subscribe(self, session, item):
        session.subscription = item
        session.minimum_version = item.minimum_version
        session.minimum_version_state = MinimumVersionState.KNOWN
        if item.starting:
            session.minimum_version_state = MinimumVersionState.ASKED
        match self._admission.request(
            session, current_version=item.current_version
        ):
            case Admitted():
                session.admitted = True
                session.wake_event.set()
            case Refused(retry_after_ms=retry_after_ms):
                session.subscription = None
                metrics.increment("distribution.busy")
                session.connection.send(Busy(retry_after_ms=retry_after_ms))

    def _finish_start(self, session):
        session.admitted = False
        following = self._admission.finish(session)
        if following is not None:
            following.admitted = True
            following.wake_event.set()

    def _send_forever(self, session):
        started = None
        try:
            while True:
                session.wake_event.wait()
                if session.subscription is None or not (
                    session.admitted or session.subscription is started
                ):
                    continue
                if session.subscription is not started:
                    started = session.subscription
                    self._start(session)
                if session.subscription is not started:
                    # A later one came while the quorum was asked.
                    session.wake_event.set()
                    continue
                self._send(session)
                self._finish_start(session)
                # Changes that come meanwhile go out together.
                eventlet.sleep(self._pause)
        except ConnectionClosedError:
            session.connection.close()
        except WireError as error:
            # Without this the proxy would wait here for ever.
            emit(
                events.UPDATE_NOT_SENT,
                peer=session.host,
                kind=error.kind,
                error=str(error),
            )
            session.connection.close()

    def _start(self, session):
        """Determine the minimum version and the base of a new subscription."""
        item = session.subscription
        session.sent_subset = self._current_subset(session)
        session.current_services = set(item.digests_by_service)
        tables = self._target_registry.entries_by_service
        session.sent_tables_by_service = {
            service: tables[service]
            for service, digest in item.digests_by_service.items()
            if service in tables and tables[service].digest == digest
        }
        if session.minimum_version_state is MinimumVersionState.ASKED:
            self._determine_minimum_version(session)

    def _determine_minimum_version(self, session):
        item = session.subscription
        confirmed = self._confirmer.confirmed()
        if session.subscription is not item:
            return
        if confirmed:
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
        """Return the subset that the proxy holds, if it can be a base."""
        item = session.subscription
        if item.current_version == NO_VERSION:
            return None
        state = self._state_of(item.current_version)
        if state is None:
            return None
        need = state.needed_services(
            entry_services=item.entry_services,
            local_services=session.local_services,
        )
        subset = state.subset(need)
        return subset if subset.digest == item.current_digest else None

    def _state_of(self, version):
        state = self._states_by_version.get(version)
        record = self._versions.records_by_version.get(version)
        if state is None and record is not None:
            state = self._encode(record)
        return state

    def _send(self, session):
        if session.minimum_version_state is not MinimumVersionState.KNOWN:
            return
        warm_up_remaining_seconds = (
            self._target_registry.zone_table.warm_up_remaining_seconds(
                now=time.monotonic()
            )
        )
        # A control host that has just started knows too few hosts yet; to a
        # proxy that knows none, some are better. Versions do not wait.
        is_warming_up = (
            warm_up_remaining_seconds > 0 and not session.subscription.starting
        )
        if is_warming_up:
            eventlet.spawn_after(
                warm_up_remaining_seconds, session.wake_event.set
            )
        if self._settings.control.whole_state_updates:
            session.forget(
                mesh=True, services=list(session.sent_tables_by_service)
            )
        update = session.next_update(
            state=self._state,
            tables_by_service=self._target_registry.entries_by_service,
            keeps_current=is_warming_up,
        )
        if update is not None:
            for part in split_update(update):
                metrics.increment("distribution.updates")
                session.connection.send(part)

    def _encode_forever(self):
        while True:
            self._encoding.wait()
            current = self._versions.current
            if current is not None and current.version > self._state.version:
                self._state = self._encode(current)
                self.wake()

    def _encode(self, record):
        state = encode_mesh(
            version=record.version,
            mesh=record.mesh,
            pause=lambda: eventlet.sleep(0),
        )
        self._states_by_version[record.version] = state
        while len(self._states_by_version) > STATES_KEPT:
            self._states_by_version.popitem(last=False)
        return state


def _send_quietly(connection, item):
    """Send to a proxy; one that is gone asks again when it is back."""
    with contextlib.suppress(ConnectionClosedError):
        connection.send(item)
