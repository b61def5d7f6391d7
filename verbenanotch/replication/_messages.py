"""Messages between replicas; numbers 100 to 199."""

import attrs

from verbenanotch.replication._entries import Entry, Member
from verbenanotch.wire import message


@message(100)
@attrs.frozen(kw_only=True)
class Hello:
    """The sender's identity; sent first and then periodically.

    `cluster_id` is empty as long as the sender belongs to no cluster.
    `first_voters` are then those with which it would create one: their names
    alone, or none.
    """

    member: Member
    cluster_id: str
    first_voters: tuple[Member, ...]


@message(111)
@attrs.frozen(kw_only=True)
class Unchanged:
    """Sent in place of a Hello that equals the last one on the connection."""


@message(101)
@attrs.frozen(kw_only=True)
class VoteRequest:
    """A candidate's request for a vote, or for a pre-vote."""

    term: int
    last_index: int
    last_term: int
    pre_vote: bool


@message(102)
@attrs.frozen(kw_only=True)
class VoteReply:
    """The reply to a VoteRequest.

    `term` is the term of the request if the vote is granted, otherwise the
    voter's own term.
    """

    term: int
    granted: bool
    pre_vote: bool


@message(103)
@attrs.frozen(kw_only=True)
class Append:
    """AppendEntries of Raft; without entries it is a heartbeat.

    `round` increases with each message of a leader and is returned in the
    reply, which proves that the peer still followed the leader after the
    message was sent.
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
    """The reply to an Append.

    If `matched`, the follower has synced its log up to `index`, which
    matches the leader's. Otherwise `index` is the nextIndex that the leader
    should try.
    """

    term: int
    matched: bool
    index: int
    round: int


@message(105)
@attrs.frozen(kw_only=True)
class SnapshotChunk:
    """InstallSnapshot of Raft: a chunk of the snapshot up to `index`.

    `configuration` is encoded as in a CONFIGURATION entry; `checksum` is
    the CRC-32 of the full snapshot of `total_bytes`.
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
    """The reply to a SnapshotChunk.

    If `installed`, the follower has all entries up to `index`, and `offset`
    has no meaning. Otherwise it has the first `offset` bytes of the snapshot
    at `index`.
    """

    term: int
    index: int
    offset: int
    installed: bool
    round: int


@message(107)
@attrs.frozen(kw_only=True)
class ProposeRequest:
    """A proposal that a replica forwards to the leader."""

    request_id: int
    kind: int
    data: bytes
    timeout_ms: int


@message(108)
@attrs.frozen(kw_only=True)
class ProposeReply:
    """The outcome of a ProposeRequest; `outcome` is an OutcomeCode.

    `epoch` and `index` are the term and index of the committed entry, 0
    without one.
    """

    request_id: int
    outcome: int
    epoch: int
    index: int
    result: bytes
    reason: str


@message(109)
@attrs.frozen(kw_only=True)
class ReadRequest:
    """A replica's request to the leader for a confirmed commit index."""

    request_id: int


@message(110)
@attrs.frozen(kw_only=True)
class ReadReply:
    """The reply to a ReadRequest.

    `index` is the commit index if a quorum `confirmed` it, otherwise 0.
    """

    request_id: int
    confirmed: bool
    index: int
