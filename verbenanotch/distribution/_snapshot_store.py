"""The store of a proxy's active snapshot, and the outcomes of updates."""

import dataclasses

import attrs

from verbenanotch.accounts import AccountRecord
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
    """The update is active, except the targets of `services`.

    Their base or digest did not match; they are needed in full.
    """

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
    """The update cannot be applied to the current state; nothing changed.

    Its base or digest does not match, or another update was applied while it
    was checked. The mesh is needed in full if `mesh` is True; the targets of
    `services` are needed in full.
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
        outcome = self._replace_state(state, update, subset, tables, decoded)
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

    def _replace_state(self, state, update, subset, tables, decoded):
        if self._state is not state:
            return WrongBase(mesh=bool(update.mesh), services=())
        services, routes, accounts, records = decoded
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
                accounts_by_name=accounts,
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
    for update in updates:
        if not update.full and (update.base, update.base_digest) != (
            current.version,
            current.digest,
        ):
            return current, False
        base = MeshSubset() if update.full else current
        subset = MeshSubset(
            version=update.version,
            services=base.services.evolve(
                changed=update.services, removed=update.removed_services
            ),
            routes=base.routes.evolve(
                changed=update.routes, removed=update.removed_routes
            ),
            accounts=base.accounts.evolve(
                changed=update.accounts, removed=update.removed_accounts
            ),
        )
        return subset, subset.digest == update.digest
    return current, True


def _next_tables(current, updates):
    """Return the tables after an update, and the mismatched services."""
    tables = dict(current)
    mismatched = []
    for update in updates:
        base = EntrySet() if update.full else current.get(update.service)
        if base is None or base.digest != (
            0 if update.full else update.base_digest
        ):
            mismatched.append(update.service)
            continue
        entries = base.evolve(changed=update.changed, removed=update.removed)
        if entries.digest == update.digest:
            tables[update.service] = entries
        else:
            mismatched.append(update.service)
    return tables, tuple(mismatched)


def _decode(update, state, pause):
    """Return the services, routes, accounts and records after an update."""
    services = state.snapshot.services_by_name
    routes = state.snapshot.routes_by_name
    accounts = state.snapshot.accounts_by_name
    for mesh_update in update.mesh:
        services = _decode_entries(
            {} if mesh_update.full else services,
            mesh_update.services,
            mesh_update.removed_services,
            Service,
            pause,
        )
        routes = _decode_entries(
            {} if mesh_update.full else routes,
            mesh_update.routes,
            mesh_update.removed_routes,
            Route,
            pause,
        )
        accounts = _decode_entries(
            {} if mesh_update.full else accounts,
            mesh_update.accounts,
            mesh_update.removed_accounts,
            AccountRecord,
            pause,
        )
    records = dict(state.records_by_service)
    for targets_update in update.targets:
        current = records.get(targets_update.service, {})
        new = _decode_entries(
            {} if targets_update.full else current,
            targets_update.changed,
            targets_update.removed,
            HostRecord,
            pause,
        )
        records[targets_update.service] = _keep_latest(current, new)
    return services, routes, accounts, records


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
