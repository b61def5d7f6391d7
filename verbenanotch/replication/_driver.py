"""Carry out the core's effects: disk, links, state machine, waiters."""

import math
import time
import zlib

import attrs
import eventlet
from eventlet import event

from verbenanotch.replication import events
from verbenanotch.replication._entries import (
    EntryKind,
    Position,
    encode_configuration,
)
from verbenanotch.replication._log import SnapshotPoint
from verbenanotch.replication._messages import SnapshotChunk
from verbenanotch.replication._outcomes import (
    Committed,
    Unavailable,
    Unknown,
)
from verbenanotch.replication._roles import NOBODY, Role
from verbenanotch.replication.exceptions import ReplicationError
from verbenanotch.telemetry import emit, metrics

TICKS_PER_HEARTBEAT = 4
CHUNK_BYTES = 256 * 1024
KEPT_SHARE = 2
MAX_APPLY_SECONDS = 0.01
MAX_REPLAY_SECONDS = 2.0


@attrs.frozen(kw_only=True)
class Waiter:
    """A proposer that waits for the entry with its term to be applied."""

    term: int
    outcome: event.Event


class Driver:
    """Step the core and do what it asks, one batch at a time.

    Any greenthread may call the core and then `wake`; only the driver's own
    greenthread takes effects, so that one sync serves a whole batch.
    """

    def __init__(
        self, *, core, storage, state_machine, send, timing, snapshot_every
    ):
        """Take the parts; `send(member_id, message)` queues a message."""
        self.core = core
        self.applied_index = core.log.snapshot.index
        self._noted_commit = core.commit_index
        self.error = None
        self._storage = storage
        self._state_machine = state_machine
        self._send = send
        self._tick_seconds = timing.heartbeat / TICKS_PER_HEARTBEAT
        self._snapshot_every = snapshot_every
        self._snapshot_data = b""
        self._replay_seconds = 0.0
        self._waiters_by_index = {}
        self._read_waiters = []
        self._wakened = event.Event()
        self._reported = (core.role, core.leader_id)
        self._greenthreads = []

    def start(self):
        """Apply what is known to be committed; run in the background."""
        self._apply_committed()
        self._greenthreads = [
            eventlet.spawn(self._tick_forever),
            eventlet.spawn(self._run),
        ]

    def stop(self):
        """Stop; waiting proposers learn that their outcome is unknown."""
        for greenthread in self._greenthreads:
            greenthread.kill()
        self._end_waiting("the replica stopped")

    def wake(self):
        """Have the effects carried out soon."""
        if not self._wakened.ready():
            self._wakened.send()

    def restore(self, data):
        """Give the state machine the snapshot that storage held."""
        self._snapshot_data = data
        self._state_machine.restore(data)

    def receive(self, member_id, message):
        """Hand a peer's message to the core."""
        if self.error is not None:
            return
        try:
            self.core.receive(member_id, message, time.monotonic())
        except ReplicationError as error:
            self.fail(error)
        self.wake()

    def refusal(self, command):
        """Return why the state machine refuses a command, or nothing."""
        refuse = getattr(self._state_machine, "refusal", None)
        return refuse(command) if refuse is not None else ""

    def propose(self, kind, data):
        """Append as the leader; return an Event of the outcome, or None."""
        entry = self.core.propose(kind, data, time.monotonic())
        if entry is None:
            return None
        return self.wait_for(entry)

    def wait_for(self, entry):
        """Return an Event that gets the outcome of an appended entry."""
        self._end_waiting(
            "another leader may have committed it", from_index=entry.index
        )
        waiter = Waiter(term=entry.term, outcome=event.Event())
        self._waiters_by_index[entry.index] = waiter
        self.wake()
        return waiter.outcome

    def forget(self, outcome):
        """Stop waiting for an outcome."""
        self._waiters_by_index = {
            index: waiter
            for index, waiter in self._waiters_by_index.items()
            if waiter.outcome is not outcome
        }

    def wait_until_applied(self, index, timeout_seconds):
        """Block until the entry is applied; tell whether it is."""
        if self.applied_index >= index:
            return True
        applied = event.Event()
        self._read_waiters.append((index, applied))
        try:
            return applied.wait(timeout_seconds) is not None
        finally:
            self._read_waiters.remove((index, applied))

    def fail(self, error):
        """Stop taking part; only a restart helps."""
        if self.error is not None:
            return
        self.error = error
        emit(events.REPLICA_FAILED, error=str(error))
        metrics.increment("replication.failed")
        self._greenthreads[0].kill()
        self.core.leader_id = NOBODY
        self._end_waiting(f"the replica failed: {error}")

    def _tick_forever(self):
        while True:
            eventlet.sleep(self._tick_seconds)
            self.core.tick(time.monotonic())
            self.wake()

    def _run(self):
        try:
            while self.error is None:
                self._wakened.wait()
                self._wakened = event.Event()
                self._step()
        except Exception as error:
            # After any error here the memory may differ from the disk.
            self.fail(error)
            if not isinstance(error, ReplicationError):
                raise

    def _step(self):
        """Carry out all effects, also those that syncing brings about."""
        while True:
            effects = self.core.take_effects()
            if not effects.is_empty:
                self._carry_out(effects)
            self._apply_committed()
            self._report()
            if effects.is_empty:
                break
        self._take_snapshot_if_due()

    def _carry_out(self, effects):
        # The leader's entries may go out before its own sync, but not
        # while its term is not on the disk yet.
        if effects.may_send_early:
            self._send_all(effects.appends)
            effects.appends = []
            eventlet.sleep(0)
        if effects.needs_sync:
            self._sync(effects)
        self._send_all(effects.appends)
        self._send_all(effects.messages)
        for request in effects.chunks:
            self._send_chunk(request)
        for read in effects.reads:
            read.token.send(read.index)

    def _send_all(self, outgoing):
        for item in outgoing:
            self._send(item.target, item.message)

    def _sync(self, effects):
        if effects.snapshot is not None:
            self._install(effects)
        self._storage.append(
            term=effects.term,
            vote=effects.vote,
            state_changed=effects.state_changed,
            entries=effects.entries,
        )
        self._sync_storage()
        if effects.entries:
            last = effects.entries[-1]
            self.core.note_synced(last.index, last.term, time.monotonic())

    def _install(self, effects):
        log = self.core.log
        last = (log.last_index, log.last_term)
        self._storage.save_snapshot(
            log=log,
            term=effects.term,
            vote=effects.vote,
            data=effects.snapshot.data,
        )
        self.restore(effects.snapshot.data)
        self.applied_index = effects.snapshot.point.index
        self._noted_commit = max(self._noted_commit, self.applied_index)
        self._replay_seconds = 0.0
        self._end_waiting(
            "a snapshot of another leader covers it",
            to_index=self.applied_index,
        )
        self.core.note_synced(*last, time.monotonic())
        emit(events.SNAPSHOT_INSTALLED, index=self.applied_index)

    def _apply_committed(self):
        self._note_commit()
        yielded_at = time.monotonic()
        while self.core.log.base_index <= self.applied_index:
            if self.applied_index >= self._noted_commit:
                break
            self._apply(self.core.log.entry_at(self.applied_index + 1))
            if time.monotonic() - yielded_at >= MAX_APPLY_SECONDS:
                # Meanwhile a snapshot may replace what is left to apply.
                eventlet.sleep(0)
                yielded_at = time.monotonic()
        for index, applied in self._read_waiters:
            if self.applied_index >= index and not applied.ready():
                applied.send(True)

    def _note_commit(self):
        """Sync how far entries are committed before any is applied.

        A restart applies them again at once, so that a host that is cut
        off never hands out less than before.
        """
        index = self.core.applicable_index
        if index > self._noted_commit:
            self._noted_commit = index
            self._storage.append_commit(index)
            self._sync_storage()
            metrics.gauge("replication.commit_index", index)

    def _sync_storage(self):
        self._storage.sync()
        metrics.increment("replication.fsyncs")
        metrics.timing("replication.fsync_ms", self._storage.last_sync_ms)
        metrics.gauge("replication.fsync_ms", self._storage.last_sync_ms)

    def _apply(self, entry):
        position = Position(term=entry.term, index=entry.index)
        result = b""
        if entry.kind == EntryKind.COMMAND:
            began = time.monotonic()
            result = self._state_machine.apply(position, entry.data)
            seconds = time.monotonic() - began
            self._replay_seconds += seconds
            metrics.timing("replication.apply_ms", seconds * 1000)
        self.applied_index = entry.index
        waiter = self._waiters_by_index.pop(entry.index, None)
        if waiter is None:
            return
        if waiter.term == entry.term:
            waiter.outcome.send(Committed(position=position, result=result))
        else:
            # The place in the log is taken for ever by another entry.
            waiter.outcome.send(
                Unavailable(reason="another leader took over first")
            )

    def _end_waiting(self, reason, *, from_index=0, to_index=math.inf):
        for index in list(self._waiters_by_index):
            if from_index <= index <= to_index:
                waiter = self._waiters_by_index.pop(index)
                waiter.outcome.send(Unknown(reason=reason))

    def _send_chunk(self, request):
        point = self.core.log.snapshot
        offset = request.offset
        chunk = SnapshotChunk(
            term=request.term,
            index=point.index,
            index_term=point.term,
            configuration=encode_configuration(point.configuration),
            total_bytes=len(self._snapshot_data),
            checksum=zlib.crc32(self._snapshot_data),
            offset=offset,
            data=self._snapshot_data[offset : offset + CHUNK_BYTES],
            round=request.round,
        )
        self._send(request.target, chunk)

    def _take_snapshot_if_due(self):
        """Take a snapshot when a restart would have much to apply again."""
        count = self.applied_index - self.core.log.snapshot.index
        slow = count and self._replay_seconds >= MAX_REPLAY_SECONDS
        if count < self._snapshot_every and not slow:
            return
        if not self.core.has_no_pending_effects:
            # What the core has changed meanwhile goes to the disk first.
            self.wake()
            return
        self._take_snapshot()

    def _take_snapshot(self):
        log = self.core.log
        point = SnapshotPoint(
            index=self.applied_index,
            term=log.term_at(self.applied_index),
            configuration=log.configuration_at(self.applied_index),
        )
        began = time.monotonic()
        data = self._state_machine.snapshot()
        count = point.index - log.snapshot.index
        log.compact(point, keep_entries=count // KEPT_SHARE)
        self._replay_seconds = 0.0
        self._storage.save_snapshot(
            log=log, term=self.core.term, vote=self.core.vote, data=data
        )
        self._snapshot_data = data
        milliseconds = (time.monotonic() - began) * 1000
        metrics.gauge("replication.snapshot_ms", milliseconds)
        emit(events.SNAPSHOT_TAKEN, index=point.index, bytes=len(data))

    def _report(self):
        current = (self.core.role, self.core.leader_id)
        if current == self._reported:
            return
        before, self._reported = self._reported, current
        if before[0] != current[0]:
            emit(
                events.ROLE_CHANGED,
                role=str(current[0]),
                term=self.core.term,
            )
        if before[1] != current[1]:
            emit(
                events.LEADER_CHANGED,
                leader=current[1],
                term=self.core.term,
            )
        metrics.gauge("replication.is_leader", int(current[0] == Role.LEADER))
