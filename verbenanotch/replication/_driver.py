"""Execution of the core's effects on disk, links and state machine."""

import math
import time
import zlib

import attrs
import eventlet
from eventlet import event

from verbenanotch import loop
from verbenanotch.replication import events
from verbenanotch.replication._entries import (
    EntryKind,
    Position,
    encode_configuration,
)
from verbenanotch.replication._log import SnapshotMetadata
from verbenanotch.replication._messages import SnapshotChunk
from verbenanotch.replication._outcomes import (
    Committed,
    Unavailable,
    Unknown,
)
from verbenanotch.replication._roles import NO_MEMBER, Role
from verbenanotch.replication.exceptions import (
    DiskFailedError,
    ReplicationError,
)
from verbenanotch.telemetry import emit, metrics

TICKS_PER_HEARTBEAT = 4
CHUNK_BYTES = 256 * 1024
# Of the entries that a snapshot newly covers, the last 1/KEPT_ENTRIES_DIVISOR
# stay in the log for replicas that are slightly behind.
KEPT_ENTRIES_DIVISOR = 2
# While entries are applied, other greenthreads run after each such time.
MAX_APPLY_SECONDS = 0.01
# A snapshot is taken once applying the entries since the last snapshot has
# taken this long, since a restart would apply them again.
MAX_REPLAY_SECONDS = 2.0
# Between two attempts to write to a disk that refuses it.
DISK_RETRY_SECONDS = 0.25


@attrs.frozen(kw_only=True)
class Waiter:
    """The Event that receives the outcome of an entry proposed in `term`."""

    term: int
    outcome_event: event.Event


class Driver:
    """Execute the effects of the core in batches.

    Any greenthread may call the core and then `wake`. Only the driver's own
    greenthread calls `take_effects`, so that one sync covers all effects
    that have accumulated.
    """

    def __init__(
        self,
        *,
        core,
        storage,
        state_machine,
        send,
        timing,
        snapshot_every_entries,
    ):
        """Connect the parts; `send(member_id, message)` queues a message."""
        self.core = core
        self.applied_index = core.log.snapshot.index
        self._recorded_commit_index = core.commit_index
        self.error = None
        # Whether `error` is a disk that may take writes again.
        self._is_suspended = False
        self._storage = storage
        self._state_machine = state_machine
        self._send = send
        self._tick_seconds = timing.heartbeat / TICKS_PER_HEARTBEAT
        self._snapshot_every = snapshot_every_entries
        self._snapshot_data = b""
        self._replay_seconds = 0.0
        self._waiters_by_index = {}
        self._apply_waiters = []
        self._wake_event = event.Event()
        self._reported_role_and_leader = (core.role, core.leader_id)
        self._greenthreads = []

    def start(self):
        """Apply the entries recorded as committed; run in the background."""
        self._apply_committed()
        self._greenthreads = [
            eventlet.spawn(self._tick_forever),
            eventlet.spawn(self._run),
        ]

    def stop(self):
        """Stop; pending proposals end with Unknown."""
        for greenthread in self._greenthreads:
            greenthread.kill()
        self._resolve_as_unknown("the replica stopped")

    def wake(self):
        """Schedule the execution of pending effects."""
        if not self._wake_event.ready():
            self._wake_event.send()

    def restore(self, data):
        """Restore the state machine from the data of a snapshot."""
        self._snapshot_data = data
        self._state_machine.restore(data)

    def receive(self, member_id, message):
        """Pass a peer's message to the core, unless the replica has failed."""
        if self.error is not None:
            return
        try:
            self.core.receive(member_id, message, time.monotonic())
        except ReplicationError as error:
            self.fail(error)
        self.wake()

    def refusal(self, command):
        """Return why the state machine refuses a command, or ""."""
        refuse = getattr(self._state_machine, "refusal", None)
        return refuse(command) if refuse is not None else ""

    def propose(self, kind, data):
        """Append an entry as the leader; return an Event of its outcome.

        Returns None on a replica that does not lead.
        """
        entry = self.core.propose(kind, data, time.monotonic())
        if entry is None:
            return None
        return self.wait_for(entry)

    def wait_for(self, entry):
        """Return an Event of the outcome of an entry that was just appended.

        The Event receives Committed, Unavailable or Unknown. If proposers
        still wait for entries that were at this index or later, those have
        been removed from the log; the proposers receive Unknown at once.
        """
        self._resolve_as_unknown(
            "another leader may have committed it", from_index=entry.index
        )
        waiter = Waiter(term=entry.term, outcome_event=event.Event())
        self._waiters_by_index[entry.index] = waiter
        self.wake()
        return waiter.outcome_event

    def stop_waiting(self, outcome_event):
        """Remove the waiter with an Event that `wait_for` returned."""
        self._waiters_by_index = {
            index: waiter
            for index, waiter in self._waiters_by_index.items()
            if waiter.outcome_event is not outcome_event
        }

    def wait_until_applied(self, index, timeout_seconds):
        """Block until the entry is applied; return False on a timeout."""
        if self.applied_index >= index:
            return True
        applied = event.Event()
        self._apply_waiters.append((index, applied))
        try:
            return applied.wait(timeout_seconds) is not None
        finally:
            self._apply_waiters.remove((index, applied))

    def fail(self, error):
        """Stop participating in the cluster until the process is restarted."""
        if self.error is not None:
            return
        self.error = error
        emit(events.REPLICA_FAILED, error=str(error))
        metrics.increment("replication.failed")
        self.core.leader_id = NO_MEMBER
        self._resolve_as_unknown(f"the replica failed: {error}")
        # Without ticks, the replica starts no election and sends no heartbeat.
        self._greenthreads[0].kill()

    def _until_written(self, operation):
        """Repeat a disk operation until it succeeds.

        From the second failure until then the replica takes no part, as if
        it were paused: what is not on the disk was not promised, and nothing
        changes meanwhile.
        """
        has_failed = False
        while True:
            try:
                operation()
            except DiskFailedError as error:
                if not self._greenthreads:
                    raise
                if has_failed:
                    self._suspend(error)
                    eventlet.sleep(DISK_RETRY_SECONDS)
                has_failed = True
                metrics.increment("replication.writes_failed")
            else:
                self._resume()
                return

    def _suspend(self, error):
        if self.error is not None and not self._is_suspended:
            return
        if self.error is None:
            emit(events.REPLICA_SUSPENDED, error=str(error))
            metrics.increment("replication.suspended")
            self.core.leader_id = NO_MEMBER
            self._resolve_as_unknown(f"the disk failed: {error}")
        self.error = error
        self._is_suspended = True

    def _resume(self):
        if not self._is_suspended:
            return
        self.error = None
        self._is_suspended = False
        emit(events.REPLICA_RESUMED)
        if self.core.role == Role.LEADER:
            self.core.leader_id = self.core.own_id

    def _tick_forever(self):
        while True:
            eventlet.sleep(self._tick_seconds)
            if self.error is None:
                self._tick()

    def _tick(self):
        try:
            self.core.tick(time.monotonic())
        except Exception as error:
            # The core may have changed in part.
            loop.report_failure()
            self.fail(error)
        self.wake()

    def _run(self):
        try:
            while True:
                self._wake_event.wait()
                self._wake_event = event.Event()
                if self.error is not None:
                    return
                self._step()
        except Exception as error:
            # After any error here, memory may differ from the disk.
            self.fail(error)
            if not isinstance(error, ReplicationError):
                raise

    def _step(self):
        """Execute all effects, including those that a sync produces."""
        while self.error is None:
            effects = self.core.take_effects()
            if not effects.is_empty:
                self._execute(effects)
            self._apply_committed()
            self._report_role_and_leader()
            if effects.is_empty:
                break
        self._take_snapshot_if_due()

    def _execute(self, effects):
        # The leader's entries may be sent before its own sync, but not
        # before its term is synced.
        if effects.may_send_early:
            self._send_all(effects.appends)
            effects.appends = []
            eventlet.sleep(0)
        if effects.needs_sync:
            self._sync(effects)
        self._send_all(effects.appends)
        self._send_all(effects.messages)
        for request in effects.chunk_requests:
            self._send_chunk(request)
        for read in effects.reads:
            read.token.send(read.index)

    def _send_all(self, outgoing):
        for each in outgoing:
            self._send(each.receiver_id, each.message)

    def _sync(self, effects):
        if effects.snapshot is not None:
            self._install_snapshot(effects)
        self._storage.append(
            term=effects.term,
            vote=effects.vote,
            term_or_vote_changed=effects.term_or_vote_changed,
            entries=effects.entries,
        )
        self._sync_storage()
        if effects.entries:
            last = effects.entries[-1]
            self.core.on_synced(last.index, last.term, time.monotonic())

    def _install_snapshot(self, effects):
        log = self.core.log
        last = (log.last_index, log.last_term)
        self._until_written(
            lambda: self._storage.save_snapshot(
                log=log,
                term=effects.term,
                vote=effects.vote,
                data=effects.snapshot.data,
            )
        )
        self.restore(effects.snapshot.data)
        self.applied_index = effects.snapshot.metadata.index
        self._recorded_commit_index = max(
            self._recorded_commit_index, self.applied_index
        )
        self._replay_seconds = 0.0
        self._resolve_as_unknown(
            "a snapshot of another leader covers it",
            to_index=self.applied_index,
        )
        self.core.on_synced(*last, time.monotonic())
        emit(events.SNAPSHOT_INSTALLED, index=self.applied_index)

    def _apply_committed(self):
        self._record_commit_index()
        yielded_at = time.monotonic()
        while self.core.log.base_index <= self.applied_index:
            if self.applied_index >= self._recorded_commit_index:
                break
            self._apply(self.core.log.entry_at(self.applied_index + 1))
            if time.monotonic() - yielded_at >= MAX_APPLY_SECONDS:
                # During the yield, a snapshot may be installed that covers
                # the entries left to apply.
                eventlet.sleep(0)
                yielded_at = time.monotonic()
        for index, applied in self._apply_waiters:
            if self.applied_index >= index and not applied.ready():
                applied.send(True)

    def _record_commit_index(self):
        """Sync the commit index before entries up to it are applied.

        A restart applies them again at once, so that a host that is
        disconnected never serves an older state than before.
        """
        index = self.core.applicable_index
        if index > self._recorded_commit_index:
            self._recorded_commit_index = index
            self._storage.append_commit(index)
            self._sync_storage()
            metrics.gauge("replication.commit_index", index)

    def _sync_storage(self):
        self._until_written(self._storage.sync)
        metrics.increment("replication.fsyncs")
        metrics.timing("replication.fsync_ms", self._storage.last_sync_ms)
        metrics.gauge("replication.fsync_ms", self._storage.last_sync_ms)

    def _apply(self, entry):
        position = Position(term=entry.term, index=entry.index)
        result = b""
        if entry.kind == EntryKind.COMMAND:
            began = time.monotonic()
            result = self._state_machine.apply(position, entry.data)
            apply_seconds = time.monotonic() - began
            self._replay_seconds += apply_seconds
            metrics.timing("replication.apply_ms", apply_seconds * 1000)
        self.applied_index = entry.index
        waiter = self._waiters_by_index.pop(entry.index, None)
        if waiter is None:
            return
        if waiter.term == entry.term:
            waiter.outcome_event.send(
                Committed(position=position, result=result)
            )
        else:
            # Another entry is committed at this index, so the proposed one
            # never will be.
            waiter.outcome_event.send(
                Unavailable(reason="another leader took over first")
            )

    def _resolve_as_unknown(self, reason, *, from_index=0, to_index=math.inf):
        for index in list(self._waiters_by_index):
            if from_index <= index <= to_index:
                waiter = self._waiters_by_index.pop(index)
                waiter.outcome_event.send(Unknown(reason=reason))

    def _send_chunk(self, request):
        metadata = self.core.log.snapshot
        offset = request.offset
        chunk = SnapshotChunk(
            term=request.term,
            index=metadata.index,
            index_term=metadata.term,
            configuration=encode_configuration(metadata.configuration),
            total_bytes=len(self._snapshot_data),
            checksum=zlib.crc32(self._snapshot_data),
            offset=offset,
            data=self._snapshot_data[offset : offset + CHUNK_BYTES],
            round=request.round,
        )
        self._send(request.receiver_id, chunk)

    def _take_snapshot_if_due(self):
        """Take a snapshot if applying the entries again would be slow.

        That is, if there are many entries since the last snapshot, or if
        applying them took long.
        """
        count = self.applied_index - self.core.log.snapshot.index
        is_slow = count and self._replay_seconds >= MAX_REPLAY_SECONDS
        if count < self._snapshot_every and not is_slow:
            return
        if not self.core.has_no_pending_effects:
            # The core has changed since the last effects were executed; the
            # new effects must be executed before its log is stored.
            self.wake()
            return
        self._take_snapshot()

    def _take_snapshot(self):
        log = self.core.log
        metadata = SnapshotMetadata(
            index=self.applied_index,
            term=log.term_at(self.applied_index),
            configuration=log.configuration_at(self.applied_index),
        )
        began = time.monotonic()
        data = self._state_machine.snapshot()
        count = metadata.index - log.snapshot.index
        log.compact(metadata, keep_entries=count // KEPT_ENTRIES_DIVISOR)
        self._replay_seconds = 0.0
        self._snapshot_data = data
        self._until_written(
            lambda: self._storage.save_snapshot(
                log=log, term=self.core.term, vote=self.core.vote, data=data
            )
        )
        milliseconds = (time.monotonic() - began) * 1000
        metrics.gauge("replication.snapshot_ms", milliseconds)
        emit(events.SNAPSHOT_TAKEN, index=metadata.index, bytes=len(data))

    def _report_role_and_leader(self):
        current = (self.core.role, self.core.leader_id)
        if current == self._reported_role_and_leader:
            return
        previous, self._reported_role_and_leader = (
            self._reported_role_and_leader,
            current,
        )
        if previous[0] != current[0]:
            emit(
                events.ROLE_CHANGED,
                role=str(current[0]),
                term=self.core.term,
            )
        if previous[1] != current[1]:
            emit(
                events.LEADER_CHANGED,
                leader=current[1],
                term=self.core.term,
            )
        metrics.gauge("replication.is_leader", int(current[0] == Role.LEADER))
