"""The targets of all zones, as one control host knows them."""

import dataclasses

import attrs

from verbenanotch.membership._entry_set import (
    EntrySet,
    decode_entry,
    encode_entry,
)
from verbenanotch.membership._records import HostRecord
from verbenanotch.membership._zone_table import (
    SUSPECT_HOLD_SECONDS,
    is_mass,
)

ALL_HOSTS = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Taken:
    """The update was taken; `hosts` have changed."""

    hosts: frozenset[str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stale:
    """A later update of the same source is held; nothing changed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class WrongBase:
    """The update does not fit what is held; the whole table is needed."""


@attrs.frozen(kw_only=True)
class RemoteTable:
    """The last table received from a control host of another zone."""

    availability_zone: str
    source: str
    source_incarnation: int
    sequence: int
    entries: EntrySet
    records_by_host: dict[str, HostRecord]
    retained_by_host: dict[str, HostRecord] = attrs.field(factory=dict)
    retained_until: float = 0.0

    def is_after(self, update):
        """Return whether an update of the same source says nothing new.

        Another incarnation is another process and always says something
        new, also if its clock was set back.
        """
        if update.source_incarnation != self.source_incarnation:
            return False
        if update.sequence != self.sequence:
            return update.sequence < self.sequence
        return update.digest == self.entries.digest


class TargetRegistry:
    """Own zone's table merged with the tables of the other zones.

    `entries_by_service` holds an EntrySet of host records for each service,
    reduced to its targets; the one under ALL_HOSTS has the hosts of the own
    zone without targets. The table of a zone that was cut off stays.
    """

    def __init__(self, *, zone_table):
        """Start with the own zone alone."""
        self.zone_table = zone_table
        self.remote_tables_by_zone = {}
        self.records_by_host = {}
        self.entries_by_service = {}

    def receive(self, update, *, now):
        """Take another zone's update; return Taken, Stale or WrongBase.

        A whole table that lacks many known hosts comes from a control host
        that they may not reach: they are retained for a while.
        """
        current = self.remote_tables_by_zone.get(update.availability_zone)
        same = current is not None and current.source == update.source
        if same and current.is_after(update):
            return Stale()
        if not update.full and (
            not same or current.entries.digest != update.base_digest
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
            **_retained(update, current, records, now),
        )
        hosts = set(update.changed) | set(update.removed)
        if update.full and current is not None:
            hosts |= set(current.records_by_host)
        return Taken(hosts=frozenset(self.refresh(hosts)))

    def expire(self, *, now):
        """Drop retained hosts whose time is over; return the changed ones."""
        gone = set()
        for zone, remote_table in self.remote_tables_by_zone.items():
            if (
                remote_table.retained_by_host
                and remote_table.retained_until <= now
            ):
                gone |= remote_table.retained_by_host.keys()
                self.remote_tables_by_zone[zone] = attrs.evolve(
                    remote_table, retained_by_host={}
                )
        return self.refresh(gone)

    def refresh(self, hosts):
        """Look at hosts again; return those whose record has changed."""
        changed = {}
        for host in hosts:
            record = self._resolve(host)
            current = self.records_by_host.get(host)
            if record == current:
                continue
            changed[host] = (current, record)
            if record is None:
                del self.records_by_host[host]
            else:
                self.records_by_host[host] = record
        self._change_services(changed)
        return changed.keys()

    def refresh_zone(self):
        """Look at every host of the own zone again."""
        table = self.zone_table
        own = {
            host
            for host, record in self.records_by_host.items()
            if record.effective_control_zone == table.availability_zone
        }
        return self.refresh(own | set(table.records_by_host))

    def _resolve(self, host):
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

    def _change_services(self, changed):
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
                changed={h: d for h, d in changes.items() if d is not None},
                removed=[h for h, d in changes.items() if d is None],
            )

    def _entries(self, record):
        """Return the encoded entries of one record, keyed by service."""
        if record is None:
            return {}
        services = {target.service for target in record.targets}
        entries = {
            service: encode_entry(
                attrs.evolve(
                    record,
                    targets=tuple(
                        t for t in record.targets if t.service == service
                    ),
                )
            )
            for service in services
        }
        if record.effective_control_zone == self.zone_table.availability_zone:
            bare = attrs.evolve(record, sequence=0, targets=())
            entries[ALL_HOSTS] = encode_entry(bare)
        return entries


def _retained(update, current, records, now):
    """Return which hosts a remote table retains, and until when."""
    if current is None:
        return {}
    if not update.full:
        retained = current.retained_by_host
        until = current.retained_until
    else:
        retained = {**current.retained_by_host, **current.records_by_host}
        until = now + SUSPECT_HOLD_SECONDS
    missing = {
        host: record
        for host, record in retained.items()
        if host not in records and host not in update.removed
    }
    if update.full and not is_mass(len(missing), len(retained)):
        return {}
    return {"retained_by_host": missing, "retained_until": until}


def _remote_records(update, current):
    """Return the remote records; never an older one of the same host."""
    changed = {
        host: decode_entry(data, HostRecord)
        for host, data in update.changed.items()
    }
    if current is None:
        return changed
    for host, record in changed.items():
        known = current.records_by_host.get(host)
        if known is not None and known.order > record.order:
            changed[host] = known
    if update.full:
        return changed
    kept = {**current.records_by_host, **changed}
    for host in update.removed:
        kept.pop(host, None)
    return kept
