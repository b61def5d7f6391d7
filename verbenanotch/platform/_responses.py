"""Request bodies and responses of the platform's HTTP calls."""

import http
import json

from verbenanotch.platform.exceptions import MalformedDocumentError


def read_body(environ, *, max_bytes):
    """Return the complete body of a request.

    Raises MalformedDocumentError if it exceeds `max_bytes` or ends early.
    """
    text = environ.get("CONTENT_LENGTH") or ""
    length = int(text) if text.isdecimal() else None
    if length is not None and length > max_bytes:
        raise MalformedDocumentError(f"the body exceeds {max_bytes} bytes")
    try:
        data = environ["wsgi.input"].read(
            max_bytes + 1 if length is None else length
        )
    except (OSError, ValueError) as error:
        raise MalformedDocumentError(
            f"reading the body failed: {error}"
        ) from error
    if length is not None and len(data) < length:
        raise MalformedDocumentError("the body ended early")
    if len(data) > max_bytes:
        raise MalformedDocumentError(f"the body exceeds {max_bytes} bytes")
    return data


def respond_json(start_response, status, **document):
    """Start a response with a JSON object; return its WSGI body."""
    return respond_encoded_json(
        start_response, status, json.dumps(document).encode()
    )


def respond_encoded_json(start_response, status, body):
    """Start a response with encoded JSON; return its WSGI body."""
    phrase = http.HTTPStatus(status).phrase
    start_response(
        f"{status} {phrase}",
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ],
    )
    return [body]
