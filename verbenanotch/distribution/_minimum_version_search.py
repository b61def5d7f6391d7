"""A restarted proxy's search for its minimum version without a quorum."""

import time

import attrs
import eventlet

from verbenanotch.catalog import Version
from verbenanotch.distribution import events
from verbenanotch.distribution._messages import MinimumVersionRequest
from verbenanotch.distribution._minimum_version import (
    MinimumVersionDetermined,
    MinimumVersionUndetermined,
    ask_peers,
    determine_minimum_version,
)
from verbenanotch.telemetry import emit

MILLISECONDS_PER_SECOND = 1000


@attrs.define(kw_only=True)
class _Answers:
    """What came in so far in one search."""

    versions_by_control_host: dict[str, Version] = attrs.field(factory=dict)
    peer_versions: list[Version] = attrs.field(factory=list)


class MinimumVersionSearch:
    """Ask all control hosts of the zone and several of its proxies.

    `send_all` sends a message to every connected control host. `on_end` is
    called with the outcome of each search; the minimum version that it
    determined is set in `snapshot_store` before. `control_hosts` returns the
    names of all that may have given out a version.
    """

    def __init__(
        self, *, settings, snapshot_store, send_all, on_end, control_hosts
    ):
        """Ask nothing yet."""
        self._control_hosts = control_hosts
        self._settings = settings
        self._snapshot_store = snapshot_store
        self._send_all = send_all
        self._on_end = on_end
        self._answers = None
        self._greenthread = None

    def start(self, peers_by_host):
        """Search in the background, unless a search runs or it is known."""
        if (
            self._answers is None
            and self._snapshot_store.minimum_version is None
        ):
            self._answers = _Answers()
            self._greenthread = eventlet.spawn(self._run, peers_by_host)

    def stop(self):
        """End a search."""
        if self._greenthread is not None:
            self._greenthread.kill()

    def note(self, name, reply):
        """Take a control host's MinimumVersionReply.

        One that is not sure counts as silent, but its version still counts.
        """
        if self._answers is None:
            return
        if reply.sure:
            self._answers.versions_by_control_host[name] = reply.version
        else:
            self._answers.peer_versions.append(reply.version)

    def _run(self, peers_by_host):
        proxy = self._settings.proxy
        wait = proxy.floor_wait_ms / MILLISECONDS_PER_SECOND
        began = time.monotonic()
        self._send_all(MinimumVersionRequest())
        versions = ask_peers(
            host=self._settings.host,
            peers_by_host=peers_by_host,
            timeout_seconds=wait,
        )
        eventlet.sleep(max(0.0, wait - (time.monotonic() - began)))
        answers, self._answers = self._answers, None
        outcome = determine_minimum_version(
            control_hosts=self._control_hosts(),
            versions_by_control_host=answers.versions_by_control_host,
            peer_versions=[*answers.peer_versions, *versions],
        )
        match outcome:
            case MinimumVersionDetermined(version=version):
                emit(events.MINIMUM_VERSION_DETERMINED, version=str(version))
                self._snapshot_store.raise_minimum_version(version)
            case MinimumVersionUndetermined(silent=silent):
                emit(events.MINIMUM_VERSION_UNDETERMINED, silent=list(silent))
        self._on_end(outcome)
