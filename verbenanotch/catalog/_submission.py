"""Submissions of operators and their outcomes."""

import dataclasses

import attrs

from verbenanotch.catalog._version import NO_VERSION, Version
from verbenanotch.documents import Problem

# Of a file that its operator has not numbered; labels start from 0.
NO_LABEL = -1


@attrs.frozen(kw_only=True)
class Submission:
    """An operator's request for a new version.

    `submission_id` is made by the client and stays the same when the file
    is sent again. `base` is the version that the file was made from;
    NO_VERSION skips the comparison only while nothing was accepted yet.
    `rollback_to` names the old version whose text this one repeats.
    An operator who numbers files gives this one's number as `label` and
    that of the file it was made from as `base_label`; the labels then take
    the place of `base`, and each accepted one is greater than the last.
    """

    submission_id: str
    operator: str
    text: bytes
    base: Version = NO_VERSION
    rollback_to: Version = NO_VERSION
    submitted_at_ms: int = 0
    label: int = NO_LABEL
    base_label: int = NO_LABEL


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """The version is committed at a quorum."""

    version: Version


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """Another version was accepted first; nothing was applied."""

    winner: Version
    winner_operator: str
    remedy: str = "Compare with the winner and submit again on its base."


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejected:
    """The file has faults; nothing was applied."""

    problems: tuple[Problem, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unavailable:
    """No quorum can be reached; the submission was not accepted."""

    reason: str
    remedy: str = "Submit the same file with the same submission id later."


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unknown:
    """The submission may or may not have been accepted."""

    reason: str
    remedy: str = "Submit the same file with the same submission id again."
