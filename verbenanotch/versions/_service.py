"""Submissions of operators, ordered by the replicated log."""

import attrs

from verbenanotch.catalog import (
    Rejected,
    Submission,
    Unavailable,
    Unknown,
)
from verbenanotch.documents import Invalid
from verbenanotch.replication import _outcomes
from verbenanotch.versions._state_machine import (
    MAX_COMMAND_BYTES,
    compressed_size,
    decode_outcome,
    rejected,
)


@attrs.frozen(kw_only=True)
class VersionService:
    """Submit and roll back mesh files on any control host.

    `replica` is the local Replica, `versions` the VersionStateMachine to
    which it applies entries.
    """

    replica: object
    versions: object

    def submit(self, *, submission, timeout_seconds=5.0):
        """Return Accepted, Conflict, Rejected, Unavailable or Unknown.

        A submission id that was decided before gets the same outcome again.
        """
        earlier = self.versions.earlier_outcome(submission)
        if earlier is not None:
            return earlier
        parsed = self.versions.check(submission.text)
        if isinstance(parsed, Invalid):
            return Rejected(problems=parsed.problems)
        size = compressed_size(submission.text)
        if size > MAX_COMMAND_BYTES:
            return rejected(
                "(document)",
                f"the compressed file has {size} bytes",
                f"Keep it within {MAX_COMMAND_BYTES} bytes.",
            )
        command = self.versions.encode(submission)
        outcome = self.replica.propose(
            command=command, timeout_seconds=timeout_seconds
        )
        match outcome:
            case _outcomes.Committed(result=result):
                return decode_outcome(result)
            case _outcomes.Unavailable(reason=reason):
                return Unavailable(reason=reason)
            case _outcomes.Unknown(reason=reason):
                return Unknown(reason=reason)

    def is_current(self, *, timeout_seconds):
        """Return whether a quorum confirmed that this host is up to date."""
        outcome = self.replica.confirm_read(timeout_seconds=timeout_seconds)
        return isinstance(outcome, _outcomes.ReadConfirmed)

    def history(self):
        """Return the VersionRecords of the history, oldest first."""
        return tuple(self.versions.records_by_version.values())

    def change_voters(self, *, add="", remove="", timeout_seconds=5.0):
        """Add or remove one voter; return the replica's outcome."""
        return self.replica.change_voters(
            add=add, remove=remove, timeout_seconds=timeout_seconds
        )

    def rollback(
        self,
        *,
        submission_id,
        operator,
        to,
        base,
        submitted_at_ms=0,
        timeout_seconds=5.0,
    ):
        """Submit the text of version `to` again as a new version.

        Returns an outcome as `submit` does; Rejected if `to` is not in the
        history.
        """
        record = self.versions.records_by_version.get(to)
        if record is None:
            return rejected(
                "to",
                f"version {to} is not in the history",
                "Choose a version that `history` lists.",
            )
        submission = Submission(
            submission_id=submission_id,
            operator=operator,
            text=record.text,
            base=base,
            rollback_to=to,
            submitted_at_ms=submitted_at_ms,
        )
        return self.submit(
            submission=submission, timeout_seconds=timeout_seconds
        )
