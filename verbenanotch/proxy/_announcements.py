"""The HTTP interface for targets on the proxy's own host."""

import json
import re

from verbenanotch.membership import TargetRecord
from verbenanotch.proxy._announcement_refusals import (
    InvalidTarget,
    Outdated,
    UnknownService,
)

MAX_BODY_BYTES = 16 * 1024
DRAIN_PATH = re.compile(r"/v1/targets/(.+)/drain")
TARGET_PATH = re.compile(r"/v1/targets/(.+)")


class TargetInterface:
    """WSGI application for announcing, draining and removing targets."""

    def __init__(self, *, local_targets):
        """Apply requests to `local_targets`."""
        self._local_targets = local_targets

    def application(self, environ, start_response):
        """Answer one request; the WSGI entry point."""
        status, document = self._answer(environ)
        body = json.dumps(document).encode()
        start_response(
            status,
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]

    def _answer(self, environ):
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        if method == "POST" and path == "/v1/targets":
            return self._announce(environ)
        drain = DRAIN_PATH.fullmatch(path)
        if method == "POST" and drain:
            return _target_response(self._local_targets.drain(drain.group(1)))
        target = TARGET_PATH.fullmatch(path)
        if method == "DELETE" and target:
            return _target_response(
                self._local_targets.remove(target.group(1))
            )
        return "404 Not Found", {"kind": "no-such-resource"}

    def _announce(self, environ):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > MAX_BODY_BYTES:
            return "413 Content Too Large", {"kind": "too-large"}
        try:
            record = _parse_record(
                json.loads(environ["wsgi.input"].read(length))
            )
        except (ValueError, RecursionError) as error:
            return _malformed(
                str(error), "Send service, address, port and slots."
            )
        match self._local_targets.announce_or_explain(record):
            case None:
                return "200 OK", {"target_id": record.target_id}
            case InvalidTarget(problem=problem, remedy=remedy):
                return _malformed(problem, remedy)
            case refusal:
                return "409 Conflict", _describe(refusal)


def _malformed(problem, remedy):
    return "400 Bad Request", {
        "kind": "malformed-announcement",
        "problem": problem,
        "remedy": remedy,
    }


def _describe(refusal):
    """Return the document that explains why an announcement is refused."""
    match refusal:
        case UnknownService(service=service):
            return {
                "kind": "unknown-service",
                "problem": f"the mesh has no service {service!r}",
                "remedy": (
                    "Add the service to the mesh configuration or correct "
                    "its name; then announce the target again."
                ),
            }
        case Outdated(target_id=target_id, incarnation=incarnation):
            return {
                "kind": "outdated-announcement",
                "problem": (
                    f"incarnation {incarnation} of target {target_id!r} was "
                    "removed, or a later one is known under its id or at its "
                    "address"
                ),
                "remedy": (
                    "Announce each start of a target with a higher "
                    "incarnation, such as milliseconds since 1970."
                ),
            }


def _parse_record(document):
    """Return the TargetRecord in an announcement; raises ValueError."""
    if type(document) is not dict:
        raise ValueError("the announcement is not a JSON object")
    service = _value(document, "service", str)
    address = _value(document, "address", str)
    port = _value(document, "port", int)
    return TargetRecord(
        target_id=f"{service}/{address}:{port}",
        service=service,
        address=address,
        port=port,
        slots=_value(document, "slots", int),
        incarnation=_value(document, "incarnation", int, default=0),
        software_version=_value(document, "software_version", str, default=""),
    )


def _value(document, key, expected, *, default=None):
    """Return a value of the type `expected`; raises ValueError."""
    value = document.get(key, default)
    if type(value) is not expected:
        raise ValueError(
            f"{key!r} is missing or is not of type {expected.__name__}"
        )
    return value


def _target_response(was_found):
    if was_found:
        return "200 OK", {}
    return "404 Not Found", {"kind": "no-such-target"}
