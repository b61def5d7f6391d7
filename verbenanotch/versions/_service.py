"""Submissions of operators, decided by the replicated log."""

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
    decode_outcome,
    encode_submission,
    rejected,
)


@attrs.frozen(kw_only=True)
class VersionService:
    """Submit and roll back on any control host.

    `replica` has `propose`; `versions` is the VersionStateMachine that it
    applies to.
    """

    replica: object
    versions: object

    def submit(self, *, submission, timeout_seconds=5.0):
        """Return Accepted, Conflict, Rejected, Unavailable or Unknown.

        The same submission id gets the same answer again.
        """
        answer = self.versions.first_answer(submission)
        if answer is not None:
            return answer
        result = self.versions.check(submission.text)
        if isinstance(result, Invalid):
            return Rejected(problems=result.problems)
        command = encode_submission(submission)
        if len(command) > MAX_COMMAND_BYTES:
            return rejected(
                "(document)",
                f"the compressed file has {len(command)} bytes",
                f"Keep it within {MAX_COMMAND_BYTES} bytes.",
            )
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
        """Return whether a quorum confirmed that no version is missing."""
        outcome = self.replica.confirm_read(timeout_seconds=timeout_seconds)
        return isinstance(outcome, _outcomes.ReadConfirmed)

    def history(self):
        """Return the records of the kept versions, the oldest first."""
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
        """Submit the text of version `to` as a new, greater version."""
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
