"""Messages between replicas; numbers 100 to 199."""

import attrs

from verbenanotch.replication._entries import Entry, Member
from verbenanotch.wire import message


@message(100)
@attrs.frozen(kw_only=True)
class Hello:
    """Who the sender is; first and then regular on each connection.

    `cluster_id` is empty and `first_voters` has no members as long as the
    sender belongs to no cluster.
    """

    member: Member
    cluster_id: str
    first_voters: tuple[Member, ...]


@message(101)
@attrs.frozen(kw_only=True)
class VoteRequest:
    """A candidate asks for a vote, or with `pre` whether it would get it."""

    term: int
    last_index: int
    last_term: int
    pre: bool


@message(102)
@attrs.frozen(kw_only=True)
class VoteReply:
    """The answer to a VoteRequest; a grant names the request's term."""

    term: int
    granted: bool
    pre: bool


@message(103)
@attrs.frozen(kw_only=True)
class Append:
    """A leader sends entries, or none as a heartbeat.

    `round` grows with each message of one leader and comes back in the
    reply, which proves that the leader was followed after sending it.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round: int


@message(104)
@attrs.frozen(kw_only=True)
class AppendReply:
    """The entries up to `index` are synced, or else the log ends before.

    If not `matched`, `index` is where the leader should try next.
    """

    term: int
    matched: bool
    index: int
    round: int


@message(105)
@attrs.frozen(kw_only=True)
class SnapshotChunk:
    """A part of a snapshot for a replica that is far behind.

    `configuration` is encoded like that of an entry; `checksum` covers the
    whole snapshot of `total_bytes`.
    """

    term: int
    index: int
    index_term: int
    configuration: bytes
    total_bytes: int
    checksum: int
    offset: int
    data: bytes
    round: int


@message(106)
@attrs.frozen(kw_only=True)
class SnapshotReply:
    """The follower holds the first `offset` bytes of the snapshot."""

    term: int
    index: int
    offset: int
    installed: bool
    round: int


@message(107)
@attrs.frozen(kw_only=True)
class ProposeRequest:
    """A replica hands a proposal to the leader."""

    request_id: int
    kind: int
    data: bytes
    timeout_ms: int


@message(108)
@attrs.frozen(kw_only=True)
class ProposeReply:
    """The outcome of a ProposeRequest; `outcome` is an OutcomeCode."""

    request_id: int
    outcome: int
    epoch: int
    index: int
    result: bytes
    reason: str


@message(109)
@attrs.frozen(kw_only=True)
class ReadRequest:
    """A replica asks the leader for a confirmed commit index."""

    request_id: int


@message(110)
@attrs.frozen(kw_only=True)
class ReadReply:
    """A quorum confirmed `index`, or the receiver does not lead."""

    request_id: int
    confirmed: bool
    index: int
