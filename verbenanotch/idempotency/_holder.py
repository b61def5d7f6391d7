"""A proxy's part as a holder of records."""

import attrs

from verbenanotch.idempotency._members import (
    holders_for_shard,
    identities,
    shard_of,
    shards_held,
)
from verbenanotch.idempotency._messages import (
    Acknowledged,
    Begin,
    Begun,
    Finish,
    Handoff,
    Lookup,
    MarkUnknown,
    Refused,
    ReleaseAttempt,
)
from verbenanotch.idempotency._records import size_bytes
from verbenanotch.idempotency._shard_replica import ShardReplica, Transfer

MAX_CHUNK_BYTES = 512 * 1024
MILLISECONDS_PER_SECOND = 1000
NOT_READY_RETRY_AFTER_MS = 1000


class Holder:
    """Answer the messages of coordinators and of other holders.

    Wants every view of its zone in sequence, from the one in which its
    incarnation joined. After a gap it serves nothing more: the process has
    to join again with a greater incarnation.

    `now` is in monotonic seconds, `wall_ms` in milliseconds since 1970.
    """

    def __init__(self, *, identity, store, lease_seconds):
        """Hold nothing; `identity` is host and incarnation."""
        self._identity = identity
        self._store = store
        self._wait_seconds = (
            lease_seconds + store.clock_margin_ms / MILLISECONDS_PER_SECOND
        )
        self._lease_seconds = lease_seconds
        self._serving_until = float("-inf")
        self._view = None
        self._current_by_shard = {}
        self._open = []
        self.gap_found = False

    @property
    def epoch(self):
        """Return the epoch of the installed view, 0 without one."""
        return 0 if self._view is None else self._view.epoch

    def install(self, view, *, now, wall_ms):
        """Take up the next view; return False if views are missing.

        A view that is not newer is ignored.
        """
        if self.gap_found:
            return False
        if view.epoch <= self.epoch:
            return True
        if not self._follows(view):
            self.gap_found = True
            return False
        self._view = view
        members = view.by_identity()
        held = set()
        if self._identity in members:
            held.update(shards_held(self._identity[0], view.members))
        for shard_number in sorted(held | self._current_by_shard.keys()):
            holders = holders_for_shard(shard_number, view.members)
            current = self._current_by_shard.get(shard_number)
            if current is None or current.holders != identities(holders):
                self._change(shard_number, holders, members, now, wall_ms)
        for replica in self._open:
            replica.pending_transfers = [
                transfer
                for transfer in replica.pending_transfers
                if transfer.member.identity in members
            ]
        self.tick(now)
        return True

    def confirm(self, epoch, *, asked_at):
        """Renew the lease: the publisher says that `epoch` is the newest.

        `asked_at` is when the renewal was asked for, in monotonic seconds.
        A holder that is behind gets no renewal.
        """
        if epoch == self.epoch:
            self._serving_until = asked_at + self._lease_seconds

    def tick(self, now):
        """Make due replicas ready and drop what others hold."""
        for replica in self._open:
            replica.update_readiness(self._identity, now)
        self._open = [item for item in self._open if self._is_open(item)]
        needed = {item.shard_number for item in self._open}
        for shard_number in self._store.shards():
            if (
                shard_number not in needed
                and shard_number not in self._current_by_shard
            ):
                self._store.drop_shard(shard_number)

    def handle(self, message, *, now, wall_ms):
        """Return the reply to a message of this package."""
        match message:
            case Begin():
                return self._begin(message, now, wall_ms)
            case Lookup(key=key, digest=digest):
                return self._store.lookup(key, digest, wall_ms=wall_ms)
            case Finish(key=key, token=token, answer=answer):
                applied = self._store.finish(key, token, answer)
            case MarkUnknown(key=key, token=token):
                applied = self._store.mark_unknown(key, token)
            case ReleaseAttempt(key=key, token=token):
                applied = self._store.release(key, token)
            case Handoff():
                applied = self._receive(message, now)
        return Acknowledged(applied=applied)

    def due_transfers(self):
        """Return the transfers that can be sent now."""
        return tuple(
            transfer
            for replica in self._open
            if replica.ready
            for transfer in replica.pending_transfers
        )

    def chunks(self, transfer):
        """Return the Handoff messages of a transfer, to send in order."""
        records = self._store.records_in_shard(transfer.shard_number)
        groups = _grouped(records)
        return tuple(
            Handoff(
                shard_number=transfer.shard_number,
                holder_epoch=transfer.holder_epoch,
                sender=self._identity,
                required=transfer.required,
                complete_since_ms=transfer.replica.complete_since_ms,
                chunk=chunk,
                chunk_count=len(groups),
                records=tuple(group),
            )
            for chunk, group in enumerate(groups)
        )

    def delivered(self, transfer):
        """Note that all chunks of a transfer were applied."""
        if transfer in transfer.replica.pending_transfers:
            transfer.replica.pending_transfers.remove(transfer)

    def _follows(self, view):
        if self._view is not None:
            return view.epoch == self._view.epoch + 1
        own = view.by_identity().get(self._identity)
        return own is not None and own.joined_epoch == view.epoch

    def _change(self, shard_number, holders, members, now, wall_ms):
        """Begin a new holder epoch of one shard."""
        prior = self._current_by_shard.pop(shard_number, None)
        required = None
        if prior is not None:
            required = tuple(
                identity for identity in prior.holders if identity in members
            )
            prior.pending_transfers = [
                Transfer(
                    shard_number=shard_number,
                    holder_epoch=self._view.epoch,
                    member=member,
                    required=required,
                    replica=prior,
                )
                for member in holders
                if member is not None and member.identity != self._identity
            ]
        if self._identity not in identities(holders):
            return
        wait_ms = int(self._wait_seconds * MILLISECONDS_PER_SECOND)
        replica = ShardReplica(
            shard_number=shard_number,
            holder_epoch=self._view.epoch,
            holders=identities(holders),
            deadline=now + self._wait_seconds,
            fallback_complete_since_ms=(
                wall_ms + wait_ms + 2 * self._store.clock_margin_ms
            ),
            prior=prior,
            required=None if required is None else frozenset(required),
        )
        self._current_by_shard[shard_number] = replica
        self._open.append(replica)

    def _is_open(self, replica):
        """Return whether a replica still has something to do here."""
        current = self._current_by_shard.get(replica.shard_number)
        return (
            current is replica
            or not replica.ready
            or replica.pending_transfers
        )

    def _begin(self, message, now, wall_ms):
        replica = self._current_by_shard.get(shard_of(message.key))
        reason = self._refusal_reason(replica, message, now)
        if reason:
            return Refused(
                reason=reason, retry_after_ms=NOT_READY_RETRY_AFTER_MS
            )
        reply = self._store.begin(
            message.key,
            message.digest,
            token=message.token,
            timeout_ms=message.timeout_ms,
            wall_ms=wall_ms,
            complete_since_ms=replica.complete_since_ms,
            released=message.released,
        )
        if isinstance(reply, Begun):
            return attrs.evolve(reply, holder_epoch=replica.holder_epoch)
        return reply

    def _refusal_reason(self, replica, message, now):
        """Return why this holder cannot serve the key, or None."""
        if replica is None or replica.holders != message.hosts:
            return "not-holder"
        if self.gap_found or now >= self._serving_until:
            return "lease-expired"
        if not replica.update_readiness(self._identity, now):
            return "unsettled"
        return None

    def _receive(self, handoff, now):
        """Merge a chunk; return whether the sender may go on.

        A holder epoch that this holder has not reached yet, or records that
        do not fit, make the sender repeat it later.
        """
        if self.gap_found or handoff.holder_epoch > self.epoch:
            return False
        for replica in self._open:
            if (
                replica.shard_number == handoff.shard_number
                and replica.holder_epoch == handoff.holder_epoch
            ):
                break
        else:
            return True
        if not self._store.merge_records(handoff.records):
            return False
        received = replica.receive(handoff)
        self.tick(now)
        return received


def push_transfers(holder, ask, *, timeout_seconds):
    """Send the due transfers through `ask`; return how many are left.

    `ask(member, message, timeout_seconds)` returns the reply, or None if
    there was none.
    """
    left = 0
    for transfer in holder.due_transfers():
        for chunk in holder.chunks(transfer):
            reply = ask(transfer.member, chunk, timeout_seconds)
            if reply != Acknowledged(applied=True):
                left += 1
                break
        else:
            holder.delivered(transfer)
    return left


def _grouped(records):
    """Return records in groups within the bound of a chunk; at least one."""
    groups = [[]]
    size = 0
    for record in records:
        size += size_bytes(record)
        if size > MAX_CHUNK_BYTES and groups[-1]:
            groups.append([])
            size = size_bytes(record)
        groups[-1].append(record)
    return groups
