"""The timing of the core, and its output, which the driver executes."""

import attrs

from verbenanotch.replication._entries import Entry
from verbenanotch.replication._log import SnapshotMetadata


@attrs.frozen(kw_only=True)
class Timing:
    """Timeouts in seconds, and the number of voters to maintain.

    A leader replaces a voter that has not replied for `voter_timeout`, and
    adds voters up to `wanted_voters`; if that is 0, it does neither.
    """

    election_timeout: float
    heartbeat: float
    wanted_voters: int = 0
    voter_timeout: float = 0.0


@attrs.frozen(kw_only=True)
class Outgoing:
    """A message to the member `receiver_id`."""

    receiver_id: str
    message: object


@attrs.frozen(kw_only=True)
class ChunkRequest:
    """A request to the driver to send a chunk of the newest snapshot.

    The chunk starts at byte `offset`; `round` is sent in it, see Append.
    """

    receiver_id: str
    term: int
    offset: int
    round: int


@attrs.frozen(kw_only=True)
class InstalledSnapshot:
    """A full snapshot from the leader, to be stored and applied."""

    metadata: SnapshotMetadata
    data: bytes


@attrs.frozen(kw_only=True)
class ReadResult:
    """The result of a read request.

    `token` is the one passed to `request_read`. `index` is the confirmed
    commit index, or None if the read is refused.
    """

    token: object
    index: int | None


@attrs.define(kw_only=True)
class Effects:
    """Everything that the driver must do after a step of the core.

    `appends` may be sent before the sync, unless the term or the vote
    changed; `messages` must be sent after it. `snapshot` is stored before
    `entries`.
    """

    term: int
    vote: str
    term_or_vote_changed: bool = False
    appends: list[Outgoing] = attrs.field(factory=list)
    messages: list[Outgoing] = attrs.field(factory=list)
    chunk_requests: list[ChunkRequest] = attrs.field(factory=list)
    entries: list[Entry] = attrs.field(factory=list)
    snapshot: InstalledSnapshot | None = None
    reads: list[ReadResult] = attrs.field(factory=list)

    @property
    def needs_sync(self):
        """Return whether anything must be written and synced to disk."""
        return bool(
            self.term_or_vote_changed
            or self.entries
            or self.snapshot is not None
        )

    @property
    def may_send_early(self):
        """Return whether `appends` should be sent before the sync."""
        return bool(
            self.appends
            and self.entries
            and not self.term_or_vote_changed
            and self.snapshot is None
        )

    @property
    def is_empty(self):
        """Return whether there is nothing to do."""
        return not (
            self.needs_sync
            or self.appends
            or self.messages
            or self.chunk_requests
            or self.reads
        )
