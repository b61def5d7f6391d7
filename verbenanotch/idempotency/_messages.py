"""Messages between the coordinator of a keyed request and its holders.

Times are in milliseconds since 1970. An attempt is one try of a coordinator
to run the request of a key; its token is unique among all attempts of all
coordinators. A digest identifies the content of a request. An identity is a
pair of host name and incarnation.
"""

import enum

import attrs

from verbenanotch.wire import message


class State(enum.IntEnum):
    """The state of the latest attempt of a key.

    STARTED: the attempt has begun and may be running. RELEASED: it was
    abandoned before it was dispatched, or it provably did not run. UNKNOWN:
    it may have run, and its answer is not known. FINISHED: it has an answer.

    When two records of a key are merged, the higher value has precedence.
    """

    STARTED = 1
    RELEASED = 2
    UNKNOWN = 3
    FINISHED = 4


@attrs.frozen(kw_only=True)
class Answer:
    """The HTTP response of a target to a keyed request."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@attrs.frozen(kw_only=True)
class Record:
    """What one holder has recorded about a key.

    `token` and `state` belong to the latest attempt. After `deadline_ms` an
    attempt that is still STARTED counts as lost. `answer` is set if the
    state is FINISHED. `released` are the tokens of attempts that were
    released.
    """

    key: str
    digest: bytes
    state: State
    token: str
    issued_at_ms: int
    deadline_ms: int
    answer: Answer | None = None
    released: tuple[str, ...] = ()


@message(500)
@attrs.frozen(kw_only=True)
class Begin:
    """Ask a holder to record a key as started by the attempt `token`.

    The attempt can take up to `timeout_ms`. `holders` are the identities of
    the key's holders as the coordinator sees them; a holder that sees other
    holders for the key refuses. `released` are tokens of attempts that the
    first holder has recorded as released; the second holder may not have
    received their release.
    """

    key: str
    digest: bytes
    token: str
    timeout_ms: int
    holders: tuple[tuple[str, int], ...]
    released: tuple[str, ...] = ()


@message(501)
@attrs.frozen(kw_only=True)
class Begun:
    """Reply: the key is recorded as started by this attempt.

    `holder_epoch` is the epoch of the view since which the key has these
    holders, 0 under HolderAgreement, which has no epochs. `released` are the
    tokens of released attempts, for the Begin to the second holder.
    """

    holder_epoch: int = 0
    released: tuple[str, ...] = ()


@message(502)
@attrs.frozen(kw_only=True)
class AlreadyFinished:
    """Reply: the request has run; `answer` is returned to the caller."""

    answer: Answer


@message(503)
@attrs.frozen(kw_only=True)
class InProgress:
    """Reply: another attempt may be running."""

    retry_after_ms: int


@message(504)
@attrs.frozen(kw_only=True)
class OutcomeUnknown:
    """Reply: an earlier attempt may have run, and its answer is not known.

    `reason` is one of:

    - `attempt-lost`: an attempt ended without an answer or is past its
      deadline, its answer did not fit into memory, or two holders had
      recorded different attempts.
    - `too-old`: the key is older than the maximum age of records.
    - `before-records`: the key was issued at or before the time since which
      the holder's records are complete.
    """

    reason: str


@message(505)
@attrs.frozen(kw_only=True)
class KeyConflict:
    """Reply: the key was used for a different request."""

    remedy: str = "Use a new key for a new request."


@message(506)
@attrs.frozen(kw_only=True)
class Refused:
    """Reply: the attempt must not be dispatched.

    `not_run` is true if no earlier attempt of the key has run either.
    Otherwise the answer to the caller must state that the request may have
    run.

    `reason` is one of:

    - `memory`: the record does not fit into the holder's memory.
    - `key-form`: the key does not contain a time of issue.
    - `key-ahead`: the time of issue is ahead of the holder's clock by more
      than the clock margin.
    - `not-holder`: the receiver sees other holders for the key.
    - `unsettled`: the holders have not agreed to their set yet, the receiver
      has not received all earlier records, or the two holders replied with
      different epochs.
    - `lease-expired`: the holder's lease has expired, so that others may
      have replaced it.
    - `released-too-often`: the list of released tokens is full.
    - `holder-unreachable`: a holder did not reply, or there is none.
    """

    reason: str
    retry_after_ms: int
    not_run: bool = False


@message(507)
@attrs.frozen(kw_only=True)
class Finish:
    """Ask a holder to record the answer of an attempt."""

    key: str
    token: str
    answer: Answer


@message(508)
@attrs.frozen(kw_only=True)
class MarkUnknown:
    """Ask a holder to record that an attempt may have run.

    Its answer is not known, and the coordinator will not send it.
    """

    key: str
    token: str


@message(509)
@attrs.frozen(kw_only=True)
class ReleaseAttempt:
    """Ask a holder to record that an attempt did not run.

    It was not dispatched, or the target provably did not run it.
    """

    key: str
    token: str


@message(510)
@attrs.frozen(kw_only=True)
class Lookup:
    """Ask a holder for the state of a key without changing it."""

    key: str
    digest: bytes


@message(511)
@attrs.frozen(kw_only=True)
class NotSeen:
    """Reply: the holder has no record of the key, or only a released one."""


@message(512)
@attrs.frozen(kw_only=True)
class Handoff:
    """One chunk of the records of a shard, sent to a new holder.

    `holder_epoch` is the epoch at which the receiver becomes a holder.
    `sender` is an identity. `required` are the identities of the earlier
    holders that are still members; the receiver waits for all chunks from
    each of them before it serves the shard. Keys issued after
    `complete_since_ms` that are missing from the sender's records were never
    started.
    """

    shard_number: int
    holder_epoch: int
    sender: tuple[str, int]
    required: tuple[tuple[str, int], ...]
    complete_since_ms: int
    chunk: int
    chunk_count: int
    records: tuple[Record, ...]


@message(513)
@attrs.frozen(kw_only=True)
class Acknowledged:
    """Reply to a message that changes records: whether it was applied.

    The sender of a Handoff or RecordBatch repeats it if it was not.
    """

    applied: bool
