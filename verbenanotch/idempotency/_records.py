"""The records of one holder, in bounded memory."""

import heapq

import attrs

from verbenanotch.idempotency._keys import issued_at_ms
from verbenanotch.idempotency._members import shard_of
from verbenanotch.idempotency._messages import (
    AlreadyFinished,
    Begun,
    InProgress,
    KeyConflict,
    NotSeen,
    OutcomeUnknown,
    Record,
    Refused,
    State,
)
from verbenanotch.wire import MAX_FRAME_BYTES

# Memory counted for the Python objects of a record and of each header of its
# answer; `bench.routing_records` compares the sum with that of tracemalloc.
RECORD_OVERHEAD_BYTES = 800
HEADER_OVERHEAD_BYTES = 150
# The rest of a frame is for what surrounds a record in it, and for headers,
# which are counted in characters.
MAX_ANSWER_BYTES = MAX_FRAME_BYTES - 256 * 1024
IN_PROGRESS_RETRY_AFTER_MS = 200
FULL_RETRY_AFTER_MS = 5000
MAX_RELEASED_TOKENS = 8
MILLISECONDS_PER_SECOND = 1000


class RecordStore:
    """Keep the record of each key until the key is too old to be started.

    A record is never evicted to free memory, since its key could then run
    again: a full store refuses new keys. A key older than `max_age_seconds`,
    by its time of issue, is never started. Its record is kept for two more
    clock margins because the clocks of hosts differ; after that the reply
    for the key is OutcomeUnknown because of its age alone.

    `wall_ms` is the time of the wall clock in milliseconds since 1970.
    """

    def __init__(
        self, *, max_bytes, max_age_seconds, clock_margin_seconds=2.0
    ):
        """Create an empty store.

        `max_bytes` limits the sum of `size_bytes` over all records.
        `clock_margin_seconds` is the allowance for differences between the
        wall clocks of hosts.
        """
        self._max_bytes = max_bytes
        self._max_age_ms = int(max_age_seconds * MILLISECONDS_PER_SECOND)
        self.clock_margin_ms = int(
            clock_margin_seconds * MILLISECONDS_PER_SECOND
        )
        self._records_by_key = {}
        self._keys_by_shard = {}
        self._expiries = []
        self._wall_ms = 0
        self.used_bytes = 0

    def __len__(self):
        """Return the number of records."""
        return len(self._records_by_key)

    def begin(
        self,
        key,
        digest,
        *,
        token,
        timeout_ms,
        wall_ms,
        complete_since_ms=0,
        released=(),
    ):
        """Record the key as started if no attempt may have run.

        Return Begun if it is started, otherwise the reply that says why not.
        A repeated message of the same attempt gets Begun again.

        Every key that was issued after `complete_since_ms` and ever started
        has a record in this store. A key issued at or before that time is
        not started, even if its record says that an attempt was released:
        another attempt may have run, whose record is missing here.
        `released` are tokens of attempts that the first holder has recorded
        as released.
        """
        self.expire(wall_ms)
        record = self._records_by_key.get(key)
        if record is not None:
            if record.digest != digest:
                return KeyConflict()
            if record.state is State.STARTED and record.token == token:
                return Begun()
            if not _is_released(record, released):
                return self._reply_for_record(record)
        issued_ms = issued_at_ms(key)
        reply = self._reply_if_unusable(issued_ms, complete_since_ms)
        if reply is not None:
            return reply
        return self._start(
            record,
            Record(
                key=key,
                digest=digest,
                state=State.STARTED,
                token=token,
                issued_at_ms=issued_ms,
                deadline_ms=self._wall_ms + timeout_ms,
                released=_released_tokens(record, released),
            ),
        )

    def lookup(self, key, digest, *, wall_ms):
        """Return the reply for a key without changing its record.

        The reply is NotSeen, KeyConflict, AlreadyFinished, InProgress or
        OutcomeUnknown.
        """
        self.expire(wall_ms)
        record = self._records_by_key.get(key)
        if record is None or record.state is State.RELEASED:
            return NotSeen()
        if record.digest != digest:
            return KeyConflict()
        return self._reply_for_record(record)

    def finish(self, key, token, answer):
        """Record the answer of the attempt; return whether it was applied.

        If the answer does not fit into the free memory, the record becomes
        UNKNOWN instead.
        """
        record = self._records_by_key.get(key)
        if record is None or record.token != token:
            return False
        if record.state is State.FINISHED:
            return True
        finished = attrs.evolve(record, state=State.FINISHED, answer=answer)
        if not self._fits(finished):
            finished = attrs.evolve(record, state=State.UNKNOWN)
        self._put(finished)
        return True

    def mark_unknown(self, key, token):
        """Record that the attempt may have run.

        Return False if the key has no record or one of another attempt.
        """
        return self._end_attempt(key, token, State.UNKNOWN)

    def release(self, key, token):
        """Record that the attempt did not run.

        Return False if the key has no record or one of another attempt.
        """
        return self._end_attempt(key, token, State.RELEASED)

    def merge_records(self, records):
        """Merge records of another holder; return False if memory is full.

        Records that were merged before the memory was full are kept.
        """
        for record in records:
            stored = self._records_by_key.get(record.key)
            merged = record if stored is None else merge(stored, record)
            if not self._fits(merged):
                return False
            self._put(merged)
        return True

    def records_in_shard(self, shard_number):
        """Return the records whose keys belong to a shard."""
        keys = self._keys_by_shard.get(shard_number, ())
        return tuple(self._records_by_key[key] for key in keys)

    def records(self):
        """Return all records."""
        return tuple(self._records_by_key.values())

    def shards(self):
        """Return the numbers of the shards that have records."""
        return tuple(self._keys_by_shard)

    def drop_shard(self, shard_number):
        """Drop the records of a shard that this host no longer holds."""
        for key in tuple(self._keys_by_shard.get(shard_number, ())):
            self._remove(key)

    def expire(self, wall_ms):
        """Drop the records of keys that are too old to be started.

        The store's time never goes back: after a step back of the wall clock
        it stands still until the clock has caught up. A key whose record was
        dropped therefore stays too old.
        """
        self._wall_ms = max(self._wall_ms, wall_ms)
        while self._expiries and self._expiries[0][0] < self._wall_ms:
            _, key = heapq.heappop(self._expiries)
            if key in self._records_by_key:
                self._remove(key)

    def _reply_if_unusable(self, issued_ms, complete_since_ms):
        """Return the reply for a key that must not be started, or None."""
        if issued_ms is None:
            return Refused(reason="key-form", retry_after_ms=0, not_run=True)
        if issued_ms < self._wall_ms - self._max_age_ms:
            return OutcomeUnknown(reason="too-old")
        if issued_ms <= complete_since_ms:
            return OutcomeUnknown(reason="before-records")
        ahead_ms = issued_ms - self._wall_ms - self.clock_margin_ms
        if ahead_ms > 0:
            return Refused(
                reason="key-ahead", retry_after_ms=ahead_ms, not_run=True
            )
        return None

    def _start(self, record, started_record):
        if len(started_record.released) > MAX_RELEASED_TOKENS:
            return Refused(
                reason="released-too-often",
                retry_after_ms=FULL_RETRY_AFTER_MS,
                not_run=True,
            )
        if not self._fits(started_record):
            return Refused(
                reason="memory",
                retry_after_ms=FULL_RETRY_AFTER_MS,
                not_run=True,
            )
        self._put(started_record)
        return Begun(released=started_record.released)

    def _reply_for_record(self, record):
        match record.state:
            case State.FINISHED:
                return AlreadyFinished(answer=record.answer)
            case State.STARTED if self._wall_ms < record.deadline_ms:
                return InProgress(retry_after_ms=IN_PROGRESS_RETRY_AFTER_MS)
            case _:
                return OutcomeUnknown(reason="attempt-lost")

    def _end_attempt(self, key, token, state):
        """Set the state of an attempt that is still STARTED.

        Return False if the key has no record or one of another attempt.
        """
        record = self._records_by_key.get(key)
        if record is None or record.token != token:
            return False
        if record.state is State.STARTED:
            self._put(attrs.evolve(record, state=state))
        return True

    def _fits(self, record):
        stored = self._records_by_key.get(record.key)
        freed_bytes = 0 if stored is None else size_bytes(stored)
        return (
            self.used_bytes - freed_bytes + size_bytes(record)
            <= self._max_bytes
        )

    def _put(self, record):
        stored = self._records_by_key.get(record.key)
        if stored is None:
            keys = self._keys_by_shard.setdefault(shard_of(record.key), {})
            keys[record.key] = None
            expiry_ms = (
                record.issued_at_ms
                + self._max_age_ms
                + 2 * self.clock_margin_ms
            )
            heapq.heappush(self._expiries, (expiry_ms, record.key))
        else:
            self.used_bytes -= size_bytes(stored)
        self._records_by_key[record.key] = record
        self.used_bytes += size_bytes(record)

    def _remove(self, key):
        record = self._records_by_key.pop(key)
        self.used_bytes -= size_bytes(record)
        shard_number = shard_of(key)
        keys = self._keys_by_shard[shard_number]
        del keys[key]
        if not keys:
            del self._keys_by_shard[shard_number]


def size_bytes(record):
    """Return the estimated memory of a record, in bytes."""
    size = RECORD_OVERHEAD_BYTES + 2 * len(record.key)
    if record.answer is not None:
        size += answer_bytes(record.answer)
    return size


def answer_bytes(answer):
    """Return the estimated memory of an answer, in bytes."""
    return len(answer.body) + sum(
        HEADER_OVERHEAD_BYTES + len(name) + len(value)
        for name, value in answer.headers
    )


def merge(one, other):
    """Return the merged record of two records of one key.

    For the same attempt the record with the higher state wins. For different
    attempts a finished one wins; otherwise one that is known not to have run
    is discarded, and if both are, the result is RELEASED. If neither is, both
    may have been dispatched, so the result is UNKNOWN.
    """
    released_tokens = tuple(dict.fromkeys(one.released + other.released))
    result, lower = sorted(
        (one, other), key=lambda record: record.state, reverse=True
    )
    if one.token != other.token and result.state is not State.FINISHED:
        if not _is_released(lower, result.released):
            if _is_released(result, lower.released):
                result = lower
            else:
                result = attrs.evolve(result, state=State.UNKNOWN)
        elif _is_released(result, lower.released):
            result = attrs.evolve(result, state=State.RELEASED)
    return attrs.evolve(result, released=released_tokens)


def _is_released(record, released):
    """Return whether the record's attempt is known not to have run.

    `released` are the tokens that another holder has recorded as released.
    """
    if record.state is State.RELEASED:
        return True
    return record.state is State.STARTED and record.token in released


def _released_tokens(record, released):
    """Return the tokens of all released attempts, each once."""
    tokens = () if record is None else (*record.released, record.token)
    return tuple(dict.fromkeys((*tokens, *released)))
