"""Bodies and answers of the platform's calls."""

import http
import json

from verbenanotch.platform.exceptions import MalformedDocumentError


def read_body(environ, *, max_bytes):
    """Return the whole body of a request.

    Raises MalformedDocumentError if it is too long or ends early.
    """
    text = environ.get("CONTENT_LENGTH") or ""
    length = int(text) if text.isdecimal() else None
    if length is not None and length > max_bytes:
        raise MalformedDocumentError(f"the body is over {max_bytes} bytes")
    try:
        data = environ["wsgi.input"].read(
            max_bytes + 1 if length is None else length
        )
    except (OSError, ValueError) as error:
        raise MalformedDocumentError(f"the body broke off: {error}") from error
    if length is not None and len(data) < length:
        raise MalformedDocumentError("the body ended early")
    if len(data) > max_bytes:
        raise MalformedDocumentError(f"the body is over {max_bytes} bytes")
    return data


def answer_json(start_response, status, **document):
    """Start an answer with a JSON object; return its WSGI body."""
    return answer_text(start_response, status, json.dumps(document).encode())


def answer_text(start_response, status, body):
    """Start an answer with JSON text; return its WSGI body."""
    phrase = http.HTTPStatus(status).phrase
    start_response(
        f"{status} {phrase}",
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ],
    )
    return [body]
