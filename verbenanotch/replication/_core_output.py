"""The output of the core, which the driver executes."""

import attrs

from verbenanotch.replication._entries import Entry
from verbenanotch.replication._log import SnapshotMetadata


@attrs.frozen(kw_only=True)
class Timing:
    """Timeouts in seconds, and the number of voters to maintain.

    A leader replaces a voter that has not answered for `voter_timeout`, and
    adds voters up to `wanted_voters`; 0 turns both off.
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
    """A request to send the newest snapshot from `offset` in one chunk."""

    receiver_id: str
    term: int
    offset: int
    round: int


@attrs.frozen(kw_only=True)
class InstalledSnapshot:
    """A full snapshot from the leader, to be stored and restored."""

    metadata: SnapshotMetadata
    data: bytes


@attrs.frozen(kw_only=True)
class ReadResult:
    """A read confirmed at `index`, or refused if that is None."""

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
    state_changed: bool = False
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
            self.state_changed or self.entries or self.snapshot is not None
        )

    @property
    def may_send_early(self):
        """Return whether `appends` should be sent before the sync."""
        return bool(
            self.appends
            and self.entries
            and not self.state_changed
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
