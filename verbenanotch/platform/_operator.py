"""HTTP interface for the platform's configurations."""

import hashlib
import time

from verbenanotch.catalog import Accepted, Conflict, Rejected, Submission
from verbenanotch.platform._configuration import read_configuration
from verbenanotch.platform._fields import parse_label
from verbenanotch.platform._responses import (
    read_body,
    respond_encoded_json,
    respond_json,
)
from verbenanotch.platform.exceptions import MalformedDocumentError

CONFIGURATION_PATH = "/config"
OPERATOR = "platform"
MAX_BODY_BYTES = 16 * 1024 * 1024
SUBMIT_TIMEOUT_SECONDS = 2.0
# Operators try another host after one second without a response.
READ_TIMEOUT_SECONDS = 1.0
DIGEST_BYTES = 16


class ConfigurationInterface:
    """WSGI application that accepts and returns configurations."""

    def __init__(self, *, versions):
        """Store the VersionService to submit to and to read from."""
        self._versions = versions

    def application(self, environ, start_response):
        """Handle one request as a WSGI callable."""
        if environ["PATH_INFO"] != CONFIGURATION_PATH:
            return respond_json(start_response, 404, reason="no such path")
        match environ["REQUEST_METHOD"]:
            case "PUT":
                return self._put(environ, start_response)
            case "GET":
                return self._get(start_response)
        return respond_json(start_response, 405, reason="use GET or PUT")

    def _put(self, environ, start_response):
        try:
            text = read_body(environ, max_bytes=MAX_BODY_BYTES)
            submission = _make_submission(
                text, environ.get("HTTP_IF_MATCH", "")
            )
        except MalformedDocumentError as error:
            return respond_json(start_response, 400, reason=str(error))
        outcome = self._versions.submit(
            submission=submission, timeout_seconds=SUBMIT_TIMEOUT_SECONDS
        )
        match outcome:
            case Accepted(version=version):
                return respond_json(start_response, 200, version=str(version))
            case Conflict(winner=winner):
                return respond_json(start_response, 412, winner=str(winner))
            case Rejected(problems=problems):
                return respond_json(
                    start_response,
                    400,
                    problems=[str(problem) for problem in problems],
                )
        return respond_json(start_response, 503, reason=outcome.reason)

    def _get(self, start_response):
        if not self._versions.is_current(timeout_seconds=READ_TIMEOUT_SECONDS):
            return respond_json(
                start_response, 503, reason="no quorum confirmed the version"
            )
        current = self._versions.versions.current
        if current is None:
            return respond_json(
                start_response, 404, reason="no configuration was accepted"
            )
        return respond_encoded_json(start_response, 200, current.text)


def _make_submission(text, base):
    """Return the Submission of a configuration's encoded text.

    `base` is the header If-Match: the version that the configuration was
    made from, such as `"r12"`. Raises MalformedDocumentError.

    The submission id is a digest of the content and the base, so that a
    request that is sent again gets the outcome of the first attempt.
    """
    configuration = read_configuration(text)
    base_label = parse_label(base.strip('"'))
    digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES)
    digest.update(str(base_label).encode())
    return Submission(
        submission_id=digest.hexdigest(),
        operator=OPERATOR,
        text=text,
        label=configuration.label,
        base_label=base_label,
        submitted_at_ms=time.time_ns() // 1_000_000,
    )
