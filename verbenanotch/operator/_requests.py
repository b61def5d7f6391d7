"""Validated access to the WSGI environment of an operator's request."""

import contextlib
import hmac
import json
import socket
import time
import urllib.parse

from verbenanotch.catalog import NO_VERSION, Submission, Version
from verbenanotch.operator.exceptions import (
    BodyIncompleteError,
    BodyTooLargeError,
    InvalidRequestError,
    LengthRequiredError,
    UnauthorizedError,
)

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_HEADER_CHARACTERS = 200
# Time to wait for an outcome or a quorum unless the request sets another.
DEFAULT_TIMEOUT_SECONDS = 5.0
MAX_TIMEOUT_SECONDS = 60.0


class ClosingBody:
    """A response body that stops the server from reading the request.

    Otherwise the server would read the rest of a rejected request body,
    however long it is, to reuse the connection.
    """

    def __init__(self, *, environ, chunks):
        """Store the WSGI environment and the chunks to send."""
        self._environ = environ
        self._chunks = chunks

    def __iter__(self):
        """Return an iterator over the chunks."""
        return iter(self._chunks)

    def close(self):
        """Shut down the read side; the server closes the connection."""
        sock = self._environ["eventlet.input"].get_socket()
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RD)


class Request:
    """One request, backed by its WSGI environment."""

    def __init__(self, *, environ):
        """Store the WSGI environment without reading the body."""
        self._environ = environ
        self.method = environ["REQUEST_METHOD"]
        self.path = environ.get("PATH_INFO", "")

    def check_token(self, token):
        """Raise UnauthorizedError unless the request carries the token."""
        authorization = self._environ.get("HTTP_AUTHORIZATION", "")
        expected = f"Bearer {token}".encode()
        if not hmac.compare_digest(authorization.encode("latin-1"), expected):
            raise UnauthorizedError(
                "the token is missing or wrong",
                remedy="Send the header Authorization: Bearer TOKEN.",
            )

    def header(self, name, *, default=None):
        """Return a header's value, or `default` if it is missing or empty.

        Raises InvalidRequestError if the value is too long or not
        printable, or if it is missing and there is no default.
        """
        key = "HTTP_" + name.upper().replace("-", "_")
        value = self._environ.get(key, default)
        if value is None or value == "":
            if default is not None:
                return default
            raise InvalidRequestError(
                f"the header {name} is missing", remedy=f"Send {name}."
            )
        if len(value) > MAX_HEADER_CHARACTERS or not value.isprintable():
            raise InvalidRequestError(
                f"the header {name} is too long or not printable",
                remedy=f"Use at most {MAX_HEADER_CHARACTERS} characters.",
            )
        return value

    def version_header(self, name):
        """Return the version in a header, or NO_VERSION if it is absent."""
        return parse_version(self.header(name, default=str(NO_VERSION)))

    def timeout_seconds(self):
        """Return the longest time to wait for an outcome or a quorum."""
        text = self.header("X-Timeout-Seconds", default="")
        if not text:
            return DEFAULT_TIMEOUT_SECONDS
        try:
            seconds = float(text)
        except ValueError:
            seconds = 0.0
        if not 0 < seconds <= MAX_TIMEOUT_SECONDS:
            raise InvalidRequestError(
                f"{text!r} is not a valid timeout",
                remedy=f"Use up to {MAX_TIMEOUT_SECONDS:g} seconds.",
            )
        return seconds

    def query(self):
        """Return the last value of each query parameter, keyed by name."""
        pairs = urllib.parse.parse_qsl(self._environ.get("QUERY_STRING", ""))
        return dict(pairs)

    def body(self):
        """Return the complete body.

        Raises LengthRequiredError or BodyTooLargeError before reading it,
        and BodyIncompleteError if it ends early.
        """
        length = self._content_length()
        data = self._environ["wsgi.input"].read(length)
        if len(data) < length:
            raise BodyIncompleteError(
                f"the body ended after {len(data)} of {length} bytes",
                remedy="Send the request again.",
            )
        return data

    def json_body(self):
        """Return the JSON object in the body, or raise InvalidRequestError."""
        try:
            value = json.loads(self.body())
        except (ValueError, RecursionError) as error:
            raise InvalidRequestError(
                f"the body is not JSON: {error}",
                remedy="Send a JSON object.",
            ) from error
        if not isinstance(value, dict):
            raise InvalidRequestError(
                "the body is not a JSON object", remedy="Send a JSON object."
            )
        return value

    def submission(self, *, text, rollback_to=NO_VERSION):
        """Return the Submission made of the headers and `text`."""
        return Submission(
            submission_id=self.header("X-Submission-Id"),
            operator=self.header("X-Operator"),
            text=text,
            base=self.version_header("X-Base-Version"),
            rollback_to=rollback_to,
            submitted_at_ms=time.time_ns() // 1_000_000,
        )

    @property
    def has_oversized_body(self):
        """Return whether the body is too large or chunked without a length."""
        try:
            self._content_length()
        except BodyTooLargeError:
            return True
        except LengthRequiredError:
            return "HTTP_TRANSFER_ENCODING" in self._environ
        return False

    def _content_length(self):
        """Return the declared length of the body in bytes."""
        declared = self._environ.get("CONTENT_LENGTH") or ""
        if not declared.isascii() or not declared.isdecimal():
            raise LengthRequiredError(
                "the length of the body is not declared",
                remedy="Send a Content-Length header.",
            )
        # int() raises ValueError for a text of more than 4300 digits.
        length = int(declared[:MAX_HEADER_CHARACTERS])
        if length > MAX_BODY_BYTES:
            raise BodyTooLargeError(
                f"the body has {length} bytes",
                remedy=f"Keep it within {MAX_BODY_BYTES} bytes.",
            )
        return length


def parse_version(text):
    """Parse a version such as `3.41`, or raise InvalidRequestError."""
    try:
        return Version.parse(text)
    except ValueError as error:
        raise InvalidRequestError(
            f"{text!r} is not a version", remedy="Use a form such as 3.41."
        ) from error
