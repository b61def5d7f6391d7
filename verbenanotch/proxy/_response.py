"""HTTP responses to callers, made from outcomes."""

import http
import json
import math

from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy._outcome import Answered, NotRun, Rejected, Unknown

MILLISECONDS_PER_SECOND = 1000
BODILESS_STATUSES = frozenset((204, 304))


def respond(
    outcome,
    request_id,
    method,
    start_response,
    names,
    *,
    fractional_retry_after=False,
):
    """Start the response to a caller; return its WSGI body.

    `names` is a HeaderNames. Retry-After is in whole seconds, as the standard
    requires, unless `fractional_retry_after`.
    """
    replaced = {names.outcome.lower(), names.request_id.lower()}
    match outcome:
        case Answered(status=status, headers=headers, body=body):
            name = "answered"
            fields = [
                field for field in headers if field[0].lower() not in replaced
            ]
            if status not in BODILESS_STATUSES and method != "HEAD":
                fields.append(("Content-Length", str(len(body))))
        case _:
            status, name, fields, body = _mesh_response(
                outcome, request_id, fractional_retry_after
            )
    if names.outcome:
        fields.append((names.outcome, name))
    fields.append((names.request_id, request_id))
    start_response(_status_line(status), fields)
    return [body]


def _mesh_response(outcome, request_id, fractional_retry_after):
    """Return the proxy's own response: status, outcome name, headers, body."""
    document = {"request_id": request_id}
    fields = [("Content-Type", "application/json")]
    match outcome:
        case NotRun(reason=reason, retry_after_ms=retry_after_ms):
            status = 429 if reason == reasons.ACCOUNT_LIMITED else 503
            name = "not-run"
            fields.append(_retry_after(retry_after_ms, fractional_retry_after))
            document["reason"] = reason
            document["retry_after_ms"] = retry_after_ms
        case Unknown(reason=reason):
            status, name = 504, "unknown"
            document["reason"] = reason
            if outcome.retry_after_ms:
                fields.append(
                    _retry_after(
                        outcome.retry_after_ms, fractional_retry_after
                    )
                )
        case Rejected(status=status, kind=kind, remedy=remedy):
            name = "not-run"
            document["reason"] = kind
            document["remedy"] = remedy
    document["outcome"] = name
    body = json.dumps(document).encode()
    fields.append(("Content-Length", str(len(body))))
    return status, name, fields, body


def _retry_after(retry_after_ms, fractional_retry_after):
    """Return the Retry-After header; its unit is seconds."""
    if fractional_retry_after:
        seconds = retry_after_ms / MILLISECONDS_PER_SECOND
        return ("Retry-After", f"{seconds:.3f}")
    seconds = math.ceil(retry_after_ms / MILLISECONDS_PER_SECOND)
    return ("Retry-After", str(max(1, seconds)))


def _status_line(status):
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unregistered"
