"""The immutable snapshot by which a proxy routes requests."""

import attrs

from verbenanotch.accounts import AccountRecord, account_names_by_key_digest
from verbenanotch.catalog import NO_VERSION, Route, Service, Version
from verbenanotch.membership import HostRecord, TargetRecord
from verbenanotch.routing import RouteTable


@attrs.frozen(kw_only=True)
class Snapshot:
    """One complete version with the targets known at the time.

    Without `accounts_by_name`, requests need no key of a client account.
    """

    version: Version = NO_VERSION
    services_by_name: dict[str, Service] = attrs.field(factory=dict)
    routes_by_name: dict[str, Route] = attrs.field(factory=dict)
    accounts_by_name: dict[str, AccountRecord] = attrs.field(factory=dict)
    account_names_by_key_digest: dict[bytes, str] = attrs.field(
        factory=dict, repr=False
    )
    hosts_by_name: dict[str, HostRecord] = attrs.field(factory=dict)
    targets_by_id: dict[str, TargetRecord] = attrs.field(factory=dict)
    host_names_by_target_id: dict[str, str] = attrs.field(factory=dict)
    target_ids_by_service: dict[str, tuple[str, ...]] = attrs.field(
        factory=dict
    )
    route_table: RouteTable = attrs.field(
        factory=lambda: RouteTable(routes_by_name={}), eq=False
    )


def with_mesh(
    snapshot,
    *,
    version,
    services_by_name,
    routes_by_name,
    accounts_by_name=None,
):
    """Return the snapshot with another version of the mesh."""
    accounts_by_name = accounts_by_name or {}
    return attrs.evolve(
        snapshot,
        version=version,
        services_by_name=services_by_name,
        routes_by_name=routes_by_name,
        accounts_by_name=accounts_by_name,
        account_names_by_key_digest=account_names_by_key_digest(
            accounts_by_name
        ),
        route_table=RouteTable(routes_by_name=routes_by_name),
    )


def with_targets(snapshot, *, records_by_service, changed_services):
    """Return the snapshot with the targets of some services replaced.

    `records_by_service` has the records of every service by host, each with
    only the targets of that service.
    """
    hosts = dict(snapshot.hosts_by_name)
    targets = dict(snapshot.targets_by_id)
    host_names = dict(snapshot.host_names_by_target_id)
    ids_by_service = dict(snapshot.target_ids_by_service)
    touched_hosts = set()
    for service in changed_services:
        for target_id in ids_by_service.pop(service, ()):
            targets.pop(target_id, None)
            touched_hosts.add(host_names.pop(target_id, None))
        records = records_by_service.get(service, {})
        touched_hosts.update(records)
        target_ids = []
        for record in records.values():
            for target in record.targets:
                targets[target.target_id] = target
                host_names[target.target_id] = record.host
                target_ids.append(target.target_id)
        if target_ids:
            ids_by_service[service] = tuple(sorted(target_ids))
    if "" in changed_services:
        touched_hosts.update(hosts)
    _replace_hosts(hosts, touched_hosts, records_by_service)
    return attrs.evolve(
        snapshot,
        hosts_by_name=hosts,
        targets_by_id=targets,
        host_names_by_target_id=host_names,
        target_ids_by_service=ids_by_service,
    )


def _replace_hosts(hosts, touched_hosts, records_by_service):
    """Replace each touched host by the merged records of its services."""
    records_by_host = {}
    for records in records_by_service.values():
        for host in touched_hosts & records.keys():
            records_by_host.setdefault(host, []).append(records[host])
    for host in touched_hosts:
        hosts.pop(host, None)
        if host in records_by_host:
            latest = max(
                records_by_host[host], key=lambda record: record.order
            )
            hosts[host] = attrs.evolve(
                latest,
                targets=tuple(
                    target
                    for record in records_by_host[host]
                    for target in record.targets
                ),
            )
