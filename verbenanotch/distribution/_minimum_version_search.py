"""Search for a restarted proxy's minimum version, without a quorum."""

import time

import attrs
import eventlet

from verbenanotch import loop
from verbenanotch.catalog import Version
from verbenanotch.distribution import events
from verbenanotch.distribution._messages import MinimumVersionRequest
from verbenanotch.distribution._minimum_version import (
    MinimumVersionDetermined,
    MinimumVersionUndetermined,
    determine_minimum_version,
    query_peers,
)
from verbenanotch.telemetry import emit

MILLISECONDS_PER_SECOND = 1000


@attrs.define(kw_only=True)
class _Answers:
    """The answers received so far in one search."""

    versions_by_control_host: dict[str, Version] = attrs.field(factory=dict)
    peer_versions: list[Version] = attrs.field(factory=list)


class MinimumVersionSearch:
    """Queries all control hosts of the zone and some of its proxies.

    `send_all` sends a message to every connected control host. `control_hosts`
    returns the names of all control hosts that may have sent a version.
    `on_end` is called with the outcome of each search, after a determined
    minimum version has been set in `snapshot_store`.
    """

    def __init__(
        self, *, settings, snapshot_store, send_all, on_end, control_hosts
    ):
        """Do nothing until `start`."""
        self._control_hosts = control_hosts
        self._settings = settings
        self._snapshot_store = snapshot_store
        self._send_all = send_all
        self._on_end = on_end
        self._answers = None
        self._greenthread = None

    def start(self, peers_by_host):
        """Start a search, unless one is running or the version is known."""
        if (
            self._answers is None
            and self._snapshot_store.minimum_version is None
        ):
            self._answers = _Answers()
            self._greenthread = loop.spawn_lasting(self._run, peers_by_host)

    def stop(self):
        """Stop a running search."""
        if self._greenthread is not None:
            self._greenthread.kill()

    def receive_reply(self, name, reply):
        """Record a control host's MinimumVersionReply.

        A reply that is not authoritative counts like that of another proxy:
        the control host still counts as not having answered.
        """
        if self._answers is None:
            return
        if reply.is_authoritative:
            self._answers.versions_by_control_host[name] = reply.version
        else:
            self._answers.peer_versions.append(reply.version)

    def _run(self, peers_by_host):
        self._answers = _Answers()
        proxy = self._settings.proxy
        wait_seconds = proxy.floor_wait_ms / MILLISECONDS_PER_SECOND
        started_at = time.monotonic()
        self._send_all(MinimumVersionRequest())
        peer_versions = query_peers(
            host=self._settings.host,
            peers_by_host=peers_by_host,
            timeout_seconds=wait_seconds,
        )
        eventlet.sleep(
            max(0.0, wait_seconds - (time.monotonic() - started_at))
        )
        answers, self._answers = self._answers, None
        outcome = determine_minimum_version(
            control_hosts=self._control_hosts(),
            versions_by_control_host=answers.versions_by_control_host,
            peer_versions=[*answers.peer_versions, *peer_versions],
        )
        match outcome:
            case MinimumVersionDetermined(version=version):
                emit(events.MINIMUM_VERSION_DETERMINED, version=str(version))
                self._snapshot_store.raise_minimum_version(version)
            case MinimumVersionUndetermined(silent=silent):
                emit(events.MINIMUM_VERSION_UNDETERMINED, silent=list(silent))
        self._on_end(outcome)
