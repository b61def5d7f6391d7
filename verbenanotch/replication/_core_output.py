"""What the decision core asks of its shell."""

import attrs

from verbenanotch.replication._entries import Entry
from verbenanotch.replication._log import SnapshotPoint


@attrs.frozen(kw_only=True)
class Timing:
    """Delays in seconds.

    A leader keeps `wanted_voters` by itself, 0 turns that off; it gives up
    a voter that was silent for `voter_timeout`.
    """

    election_timeout: float
    heartbeat: float
    wanted_voters: int = 0
    voter_timeout: float = 0.0


@attrs.frozen(kw_only=True)
class Outgoing:
    """A message for one member."""

    target: str
    message: object


@attrs.frozen(kw_only=True)
class ChunkRequest:
    """Ask the shell to send a part of the newest snapshot."""

    target: str
    term: int
    offset: int
    round: int


@attrs.frozen(kw_only=True)
class InstalledSnapshot:
    """A whole snapshot of the leader, to be stored and restored."""

    point: SnapshotPoint
    data: bytes


@attrs.frozen(kw_only=True)
class ReadResult:
    """A read is confirmed at `index`, or refused if it is None."""

    token: object
    index: int | None


@attrs.define(kw_only=True)
class Effects:
    """Everything that one step of the core brought about.

    `appends` may be sent before the sync, unless the term or the vote
    changed. `messages` must wait for it. `snapshot` goes before `entries`.
    """

    term: int
    vote: str
    state_changed: bool = False
    appends: list[Outgoing] = attrs.field(factory=list)
    messages: list[Outgoing] = attrs.field(factory=list)
    chunks: list[ChunkRequest] = attrs.field(factory=list)
    entries: list[Entry] = attrs.field(factory=list)
    snapshot: InstalledSnapshot | None = None
    reads: list[ReadResult] = attrs.field(factory=list)

    @property
    def needs_sync(self):
        """Tell whether anything must reach the disk."""
        return bool(
            self.state_changed or self.entries or self.snapshot is not None
        )

    @property
    def may_send_early(self):
        """Tell whether `appends` should go out before the sync."""
        return bool(
            self.appends
            and self.entries
            and not self.state_changed
            and self.snapshot is None
        )

    @property
    def is_empty(self):
        """Tell whether there is nothing to do."""
        return not (
            self.needs_sync
            or self.appends
            or self.messages
            or self.chunks
            or self.reads
        )
