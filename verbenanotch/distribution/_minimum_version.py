"""The version below which a restarted proxy must not serve."""

import dataclasses
import random
import time

import eventlet
from eventlet import event

from verbenanotch.catalog import NO_VERSION, Version
from verbenanotch.distribution._messages import (
    MinimumVersionReply,
    MinimumVersionRequest,
)
from verbenanotch.wire import Purpose, WireError, dial_as

PEERS_ASKED = 3
FAILURE_KEPT_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class MinimumVersionDetermined:
    """The proxy held no version later than this one."""

    version: Version


@dataclasses.dataclass(frozen=True, kw_only=True)
class MinimumVersionUndetermined:
    """A silent control host may have given out a later version."""

    silent: tuple[str, ...]


def determine_minimum_version(
    *, control_hosts, versions_by_control_host, peer_versions
):
    """Return the outcome of a search in a zone without a quorum.

    It is MinimumVersionDetermined or MinimumVersionUndetermined. A control
    host syncs each version to its disk before it gives it out, so what this
    proxy held is at one of the zone's control hosts: all of them must have
    answered. The versions of other proxies raise the minimum version where a
    control host has lost its disk.
    """
    silent = tuple(
        sorted(
            name
            for name in control_hosts
            if name not in versions_by_control_host
        )
    )
    if silent:
        return MinimumVersionUndetermined(silent=silent)
    versions = [*versions_by_control_host.values(), *peer_versions]
    return MinimumVersionDetermined(version=max(versions, default=NO_VERSION))


class MinimumVersionResponder:
    """Tell other proxies of the zone which version this one holds."""

    def __init__(self, *, snapshot_store):
        """Read the version from `snapshot_store`."""
        self._snapshot_store = snapshot_store

    def handle(self, connection):
        """Answer the requests of one connection."""
        while True:
            match connection.receive():
                case MinimumVersionRequest():
                    version = self._snapshot_store.snapshot.version
                    connection.send(
                        MinimumVersionReply(version=version, sure=True)
                    )


class MinimumVersionConfirmer:
    """Ask the quorum once for all proxies that wait at a time.

    `confirm` takes a timeout in seconds and returns whether a quorum has
    confirmed the local state; it may block.
    """

    def __init__(self, *, confirm, timeout_seconds):
        """Ask nothing yet."""
        self._confirm = confirm
        self._timeout_seconds = timeout_seconds
        self.ever_confirmed = False
        self._waiting = []
        self._asking = False
        self._failed_until = 0.0

    def confirmed(self):
        """Return whether a read that began after this call succeeded.

        A failure answers for a second, so that many starting proxies in
        a zone without a quorum do not wait one timeout after another.
        """
        if time.monotonic() < self._failed_until:
            return False
        answer = event.Event()
        self._waiting.append(answer)
        if not self._asking:
            self._asking = True
            eventlet.spawn(self._ask_all)
        return answer.wait()

    def _ask_all(self):
        while self._waiting:
            waiting, self._waiting = self._waiting, []
            try:
                result = self._confirm(self._timeout_seconds)
            except Exception:
                result = False
            self.ever_confirmed = self.ever_confirmed or result
            if not result:
                self._failed_until = time.monotonic() + FAILURE_KEPT_SECONDS
            for answer in waiting:
                answer.send(result)
        self._asking = False


def ask_peers(*, host, peers_by_host, timeout_seconds):
    """Return the versions that some proxies of the zone hold."""
    others = [name for name in peers_by_host if name != host.name]
    chosen = random.sample(others, min(PEERS_ASKED, len(others)))
    pool = eventlet.GreenPool(PEERS_ASKED)
    results = pool.imap(
        lambda name: _ask_peer(host, peers_by_host[name], timeout_seconds),
        chosen,
    )
    return [version for version in results if version is not None]


def _ask_peer(host, endpoint, timeout_seconds):
    address, _, port = endpoint.rpartition(":")
    try:
        connection = dial_as(
            host,
            address=address,
            port=int(port),
            purpose=Purpose.DISTRIBUTION,
            timeout_seconds=timeout_seconds,
        )
    except (WireError, ValueError):
        return None
    try:
        connection.set_timeout(timeout_seconds)
        connection.send(MinimumVersionRequest())
        return connection.receive().version
    except (WireError, AttributeError):
        return None
    finally:
        connection.close()
