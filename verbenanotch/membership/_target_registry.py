"""The targets of all zones, as known to one control host."""

import dataclasses

import attrs

from verbenanotch.membership._entry_set import (
    EntrySet,
    decode_entry,
    encode_entry,
)
from verbenanotch.membership._records import HostRecord
from verbenanotch.membership._zone_table import (
    SUSPECT_RETENTION_SECONDS,
    is_mass_loss,
)

# Key for the hosts of the own zone; the other keys are names of services.
ALL_HOSTS = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Merged:
    """The update was merged; the records of `hosts` have changed."""

    hosts: frozenset[str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stale:
    """The update is not newer than the current table; nothing changed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class WrongBase:
    """Base or digest do not match; the full table is needed."""


@attrs.frozen(kw_only=True)
class RemoteTable:
    """The last table received from a control host of another zone.

    `retained_by_host` has records that an earlier table had and this one
    lacks; they are used until `retained_until`, in monotonic seconds.
    """

    availability_zone: str
    source: str
    source_incarnation: int
    sequence: int
    entries: EntrySet
    records_by_host: dict[str, HostRecord]
    retained_by_host: dict[str, HostRecord] = attrs.field(factory=dict)
    retained_until: float = 0.0

    def includes(self, update):
        """Return whether the table already includes an update of its source.

        An update of another incarnation comes from another process and is
        always new, even if that host's clock was set back.
        """
        if update.source_incarnation != self.source_incarnation:
            return False
        if update.sequence != self.sequence:
            return update.sequence < self.sequence
        return update.digest == self.entries.digest


class TargetRegistry:
    """The own zone's table merged with the tables of the other zones.

    `records_by_host` has the merged records. `entries_by_service` has an
    EntrySet of host records for each service, each with only the targets of
    that service; the one under ALL_HOSTS has the hosts of the own zone
    without targets. The last table of an unreachable zone is kept.
    """

    def __init__(self, *, zone_table):
        """Start with the own zone alone."""
        self.zone_table = zone_table
        self.remote_tables_by_zone = {}
        self.records_by_host = {}
        self.entries_by_service = {}

    def receive(self, update, *, now):
        """Merge another zone's update; return Merged, Stale or WrongBase.

        If a full table lacks many known hosts, its source may have lost the
        connection to them: their records are retained for
        SUSPECT_RETENTION_SECONDS. `now` is in monotonic seconds.
        """
        current = self.remote_tables_by_zone.get(update.availability_zone)
        same_source = current is not None and current.source == update.source
        if same_source and current.includes(update):
            return Stale()
        if not update.full and (
            not same_source or current.entries.digest != update.base_digest
        ):
            return WrongBase()
        entries = EntrySet() if update.full else current.entries
        entries = entries.evolve(
            changed=update.changed, removed=update.removed
        )
        if entries.digest != update.digest:
            return WrongBase()
        records = _remote_records(update, current)
        self.remote_tables_by_zone[update.availability_zone] = RemoteTable(
            availability_zone=update.availability_zone,
            source=update.source,
            source_incarnation=update.source_incarnation,
            sequence=update.sequence,
            entries=entries,
            records_by_host=records,
            **_retained_fields(update, current, records, now),
        )
        hosts = set(update.changed) | set(update.removed)
        if update.full and current is not None:
            hosts |= set(current.records_by_host)
        return Merged(hosts=frozenset(self.refresh(hosts)))

    def expire(self, *, now):
        """Drop expired retained records; return the changed hosts."""
        expired_hosts = set()
        for zone, remote_table in self.remote_tables_by_zone.items():
            if (
                remote_table.retained_by_host
                and remote_table.retained_until <= now
            ):
                expired_hosts |= remote_table.retained_by_host.keys()
                self.remote_tables_by_zone[zone] = attrs.evolve(
                    remote_table, retained_by_host={}
                )
        return self.refresh(expired_hosts)

    def refresh(self, hosts):
        """Merge the records of hosts again; return the changed hosts."""
        changed = {}
        for host in hosts:
            record = self._latest_record(host)
            current = self.records_by_host.get(host)
            if record == current:
                continue
            changed[host] = (current, record)
            if record is None:
                del self.records_by_host[host]
            else:
                self.records_by_host[host] = record
        self._update_services(changed)
        return changed.keys()

    def refresh_zone(self):
        """Merge the records of all hosts of the own zone again."""
        table = self.zone_table
        own = {
            host
            for host, record in self.records_by_host.items()
            if record.effective_control_zone == table.availability_zone
        }
        return self.refresh(own | set(table.records_by_host))

    def _latest_record(self, host):
        """Return the record of a host, or None.

        That of the own zone's table has precedence over the remote tables'.
        """
        own = self.zone_table.get(host)
        if own is not None:
            return own
        latest = None
        for remote_table in self.remote_tables_by_zone.values():
            record = remote_table.records_by_host.get(host)
            record = record or remote_table.retained_by_host.get(host)
            if record and (latest is None or latest.order < record.order):
                latest = record
        return latest

    def _update_services(self, changed):
        changes_by_service = {}
        for host, (current, record) in changed.items():
            before = self._entries(current)
            after = self._entries(record)
            for service in before.keys() | after.keys():
                new = after.get(service)
                if before.get(service) != new:
                    changes = changes_by_service.setdefault(service, {})
                    changes[host] = new
        for service, changes in changes_by_service.items():
            entries = self.entries_by_service.get(service, EntrySet())
            self.entries_by_service[service] = entries.evolve(
                changed={
                    host: data
                    for host, data in changes.items()
                    if data is not None
                },
                removed=[
                    host for host, data in changes.items() if data is None
                ],
            )

    def _entries(self, record):
        """Return the encoded entries of one record by service."""
        if record is None:
            return {}
        services = {target.service for target in record.targets}
        entries = {
            service: encode_entry(
                attrs.evolve(
                    record,
                    targets=tuple(
                        target
                        for target in record.targets
                        if target.service == service
                    ),
                )
            )
            for service in services
        }
        if record.effective_control_zone == self.zone_table.availability_zone:
            host_only = attrs.evolve(record, sequence=0, targets=())
            entries[ALL_HOSTS] = encode_entry(host_only)
        return entries


def _retained_fields(update, current, records, now):
    """Return the fields of a RemoteTable about its retained records."""
    if current is None:
        return {}
    if not update.full:
        retained = current.retained_by_host
        until = current.retained_until
    else:
        retained = {**current.retained_by_host, **current.records_by_host}
        until = now + SUSPECT_RETENTION_SECONDS
    missing = {
        host: record
        for host, record in retained.items()
        if host not in records and host not in update.removed
    }
    if update.full and not is_mass_loss(len(missing), len(retained)):
        return {}
    return {"retained_by_host": missing, "retained_until": until}


def _remote_records(update, current):
    """Return the records after an update.

    A host's current record is kept if it is later than the one received.
    """
    changed = {
        host: decode_entry(data, HostRecord)
        for host, data in update.changed.items()
    }
    if current is None:
        return changed
    for host, record in changed.items():
        current_record = current.records_by_host.get(host)
        if current_record is not None and current_record.order > record.order:
            changed[host] = current_record
    if update.full:
        return changed
    records = {**current.records_by_host, **changed}
    for host in update.removed:
        records.pop(host, None)
    return records
