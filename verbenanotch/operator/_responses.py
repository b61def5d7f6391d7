"""Responses of the operator interface and their JSON encoding."""

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
class Response:
    """Status, JSON value and additional headers of one response."""

    status: int
    value: object
    headers: tuple[tuple[str, str], ...] = ()

    @property
    def status_line(self):
        """Return the status code with its phrase, such as `200 OK`."""
        return f"{self.status} {http.HTTPStatus(self.status).phrase}"

    def encode(self):
        """Return the body as JSON bytes that end with a newline."""
        return json.dumps(to_json(self.value), sort_keys=True).encode() + b"\n"


def to_json(value):
    """Convert attrs objects, versions and collections to JSON values."""
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


def outcome_response(outcome):
    """Return the Response for the outcome of a submission."""
    match outcome:
        case Accepted(version=version):
            return Response(
                status=201,
                value={"kind": "accepted", "version": version},
                headers=(("Location", f"/v1/versions/{version}"),),
            )
        case Conflict():
            return Response(status=409, value=_conflict_value(outcome))
        case Rejected(problems=problems):
            return Response(
                status=422,
                value={
                    "kind": "rejected",
                    "problems": problems,
                    "remedy": "Correct the file and submit it again.",
                },
            )
        case Unavailable(reason=reason, remedy=remedy):
            return Response(
                status=503,
                value=failure_value("unavailable", reason, remedy),
                headers=(("Retry-After", str(RETRY_AFTER_SECONDS)),),
            )
        case Unknown(reason=reason, remedy=remedy):
            return Response(
                status=504, value=failure_value("unknown", reason, remedy)
            )


def voters_response(outcome):
    """Return the Response for the outcome of a change of voters."""
    match outcome:
        case replication.Committed(position=position):
            version = Version(epoch=position.term, index=position.index)
            return Response(
                status=200, value={"kind": "changed", "version": version}
            )
        case replication.Unavailable(reason=reason):
            return Response(
                status=503,
                value=failure_value(
                    "unavailable",
                    reason,
                    "Check the voters in the status, then retry.",
                ),
                headers=(("Retry-After", str(RETRY_AFTER_SECONDS)),),
            )
        case replication.Unknown(reason=reason):
            return Response(
                status=504,
                value=failure_value(
                    "unknown", reason, "Check the voters in the status."
                ),
            )


def error_response(error):
    """Return the Response for an OperatorError."""
    headers = ()
    if error.status == 401:
        headers = (("WWW-Authenticate", "Bearer"),)
    return Response(
        status=error.status,
        value=failure_value(error.kind, error.text, error.remedy),
        headers=headers,
    )


def _conflict_value(outcome):
    return {
        "kind": "conflict",
        "winner": outcome.winner,
        "winner_operator": outcome.winner_operator,
        "remedy": outcome.remedy,
    }


def failure_value(kind, reason, remedy):
    """Return the JSON value of a failure."""
    return {"kind": kind, "reason": reason, "remedy": remedy}
