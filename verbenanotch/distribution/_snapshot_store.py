"""Check updates and swap the snapshot in one step."""

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

STEP_ENTRIES = 250


@dataclasses.dataclass(frozen=True, kw_only=True)
class Applied:
    """The update is in force; `services` need their targets whole."""

    version: Version
    services: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outdated:
    """The version is older than the one held; nothing changed."""

    current: Version


@dataclasses.dataclass(frozen=True, kw_only=True)
class BelowMinimumVersion:
    """The version is older than one held before the last restart.

    Without a `minimum_version` it is not known yet; nothing changed.
    """

    minimum_version: Version | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class WrongBase:
    """Base or digest do not fit; nothing changed, the parts are needed."""

    mesh: bool
    services: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class DanglingReference:
    """A route lacks its service or its targets; nothing changed."""

    route: str
    service: str


@attrs.frozen(kw_only=True, eq=False)
class _State:
    """All that belongs to one snapshot, encoded and decoded."""

    subset: MeshSubset = attrs.field(factory=MeshSubset)
    tables_by_service: dict[str, EntrySet] = attrs.field(factory=dict)
    records_by_service: dict[str, dict[str, HostRecord]] = attrs.field(
        factory=dict
    )
    snapshot: Snapshot = attrs.field(factory=Snapshot)


class SnapshotStore:
    """Own the snapshot in force; apply only later, whole updates.

    `minimum_version` is the version below which nothing may be applied, None
    as long as it is not known.
    """

    def __init__(self, *, minimum_version=None):
        """Start with no version and no targets."""
        self.minimum_version = minimum_version
        self._state = _State()

    @property
    def snapshot(self):
        """Return the snapshot in force."""
        return self._state.snapshot

    @property
    def mesh_digest(self):
        """Return the digest of the current subset of the version."""
        return self._state.subset.digest

    @property
    def digests_by_service(self):
        """Return the digests of the held targets."""
        return {
            service: entries.digest
            for service, entries in self._state.tables_by_service.items()
        }

    def raise_minimum_version(self, version):
        """Take a version below which nothing may be applied."""
        if self.minimum_version is None or self.minimum_version < version:
            self.minimum_version = version

    def apply(self, update, *, pause=lambda: None):
        """Swap in an update; return what became of it.

        `pause` is called between the steps of a long update; the swap
        itself is one step, and is refused if another came in between.
        """
        state = self._state
        for mesh in update.mesh:
            refusal = self._refusal(mesh)
            if refusal is not None:
                return refusal
        subset, fits = _next_subset(state.subset, update.mesh)
        tables, wrong = _next_tables(state.tables_by_service, update.targets)
        if not fits:
            return WrongBase(mesh=True, services=wrong)
        if wrong and update.mesh:
            return WrongBase(mesh=False, services=wrong)
        update = attrs.evolve(
            update,
            targets=tuple(
                item for item in update.targets if item.service not in wrong
            ),
        )
        decoded = _decode(update, state, pause)
        outcome = self._swap(state, update, subset, tables, decoded)
        if isinstance(outcome, Applied):
            return dataclasses.replace(outcome, services=wrong)
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
            gone = tables.keys() - services.keys() - {ALL_HOSTS}
            changed |= gone
            for service in gone:
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
    """Return the subset after an update, and whether the update fits."""
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
    """Return the tables after an update, and the services that don't fit."""
    tables = dict(current)
    wrong = []
    for item in updates:
        base = EntrySet() if item.full else current.get(item.service)
        if base is None or base.digest != (
            0 if item.full else item.base_digest
        ):
            wrong.append(item.service)
            continue
        entries = base.evolve(changed=item.changed, removed=item.removed)
        if entries.digest == item.digest:
            tables[item.service] = entries
        else:
            wrong.append(item.service)
    return tables, tuple(wrong)


def _decode(update, state, pause):
    """Return services, routes and records after an update, in steps."""
    services = state.snapshot.services_by_name
    routes = state.snapshot.routes_by_name
    for item in update.mesh:
        services = _decoded(
            {} if item.full else services,
            item.services,
            item.removed_services,
            Service,
            pause,
        )
        routes = _decoded(
            {} if item.full else routes,
            item.routes,
            item.removed_routes,
            Route,
            pause,
        )
    records = dict(state.records_by_service)
    for item in update.targets:
        current = records.get(item.service, {})
        new = _decoded(
            {} if item.full else current,
            item.changed,
            item.removed,
            HostRecord,
            pause,
        )
        records[item.service] = _latest(current, new)
    return services, routes, records


def _decoded(current, changed, removed, cls, pause):
    result = dict(current)
    for key in removed:
        result.pop(key, None)
    for number, (key, data) in enumerate(changed.items(), start=1):
        result[key] = decode_entry(data, cls)
        if number % STEP_ENTRIES == 0:
            pause()
    return result


def _latest(current, new):
    """Return the new records, but never an older one of the same host.

    A control host that was cut off for long may still give old ones.
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
