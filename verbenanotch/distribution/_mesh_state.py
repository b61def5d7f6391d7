"""One version in its encoded form, and the parts that proxies need."""

import attrs

from verbenanotch.catalog import NO_VERSION, Version
from verbenanotch.distribution._messages import MeshUpdate
from verbenanotch.membership import EntrySet, encode_entry

STEP_ENTRIES = 250
DIGEST_MASK = (1 << 64) - 1
ROUTES_FACTOR = 3


@attrs.frozen(kw_only=True, eq=False)
class MeshPart:
    """Services and routes of a version, as far as a proxy needs them."""

    version: Version = NO_VERSION
    services: EntrySet = attrs.field(factory=EntrySet)
    routes: EntrySet = attrs.field(factory=EntrySet)

    @property
    def digest(self):
        """Return the digest of the content, without the version."""
        total = self.services.digest + ROUTES_FACTOR * self.routes.digest
        return total & DIGEST_MASK


@attrs.frozen(kw_only=True, eq=False)
class MeshState:
    """A whole version, encoded once for all proxies.

    `routes_by_service` names the routes that lead to each service.
    """

    version: Version = NO_VERSION
    mesh: object = None
    whole: MeshPart = attrs.field(factory=MeshPart)
    routes_by_service: dict[str, list[str]] = attrs.field(factory=dict)
    _parts_by_need: dict = attrs.field(factory=dict)

    def needed_services(self, *, entry_services, local_services):
        """Return the services that a proxy needs; None means all.

        They are the entry services, those of its own targets, and those
        that its own targets call.
        """
        if not entry_services:
            return None
        needed = set(entry_services) | set(local_services)
        services = self.mesh.services_by_name if self.mesh else {}
        for name in local_services:
            if name in services:
                needed.update(services[name].calls)
        return frozenset(self._with_other_parts(needed))

    def _with_other_parts(self, needed):
        """Return the services with those that share a split with one."""
        routes = self.mesh.routes_by_name if self.mesh else {}
        pending = list(needed)
        while pending:
            for name in self.routes_by_service.get(pending.pop(), ()):
                parts = set(routes[name].services) - needed
                needed |= parts
                pending.extend(parts)
        return needed

    def part(self, need):
        """Return the part with the needed services and their routes."""
        if need is None:
            return self.whole
        if need not in self._parts_by_need:
            routes = {
                route
                for service in need
                for route in self.routes_by_service.get(service, ())
            }
            self._parts_by_need[need] = MeshPart(
                version=self.version,
                services=self.whole.services.subset(need),
                routes=self.whole.routes.subset(routes),
            )
        return self._parts_by_need[need]


def encode_mesh(*, version, mesh, pause):
    """Return the MeshState of a version.

    `pause` is called between steps, so that the loop can run others.
    """
    routes_by_service = {}
    for name, route in mesh.routes_by_name.items():
        for service in set(route.services):
            routes_by_service.setdefault(service, []).append(name)
    whole = MeshPart(
        version=version,
        services=_encode(mesh.services_by_name, pause),
        routes=_encode(mesh.routes_by_name, pause),
    )
    return MeshState(
        version=version,
        mesh=mesh,
        whole=whole,
        routes_by_service=routes_by_service,
    )


def mesh_update(*, base, part):
    """Return the update from one part to another; whole without a base."""
    start = MeshPart() if base is None else base
    services = start.services.delta_to(part.services)
    routes = start.routes.delta_to(part.routes)
    return MeshUpdate(
        version=part.version,
        whole=base is None,
        base=start.version,
        base_digest=start.digest,
        digest=part.digest,
        services=services.changed,
        removed_services=services.removed,
        routes=routes.changed,
        removed_routes=routes.removed,
    )


def _encode(items_by_name, pause):
    entries = EntrySet()
    names = list(items_by_name)
    for start in range(0, len(names), STEP_ENTRIES):
        step = names[start : start + STEP_ENTRIES]
        entries = entries.evolve(
            changed={name: encode_entry(items_by_name[name]) for name in step}
        )
        pause()
    return entries
