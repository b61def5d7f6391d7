"""Check updates and replace the snapshot atomically."""

import dataclasses

import attrs

from verbenanotch.catalog import Route, Service, Version
from verbenanotch.distribution._mesh_state import MeshSubset
from verbenanotch.distribution._snapshot import (
    Snapshot,
    with_mesh,
    with_targets,
)
from verbenanotch.membership import (
    ALL_HOSTS,
    EntrySet,
    HostRecord,
    decode_entry,
)

ENTRIES_PER_STEP = 250


@dataclasses.dataclass(frozen=True, kw_only=True)
class Applied:
    """The update is active; `services` need their targets in full."""

    version: Version
    services: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outdated:
    """The version is older than the current one; nothing changed."""

    current: Version


@dataclasses.dataclass(frozen=True, kw_only=True)
class BelowMinimumVersion:
    """The version is lower than the minimum version; nothing changed.

    The minimum version is at least the version that the proxy had before its
    last restart; `minimum_version` is None if it is not known yet.
    """

    minimum_version: Version | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class WrongBase:
    """Base or digest do not match; nothing changed.

    If `mesh` is True the mesh is needed in full, and so are the targets of
    `services`.
    """

    mesh: bool
    services: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class DanglingReference:
    """A route's service or its targets are missing; nothing changed."""

    route: str
    service: str


@attrs.frozen(kw_only=True, eq=False)
class _State:
    """One snapshot with its encoded and decoded entries."""

    subset: MeshSubset = attrs.field(factory=MeshSubset)
    tables_by_service: dict[str, EntrySet] = attrs.field(factory=dict)
    records_by_service: dict[str, dict[str, HostRecord]] = attrs.field(
        factory=dict
    )
    snapshot: Snapshot = attrs.field(factory=Snapshot)


class SnapshotStore:
    """Owns the active snapshot; applies only complete, later updates.

    `minimum_version` is the version below which nothing may be applied, None
    while it is not known.
    """

    def __init__(self, *, minimum_version=None):
        """Start with no version and no targets."""
        self.minimum_version = minimum_version
        self._state = _State()

    @property
    def snapshot(self):
        """Return the active snapshot."""
        return self._state.snapshot

    @property
    def mesh_digest(self):
        """Return the digest of the current subset of the version."""
        return self._state.subset.digest

    @property
    def digests_by_service(self):
        """Return the digests of the current targets."""
        return {
            service: entries.digest
            for service, entries in self._state.tables_by_service.items()
        }

    def raise_minimum_version(self, version):
        """Raise the minimum version to this one; never lower it."""
        if self.minimum_version is None or self.minimum_version < version:
            self.minimum_version = version

    def apply(self, update, *, pause=lambda: None):
        """Apply an update; return the outcome.

        It is Applied, Outdated, BelowMinimumVersion, WrongBase or
        DanglingReference. `pause` is called between the steps of a long
        update. The snapshot is replaced in one step, and not at all if
        another update was applied in the meantime.
        """
        state = self._state
        for mesh in update.mesh:
            refusal = self._refusal(mesh)
            if refusal is not None:
                return refusal
        subset, matches = _next_subset(state.subset, update.mesh)
        tables, mismatched = _next_tables(
            state.tables_by_service, update.targets
        )
        if not matches:
            return WrongBase(mesh=True, services=mismatched)
        if mismatched and update.mesh:
            return WrongBase(mesh=False, services=mismatched)
        update = attrs.evolve(
            update,
            targets=tuple(
                item
                for item in update.targets
                if item.service not in mismatched
            ),
        )
        decoded = _decode(update, state, pause)
        outcome = self._swap(state, update, subset, tables, decoded)
        if isinstance(outcome, Applied):
            return dataclasses.replace(outcome, services=mismatched)
        return outcome

    def _refusal(self, mesh):
        if self.minimum_version is None or mesh.version < self.minimum_version:
            return BelowMinimumVersion(minimum_version=self.minimum_version)
        current = self._state.subset.version
        if mesh.version < current:
            return Outdated(current=current)
        return None

    def _swap(self, state, update, subset, tables, decoded):
        if self._state is not state:
            return WrongBase(mesh=bool(update.mesh), services=())
        services, routes, records = decoded
        dangling_reference = _dangling_reference(services, routes, tables)
        if dangling_reference is not None:
            return dangling_reference
        changed = {item.service for item in update.targets}
        if update.mesh:
            removed_services = tables.keys() - services.keys() - {ALL_HOSTS}
            changed |= removed_services
            for service in removed_services:
                del tables[service]
                records.pop(service, None)
        snapshot = state.snapshot
        if update.mesh:
            snapshot = with_mesh(
                snapshot,
                version=subset.version,
                services_by_name=services,
                routes_by_name=routes,
            )
        if changed:
            snapshot = with_targets(
                snapshot, records_by_service=records, changed_services=changed
            )
        self._state = _State(
            subset=subset,
            tables_by_service=tables,
            records_by_service=records,
            snapshot=snapshot,
        )
        return Applied(version=subset.version)


def _next_subset(current, updates):
    """Return the subset after an update, and whether the update matched."""
    for item in updates:
        if not item.full and (item.base, item.base_digest) != (
            current.version,
            current.digest,
        ):
            return current, False
        base = MeshSubset() if item.full else current
        subset = MeshSubset(
            version=item.version,
            services=base.services.evolve(
                changed=item.services, removed=item.removed_services
            ),
            routes=base.routes.evolve(
                changed=item.routes, removed=item.removed_routes
            ),
        )
        return subset, subset.digest == item.digest
    return current, True


def _next_tables(current, updates):
    """Return the tables after an update, and the mismatched services."""
    tables = dict(current)
    mismatched = []
    for item in updates:
        base = EntrySet() if item.full else current.get(item.service)
        if base is None or base.digest != (
            0 if item.full else item.base_digest
        ):
            mismatched.append(item.service)
            continue
        entries = base.evolve(changed=item.changed, removed=item.removed)
        if entries.digest == item.digest:
            tables[item.service] = entries
        else:
            mismatched.append(item.service)
    return tables, tuple(mismatched)


def _decode(update, state, pause):
    """Return the decoded services, routes and records after an update."""
    services = state.snapshot.services_by_name
    routes = state.snapshot.routes_by_name
    for item in update.mesh:
        services = _decode_entries(
            {} if item.full else services,
            item.services,
            item.removed_services,
            Service,
            pause,
        )
        routes = _decode_entries(
            {} if item.full else routes,
            item.routes,
            item.removed_routes,
            Route,
            pause,
        )
    records = dict(state.records_by_service)
    for item in update.targets:
        current = records.get(item.service, {})
        new = _decode_entries(
            {} if item.full else current,
            item.changed,
            item.removed,
            HostRecord,
            pause,
        )
        records[item.service] = _keep_latest(current, new)
    return services, routes, records


def _decode_entries(current, changed, removed, cls, pause):
    result = dict(current)
    for key in removed:
        result.pop(key, None)
    for number, (key, data) in enumerate(changed.items(), start=1):
        result[key] = decode_entry(data, cls)
        if number % ENTRIES_PER_STEP == 0:
            pause()
    return result


def _keep_latest(current, new):
    """Return the new records, keeping a host's current one if it is later.

    A control host that was disconnected for long may still send old ones.
    """
    return {
        host: current[host]
        if host in current and current[host].order > record.order
        else record
        for host, record in new.items()
    }


def _dangling_reference(services, routes, tables):
    for name, route in routes.items():
        for service in route.services:
            if service not in services or service not in tables:
                return DanglingReference(route=name, service=service)
    return None
