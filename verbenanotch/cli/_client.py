"""HTTP client of the operators' interface that tries several hosts."""

import http
import json

import attrs
import urllib3

from verbenanotch.cli.exceptions import (
    EXIT_FAULTY,
    EXIT_OK,
    EXIT_REFUSED,
    UnavailableError,
    UnknownOutcomeError,
)

CONNECT_TIMEOUT_SECONDS = 2.0
ANSWER_MARGIN_SECONDS = 3.0
DEFAULT_TIMEOUT_SECONDS = 5.0


@attrs.frozen(kw_only=True)
class Reply:
    """A definite answer of one control host."""

    server: str
    status: int
    value: dict

    @property
    def kind(self):
        """Return the answer's kind, or the empty string."""
        return self.value.get("kind", "")

    @property
    def exit_code(self):
        """Return the tool's exit code for this answer."""
        if self.status < http.HTTPStatus.BAD_REQUEST:
            return EXIT_OK
        if self.status == http.HTTPStatus.UNPROCESSABLE_ENTITY:
            return EXIT_FAULTY
        return EXIT_REFUSED


@attrs.frozen(kw_only=True)
class Failure:
    """One control host that gave no definite answer.

    `may_have_run` tells that the request could have had its effect.
    """

    server: str
    reason: str
    may_have_run: bool


class OperatorClient:
    """Send requests to control hosts, given as `address:port`, in turn.

    A request is sent to the next host when one is unreachable, unavailable
    or gives no answer. That is safe for submissions because a submission id
    is accepted once.
    """

    def __init__(self, *, servers, token):
        """Take the addresses to try, in their order, and the token."""
        self.servers = tuple(servers)
        self._token = token
        self._pool = urllib3.PoolManager(retries=False)

    def request(
        self,
        method,
        path,
        *,
        headers=None,
        body=None,
        timeout_seconds=DEFAULT_TIMEOUT_SECONDS,
    ):
        """Return the first definite Reply.

        Raises UnavailableError if no host took the request, and
        UnknownOutcomeError if one may have taken it.
        """
        failures = []
        for server in self.servers:
            result = self.ask(
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
        raise _combine(failures)

    def ask(
        self,
        server,
        method,
        path,
        *,
        headers=None,
        body=None,
        timeout_seconds=DEFAULT_TIMEOUT_SECONDS,
    ):
        """Return the Reply or the Failure of one control host."""
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
                    read=timeout_seconds + ANSWER_MARGIN_SECONDS,
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            return Failure(
                server=server,
                reason=str(error),
                may_have_run=not _is_connect_failure(error),
            )
        return _read(server, response)


def _is_connect_failure(error):
    """Tell whether the request was never sent."""
    return isinstance(
        error,
        urllib3.exceptions.NewConnectionError
        | urllib3.exceptions.ConnectTimeoutError
        | urllib3.exceptions.LocationValueError,
    )


def _read(server, response):
    try:
        value = json.loads(response.data)
    except ValueError:
        value = None
    if not isinstance(value, dict):
        return Failure(
            server=server,
            reason=f"status {response.status} without a JSON object",
            may_have_run=True,
        )
    if response.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
        return Failure(
            server=server,
            reason=value.get("reason", f"status {response.status}"),
            may_have_run=response.status
            != http.HTTPStatus.SERVICE_UNAVAILABLE,
        )
    return Reply(server=server, status=response.status, value=value)


def _combine(failures):
    details = "; ".join(
        f"{failure.server}: {failure.reason}" for failure in failures
    )
    if any(failure.may_have_run for failure in failures):
        return UnknownOutcomeError(
            f"no host gave a definite answer ({details}). "
            "Send it again with the same submission id."
        )
    return UnavailableError(
        f"no control host took the request ({details}). "
        "Check the addresses and the quorum, then send it again."
    )
