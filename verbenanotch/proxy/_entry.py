"""The HTTP interface for callers."""

import json
import math
import time
import uuid

from verbenanotch.proxy import events
from verbenanotch.proxy._mesh import Request
from verbenanotch.proxy._outcome import Answered, NotRun, Unknown
from verbenanotch.telemetry import emit

OUTCOME_HEADER = "X-Verbenanotch-Outcome"
REQUEST_ID_HEADER = "X-Request-Id"
TIMEOUT_HEADER = "HTTP_X_REQUEST_TIMEOUT_MS"
HOP_HEADERS = frozenset(
    ("HTTP_CONNECTION", "HTTP_KEEP_ALIVE", "HTTP_TRANSFER_ENCODING")
)
MILLISECONDS_PER_SECOND = 1000


class EntryInterface:
    """WSGI application that sends callers' requests through the mesh."""

    def __init__(self, *, settings, holder, dispatcher):
        """Route by the snapshot of `holder`."""
        self._settings = settings
        self._holder = holder
        self._dispatcher = dispatcher

    def application(self, environ, start_response):
        """Answer one request; the WSGI entry point."""
        request_id = environ.get("HTTP_X_REQUEST_ID") or uuid.uuid4().hex
        outcome = self._outcome(environ, request_id)
        emit(
            events.REQUEST_ENDED,
            request=request_id,
            outcome=type(outcome).__name__,
        )
        return _respond(outcome, request_id, start_response)

    def _outcome(self, environ, request_id):
        path = environ["PATH_INFO"]
        match self._holder.snapshot.route_table.match(path):
            case None:
                return NotRun(reason="no-route")
            case (name, route):
                request = self._request(environ, request_id, name, route)
                return self._dispatcher.run(request)

    def _request(self, environ, request_id, route_name, route):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        timeout_ms = int(environ.get(TIMEOUT_HEADER) or route.timeout_ms)
        query = environ.get("QUERY_STRING")
        path = environ["PATH_INFO"] + (f"?{query}" if query else "")
        method = environ["REQUEST_METHOD"]
        return Request(
            request_id=request_id,
            route_name=route_name,
            service=route.service,
            method=method,
            path=path,
            headers=_headers(environ, request_id),
            body=body,
            deadline=time.monotonic() + timeout_ms / MILLISECONDS_PER_SECOND,
            idempotent=method in route.idempotent_methods,
            max_attempts=route.max_attempts,
        )


def _headers(environ, request_id):
    headers = [(REQUEST_ID_HEADER, request_id)]
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    for key, value in environ.items():
        if key.startswith("HTTP_") and key not in HOP_HEADERS:
            name = key[5:].replace("_", "-").title()
            if name != REQUEST_ID_HEADER:
                headers.append((name, value))
    return tuple(headers)


def _respond(outcome, request_id, start_response):
    match outcome:
        case Answered(status=status, headers=headers, body=body):
            fields = [*headers, (OUTCOME_HEADER, "answered")]
            line = f"{status} Answered"
        case NotRun(reason=reason, retry_after_ms=retry_after_ms):
            seconds = math.ceil(retry_after_ms / MILLISECONDS_PER_SECOND)
            fields = [
                ("Content-Type", "application/json"),
                (OUTCOME_HEADER, "not-run"),
                ("Retry-After", str(seconds)),
            ]
            line = "503 Service Unavailable"
            body = _body("not-run", reason, request_id)
        case Unknown(reason=reason):
            fields = [
                ("Content-Type", "application/json"),
                (OUTCOME_HEADER, "unknown"),
            ]
            line = "504 Gateway Timeout"
            body = _body("unknown", reason, request_id)
    fields = [f for f in fields if f[0].title() != REQUEST_ID_HEADER]
    fields.append((REQUEST_ID_HEADER, request_id))
    fields.append(("Content-Length", str(len(body))))
    start_response(line, fields)
    return [body]


def _body(kind, reason, request_id):
    return json.dumps(
        {"outcome": kind, "reason": reason, "request_id": request_id}
    ).encode()
