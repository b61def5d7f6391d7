"""The state that a control host keeps for one connected proxy."""

import enum

import attrs

from verbenanotch.catalog import NO_VERSION, Version
from verbenanotch.distribution._mesh_state import MeshSubset, mesh_update
from verbenanotch.distribution._messages import (
    Subscribe,
    TargetsUpdate,
    Update,
)
from verbenanotch.membership import ALL_HOSTS, AutoResetEvent, EntrySet

MAX_UPDATE_BYTES = 1024 * 1024


class MinimumVersionState(enum.Enum):
    """Whether the minimum version of a proxy is known.

    It is ASKED for a starting proxy until the quorum read for it has ended.
    """

    ASKED = "asked"
    UNKNOWN = "unknown"
    KNOWN = "known"


@attrs.define(kw_only=True, eq=False)
class ProxySession:
    """One connected proxy; without a `subscription` it only has a lease.

    `sent_subset` and `sent_tables_by_service` are the state of the proxy after
    it has applied all that was sent. `current_services` are the services whose
    targets it had when it subscribed. `minimum_version` is the lowest version
    that may be sent to it.
    """

    host: str
    connection: object
    subscription: Subscribe | None = None
    local_services: frozenset[str] = frozenset()
    minimum_version_state: MinimumVersionState = MinimumVersionState.KNOWN
    minimum_version: Version = NO_VERSION
    admitted: bool = False
    sent_control_hosts: object = None
    sent_subset: MeshSubset | None = None
    sent_tables_by_service: dict[str, EntrySet] = attrs.field(factory=dict)
    current_services: set[str] = attrs.field(factory=set)
    wake_event: AutoResetEvent = attrs.field(factory=AutoResetEvent)

    def next_update(
        self, *, state, tables_by_service, targets_incomplete=False
    ):
        """Return the Update to the current state, or None if none is due.

        `state` is the current MeshState. Targets of new services are in the
        same update as the routes that need them. With `targets_incomplete`
        this control host doesn't know all targets yet: the proxy keeps the
        targets that it had when it subscribed, and is sent no version that
        needs others.
        """
        if state.version < self.minimum_version:
            return None
        needed_services = state.needed_services(
            entry_services=self.subscription.entry_services,
            local_services=self.local_services,
        )
        subset = state.subset(needed_services)
        services = [ALL_HOSTS, *subset.services.entries_by_key]
        if targets_incomplete and not self.current_services.issuperset(
            services
        ):
            return None
        mesh = self._next_mesh(subset)
        targets = ()
        if not targets_incomplete:
            targets = self._next_targets(services, tables_by_service)
        if not mesh and not targets:
            return None
        return Update(mesh=mesh, targets=targets)

    def mark_unsent(self, *, mesh, services):
        """Send the mesh or targets of services in full in the next update."""
        if mesh:
            self.sent_subset = None
        for service in services:
            self.sent_tables_by_service.pop(service, None)
            self.current_services.discard(service)

    def _next_mesh(self, subset):
        sent = self.sent_subset
        if subset.version < max(self.subscription.current_version, NO_VERSION):
            return ()
        if sent is not None:
            if subset.version < sent.version:
                return ()
            same_version = subset.version == sent.version
            if same_version and subset.digest == sent.digest:
                return ()
        elif subset.version == NO_VERSION:
            return ()
        self.sent_subset = subset
        return (mesh_update(base=sent, subset=subset),)

    def _next_targets(self, services, tables_by_service):
        updates = []
        sent_by_service = self.sent_tables_by_service
        for service in services:
            entries = tables_by_service.get(service, NO_ENTRIES)
            sent = sent_by_service.get(service)
            if sent is entries:
                continue
            sent_by_service[service] = entries
            if sent is None or sent.digest != entries.digest:
                updates.append(_targets_update(service, sent, entries))
        for service in sent_by_service.keys() - set(services):
            del sent_by_service[service]
        return tuple(updates)


NO_ENTRIES = EntrySet()


def split_update(update, *, max_bytes=MAX_UPDATE_BYTES):
    """Return updates of limited size that together equal this one.

    Targets are sent before the version that needs them; the version is in
    the last update and is not split. Neither are the targets of one service,
    so an update may exceed `max_bytes`.
    """
    updates = []
    chunk, chunk_bytes = [], 0
    for targets_update in update.targets:
        size = sum(len(data) for data in targets_update.changed.values())
        if chunk and chunk_bytes + size > max_bytes:
            updates.append(Update(mesh=(), targets=tuple(chunk)))
            chunk, chunk_bytes = [], 0
        chunk.append(targets_update)
        chunk_bytes += size
    updates.append(Update(mesh=update.mesh, targets=tuple(chunk)))
    return updates


def _targets_update(service, sent, entries):
    delta = (sent or NO_ENTRIES).delta_to(entries)
    return TargetsUpdate(
        service=service,
        full=sent is None,
        base_digest=0 if sent is None else sent.digest,
        digest=entries.digest,
        changed=delta.changed,
        removed=delta.removed,
    )
