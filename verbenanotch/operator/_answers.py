"""Answers of the operators' interface and their JSON form."""

import enum
import http
import json

import attrs

from verbenanotch import replication
from verbenanotch.catalog import (
    Accepted,
    Conflict,
    Rejected,
    Unavailable,
    Unknown,
    Version,
)

RETRY_AFTER_SECONDS = 2


@attrs.frozen(kw_only=True)
class Answer:
    """Status, JSON value and extra headers of one response."""

    status: int
    value: object
    headers: tuple[tuple[str, str], ...] = ()

    @property
    def status_line(self):
        """Return the status with its reason, such as `200 OK`."""
        return f"{self.status} {http.HTTPStatus(self.status).phrase}"

    def encode(self):
        """Return the body's bytes."""
        return json.dumps(to_json(self.value), sort_keys=True).encode() + b"\n"


def to_json(value):
    """Return attrs values, versions and collections as plain JSON values."""
    match value:
        case Version():
            return str(value)
        case enum.Enum():
            return to_json(value.value)
        case dict():
            return {str(key): to_json(item) for key, item in value.items()}
        case list() | tuple():
            return [to_json(item) for item in value]
        case set() | frozenset():
            return sorted(to_json(item) for item in value)
        case bytes():
            return value.decode("utf-8", errors="replace")
        case _ if attrs.has(type(value)):
            return {
                field.name: to_json(getattr(value, field.name))
                for field in attrs.fields(type(value))
            }
        case _:
            return value


def answer_outcome(outcome):
    """Return the Answer that tells the outcome of a submission."""
    match outcome:
        case Accepted(version=version):
            return Answer(
                status=201,
                value={"kind": "accepted", "version": version},
                headers=(("Location", f"/v1/versions/{version}"),),
            )
        case Conflict():
            return Answer(status=409, value=_conflict(outcome))
        case Rejected(problems=problems):
            return Answer(
                status=422,
                value={
                    "kind": "rejected",
                    "problems": problems,
                    "remedy": "Correct the file and submit it again.",
                },
            )
        case Unavailable(reason=reason, remedy=remedy):
            return Answer(
                status=503,
                value=_failure("unavailable", reason, remedy),
                headers=(("Retry-After", str(RETRY_AFTER_SECONDS)),),
            )
        case Unknown(reason=reason, remedy=remedy):
            return Answer(
                status=504, value=_failure("unknown", reason, remedy)
            )


def answer_voters(outcome):
    """Return the Answer that tells the outcome of a change of voters."""
    match outcome:
        case replication.Committed(position=position):
            version = Version(epoch=position.term, index=position.index)
            return Answer(
                status=200, value={"kind": "changed", "version": version}
            )
        case replication.Unavailable(reason=reason):
            return Answer(
                status=503,
                value=_failure(
                    "unavailable",
                    reason,
                    "Look at the voters in the status, then ask again.",
                ),
                headers=(("Retry-After", str(RETRY_AFTER_SECONDS)),),
            )
        case replication.Unknown(reason=reason):
            return Answer(
                status=504,
                value=_failure(
                    "unknown", reason, "Look at the voters in the status."
                ),
            )


def answer_error(error):
    """Return the Answer that tells a refusal."""
    headers = ()
    if error.status == 401:
        headers = (("WWW-Authenticate", "Bearer"),)
    return Answer(
        status=error.status,
        value=_failure(error.kind, error.text, error.remedy),
        headers=headers,
    )


def _conflict(outcome):
    return {
        "kind": "conflict",
        "winner": outcome.winner,
        "winner_operator": outcome.winner_operator,
        "remedy": outcome.remedy,
    }


def _failure(kind, reason, remedy):
    return {"kind": kind, "reason": reason, "remedy": remedy}
