"""What a proxy holds: one immutable snapshot, swapped in one step."""

import dataclasses

import attrs

from verbenanotch.catalog import NO_VERSION, Route, Service, Version
from verbenanotch.membership import HostRecord, TargetRecord
from verbenanotch.routing import RouteTable


@attrs.frozen(kw_only=True)
class Snapshot:
    """One whole version with the targets known when it was made."""

    version: Version = NO_VERSION
    services_by_name: dict[str, Service] = attrs.field(factory=dict)
    routes_by_name: dict[str, Route] = attrs.field(factory=dict)
    hosts_by_name: dict[str, HostRecord] = attrs.field(factory=dict)
    targets_by_id: dict[str, TargetRecord] = attrs.field(factory=dict)
    host_names_by_target_id: dict[str, str] = attrs.field(factory=dict)
    target_ids_by_service: dict[str, tuple[str, ...]] = attrs.field(
        factory=dict
    )
    route_table: RouteTable = attrs.field(
        factory=lambda: RouteTable(routes_by_name={}), eq=False
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Applied:
    """The version is in force."""

    version: Version


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outdated:
    """The version is not greater than the one held; nothing changed."""

    held: Version


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unclosed:
    """A route names a service that is not in the update; nothing changed."""

    route: str
    service: str


class SnapshotHolder:
    """Own the snapshot in force; apply only greater, closed versions."""

    def __init__(self):
        """Start with no version and no targets."""
        self.snapshot = Snapshot()

    def apply_mesh(self, *, version, services_by_name, routes_by_name):
        """Swap in a version; return Applied, Outdated or Unclosed."""
        held = self.snapshot.version
        if version <= held:
            return Outdated(held=held)
        for name, route in routes_by_name.items():
            if route.service not in services_by_name:
                return Unclosed(route=name, service=route.service)
        self.snapshot = attrs.evolve(
            self.snapshot,
            version=version,
            services_by_name=services_by_name,
            routes_by_name=routes_by_name,
            route_table=RouteTable(routes_by_name=routes_by_name),
        )
        return Applied(version=version)

    def apply_targets(self, records):
        """Swap in the hosts and targets of all zones."""
        targets_by_id = {}
        host_names_by_target_id = {}
        ids_by_service = {}
        for record in records:
            for target in record.targets:
                targets_by_id[target.target_id] = target
                host_names_by_target_id[target.target_id] = record.host
                ids = ids_by_service.setdefault(target.service, [])
                ids.append(target.target_id)
        self.snapshot = attrs.evolve(
            self.snapshot,
            hosts_by_name={record.host: record for record in records},
            targets_by_id=targets_by_id,
            host_names_by_target_id=host_names_by_target_id,
            target_ids_by_service={
                service: tuple(sorted(ids))
                for service, ids in ids_by_service.items()
            },
        )
