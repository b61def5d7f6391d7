"""What a control host knows of one proxy's stream."""

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
    """How far a starting proxy's minimum version is known."""

    ASKED = "asked"
    UNKNOWN = "unknown"
    KNOWN = "known"


@attrs.define(kw_only=True, eq=False)
class ProxySession:
    """One connected proxy; without `subscription` it only announces.

    `sent_subset` and `sent_tables_by_service` are what it holds if it applied
    everything sent. `current_services` are those whose targets it held when it
    subscribed. `minimum_version` is the least version that it may be given.
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

    def next_update(self, *, state, tables_by_service, keeps_current=False):
        """Return the Update that brings the proxy up to date, or None.

        `state` is the current MeshState. Targets of new services travel in
        the same update as the routes that need them. With `keeps_current`, too
        few targets are known here yet: the proxy keeps those that it came
        with, and gets no version that needs others.
        """
        if state.version < self.minimum_version:
            return None
        need = state.needed_services(
            entry_services=self.subscription.entry_services,
            local_services=self.local_services,
        )
        subset = state.subset(need)
        services = [ALL_HOSTS, *subset.services.entries_by_key]
        if keeps_current and not self.current_services.issuperset(services):
            return None
        mesh = self._next_mesh(subset)
        targets = ()
        if not keeps_current:
            targets = self._next_targets(services, tables_by_service)
        if not mesh and not targets:
            return None
        return Update(mesh=mesh, targets=targets)

    def forget(self, *, mesh, services):
        """Send these parts whole again."""
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
            same = subset.version == sent.version
            if same and subset.digest == sent.digest:
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
    """Return updates of bounded size that together do the same.

    Targets go ahead of the version that needs them; the version comes last
    and is not split itself.
    """
    updates = []
    chunk, chunk_bytes = [], 0
    for item in update.targets:
        size = sum(len(data) for data in item.changed.values())
        if chunk and chunk_bytes + size > max_bytes:
            updates.append(Update(mesh=(), targets=tuple(chunk)))
            chunk, chunk_bytes = [], 0
        chunk.append(item)
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
