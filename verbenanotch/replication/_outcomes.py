"""Outcomes of proposals and reads, and the status of a replica."""

import dataclasses
import enum

import attrs

from verbenanotch.replication._entries import Member, Position


class OutcomeCode(enum.IntEnum):
    """The number that stands for an outcome in a ProposeReply."""

    COMMITTED = 0
    UNAVAILABLE = 1
    UNKNOWN = 2
    NOT_LEADER = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Committed:
    """The command was committed and applied; `result` is what it returned."""

    position: Position
    result: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unavailable:
    """The command is not committed and never will be."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unknown:
    """The command may be committed, now or later."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadConfirmed:
    """The local state machine has applied the confirmed commit index."""

    index: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadUnavailable:
    """No quorum confirmed the commit index in time."""

    reason: str


@attrs.frozen(kw_only=True)
class ReplicaStatus:
    """The status of a replica for operators.

    `role` is a Role of a voter, or `learner`, `blank` before the replica
    belongs to a cluster, `failed` after an error, or `stopped`. `leader` is
    a host name, empty if unknown. `returning` are the hosts whose lost disk
    was removed and whose new disk gets a vote once it has caught up.
    `fsync_ms` is the duration of the last sync in milliseconds.
    """

    name: str
    disk_id: str
    cluster_id: str
    role: str
    term: int
    leader: str
    commit_index: int
    applied_index: int
    synced_index: int
    last_index: int
    snapshot_index: int
    voters_by_name: dict[str, Member]
    returning: tuple[str, ...]
    fsync_ms: float
    error: str = ""
