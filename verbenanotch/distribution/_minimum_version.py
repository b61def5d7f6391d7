"""The minimum version, below which a restarted proxy must not serve."""

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
from verbenanotch.wire import Purpose, WireError, dial_from_host

MAX_QUERIED_PEERS = 3
FAILURE_CACHE_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class MinimumVersionDetermined:
    """Before its restart the proxy had no version later than this one."""

    version: Version


@dataclasses.dataclass(frozen=True, kw_only=True)
class MinimumVersionUndetermined:
    """The control hosts in `silent` have not answered.

    Each of them may have sent the proxy a later version than the others know.
    """

    silent: tuple[str, ...]


def determine_minimum_version(
    *, control_hosts, versions_by_control_host, peer_versions
):
    """Return the outcome of a search in a zone without a quorum.

    It is MinimumVersionDetermined or MinimumVersionUndetermined. A control
    host syncs each version to its disk before it sends it to a proxy, so the
    version that this proxy had is at one of the zone's control hosts: all of
    them must have answered. The versions of other proxies raise the minimum
    version if a control host has lost its disk.
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
    """Answers other proxies of the zone with the version of this one."""

    def __init__(self, *, snapshot_store):
        """Answer with the version in `snapshot_store`."""
        self._snapshot_store = snapshot_store

    def handle(self, connection):
        """Answer the requests of one connection until it is closed."""
        while True:
            match connection.receive():
                case MinimumVersionRequest():
                    version = self._snapshot_store.snapshot.version
                    connection.send(
                        MinimumVersionReply(
                            version=version, is_authoritative=True
                        )
                    )


class MinimumVersionConfirmer:
    """Confirms the local state with one quorum read for all waiting proxies.

    `confirm` takes a timeout in seconds and returns whether a quorum has
    confirmed the local state; it may block. `has_ever_confirmed` is True
    once a read has succeeded.
    """

    def __init__(self, *, confirm, timeout_seconds):
        """Do nothing until the first request."""
        self._confirm = confirm
        self._timeout_seconds = timeout_seconds
        self.has_ever_confirmed = False
        self._waiting = []
        self._is_confirming = False
        self._failed_until = 0.0

    def request_confirmation(self):
        """Return whether a read that began after this call has succeeded.

        Blocks until then. For FAILURE_CACHE_SECONDS after a failed read it
        returns False at once, so that many starting proxies in a zone without
        a quorum do not wait for one timeout after another.
        """
        if time.monotonic() < self._failed_until:
            return False
        answer = event.Event()
        self._waiting.append(answer)
        if not self._is_confirming:
            self._is_confirming = True
            eventlet.spawn(self._confirm_all_waiting)
        return answer.wait()

    def _confirm_all_waiting(self):
        while self._waiting:
            waiting, self._waiting = self._waiting, []
            try:
                result = self._confirm(self._timeout_seconds)
            except Exception:
                result = False
            self.has_ever_confirmed = self.has_ever_confirmed or result
            if not result:
                self._failed_until = time.monotonic() + FAILURE_CACHE_SECONDS
            for answer in waiting:
                answer.send(result)
        self._is_confirming = False


def query_peers(*, host, peers_by_host, timeout_seconds):
    """Return the versions of up to MAX_QUERIED_PEERS proxies of the zone.

    Proxies that don't answer in time are left out.
    """
    others = [name for name in peers_by_host if name != host.name]
    chosen = random.sample(others, min(MAX_QUERIED_PEERS, len(others)))
    pool = eventlet.GreenPool(MAX_QUERIED_PEERS)
    results = pool.imap(
        lambda name: _query_peer(host, peers_by_host[name], timeout_seconds),
        chosen,
    )
    return [version for version in results if version is not None]


def _query_peer(host, endpoint, timeout_seconds):
    address, _, port = endpoint.rpartition(":")
    try:
        connection = dial_from_host(
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
