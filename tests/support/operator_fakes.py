"""OperatorInterface served with fakes for its collaborators."""

import contextlib

import attrs
import eventlet
from eventlet import wsgi

from verbenanotch import replication
from verbenanotch.catalog import (
    NO_VERSION,
    Accepted,
    Conflict,
    Rejected,
    Unavailable,
    Version,
    parse_mesh,
)
from verbenanotch.documents import Invalid, Valid
from verbenanotch.operator import OperatorInterface
from verbenanotch.telemetry import configure

TOKEN = "token-of-the-tests"
OWN_ZONE = {
    "availability_zone": "z1",
    "lowest_in_force": "",
    "proxies": 0,
    "laggards": [],
    "live": True,
}


@attrs.frozen(kw_only=True)
class FakeRecord:
    """One accepted version as `history` returns it."""

    version: Version
    operator: str
    submission_id: str
    submitted_at_ms: int
    text: bytes
    mesh: object


class FakeVersionService:
    """Stand-in for VersionService that accepts submissions in memory.

    `submit` first returns the `next_outcomes`, in their order.
    """

    def __init__(self):
        """Start with no version."""
        self.records = []
        self.has_quorum = True
        self.voter_changes = []
        self.next_outcomes = []

    def submit(self, *, submission, timeout_seconds):
        """Return the next prepared outcome, or process the submission."""
        if self.next_outcomes:
            return self.next_outcomes.pop(0)
        for record in self.records:
            if record.submission_id == submission.submission_id:
                return Accepted(version=record.version)
        match parse_mesh(submission.text):
            case Invalid(problems=problems):
                return Rejected(problems=problems)
            case Valid(value=mesh):
                return self._append(submission, mesh)

    def rollback(
        self,
        *,
        submission_id,
        operator,
        to,
        base,
        submitted_at_ms,
        timeout_seconds,
    ):
        """Accept the text of an old version as a new version."""
        for record in self.records:
            if record.version == to:
                submission = attrs.evolve(
                    record, submission_id=submission_id, operator=operator
                )
                return self._append(submission, record.mesh, base=base)
        return Unavailable(reason="no such version")

    def is_current(self, *, timeout_seconds):
        """Return `has_quorum`."""
        return self.has_quorum

    def change_voters(self, *, add, remove, timeout_seconds):
        """Record the change; it succeeds only for the host `z1-c2`."""
        self.voter_changes.append((add, remove))
        if "z1-c2" not in (add, remove):
            return replication.Unavailable(reason="not caught up")
        return replication.Committed(
            position=replication.Position(term=1, index=9), result=b""
        )

    def history(self):
        """Return all records, oldest first."""
        return tuple(self.records)

    def _append(self, submission, mesh, base=None):
        winner = self.records[-1].version if self.records else NO_VERSION
        if winner != (submission.base if base is None else base):
            return Conflict(
                winner=winner, winner_operator=self.records[-1].operator
            )
        version = Version(epoch=1, index=len(self.records) + 1)
        record = FakeRecord(
            version=version,
            operator=submission.operator,
            submission_id=submission.submission_id,
            submitted_at_ms=submission.submitted_at_ms,
            text=submission.text,
            mesh=mesh,
        )
        self.records.append(record)
        return Accepted(version=version)


class FakeControl:
    """Stand-in for ControlHost with a state that the tests set."""

    def __init__(self):
        """Start ready, with one target and no proxies."""
        self.versions_by_proxy = {}
        self.zones = []
        self.target_ids = ["billing/127.0.0.1:9000"]
        self.drained = []
        self.is_ready = True

    def status(self):
        """Return the state of the replica, the proxies and the zones."""
        return {
            "replica": {"name": "z1-c1", "role": "leader"},
            "proxies": [
                {"name": name, "availability_zone": "z1", "version": version}
                for name, version in self.versions_by_proxy.items()
            ],
            "zones": [OWN_ZONE, *self.zones],
        }

    def targets(self):
        """Return the targets in `target_ids`."""
        return [{"target_id": name} for name in self.target_ids]

    def drain(self, target_id):
        """Record the drain; return whether the target is known."""
        if target_id not in self.target_ids:
            return False
        self.drained.append(target_id)
        return True

    def ready(self):
        """Return `is_ready`."""
        return self.is_ready


@attrs.frozen(kw_only=True)
class FakeHost:
    """An OperatorInterface with its fakes and its `address:port`."""

    versions: FakeVersionService
    control: FakeControl
    server: str


@contextlib.contextmanager
def serve_fake_host():
    """Serve an OperatorInterface with fakes on a free loopback port."""
    configure(host="fake", level="error")
    versions = FakeVersionService()
    control = FakeControl()
    interface = OperatorInterface(
        token=TOKEN, versions=versions, control=control
    )
    sock = eventlet.listen(("127.0.0.1", 0))
    server = eventlet.spawn(
        wsgi.server, sock, interface.application, log_output=False
    )
    host, port = sock.getsockname()
    try:
        yield FakeHost(
            versions=versions, control=control, server=f"{host}:{port}"
        )
    finally:
        server.kill()
        sock.close()
