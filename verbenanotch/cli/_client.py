"""HTTP client of the operator interface that tries several hosts."""

import http
import json
import time

import attrs
import urllib3

from verbenanotch.cli._strict_pool import make_strict_pool
from verbenanotch.cli.exceptions import (
    EXIT_INVALID,
    EXIT_OK,
    EXIT_REFUSED,
    UnavailableError,
    UnknownOutcomeError,
)

CONNECT_TIMEOUT_SECONDS = 2.0
# Added to the time that a control host waits for an outcome, so that its
# response arrives before the client's read timeout.
RESPONSE_MARGIN_SECONDS = 3.0
# How long a control host waits for an outcome.
DEFAULT_TIMEOUT_SECONDS = 5.0
# The status and the targets of the largest meshes have a few megabytes.
MAX_BODY_BYTES = 64 * 1024 * 1024
READ_BYTES = 64 * 1024


@attrs.frozen(kw_only=True)
class Reply:
    """A control host's response from which the outcome is known.

    Its status is below 500 and its body is a JSON object.
    """

    server: str
    status: int
    value: dict

    @property
    def kind(self):
        """Return the kind of the response, or an empty string."""
        return self.value.get("kind", "")

    @property
    def exit_code(self):
        """Return the exit code of the tool for this response."""
        if self.status < http.HTTPStatus.BAD_REQUEST:
            return EXIT_OK
        if self.status == http.HTTPStatus.UNPROCESSABLE_ENTITY:
            return EXIT_INVALID
        return EXIT_REFUSED


@attrs.frozen(kw_only=True)
class Failure:
    """A request to which a control host sent no Reply.

    `may_have_run` is true if the request may have been executed.
    """

    server: str
    reason: str
    may_have_run: bool


class OperatorClient:
    """Send each request to control hosts in turn until one sends a Reply.

    A request that results in a Failure is sent to the next control host,
    even if it may have run. That is safe for submissions because a
    submission id is accepted only once. Each of the `servers` is the
    `address:port` of a control host.
    """

    def __init__(self, *, servers, token):
        """Store the servers, in the order to try them, and the token."""
        self.servers = tuple(servers)
        self._token = token
        self._pool = make_strict_pool()

    def request(
        self,
        method,
        path,
        *,
        headers=None,
        body=None,
        timeout_seconds=DEFAULT_TIMEOUT_SECONDS,
    ):
        """Return the first Reply.

        Raises UnavailableError if no host executed the request, and
        UnknownOutcomeError if one may have executed it.
        """
        failures = []
        for server in self.servers:
            result = self.request_from(
                server,
                method,
                path,
                headers=headers,
                body=body,
                timeout_seconds=timeout_seconds,
            )
            match result:
                case Reply():
                    return result
                case Failure():
                    failures.append(result)
        raise _make_error(failures)

    def request_from(
        self,
        server,
        method,
        path,
        *,
        headers=None,
        body=None,
        timeout_seconds=DEFAULT_TIMEOUT_SECONDS,
    ):
        """Return the Reply or Failure of a request to one control host."""
        read_seconds = timeout_seconds + RESPONSE_MARGIN_SECONDS
        deadline = time.monotonic() + CONNECT_TIMEOUT_SECONDS + read_seconds
        try:
            response = self._pool.request(
                method,
                f"http://{server}{path}",
                body=body,
                headers={
                    "Authorization": f"Bearer {self._token}",
                    "X-Timeout-Seconds": f"{timeout_seconds:g}",
                    **(headers or {}),
                },
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_SECONDS,
                    read=read_seconds,
                ),
                preload_content=False,
            )
            data = _read_body(response, deadline)
        except urllib3.exceptions.HTTPError as error:
            return Failure(
                server=server,
                reason=str(error),
                may_have_run=not _is_connect_failure(error),
            )
        return _parse_response(server, response.status, data)


def _is_connect_failure(error):
    """Return whether the request was not sent at all."""
    return isinstance(
        error,
        urllib3.exceptions.NewConnectionError
        | urllib3.exceptions.ConnectTimeoutError
        | urllib3.exceptions.LocationValueError,
    )


def _read_body(response, deadline):
    """Return the complete body; raises urllib3's HTTPError.

    The server may be another than a control host, and its answer may have no
    end. `deadline` is in monotonic seconds.
    """
    data = bytearray()
    try:
        while piece := response.read1(READ_BYTES):
            data += piece
            if len(data) > MAX_BODY_BYTES:
                raise urllib3.exceptions.HTTPError(
                    f"the answer is too large, over {MAX_BODY_BYTES} bytes"
                )
            if time.monotonic() > deadline:
                raise urllib3.exceptions.HTTPError("the answer is too slow")
    except urllib3.exceptions.HTTPError:
        response.close()
        raise
    response.release_conn()
    return bytes(data)


def _parse_response(server, status, data):
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        value = None
    if not isinstance(value, dict):
        return Failure(
            server=server,
            reason=f"status {status} without a JSON object",
            may_have_run=True,
        )
    if status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
        return Failure(
            server=server,
            reason=value.get("reason", f"status {status}"),
            may_have_run=status != http.HTTPStatus.SERVICE_UNAVAILABLE,
        )
    return Reply(server=server, status=status, value=value)


def _make_error(failures):
    details = "; ".join(
        f"{failure.server}: {failure.reason}" for failure in failures
    )
    if any(failure.may_have_run for failure in failures):
        return UnknownOutcomeError(
            f"no control host reported the outcome ({details}). "
            "Send it again with the same submission id."
        )
    return UnavailableError(
        f"no control host executed the request ({details}). "
        "Check the addresses and the quorum, then send it again."
    )
