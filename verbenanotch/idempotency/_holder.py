"""A holder of records under the views of a `ViewPublisher`."""

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
    """Reply to the messages of coordinators and of other holders.

    A holder starts a key only if the coordinator named the same holders, its
    own lease has not expired and its replica of the key's shard is ready.

    It must install every view of its zone in sequence, starting with the one
    in which its incarnation joined. If a view is missing, `gap_found` is set,
    and it starts no more keys and accepts no more handoffs: the process must
    join again with a greater incarnation.

    `now` is in monotonic seconds, `wall_ms` in milliseconds since 1970.
    """

    def __init__(self, *, identity, store, lease_seconds):
        """Create a holder without a view.

        `identity` is `(host, incarnation)`, `store` the RecordStore that
        keeps the records.
        """
        self._identity = identity
        self._store = store
        self._max_wait_seconds = (
            lease_seconds + store.clock_margin_ms / MILLISECONDS_PER_SECOND
        )
        self._lease_seconds = lease_seconds
        self._lease_expires_at = float("-inf")
        self._view = None
        self._current_replicas_by_shard = {}
        self._needed_replicas = []
        self.gap_found = False

    @property
    def epoch(self):
        """Return the epoch of the installed view, 0 without one."""
        return 0 if self._view is None else self._view.epoch

    def install(self, view, *, now, wall_ms):
        """Switch to the next view; return False if views are missing.

        A view that is not newer than the installed one is ignored.
        """
        if self.gap_found:
            return False
        if view.epoch <= self.epoch:
            return True
        if not self._is_next_view(view):
            self.gap_found = True
            return False
        self._view = view
        members_by_identity = view.by_identity()
        held_shards = set()
        if self._identity in members_by_identity:
            held_shards.update(shards_held(self._identity[0], view.members))
        for shard_number in sorted(
            held_shards | self._current_replicas_by_shard.keys()
        ):
            holders = holders_for_shard(shard_number, view.members)
            current = self._current_replicas_by_shard.get(shard_number)
            if current is None or current.holders != identities(holders):
                self._begin_holder_epoch(
                    shard_number, holders, members_by_identity, now, wall_ms
                )
        for replica in self._needed_replicas:
            replica.pending_transfers = [
                transfer
                for transfer in replica.pending_transfers
                if transfer.receiver.identity in members_by_identity
            ]
        self.tick(now)
        return True

    def renew_lease(self, epoch, *, asked_at):
        """Renew the lease if `epoch`, the publisher's newest, is installed.

        `asked_at` is the time at which the holder asked for the renewal, in
        monotonic seconds: the lease counts from then, so that it ends no
        later here than at the publisher. A holder that has not installed the
        newest view gets no renewal, since others may have replaced it.
        """
        if epoch == self.epoch:
            self._lease_expires_at = asked_at + self._lease_seconds

    def tick(self, now):
        """Make replicas ready that can be, and drop unneeded records.

        Records are needed while this host holds their shard or still has to
        transfer them.
        """
        for replica in self._needed_replicas:
            replica.update_readiness(self._identity, now)
        self._needed_replicas = [
            replica
            for replica in self._needed_replicas
            if self._is_needed(replica)
        ]
        needed_shards = {
            replica.shard_number for replica in self._needed_replicas
        }
        for shard_number in self._store.shards():
            if (
                shard_number not in needed_shards
                and shard_number not in self._current_replicas_by_shard
            ):
                self._store.drop_shard(shard_number)

    def handle(self, message, *, now, wall_ms):
        """Return the reply to a message of a coordinator or a holder."""
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
                applied = self._receive_handoff(message, now)
        return Acknowledged(applied=applied)

    def due_transfers(self):
        """Return the transfers that can be sent now."""
        return tuple(
            transfer
            for replica in self._needed_replicas
            if replica.ready
            for transfer in replica.pending_transfers
        )

    def chunks(self, transfer):
        """Return the Handoff messages of a transfer, in the order to send.

        There is at least one, since the receiver waits for it.
        """
        records = self._store.records_in_shard(transfer.shard_number)
        groups = group_by_size(records)
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

    def mark_delivered(self, transfer):
        """Record that the receiver has applied all chunks of a transfer."""
        if transfer in transfer.replica.pending_transfers:
            transfer.replica.pending_transfers.remove(transfer)

    def _is_next_view(self, view):
        if self._view is not None:
            return view.epoch == self._view.epoch + 1
        own_member = view.by_identity().get(self._identity)
        return own_member is not None and own_member.joined_epoch == view.epoch

    def _begin_holder_epoch(
        self, shard_number, holders, members_by_identity, now, wall_ms
    ):
        """Begin a holder epoch of one shard with `holders`.

        If this host was a holder, its replica is fenced from now on, and its
        records have to be transferred to the other new holders. If it is a
        holder now, its new replica waits for at most one lease plus the clock
        margin, by which time the lease of every earlier holder has expired.
        Until then an earlier holder can have started keys issued up to the
        clock margin ahead of its clock, and its clock can be ahead of this
        one by another clock margin; `fallback_complete_since_ms` allows for
        both.
        """
        prior = self._current_replicas_by_shard.pop(shard_number, None)
        required = None
        if prior is not None:
            required = tuple(
                identity
                for identity in prior.holders
                if identity in members_by_identity
            )
            prior.pending_transfers = [
                Transfer(
                    shard_number=shard_number,
                    holder_epoch=self._view.epoch,
                    receiver=member,
                    required=required,
                    replica=prior,
                )
                for member in holders
                if member is not None and member.identity != self._identity
            ]
        if self._identity not in identities(holders):
            return
        wait_ms = int(self._max_wait_seconds * MILLISECONDS_PER_SECOND)
        replica = ShardReplica(
            shard_number=shard_number,
            holder_epoch=self._view.epoch,
            holders=identities(holders),
            deadline=now + self._max_wait_seconds,
            fallback_complete_since_ms=(
                wall_ms + wait_ms + 2 * self._store.clock_margin_ms
            ),
            prior=prior,
            required=None if required is None else frozenset(required),
        )
        self._current_replicas_by_shard[shard_number] = replica
        self._needed_replicas.append(replica)

    def _is_needed(self, replica):
        """Return whether a replica is still needed at this host.

        It is if it is the current one of its shard, is not ready yet, or has
        pending transfers.
        """
        current = self._current_replicas_by_shard.get(replica.shard_number)
        return (
            current is replica
            or not replica.ready
            or replica.pending_transfers
        )

    def _begin(self, message, now, wall_ms):
        replica = self._current_replicas_by_shard.get(shard_of(message.key))
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
        """Return why this holder must not start the key, or None."""
        if replica is None or replica.holders != message.holders:
            return "not-holder"
        if self.gap_found or now >= self._lease_expires_at:
            return "lease-expired"
        if not replica.update_readiness(self._identity, now):
            return "unsettled"
        return None

    def _receive_handoff(self, handoff, now):
        """Merge the records of a chunk; return False if it must be repeated.

        This is so if a view is missing, if this holder has not installed the
        view of the holder epoch yet, has no free memory, or has missed an
        earlier chunk. The sender then repeats the transfer later. A chunk for
        a holder epoch that is over here is ignored.
        """
        if self.gap_found or handoff.holder_epoch > self.epoch:
            return False
        for replica in self._needed_replicas:
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
    """Send the due transfers with `ask`; return how many were not delivered.

    `ask(member, message, timeout_seconds)` returns the reply, or None if
    there was none.
    """
    undelivered = 0
    for transfer in holder.due_transfers():
        for chunk in holder.chunks(transfer):
            reply = ask(transfer.receiver, chunk, timeout_seconds)
            if reply != Acknowledged(applied=True):
                undelivered += 1
                break
        else:
            holder.mark_delivered(transfer)
    return undelivered


def group_by_size(records):
    """Return the records in groups of up to `MAX_CHUNK_BYTES`.

    There is at least one group, which may be empty. A record that is larger
    is a group of its own.
    """
    groups = [[]]
    size = 0
    for record in records:
        size += size_bytes(record)
        if size > MAX_CHUNK_BYTES and groups[-1]:
            groups.append([])
            size = size_bytes(record)
        groups[-1].append(record)
    return groups
