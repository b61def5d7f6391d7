"""This proxy's part as a holder of the records of keyed requests."""

import time

from verbenanotch.idempotency import (
    Acknowledged,
    Begin,
    Finish,
    HolderTable,
    Look,
    MarkUnknown,
    Member,
    RecordStore,
    Refused,
    Release,
    View,
)

MAX_RECORD_BYTES = 16 * 1024 * 1024
MAX_KEY_AGE_SECONDS = 3600.0
REFUSED_RETRY_AFTER_MS = 1000
MILLISECONDS_PER_SECOND = 1000


class RecordKeeper:
    """Hold records for the services whose targets this host has.

    The hosts with targets of a service hold the records of its keys, two
    for each key. Whenever those hosts change, the keys issued earlier that
    have no record here may have run elsewhere, so that they are not run.
    """

    def __init__(self, *, host_name, holder, wall_clock=time.time):
        """Take the hosts from the snapshot of `holder`."""
        self._host_name = host_name
        self._holder = holder
        self._wall_clock = wall_clock
        self._snapshot = None
        self._tables_by_service = {}
        self._members_by_service = {}
        self._complete_since_by_service = {}
        self._store = RecordStore(
            max_bytes=MAX_RECORD_BYTES, max_age_seconds=MAX_KEY_AGE_SECONDS
        )

    def table(self, service):
        """Return the HolderTable of the keys of a service, or None."""
        self.refresh()
        return self._tables_by_service.get(service)

    def refresh(self):
        """Note what has changed with the snapshot; called often."""
        snapshot = self._holder.snapshot
        if snapshot is self._snapshot:
            return
        self._snapshot = snapshot
        for service in snapshot.target_ids_by_service:
            members = _members(snapshot, service)
            if members != self._members_by_service.get(service):
                self._change(service, members)

    def handle(self, service, message):
        """Return the reply to a coordinator's message."""
        self.refresh()
        match message:
            case Begin():
                return self._begin(service, message)
            case Look(key=key, digest=digest):
                return self._store.look(key, digest, wall_ms=self._now_ms())
            case Finish(key=key, token=token, answer=answer):
                applied = self._store.finish(key, token, answer)
            case MarkUnknown(key=key, token=token):
                applied = self._store.mark_unknown(key, token)
            case Release(key=key, token=token):
                applied = self._store.release(key, token)
        return Acknowledged(applied=applied)

    def _change(self, service, members):
        self._members_by_service[service] = members
        view = View(availability_zone="", epoch=0, members=members)
        self._tables_by_service[service] = HolderTable(view)
        # Clocks of callers may be ahead by the margin.
        self._complete_since_by_service[service] = (
            self._now_ms() + self._store.clock_margin_ms
        )

    def _begin(self, service, message):
        table = self._tables_by_service.get(service)
        if table is None or _hosts(table, message.key) != message.hosts:
            return Refused(
                reason="not-holder", retry_after_ms=REFUSED_RETRY_AFTER_MS
            )
        return self._store.begin(
            message.key,
            message.digest,
            token=message.token,
            timeout_ms=message.timeout_ms,
            wall_ms=self._now_ms(),
            complete_since_ms=self._complete_since_by_service[service],
            released=message.released,
        )

    def _now_ms(self):
        return int(self._wall_clock() * MILLISECONDS_PER_SECOND)


def _members(snapshot, service):
    """Return the hosts with targets of a service, as members."""
    names = {
        snapshot.host_names_by_target_id[target_id]
        for target_id in snapshot.target_ids_by_service[service]
    }
    records = [snapshot.hosts_by_name[name] for name in sorted(names)]
    return tuple(
        Member(
            host=record.host,
            availability_zone=record.availability_zone,
            address=record.address,
            peer_port=record.peer_port,
            incarnation=record.incarnation,
        )
        for record in records
    )


def _hosts(table, key):
    """Return the identities of a key's holders, as Begin carries them."""
    return tuple(
        member.identity for member in table.pair(key) if member is not None
    )
