"""The control host role: versions, zone table and updates to proxies."""

import random
import time

import attrs
import eventlet

from verbenanotch import loop
from verbenanotch.conf import parse_endpoint
from verbenanotch.crashes import CrashExchange, CrashStorage, CrashTable
from verbenanotch.daemon import _shutdown
from verbenanotch.daemon._http import HttpServer
from verbenanotch.daemon.exceptions import StartError
from verbenanotch.distribution import ProxyChannel, Publisher
from verbenanotch.membership import TargetRegistry, ZoneExchange, ZoneTable
from verbenanotch.membership import events as membership_events
from verbenanotch.quotas import LeaderLimits
from verbenanotch.replication import ReadConfirmed, Replica, StorageError
from verbenanotch.rollouts.control import (
    Limits,
    MeshStateMachine,
    MeshView,
    RolloutConductor,
    RolloutService,
    RolloutTable,
)
from verbenanotch.telemetry import emit, metrics
from verbenanotch.versions import VersionService, VersionStateMachine
from verbenanotch.wire import Listener, Purpose

EXPIRY_INTERVAL_SECONDS = 0.5
# Interval between checks for new control hosts; all proxies learn of one
# within about this time.
MEMBERS_INTERVAL_SECONDS = 0.5
# A zone whose last summary is older is reported as not live.
MAX_SUMMARY_AGE_SECONDS = 5.0
MILLISECONDS_PER_SECOND = 1000


class ControlHost:
    """All components of a control host; serves the operators' interface."""

    def __init__(self, *, settings, interfaces):
        """Create all components, recover the disk and bind every address.

        Raises StartError if the data folder cannot be used.
        """
        host = settings.host
        control = settings.control
        self._uses_discovery = bool(settings.discovery.seeds)
        self._versions = VersionStateMachine(parse=interfaces.parse)
        self._state = MeshStateMachine(
            versions=self._versions, rollouts=RolloutTable()
        )
        self._replica = Replica(
            settings=settings,
            state_machine=self._state,
            random=random.Random(),
        )
        self._zone_table = ZoneTable(
            availability_zone=host.effective_control_zone,
            lease_seconds=control.lease_ms / MILLISECONDS_PER_SECOND,
            started_at=time.monotonic(),
        )
        self._target_registry = TargetRegistry(zone_table=self._zone_table)
        self._data_folder = control.data_folder
        self._crash_exchange = CrashExchange(table=CrashTable())
        self._proxy_channel = ProxyChannel(
            leading_term=self._replica.leading_term
        )
        self._account_limits = LeaderLimits(
            channel=self._proxy_channel,
            accounts=self._accounts_by_name,
            known_hosts=lambda: tuple(self._target_registry.records_by_host),
        )
        self._publisher = Publisher(
            settings=settings,
            versions=self._versions,
            target_registry=self._target_registry,
            confirm=self._confirm,
            is_in_contact=self._replica.is_in_contact,
            on_zone_change=self._on_zone_change,
            crash_exchange=self._crash_exchange,
            proxy_channel=self._proxy_channel,
        )
        self._zone_exchange = ZoneExchange(
            settings=settings,
            target_registry=self._target_registry,
            on_change=self._publisher.wake,
            zone_summary=self._publisher.zone_summary,
            on_drain=self._publisher.drain,
            crash_exchange=self._crash_exchange,
        )
        self._rollouts = self._make_rollout_conductor(control)
        self._recover()
        self._listener = Listener(
            address=host.address,
            port=host.peer_port,
            key=host.peer_key.encode(),
            name=host.name,
            handlers_by_purpose={
                Purpose.REPLICATION: self._replica.handle,
                Purpose.DISTRIBUTION: self._publisher.handle,
                Purpose.ZONE: self._zone_exchange.handle,
            },
        )
        service = VersionService(
            replica=self._replica, versions=self._versions
        )
        address, port = parse_endpoint(
            control.operator_listen,
            address=host.address,
            port=control.operator_port,
        )
        self._http = HttpServer(
            address=address,
            port=port,
            application=interfaces.make_operator(
                token=control.operator_token,
                versions=service,
                control=self,
                rollouts=RolloutService(
                    replica=self._replica, state=self._state
                ),
            ),
        )
        self._greenthreads = []

    def start(self):
        """Start serving."""
        self._replica.start()
        self._crash_exchange.use_storage(
            CrashStorage.in_folder(self._data_folder)
        )
        self._publisher.start()
        self._account_limits.start()
        self._listener.start()
        self._zone_exchange.start()
        self._http.start()
        self._rollouts.start()
        self._greenthreads = [
            loop.spawn_lasting(self._expire_hosts_forever),
            loop.spawn_lasting(self._follow_members_forever),
        ]

    def stop(self):
        """Answer the requests in progress and stop serving.

        Committed entries are already on disk.
        """
        self._http.stop_accepting()
        _shutdown.wait_for_operators(self._http)
        self._http.close_idle()
        for greenthread in self._greenthreads:
            greenthread.kill()
        self._rollouts.stop()
        self._account_limits.stop()
        self._zone_exchange.stop()
        self._publisher.stop()
        self._replica.stop()
        self._listener.stop()
        self._crash_exchange.stop()

    def reconfigure(self, settings):
        """Apply changed settings: dial newly configured control hosts."""
        self._replica.add_peers(settings.control.voters_by_name)

    def ready(self):
        """Return whether the control host can serve operators."""
        return bool(self._replica.status().leader)

    def status(self):
        """Return the status of the replica, the zone's proxies and all zones.

        A zone without a recent summary is not `live`: whether a version is
        active there is unknown.
        """
        current = self._versions.current
        return {
            "replica": attrs.asdict(self._replica.status()),
            "version": str(current.version) if current else "",
            "proxies": self._proxy_statuses(),
            "zones": self._zone_statuses(),
        }

    def targets(self):
        """Return every known target with its host and zone."""
        return [
            {
                "host": record.host,
                "availability_zone": record.availability_zone,
                **attrs.asdict(target),
            }
            for record in self._target_registry.records_by_host.values()
            for target in record.targets
        ]

    def drain(self, target_id):
        """Drain a target; return whether its zone was notified.

        Return False if the target is unknown or no control host of its zone
        is connected.
        """
        own_zone = self._zone_table.availability_zone
        for target in self.targets():
            if target["target_id"] == target_id:
                zone = target["availability_zone"]
                if zone != own_zone:
                    return self._zone_exchange.drain(zone, target_id)
                self._publisher.drain(target_id)
                return True
        return False

    def _recover(self):
        """Recover the data folder while no port is open.

        The disk may have to be waited for, and peers and operators go to
        other control hosts meanwhile.
        """
        try:
            self._replica.open()
        except StorageError as error:
            raise StartError(kind=error.kind, text=str(error)) from error

    def _make_rollout_conductor(self, control):
        return RolloutConductor(
            replica=self._replica,
            state=self._state,
            channel=self._proxy_channel,
            view=MeshView(
                target_registry=self._target_registry,
                acknowledgements=self._publisher.acknowledgements,
                summaries_by_zone=self._zone_exchange.summaries_by_zone,
                proxy_channel=self._proxy_channel,
            ),
            limits=Limits(
                max_share=control.max_rollout_share,
                allowance=control.rollout_allowance,
            ),
        )

    def _proxy_statuses(self):
        acknowledgements = self._publisher.acknowledgements
        suspects = self._zone_table.suspect_hosts
        return [
            {
                "name": host,
                "availability_zone": record.availability_zone,
                "version": str(acknowledgements.version(host)),
                "suspect": host in suspects,
            }
            for host, record in self._zone_table.records_by_host.items()
        ]

    def _zone_statuses(self):
        own_summary = self._publisher.zone_summary()
        now = time.monotonic()
        # Shortly after its start, a control host may not know all proxies.
        zones = [
            _format_zone(
                own_summary,
                live=self._zone_table.warm_up_remaining_seconds(now=now) <= 0,
            )
        ]
        for zone, received in self._zone_exchange.summaries_by_zone.items():
            if zone != own_summary.availability_zone:
                age = now - received.received_at
                zones.append(
                    _format_zone(
                        received.summary, live=age < MAX_SUMMARY_AGE_SECONDS
                    )
                )
        return zones

    def _confirm(self, timeout_seconds):
        """Return whether a quorum confirmed that no version is missing."""
        outcome = self._replica.confirm_read(timeout_seconds=timeout_seconds)
        return isinstance(outcome, ReadConfirmed)

    def _accounts_by_name(self):
        """Return the client accounts of the newest accepted version."""
        current = self._versions.current
        return current.mesh.accounts_by_name if current else {}

    def _on_zone_change(self):
        self._zone_exchange.wake()

    def _follow_members_forever(self):
        """Periodically add the replica's members to the zone exchange.

        With discovery, proxies also receive the list of control hosts.
        Without it, their settings name the control hosts of their zone.
        """
        while True:
            eventlet.sleep(MEMBERS_INTERVAL_SECONDS)
            members_by_name = self._replica.members_by_name()
            self._zone_exchange.add_control_hosts(members_by_name)
            if self._uses_discovery:
                self._publisher.publish_control_hosts(members_by_name)

    def _expire_hosts_forever(self):
        while True:
            eventlet.sleep(EXPIRY_INTERVAL_SECONDS)
            now = time.monotonic()
            expiry = self._zone_table.expire(now=now)
            if expiry.suspected:
                metrics.increment(
                    "membership.suspected", len(expiry.suspected)
                )
                emit(
                    membership_events.HOSTS_SUSPECTED,
                    hosts=list(expiry.suspected),
                )
            for host in expiry.dropped:
                emit(membership_events.HOST_EXPIRED, peer=host)
            changed = list(self._target_registry.refresh(expiry.dropped))
            changed += self._target_registry.expire(now=now)
            if changed:
                self._publisher.wake()
            if expiry.dropped or expiry.suspected:
                self._zone_exchange.wake()


def _format_zone(summary, *, live):
    """Return a ZoneSummary in the format of the operators' interface."""
    return {
        "availability_zone": summary.availability_zone,
        "version": str(summary.current),
        "lowest_in_force": str(summary.lowest),
        "proxies": summary.count,
        "laggards": list(summary.laggards),
        "live": live,
    }
