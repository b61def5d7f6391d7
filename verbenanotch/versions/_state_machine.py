"""The accepted versions: a state machine on the replicated log.

Bounds: `MAX_RECORDS` versions of history, fewer if their compressed texts
exceed `MAX_HISTORY_BYTES` (but at least one), and the outcomes of
`MAX_STORED_OUTCOMES` submission ids. A submission that is resent after its id
was evicted counts as new; its base is outdated by then, so it ends in a
conflict and is not applied twice.
"""

import collections
import functools
import hashlib
import zlib

import attrs
import msgpack

from verbenanotch.catalog import (
    NO_LABEL,
    NO_VERSION,
    Accepted,
    Conflict,
    Rejected,
    Submission,
    Version,
    parse_mesh,
)
from verbenanotch.documents import Invalid, Problem, Valid, value_problems
from verbenanotch.telemetry import emit
from verbenanotch.versions import events
from verbenanotch.versions._exposures import with_exposures
from verbenanotch.versions._patches import apply_patch, make_patch

MAX_RECORDS = 1024
MAX_HISTORY_BYTES = 64 * 1024 * 1024
MAX_STORED_OUTCOMES = 4096
MAX_COMMAND_BYTES = 3 * 1024 * 1024
DIGEST_BYTES = 16
SNAPSHOT_FORMAT = 2
DECODE_ERRORS = (ValueError, TypeError, zlib.error, msgpack.UnpackException)


@attrs.frozen(kw_only=True)
class VersionRecord:
    """One accepted version.

    `packed_text` is the operator's file, compressed. `rollback_to` is the
    version that it restores, NO_VERSION if it is not a rollback. `label` is
    the operator's own number of the file, NO_LABEL without one. `parse` makes
    `mesh` from the text. If rollouts have set exposures, `configured` is the
    record as it was accepted, and `mesh` has the exposures.
    """

    version: Version
    packed_text: bytes = attrs.field(repr=False)
    operator: str
    submission_id: str
    submitted_at_ms: int
    rollback_to: Version = NO_VERSION
    label: int = NO_LABEL
    parse: object = attrs.field(default=parse_mesh, repr=False, eq=False)
    configured: object = attrs.field(default=None, repr=False)
    exposures_by_service: dict = attrs.field(factory=dict)

    @property
    def text(self):
        """Return the bytes of the operator's file."""
        return zlib.decompress(self.packed_text)

    @functools.cached_property
    def mesh(self):
        """Return the Mesh parsed from the text, with the exposures."""
        if self.configured is not None:
            return with_exposures(
                self.configured.mesh, self.exposures_by_service
            )
        return self.parse(self.text).value


@attrs.frozen(kw_only=True)
class StoredOutcome:
    """The encoded outcome of a submission id and the digest of its content."""

    digest: bytes
    result: bytes


class VersionStateMachine:
    """The accepted versions, in the order of the log.

    `records_by_version` has the operators' configurations alone. `current`
    may be newer than the last of them: it also has the exposures that
    rollouts have set.
    """

    def __init__(self, *, parse=parse_mesh):
        """Start without versions.

        `parse` returns Valid with the Mesh for a file's bytes, or Invalid.
        """
        self._parse = parse
        self.records_by_version = {}
        self._outcomes_by_id = collections.OrderedDict()
        self._history_bytes = 0
        self._callbacks = []
        self._cached_check = (b"", None)
        self._exposed = NO_VERSION
        self._exposures_by_service = {}
        self._current = None

    @property
    def current(self):
        """Return the newest VersionRecord, or None."""
        return self._current

    @property
    def configuration(self):
        """Return the record of the last accepted configuration, or None."""
        if not self.records_by_version:
            return None
        return next(reversed(self.records_by_version.values()))

    @property
    def current_version(self):
        """Return the newest version, or NO_VERSION."""
        record = self.current
        return record.version if record else NO_VERSION

    @property
    def current_label(self):
        """Return the label of the newest version; 0 before the first."""
        record = self.current
        return record.label if record else 0

    def on_change(self, callback):
        """Call `callback(record)` after each accepted version or restore.

        It is called while an entry is applied or a snapshot is restored, and
        must not block.
        """
        self._callbacks.append(callback)

    def earlier_outcome(self, submission):
        """Return the stored outcome of its submission id, or None.

        If the id was used for other content, the outcome is Rejected.
        """
        stored = self._outcomes_by_id.get(submission.submission_id)
        if stored is None:
            return None
        if stored.digest != digest_of(submission):
            return rejected(
                "submission_id",
                "the id was used before for another file",
                "Submit with a new submission id.",
            )
        return decode_outcome(stored.result)

    def encode(self, submission):
        """Return the command of a submission for the log.

        It has a patch of the newest configuration's text if there is one, and
        the compressed text otherwise.
        """
        return encode_submission(submission, older=self.configuration)

    def check(self, text):
        """Return whether a file may be accepted: Valid or Invalid.

        The last result is cached. What no message can carry is Invalid here
        and not for `parse`, which also reads versions that earlier releases
        have accepted.
        """
        digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
        if self._cached_check[0] != digest:
            parsed = self._parse(text)
            self._cached_check = (digest, _without_odd_values(parsed))
        return self._cached_check[1]

    def refusal(self, command):
        """Return why the leader must not append a command, or "".

        The leader checks the file again, after the host to which it was
        submitted. `apply` does not check it, so that replicas of different
        releases decide the same on an entry, and a restart applies the
        entries quickly.
        """
        try:
            submission = decode_submission(command, self._text_of)
        except DECODE_ERRORS:
            return "the command is no submission"
        parsed = self.check(submission.text)
        if isinstance(parsed, Invalid):
            return f"the leader rejects the file: {parsed.problems[0]}"
        return ""

    def apply(self, position, command):
        """Apply one committed submission; return the encoded outcome.

        `position` is the position of its entry in the log, which becomes its
        version if it is accepted.
        """
        version = Version(epoch=position.term, index=position.index)
        try:
            submission = decode_submission(command, self._text_of)
        except DECODE_ERRORS:
            # All replicas must handle such an entry in the same way.
            return encode_outcome(_reject_undecodable())
        outcome = self.earlier_outcome(submission)
        if outcome is not None:
            return encode_outcome(outcome)
        outcome = self._decide_outcome(version, submission)
        result = encode_outcome(outcome)
        self._store_outcome(submission, result)
        if isinstance(outcome, Accepted):
            self._accept(version, submission)
        return result

    def snapshot(self):
        """Return the full state as bytes."""
        records = [
            _record_to_plain(record)
            for record in self.records_by_version.values()
        ]
        stored_outcomes = [
            [submission_id, stored.digest, stored.result]
            for submission_id, stored in self._outcomes_by_id.items()
        ]
        return msgpack.packb([SNAPSHOT_FORMAT, records, stored_outcomes])

    def expose(self, version, exposures_by_service):
        """Make `version` current: the same text with these exposures.

        They stay for the versions that are accepted later.
        """
        self._exposed = version
        self._exposures_by_service = exposures_by_service
        self._update_current()
        self._notify()

    def restore(self, data, *, exposed=NO_VERSION, exposures_by_service=None):
        """Replace the full state by that of a snapshot.

        `exposed` is the version that has set the exposures.
        """
        _, records, stored_outcomes = msgpack.unpackb(data)
        self.records_by_version.clear()
        self._history_bytes = 0
        for values in records:
            self._add_to_history(_record_from_plain(values, self._parse))
        self._outcomes_by_id = collections.OrderedDict(
            (submission_id, StoredOutcome(digest=digest, result=result))
            for submission_id, digest, result in stored_outcomes
        )
        self._exposed = exposed
        self._exposures_by_service = exposures_by_service or {}
        self._update_current()
        self._notify()

    def _text_of(self, version):
        """Return the text of a version; raises ValueError if it is unknown."""
        record = self.records_by_version.get(version)
        if record is None:
            raise ValueError(f"version {version} is not in the history")
        return record.text

    def _decide_outcome(self, version, submission):
        current = self.configuration
        if not self._is_based_on_current(submission):
            return Conflict(
                winner=current.version if current else NO_VERSION,
                winner_operator=current.operator if current else "",
            )
        if submission.label != NO_LABEL and submission.label <= (
            self.current_label
        ):
            return rejected(
                "label",
                f"{submission.label} is not above {self.current_label}, "
                "the active label",
                "Number the file above the one that it is based on.",
            )
        return Accepted(version=version)

    def _is_based_on_current(self, submission):
        if submission.base_label != NO_LABEL:
            return submission.base_label == self.current_label
        configuration = self.configuration
        if configuration is None:
            return submission.base == NO_VERSION
        # Versions since then have the same text with other exposures.
        return configuration.version <= submission.base <= self.current_version

    def _accept(self, version, submission):
        record = VersionRecord(
            version=version,
            packed_text=zlib.compress(submission.text),
            operator=submission.operator,
            submission_id=submission.submission_id,
            submitted_at_ms=submission.submitted_at_ms,
            rollback_to=submission.rollback_to,
            label=submission.label,
            parse=self._parse,
        )
        self._add_to_history(record)
        self._update_current()
        emit(
            events.VERSION_ACCEPTED,
            version=str(version),
            operator=submission.operator,
            submission=submission.submission_id,
        )
        self._notify()

    def _add_to_history(self, record):
        self.records_by_version[record.version] = record
        self._history_bytes += len(record.packed_text)
        while len(self.records_by_version) > 1 and (
            len(self.records_by_version) > MAX_RECORDS
            or self._history_bytes > MAX_HISTORY_BYTES
        ):
            oldest = next(iter(self.records_by_version))
            dropped = self.records_by_version.pop(oldest)
            self._history_bytes -= len(dropped.packed_text)

    def _update_current(self):
        record = self.configuration
        if record is not None and (
            self._exposures_by_service or self._exposed > record.version
        ):
            record = attrs.evolve(
                record,
                version=max(record.version, self._exposed),
                configured=record,
                exposures_by_service=self._exposures_by_service,
            )
        self._current = record

    def _store_outcome(self, submission, result):
        self._outcomes_by_id[submission.submission_id] = StoredOutcome(
            digest=digest_of(submission), result=result
        )
        if len(self._outcomes_by_id) > MAX_STORED_OUTCOMES:
            self._outcomes_by_id.popitem(last=False)

    def _notify(self):
        record = self.current
        if record is None:
            return
        for callback in self._callbacks:
            callback(record)


def digest_of(submission):
    """Return a digest of the content that a resent submission must repeat.

    The base is not included: the client may have received its own new
    version as the base in the meantime.
    """
    digest = hashlib.blake2b(submission.text, digest_size=DIGEST_BYTES)
    digest.update(str(submission.rollback_to).encode())
    return digest.digest()


def compressed_size(text):
    """Return the size of the file when it is sent without a patch.

    Files that are small enough anyway are not compressed for this.
    """
    if len(text) <= MAX_COMMAND_BYTES:
        return len(text)
    return len(zlib.compress(text))


def _without_odd_values(parsed):
    """Return Invalid for a Valid with values that no message can carry."""
    match parsed:
        case Valid(value=value, document=document):
            problems = tuple(value_problems(value, document=document))
            return Invalid(problems=problems) if problems else parsed
    return parsed


def encode_submission(submission, *, older=None):
    """Return the command of a submission for the log.

    The file must have passed the full check before. The command ends with
    `digest_of(submission)`, which `decode_submission` verifies. `older` is a
    VersionRecord of which the command has a patch instead of the text.
    """
    patch = make_patch(submission.text, older.text) if older else None
    if patch is None:
        packed, patched = zlib.compress(submission.text), NO_VERSION
    else:
        packed, patched = patch, older.version
    return msgpack.packb(
        [
            submission.submission_id,
            submission.operator,
            packed,
            str(submission.base),
            str(submission.rollback_to),
            submission.submitted_at_ms,
            submission.label,
            submission.base_label,
            digest_of(submission),
            str(patched),
        ]
    )


def decode_submission(command, text_of):
    """Return the Submission in a command.

    `text_of(version)` returns the text of an earlier version. Commands without
    the version that a patch was made of are from earlier releases. Raises one
    of DECODE_ERRORS if the command is not a submission.
    """
    match msgpack.unpackb(command):
        case [
            str(submission_id),
            str(operator),
            bytes(packed),
            str(base),
            str(rollback_to),
            int(submitted),
            int(label),
            int(base_label),
            bytes(digest),
            *patched,
        ]:
            pass
        case _:
            raise ValueError("the command is no submission")
    submission = Submission(
        submission_id=submission_id,
        operator=operator,
        text=_unpack_text(packed, patched, text_of),
        base=Version.parse(base),
        rollback_to=Version.parse(rollback_to),
        submitted_at_ms=submitted,
        label=label,
        base_label=base_label,
    )
    if digest_of(submission) != digest:
        raise ValueError("the text does not match its digest")
    return submission


def _unpack_text(packed, patched, text_of):
    """Return the text in a command; `patched` has at most one version."""
    match patched:
        case []:
            version = NO_VERSION
        case [str(text)]:
            version = Version.parse(text)
        case _:
            raise ValueError("the command is no submission")
    if version == NO_VERSION:
        return zlib.decompress(packed)
    return apply_patch(packed, text_of(version))


def encode_outcome(outcome):
    """Return the bytes of Accepted, Conflict or Rejected."""
    match outcome:
        case Accepted(version=version):
            values = ["accepted", str(version)]
        case Conflict(winner=winner, winner_operator=operator):
            values = ["conflict", str(winner), operator]
        case Rejected(problems=problems):
            values = ["rejected", [_problem_to_plain(p) for p in problems]]
    return msgpack.packb(values)


def decode_outcome(data):
    """Return the outcome that `encode_outcome` encoded."""
    match msgpack.unpackb(data):
        case ["accepted", version]:
            return Accepted(version=Version.parse(version))
        case ["conflict", winner, operator]:
            return Conflict(
                winner=Version.parse(winner), winner_operator=operator
            )
        case ["rejected", problems]:
            return Rejected(
                problems=tuple(_problem_from_plain(p) for p in problems)
            )
    raise ValueError("unknown outcome; run the same release on every host")


def _reject_undecodable():
    return rejected(
        "(command)",
        "the command is no submission",
        "Run the same release on every host.",
    )


def rejected(key, text, remedy):
    """Return Rejected with one problem that has no line number."""
    problem = Problem(key=key, line=0, text=text, remedy=remedy)
    return Rejected(problems=(problem,))


def _problem_to_plain(problem):
    return [problem.key, problem.line, problem.text, problem.remedy]


def _problem_from_plain(values):
    key, line, text, remedy = values
    return Problem(key=key, line=line, text=text, remedy=remedy)


def _record_to_plain(record):
    return [
        str(record.version),
        record.packed_text,
        record.operator,
        record.submission_id,
        record.submitted_at_ms,
        str(record.rollback_to),
        record.label,
    ]


def _record_from_plain(values, parse):
    version, packed, operator, submission_id, submitted, rollback, label = (
        values
    )
    return VersionRecord(
        version=Version.parse(version),
        packed_text=packed,
        operator=operator,
        submission_id=submission_id,
        submitted_at_ms=submitted,
        rollback_to=Version.parse(rollback),
        label=label,
        parse=parse,
    )
