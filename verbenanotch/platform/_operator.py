"""The platform's calls for configurations."""

import hashlib
import time

from verbenanotch.catalog import Accepted, Conflict, Rejected, Submission
from verbenanotch.platform._answers import (
    answer_json,
    answer_text,
    read_body,
)
from verbenanotch.platform._configuration import read_configuration
from verbenanotch.platform._fields import label_of
from verbenanotch.platform.exceptions import MalformedDocumentError

CONFIGURATION_PATH = "/config"
OPERATOR = "platform"
MAX_BODY_BYTES = 16 * 1024 * 1024
# Operators ask another host after a second without an answer.
SUBMIT_SECONDS = 2.0
READ_SECONDS = 1.0
DIGEST_BYTES = 16


class ConfigurationInterface:
    """WSGI application that takes and shows configurations."""

    def __init__(self, *, versions):
        """Submit to and read from a VersionService."""
        self._versions = versions

    def application(self, environ, start_response):
        """Answer one request; the WSGI entry point."""
        if environ["PATH_INFO"] != CONFIGURATION_PATH:
            return answer_json(start_response, 404, reason="no such path")
        match environ["REQUEST_METHOD"]:
            case "PUT":
                return self._put(environ, start_response)
            case "GET":
                return self._get(start_response)
        return answer_json(start_response, 405, reason="use GET or PUT")

    def _put(self, environ, start_response):
        try:
            text = read_body(environ, max_bytes=MAX_BODY_BYTES)
            submission = _submission(text, environ.get("HTTP_IF_MATCH", ""))
        except MalformedDocumentError as error:
            return answer_json(start_response, 400, reason=str(error))
        outcome = self._versions.submit(
            submission=submission, timeout_seconds=SUBMIT_SECONDS
        )
        match outcome:
            case Accepted(version=version):
                return answer_json(start_response, 200, version=str(version))
            case Conflict(winner=winner):
                return answer_json(start_response, 412, winner=str(winner))
            case Rejected(problems=problems):
                return answer_json(
                    start_response,
                    400,
                    problems=[str(problem) for problem in problems],
                )
        return answer_json(start_response, 503, reason=outcome.reason)

    def _get(self, start_response):
        if not self._versions.is_current(timeout_seconds=READ_SECONDS):
            return answer_json(
                start_response, 503, reason="no quorum confirmed the version"
            )
        current = self._versions.versions.current
        if current is None:
            return answer_json(
                start_response, 404, reason="no configuration was accepted"
            )
        return answer_text(start_response, 200, current.text)


def _submission(text, base):
    """Return the Submission of a configuration on top of version `base`.

    The base and the whole content make two orders the same, so that one
    that is sent again gets the first answer.
    """
    configuration = read_configuration(text)
    base_label = label_of(base.strip('"'))
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
