"""Serve the records of keyed requests that this host holds."""

import time

import attrs

from verbenanotch.idempotency import (
    Acknowledged,
    Agree,
    Agreed,
    AlreadyFinished,
    Begin,
    Finish,
    HolderAgreement,
    HolderTable,
    KeyConflict,
    Lookup,
    MarkUnknown,
    RecordBatch,
    RecordHolder,
    RecordStore,
    Refused,
    ReleaseAttempt,
    View,
    group_by_size,
    identities,
)
from verbenanotch.proxy import events
from verbenanotch.telemetry import emit, metrics

# The limits of a store apply to the records of one service.
MAX_STORE_BYTES = 16 * 1024 * 1024
MAX_KEY_AGE_SECONDS = 3600.0
MAX_BATCH_RECORDS = 16
RECONCILE_TIMEOUT_SECONDS = 0.5
REFUSED_RETRY_AFTER_MS = 1000
MILLISECONDS_PER_SECOND = 1000
# When many hosts start or restart, each change of a large set is followed by
# others. Agreement on it begins once the set has not changed for this long for
# each member beyond a small number, and is tried again as often.
SETTLE_SECONDS_PER_MEMBER = 0.005
MEMBERS_WITHOUT_SETTLING = 20
MAX_SETTLE_SECONDS = 1.0


class _ServiceRecords:
    """The records of one service's keys, and agreement on their holders."""

    def __init__(self):
        self.store = RecordStore(
            max_bytes=MAX_STORE_BYTES, max_age_seconds=MAX_KEY_AGE_SECONDS
        )
        self.agreement = HolderAgreement(
            clock_margin_ms=self.store.clock_margin_ms
        )
        self.lease_gaps = 0
        # In monotonic seconds.
        self.next_attempt_at = 0.0


class RecordServer:
    """Store the records of the services that have targets on this host.

    The members for a service are the hosts with targets of the service. Two
    of them hold the record of each key. A key is started under a set of
    members only once each member has agreed to the set. While the zone may
    have removed this host, according to `lease_monitor`, it starts no keys;
    after that, the agreement begins again.
    """

    def __init__(
        self,
        *,
        host_name,
        incarnation,
        snapshot_store,
        lease_monitor,
        wall_clock=time.time,
        clock=time.monotonic,
    ):
        """Use the hosts in the snapshot of `snapshot_store`.

        `incarnation()` returns the incarnation that this host announces now.
        A host of this name with another incarnation in the snapshot is an
        earlier process, whose records this process does not have.
        `wall_clock()` returns the seconds since 1970, `clock()` monotonic
        seconds.
        """
        self._host_name = host_name
        self._incarnation = incarnation
        self._snapshot_store = snapshot_store
        self._wall_clock = wall_clock
        self._clock = clock
        self._lease_monitor = lease_monitor
        self._snapshot = None
        self._tables_by_service = {}
        self._members_by_service = {}
        self._records_by_service = {}

    def table(self, service):
        """Return the HolderTable of a service's keys, or None."""
        self.refresh()
        return self._tables_by_service.get(service)

    def refresh(self):
        """Update the members of each service if the snapshot has changed.

        Cheap if it has not, so that it can be called often.
        """
        snapshot = self._snapshot_store.snapshot
        if snapshot is self._snapshot:
            return
        self._snapshot = snapshot
        services = snapshot.target_ids_by_service.keys()
        for service in services | self._records_by_service.keys():
            members = _members(snapshot, service)
            if members != self._members_by_service.get(service):
                self._update_holders(service, members)

    def reconcile(self, ask):
        """Transfer records and request agreement for services that need it.

        Called periodically. `ask(service, member, message, timeout_seconds)`
        returns a reply, or None if there is none in time; it may block.
        """
        self.refresh()
        for service, service_records in list(self._records_by_service.items()):
            self._reset_after_lease_gap(service_records)
            if (
                not service_records.agreement.is_agreed
                and self._clock() >= service_records.next_attempt_at
            ):
                self._reconcile(service, service_records, ask)
                self._postpone(service_records)

    def may_leave(self, ask):
        """Return whether each record is also at hosts that use the same set.

        Otherwise this host may have the only copy of a record. Other hosts
        that use an older set would count this host as one more lost member
        of it, and take their own records for incomplete. `ask` is as in
        `reconcile`.
        """
        self.refresh()
        return all(
            self._is_replicated(service, service_records, ask)
            for service, service_records in list(
                self._records_by_service.items()
            )
        )

    def handle(self, service, message):
        """Return the reply to a coordinator's or another holder's message."""
        self.refresh()
        service_records = self._records_by_service.get(service)
        if service_records is None:
            return _reply_without_records(message)
        self._reset_after_lease_gap(service_records)
        match message:
            case Begin():
                return self._begin(service_records, message)
            case Agree():
                return self._answer_agree(service_records, message)
            case Lookup(key=key, digest=digest):
                return service_records.store.lookup(
                    key, digest, wall_ms=self._now_ms()
                )
            case RecordBatch(records=records):
                applied = service_records.store.merge_records(records)
            case Finish(key=key, token=token, answer=answer):
                applied = service_records.store.finish(key, token, answer)
            case MarkUnknown(key=key, token=token):
                applied = service_records.store.mark_unknown(key, token)
            case ReleaseAttempt(key=key, token=token):
                applied = service_records.store.release(key, token)
        return Acknowledged(applied=applied)

    def _update_holders(self, service, members):
        self._members_by_service[service] = members
        table = HolderTable(
            View(availability_zone="", epoch=0, members=members)
        )
        self._tables_by_service[service] = table
        identity = (self._host_name, self._incarnation())
        service_records = self._records_by_service.get(service)
        if service_records is None and identity in identities(members):
            service_records = _ServiceRecords()
            service_records.lease_gaps = self._lease_monitor.lease_gaps
            self._records_by_service[service] = service_records
        if service_records is not None:
            service_records.agreement.propose(
                members,
                identity=identity,
                table=table,
                wall_ms=self._now_ms(),
            )
            self._postpone(service_records)
            emit(
                events.HOLDERS_CHANGED,
                service=service,
                count=len(members),
                digest=service_records.agreement.digest.hex(),
                member=service_records.agreement.is_member,
                lost=service_records.agreement.missing_count,
                records=len(service_records.store),
            )

    def _reset_after_lease_gap(self, service_records):
        if service_records.lease_gaps != self._lease_monitor.lease_gaps:
            service_records.lease_gaps = self._lease_monitor.lease_gaps
            service_records.agreement.reset(wall_ms=self._now_ms())

    def _postpone(self, service_records):
        """Delay the next attempt to agree on a large set."""
        excess_count = (
            len(service_records.agreement.members) - MEMBERS_WITHOUT_SETTLING
        )
        service_records.next_attempt_at = self._clock() + min(
            MAX_SETTLE_SECONDS,
            SETTLE_SECONDS_PER_MEMBER * max(0, excess_count),
        )

    def _answer_agree(self, service_records, message):
        """Return the reply to Agree; without a lease no set is in use here.

        Others may have left this host out by then, and may use another set.
        """
        reply = service_records.agreement.answer(message)
        if reply.in_use and not self._lease_monitor.is_lease_valid():
            return attrs.evolve(reply, in_use=False)
        return reply

    def _begin(self, service_records, message):
        refusal_reason = service_records.agreement.refusal_reason(
            message.key, message.holders
        )
        if not refusal_reason and not self._lease_monitor.is_lease_valid():
            refusal_reason = "lease-expired"
        if refusal_reason:
            # An answer or conflict on record is valid whichever hosts hold
            # the key now.
            earlier = service_records.store.lookup(
                message.key, message.digest, wall_ms=self._now_ms()
            )
            if isinstance(earlier, (AlreadyFinished, KeyConflict)):
                return earlier
            metrics.increment(f"proxy.keys_refused.{refusal_reason}")
            emit(
                events.KEY_NOT_STARTED,
                key=message.key,
                reason=refusal_reason,
                asked=_formatted(message.holders),
                holders=_formatted(
                    identities(service_records.agreement.holders(message.key))
                ),
            )
            return Refused(
                reason=refusal_reason, retry_after_ms=REFUSED_RETRY_AFTER_MS
            )
        return service_records.store.begin(
            message.key,
            message.digest,
            token=message.token,
            timeout_ms=message.timeout_ms,
            wall_ms=self._now_ms(),
            complete_since_ms=service_records.agreement.complete_since_ms,
            released=message.released,
        )

    def _reconcile(self, service, service_records, ask):
        agreement = service_records.agreement
        members = agreement.members
        if not agreement.transferred:
            if not self._transfer_records(service, service_records, ask):
                return
            agreement.mark_transferred(members, wall_ms=self._now_ms())
        if not agreement.is_member:
            self._drop_if_empty(service, service_records)
            return
        digest = agreement.digest
        for member in agreement.pending_members:
            reply = ask(
                service,
                member,
                Agree(digest=digest),
                RECONCILE_TIMEOUT_SECONDS,
            )
            if isinstance(reply, Agreed):
                agreement.receive_reply(
                    member.identity, digest, reply, wall_ms=self._now_ms()
                )
        if agreement.is_agreed:
            emit(
                events.HOLDERS_AGREED,
                service=service,
                count=len(members),
                digest=digest.hex(),
                complete_since_ms=agreement.complete_since_ms,
                records=len(service_records.store),
            )

    def _is_replicated(self, service, service_records, ask):
        service_records.store.expire(self._now_ms())
        if not len(service_records.store):
            return True
        agreement = service_records.agreement
        if not agreement.is_member:
            return agreement.transferred
        others = agreement.other_members
        if not agreement.is_agreed or not others:
            return False
        question = Agree(digest=agreement.digest)
        replies = (
            ask(service, member, question, RECONCILE_TIMEOUT_SECONDS)
            for member in others
        )
        return all(
            isinstance(reply, Agreed) and reply.in_use for reply in replies
        )

    def _drop_if_empty(self, service, service_records):
        """Drop the service once its records are too old to be used.

        Until then they are kept, although other hosts hold them now: a host
        that is missing from the snapshot for a moment returns as the same
        member, and hosts that did not see it missing do not transfer records
        to it again.
        """
        service_records.store.expire(self._now_ms())
        if not len(service_records.store):
            del self._records_by_service[service]

    def _transfer_records(self, service, service_records, ask):
        """Send records to their holders; return whether all were applied."""
        records_by_member = {}
        for record in service_records.store.records():
            for member in service_records.agreement.holders(record.key):
                if member is not None and member.host != self._host_name:
                    records_by_member.setdefault(member, []).append(record)
        for member, records in records_by_member.items():
            for batch in _batches(records):
                reply = ask(
                    service,
                    member,
                    RecordBatch(records=tuple(batch)),
                    RECONCILE_TIMEOUT_SECONDS,
                )
                if reply != Acknowledged(applied=True):
                    return False
        return True

    def _now_ms(self):
        return int(self._wall_clock() * MILLISECONDS_PER_SECOND)


def _batches(records):
    """Yield the records in groups that fit into a message."""
    for group in group_by_size(records):
        for start in range(0, len(group), MAX_BATCH_RECORDS):
            yield group[start : start + MAX_BATCH_RECORDS]


def _formatted(members):
    """Return identities in the form that is logged."""
    return [f"{host}/{incarnation}" for host, incarnation in members]


def _reply_without_records(message):
    """Return the reply of a host without records of the service."""
    match message:
        case Begin() | Lookup():
            return Refused(
                reason="not-holder", retry_after_ms=REFUSED_RETRY_AFTER_MS
            )
        case _:
            return Acknowledged(applied=False)


def _members(snapshot, service):
    """Return the hosts with targets of a service, as RecordHolders."""
    names = {
        snapshot.host_names_by_target_id[target_id]
        for target_id in snapshot.target_ids_by_service.get(service, ())
    }
    records = [snapshot.hosts_by_name[name] for name in sorted(names)]
    return tuple(
        RecordHolder(
            host=record.host,
            availability_zone=record.availability_zone,
            address=record.address,
            peer_port=record.peer_port,
            incarnation=record.incarnation,
        )
        for record in records
    )
