"""An encoded version of the mesh, and the subsets of it that proxies need."""

import attrs

from verbenanotch.accounts import account_record
from verbenanotch.catalog import NO_VERSION, Version
from verbenanotch.distribution._messages import MeshUpdate
from verbenanotch.membership import EntrySet, encode_entry

ENTRIES_PER_STEP = 250
DIGEST_MASK = (1 << 64) - 1
# Distinguish routes and accounts from services in the sum of their digests.
ROUTES_DIGEST_FACTOR = 3
ACCOUNTS_DIGEST_FACTOR = 5


@attrs.frozen(kw_only=True, eq=False)
class MeshSubset:
    """The services and routes of a version that a proxy needs.

    Every proxy needs all client accounts, as any key may be sent to it.
    """

    version: Version = NO_VERSION
    services: EntrySet = attrs.field(factory=EntrySet)
    routes: EntrySet = attrs.field(factory=EntrySet)
    accounts: EntrySet = attrs.field(factory=EntrySet)

    @property
    def digest(self):
        """Return the digest of the content, without the version."""
        total = (
            self.services.digest
            + ROUTES_DIGEST_FACTOR * self.routes.digest
            + ACCOUNTS_DIGEST_FACTOR * self.accounts.digest
        )
        return total & DIGEST_MASK


@attrs.frozen(kw_only=True, eq=False)
class MeshState:
    """A full version, encoded once for all proxies.

    `full` has all services, routes and client accounts of `mesh`;
    `routes_by_service` has the names of the routes that lead to each service.
    """

    version: Version = NO_VERSION
    mesh: object = None
    full: MeshSubset = attrs.field(factory=MeshSubset)
    routes_by_service: dict[str, list[str]] = attrs.field(factory=dict)
    _subsets_by_services: dict = attrs.field(factory=dict)

    def needed_services(self, *, entry_services, local_services):
        """Return the names of the services that a proxy needs; None means all.

        These are the entry services, the services of its local targets, the
        services that these call, and those that share a split with one of
        them. Without entry services a proxy needs all.
        """
        if not entry_services:
            return None
        needed = set(entry_services) | set(local_services)
        services = self.mesh.services_by_name if self.mesh else {}
        for name in local_services:
            if name in services:
                needed.update(services[name].calls)
        return frozenset(self._with_split_services(needed))

    def _with_split_services(self, needed):
        """Return the services and all that share a split with one of them."""
        routes = self.mesh.routes_by_name if self.mesh else {}
        pending = list(needed)
        while pending:
            for name in self.routes_by_service.get(pending.pop(), ()):
                others = set(routes[name].services) - needed
                needed |= others
                pending.extend(others)
        return needed

    def subset(self, services):
        """Return the MeshSubset of these services and their routes.

        `services` is a frozenset of names, or None for all.
        """
        if services is None:
            return self.full
        if services not in self._subsets_by_services:
            routes = {
                route
                for service in services
                for route in self.routes_by_service.get(service, ())
            }
            self._subsets_by_services[services] = MeshSubset(
                version=self.version,
                services=self.full.services.subset(services),
                routes=self.full.routes.subset(routes),
                accounts=self.full.accounts,
            )
        return self._subsets_by_services[services]


def encode_mesh(*, version, mesh, pause):
    """Return the MeshState of a version.

    `pause` is called every ENTRIES_PER_STEP entries, so that other
    greenthreads can run.
    """
    routes_by_service = {}
    for name, route in mesh.routes_by_name.items():
        for service in set(route.services):
            routes_by_service.setdefault(service, []).append(name)
    full = MeshSubset(
        version=version,
        services=_encode(mesh.services_by_name, pause),
        routes=_encode(mesh.routes_by_name, pause),
        accounts=_encode(mesh.accounts_by_name, pause, convert=account_record),
    )
    return MeshState(
        version=version,
        mesh=mesh,
        full=full,
        routes_by_service=routes_by_service,
    )


def mesh_update(*, base, subset):
    """Return the MeshUpdate from `base` to `subset`.

    It is full if `base` is None.
    """
    base_subset = MeshSubset() if base is None else base
    services = base_subset.services.delta_to(subset.services)
    routes = base_subset.routes.delta_to(subset.routes)
    accounts = base_subset.accounts.delta_to(subset.accounts)
    return MeshUpdate(
        version=subset.version,
        full=base is None,
        base=base_subset.version,
        base_digest=base_subset.digest,
        digest=subset.digest,
        services=services.changed,
        removed_services=services.removed,
        routes=routes.changed,
        removed_routes=routes.removed,
        accounts=accounts.changed,
        removed_accounts=accounts.removed,
    )


def _encode(items_by_name, pause, *, convert=lambda item: item):
    """Return the EntrySet of all items, each changed by `convert`."""
    entries = EntrySet()
    names = list(items_by_name)
    for start in range(0, len(names), ENTRIES_PER_STEP):
        step = names[start : start + ENTRIES_PER_STEP]
        entries = entries.evolve(
            changed={
                name: encode_entry(convert(items_by_name[name]))
                for name in step
            }
        )
        pause()
    return entries
