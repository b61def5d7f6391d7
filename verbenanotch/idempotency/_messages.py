"""Messages between the coordinator of a keyed request and its holders.

Times are milliseconds since 1970. A token is unique to one attempt of one
coordinator.
"""

import enum

import attrs

from verbenanotch.wire import message


class State(enum.IntEnum):
    """Progress of one record; a greater value outranks a smaller one.

    RELEASED: the attempt was given up before it was dispatched. UNKNOWN: it
    may have run, and its answer is not known.
    """

    STARTED = 1
    RELEASED = 2
    UNKNOWN = 3
    FINISHED = 4


@attrs.frozen(kw_only=True)
class Answer:
    """The answer that a target gave to a keyed request."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@attrs.frozen(kw_only=True)
class Record:
    """What is known of one key.

    `released` are the tokens of earlier attempts that were given up.
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
    """Record a key as started by the attempt `token`.

    `hosts` are the holders as the coordinator sees them, with incarnations.
    """

    key: str
    digest: bytes
    token: str
    timeout_ms: int
    hosts: tuple[tuple[str, int], ...]
    released: tuple[str, ...] = ()


@message(501)
@attrs.frozen(kw_only=True)
class Begun:
    """The key was new; `holder_epoch` names the epoch of its holders."""

    holder_epoch: int = 0
    released: tuple[str, ...] = ()


@message(502)
@attrs.frozen(kw_only=True)
class AlreadyFinished:
    """The key has its answer, which is given again."""

    answer: Answer


@message(503)
@attrs.frozen(kw_only=True)
class InProgress:
    """An earlier attempt may be running."""

    retry_after_ms: int


@message(504)
@attrs.frozen(kw_only=True)
class OutcomeUnknown:
    """An earlier attempt may have run, and its answer is not known.

    `reason` is `attempt-lost`, `answer-not-kept`, `too-old`,
    `before-records`, `holders-unreachable` or `holders-disagree`.
    """

    reason: str


@message(505)
@attrs.frozen(kw_only=True)
class KeyConflict:
    """The key was used for a request with another body."""

    remedy: str = "Use a new key for a new request."


@message(506)
@attrs.frozen(kw_only=True)
class Refused:
    """The attempt is not dispatched.

    `not_run` tells that no earlier attempt of the key ran either. Without
    it the caller must be told that the request may have run. `reason` is
    `memory`, `key-form`, `key-ahead`, `not-holder`, `unsettled`,
    `lease-expired`, `released-too-often` or `holder-unreachable`.
    """

    reason: str
    retry_after_ms: int
    not_run: bool = False


@message(507)
@attrs.frozen(kw_only=True)
class Finish:
    """Record the answer of an attempt."""

    key: str
    token: str
    answer: Answer


@message(508)
@attrs.frozen(kw_only=True)
class MarkUnknown:
    """Record that a dispatched attempt has ended without an answer."""

    key: str
    token: str


@message(509)
@attrs.frozen(kw_only=True)
class ReleaseAttempt:
    """Give up an attempt that was not dispatched, or provably not run."""

    key: str
    token: str


@message(510)
@attrs.frozen(kw_only=True)
class Lookup:
    """Ask for the state of a key without changing it."""

    key: str
    digest: bytes


@message(511)
@attrs.frozen(kw_only=True)
class NotSeen:
    """The holder has no record of the key."""


@message(512)
@attrs.frozen(kw_only=True)
class Handoff:
    """A chunk of the records of one shard, for a new holder.

    `required` are the earlier holders that are still members; the receiver
    serves the shard once it has all chunks from each of them.
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
    """Whether a message was applied; the sender repeats one that was not."""

    applied: bool
