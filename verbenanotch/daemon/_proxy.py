"""The proxy role: callers, peer proxies, local targets, control hosts."""

import functools
import time
import traceback

import eventlet

from verbenanotch import loop
from verbenanotch.accounts import VersionFreshness
from verbenanotch.catalog import NO_VERSION
from verbenanotch.conf import parse_endpoint
from verbenanotch.daemon import _shutdown, events
from verbenanotch.daemon._caller_protocol import (
    CallerProtocol,
    PipelineOptions,
)
from verbenanotch.daemon._http import HttpServer
from verbenanotch.distribution import (
    LeaderChannel,
    MinimumVersionResponder,
    SnapshotStore,
    Subscriber,
)
from verbenanotch.proxy import (
    AccountGate,
    BodyBudget,
    CrashGuard,
    DisconnectMonitor,
    Dispatcher,
    EntryInterface,
    KeyedRequests,
    LargeAnswers,
    LeaseMonitor,
    LocalTargets,
    OutcomeReporter,
    PeerPool,
    PeerServer,
    ReadinessInterface,
    RecordServer,
    StopWindow,
    TargetDiscovery,
    TargetProbe,
)
from verbenanotch.quotas import ProxyLimits
from verbenanotch.rollouts import OutcomeCounter, RolloutsWatched
from verbenanotch.routing import is_rejected
from verbenanotch.telemetry import emit, metrics
from verbenanotch.wire import Listener, Purpose

EXPIRY_INTERVAL_SECONDS = 0.5
PRECONNECT_INTERVAL_SECONDS = 1.0
PROBE_INTERVAL_SECONDS = 1.0
POLL_INTERVAL_SECONDS = 0.02
RECONCILE_INTERVAL_SECONDS = 0.1
OUTCOME_REPORT_INTERVAL_SECONDS = 0.25
UNREAD_INTERVAL_SECONDS = 1.0
# While room for bodies is short, a caller that reads nothing of its answer for
# this long gives way to the others.
MAX_UNREAD_SECONDS = 5.0
MILLISECONDS_PER_SECOND = 1000


class ProxyHost:
    """All components of a proxy."""

    def __init__(self, *, settings, interfaces):
        """Create all components and bind every address."""
        host = settings.host
        proxy = settings.proxy
        self._host_name = host.name
        self._snapshot_store = SnapshotStore()
        self._body_budget = BodyBudget(
            max_bytes=proxy.max_receiving_bytes,
            max_body_bytes=proxy.max_body_bytes,
        )
        self._peers = PeerPool(
            settings=settings, body_budget=self._body_budget
        )
        incarnation = int(time.time() * MILLISECONDS_PER_SECOND)
        self._stop_window = StopWindow()
        self._crash_guard = CrashGuard(
            settings=settings,
            snapshot_store=self._snapshot_store,
            post=self._peers.post,
        )
        self._local_targets = LocalTargets(
            settings=settings,
            incarnation=incarnation,
            on_change=self._announce,
            guard=self._crash_guard,
            known_services=lambda: (
                self._snapshot_store.snapshot.services_by_name
            ),
            is_rejected=self._is_version_rejected,
            stop_window=self._stop_window,
            body_budget=self._body_budget,
            snapshot_store=self._snapshot_store,
        )
        self._leader_channel = LeaderChannel()
        self._freshness = VersionFreshness(
            own_version=lambda: self._snapshot_store.snapshot.version
        )
        self._outcome_counter = OutcomeCounter()
        self._outcome_reporter = OutcomeReporter(
            counter=self._outcome_counter,
            send=self._leader_channel.send,
            proxy_incarnation=incarnation,
            monotonic=time.monotonic,
        )
        self._leader_channel.on(RolloutsWatched, self._outcome_reporter.watch)
        self._account_limits = ProxyLimits(
            channel=self._leader_channel,
            snapshot_store=self._snapshot_store,
        )
        lease_monitor = LeaseMonitor()
        self._subscriber = Subscriber(
            settings=settings,
            snapshot_store=self._snapshot_store,
            announcement=self._local_targets.announcement,
            on_drain=self._local_targets.drain,
            on_renewed=lease_monitor.record_renewal,
            on_version_reported=self._freshness.record,
            on_stale_incarnation=self._local_targets.raise_incarnation_above,
            crash_exchange=self._crash_guard.exchange,
            leader_channel=self._leader_channel,
        )
        self._record_server = RecordServer(
            host_name=host.name,
            incarnation=lambda: self._local_targets.incarnation,
            snapshot_store=self._snapshot_store,
            lease_monitor=lease_monitor,
        )
        self._large_answers = LargeAnswers(link_mbps=proxy.link_mbps)
        self._peer_server = PeerServer(
            local_targets=self._local_targets,
            record_server=self._record_server,
            guard=self._crash_guard,
            max_body_bytes=proxy.max_body_bytes,
            max_in_flight=proxy.max_in_flight,
            large_answers=self._large_answers,
            body_budget=self._body_budget,
        )
        self._disconnect_monitor = DisconnectMonitor()
        self._listener = Listener(
            address=host.address,
            port=host.peer_port,
            key=host.peer_key.encode(),
            name=host.name,
            handlers_by_purpose={
                Purpose.REQUEST: self._peer_server.handle,
                Purpose.DISTRIBUTION: MinimumVersionResponder(
                    snapshot_store=self._snapshot_store
                ).handle,
            },
        )
        address, port = parse_endpoint(
            proxy.target_listen, address=host.address, port=proxy.target_port
        )
        self._target_http = HttpServer(
            address=address,
            port=port,
            application=interfaces.make_targets(
                local_targets=self._local_targets
            ),
        )
        self._ready_http = None
        if proxy.ready_listen:
            address, port = parse_endpoint(
                proxy.ready_listen, address="", port=0
            )
            self._ready_http = HttpServer(
                address=address,
                port=port,
                application=ReadinessInterface(
                    is_ready=self._is_ready
                ).application,
            )
        # Bound last: the start may wait for the other ports, and callers are
        # refused meanwhile.
        address, port = parse_endpoint(
            proxy.caller_listen, address=host.address, port=proxy.caller_port
        )
        entry = self._make_entry(settings)
        self._caller_http = HttpServer(
            address=address,
            port=port,
            application=entry.application,
            protocol=functools.partial(
                CallerProtocol,
                options=PipelineOptions(
                    is_safe=entry.is_safe,
                    disconnect_monitor=self._disconnect_monitor,
                    max_concurrent=proxy.max_pipelined,
                ),
            ),
        )
        self._is_leaving = False
        self._stop_times = _shutdown.stop_times(proxy)
        self._snapshot_wait_seconds = (
            proxy.floor_wait_ms / MILLISECONDS_PER_SECOND
        )
        self._target_probe = TargetProbe(
            snapshot_store=self._snapshot_store,
            local_targets=self._local_targets,
            on_report=self._on_target_report,
        )
        self._probes_targets = proxy.probe_targets
        self._target_discovery = TargetDiscovery(
            settings=settings,
            snapshot_store=self._snapshot_store,
            local_targets=self._local_targets,
        )
        self._greenthreads = []
        self._reconciler = None
        self._unread_watcher = None

    def start(self):
        """Start serving."""
        self._listener.start()
        self._peers.start()
        self._disconnect_monitor.start()
        self._subscriber.start()
        self._account_limits.start()
        self._target_http.start()
        if self._ready_http is not None:
            self._ready_http.start()
        self._greenthreads = [
            loop.spawn_lasting(self._serve_callers),
            loop.spawn_lasting(self._target_discovery.run),
            eventlet.spawn(
                _run_every, EXPIRY_INTERVAL_SECONDS, self._local_targets.expire
            ),
            eventlet.spawn(
                _run_every, EXPIRY_INTERVAL_SECONDS, self._measure_bodies
            ),
            eventlet.spawn(
                _run_every,
                OUTCOME_REPORT_INTERVAL_SECONDS,
                self._outcome_reporter.report,
            ),
        ]
        self._unread_watcher = eventlet.spawn(
            _run_every, UNREAD_INTERVAL_SECONDS, self._end_unread_answers
        )
        self._reconciler = eventlet.spawn(
            _run_every, RECONCILE_INTERVAL_SECONDS, self._reconcile_records
        )
        if self._probes_targets:
            self._greenthreads += [
                eventlet.spawn(
                    _run_every,
                    PROBE_INTERVAL_SECONDS,
                    self._target_probe.probe_all,
                ),
                eventlet.spawn(
                    _run_every,
                    PRECONNECT_INTERVAL_SECONDS,
                    self._local_targets.preconnect,
                ),
            ]

    def reconfigure(self, settings):
        """Apply changed settings: control hosts and the local service."""
        self._local_targets.set_default_service(settings.proxy.local_service)
        self._subscriber.set_configured_peers(
            settings.proxy.control_hosts_by_name
        )

    def stop(self):
        """Finish the requests in flight, release the lease and stop serving.

        First continue to serve callers and other proxies for `leave_ms`:
        callers may not know yet that this proxy is leaving. The targets stay
        announced for that time, so that the mesh keeps their capacity. Then
        wait until other hosts have the records of keyed requests: until then
        this host must remain one of their holders. All the time, requests
        that would not end in time are refused, also if they wait already.
        """
        times = self._stop_times
        now = time.monotonic()
        end = now + times.total_seconds
        self._stop_window.begin(
            ends_at=end,
            certain_from=now + times.uncertain_seconds,
            waits_until=now + times.wait_seconds,
        )
        withdrawals = eventlet.spawn(
            _run_every,
            POLL_INTERVAL_SECONDS,
            lambda: self._stop_window.withdraw_late(time.monotonic()),
        )
        self._is_leaving = True
        for greenthread in self._greenthreads:
            greenthread.kill()
        self._caller_http.close_after_answers()
        eventlet.sleep(times.leave_seconds)
        _shutdown.wait_for_records(
            lambda: self._record_server.may_leave(self._ask_holder),
            grace_seconds=times.grace_seconds,
        )
        self._reconciler.kill()
        self._local_targets.stop_announcing()
        self._subscriber.release()
        self._peer_server.go_away(reason="shutdown")
        _shutdown.wait_for_targets(self._local_targets)
        self._caller_http.stop_accepting()
        _shutdown.take_no_more_before(
            self._caller_http, seconds=end - time.monotonic()
        )
        _shutdown.wait_until_idle(
            caller_http=self._caller_http,
            peer_server=self._peer_server,
            grace_seconds=end - time.monotonic(),
        )
        withdrawals.kill()
        self._unread_watcher.kill()
        self._caller_http.close_idle()
        self._target_http.stop()
        if self._ready_http is not None:
            self._ready_http.stop()
        self._account_limits.stop()
        self._subscriber.stop()
        self._listener.stop()
        self._disconnect_monitor.stop()
        self._peers.stop()

    def _make_entry(self, settings):
        dispatcher = Dispatcher(
            settings=settings,
            snapshot_store=self._snapshot_store,
            local_targets=self._local_targets,
            peers=self._peers,
            guard=self._crash_guard,
            outcome_counter=self._outcome_counter,
            stop_window=self._stop_window,
        )
        self._dispatcher = dispatcher
        self._peers.on_report = dispatcher.record_report
        self._peers.on_crash_records = self._crash_guard.receive_reply
        return EntryInterface(
            settings=settings,
            snapshot_store=self._snapshot_store,
            dispatcher=dispatcher,
            keyed=KeyedRequests(
                record_server=self._record_server, ask=self._ask_holder
            ),
            caller_service=lambda: self._local_targets.service,
            account_gate=AccountGate(
                settings=settings, freshness=self._freshness
            ),
            account_limits=self._account_limits,
            large_answers=self._large_answers,
            body_budget=self._body_budget,
        )

    def _is_version_rejected(self, record):
        """Return whether a local target's version gets no requests."""
        service = self._snapshot_store.snapshot.services_by_name.get(
            record.service
        )
        return service is not None and is_rejected(
            record.software_version, service.exposure
        )

    def _is_ready(self):
        return not self._is_leaving and _is_routable(
            self._snapshot_store.snapshot
        )

    def _ask_holder(self, service, member, message, timeout_seconds):
        """Return a record holder's reply; the holder may be this host."""
        if member.host == self._host_name:
            return self._record_server.handle(service, message)
        return self._peers.ask(service, member, message, timeout_seconds)

    def _measure_bodies(self):
        metrics.gauge("proxy.body_bytes", self._body_budget.used_bytes)

    def _reconcile_records(self):
        self._record_server.reconcile(self._ask_holder)

    def _end_unread_answers(self):
        """Free the bodies of callers that do not read, if room is short."""
        if not self._body_budget.is_short:
            return
        count = self._caller_http.end_unread(MAX_UNREAD_SECONDS)
        if count:
            emit(events.ANSWERS_UNREAD, count=count)
            metrics.increment("proxy.unread_answers_ended", count)

    def _serve_callers(self):
        """Accept callers once a snapshot allows their requests to be routed.

        Until then their connections wait in the listen queue. Without any
        control host they are accepted after `floor_wait_ms`, and their
        requests are answered as not run.
        """
        end = time.monotonic() + self._snapshot_wait_seconds
        while time.monotonic() < end and not _is_routable(
            self._snapshot_store.snapshot
        ):
            eventlet.sleep(POLL_INTERVAL_SECONDS)
        self._caller_http.start()

    def _on_target_report(self, report):
        """Pass a local target's report to the dispatcher and all peers."""
        self._dispatcher.record_report(report)
        self._peer_server.post(report)

    def _announce(self):
        self._subscriber.announce()


def _is_routable(snapshot):
    """Return whether requests can be routed with a snapshot."""
    return snapshot.version != NO_VERSION and snapshot.hosts_by_name


def _run_every(seconds, action):
    """Repeat an action until the greenthread is killed; log its exceptions."""
    while True:
        eventlet.sleep(seconds)
        try:
            action()
        except Exception:
            emit(events.BACKGROUND_FAILED, traceback=traceback.format_exc())
