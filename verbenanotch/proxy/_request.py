"""Read and check callers' requests before they are sent to targets."""

import math
import re
import uuid

import attrs

from verbenanotch.catalog import MAX_CALL_DEPTH, MAX_TIMEOUT_MS
from verbenanotch.crashes import fingerprint
from verbenanotch.idempotency import issued_at_ms
from verbenanotch.proxy._headers import (
    KEY_HEADER,
    account_headers,
    caller_headers,
    environ_name,
    mesh_headers,
    without_headers,
)
from verbenanotch.proxy._outcome import Rejected

MILLISECONDS_PER_SECOND = 1000
MAX_REQUEST_ID_CHARACTERS = 512
REQUEST_ID_PATTERN = re.compile(rf"[!-~]{{1,{MAX_REQUEST_ID_CHARACTERS}}}")
NUMBER_PATTERN = re.compile(r"[0-9]{1,9}")


@attrs.frozen(kw_only=True)
class Request:
    """A caller's request; `deadline` and `arrived_at` are monotonic seconds.

    `objective_seconds` is the desired response time, counted from
    `arrived_at`, or 0 if the route sets none. `retries` limits how often the
    request may be repeated, at this hop and at the hops below it. `key` is the
    caller's idempotency key, or empty. `fingerprint` is equal for all repeats
    of the request. `account` is the name of the caller's client account.
    """

    request_id: str
    route_name: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: float
    idempotent: bool
    retries: int
    depth: int = 0
    key: str = ""
    traced: bool = False
    caller: str = ""
    priority: int = 0
    objective_seconds: float = 0.0
    arrived_at: float = 0.0
    fingerprint: bytes = b""
    account: str = ""

    def objective_ms(self, now):
        """Return the remaining time of the objective in milliseconds.

        0 means that the route has no objective. If there is one, a remainder
        that would be 0 is returned as -1; a missed objective is negative.
        """
        if not self.objective_seconds:
            return 0
        remaining_seconds = self.arrived_at + self.objective_seconds - now
        return int(remaining_seconds * MILLISECONDS_PER_SECOND) or -1


class RequestReader:
    """Read callers' requests with the header names from the settings."""

    def __init__(self, *, names):
        """Use the header names in `names`, a HeaderNames."""
        self._header_names = names
        self._mesh_headers = mesh_headers(names)
        self._account_headers = account_headers(names)
        self._request_id_name = environ_name(names.request_id)

    def request_id_of(self, environ):
        """Return the caller's request id, or a new one if it is not valid."""
        caller_id = environ.get(self._request_id_name, "")
        if REQUEST_ID_PATTERN.fullmatch(caller_id):
            return caller_id
        return uuid.uuid4().hex

    def read(self, environ, *, has_accounts=False, **values):
        """Return a Request, Rejected or NotRun; see `check_request`.

        In a mesh that `has_accounts`, the key and a name of an account that
        the caller sent are removed.
        """
        request = check_request(
            environ,
            names=self._header_names,
            mesh_header_names=self._mesh_headers,
            **values,
        )
        if has_accounts and isinstance(request, Request):
            headers = without_headers(request.headers, self._account_headers)
            return attrs.evolve(request, headers=headers)
        return request


def check_request(
    environ,
    *,
    names,
    mesh_header_names,
    request_id,
    route_name,
    route,
    service,
    now,
    read_body,
    traced=False,
    caller="",
    account="",
    priority=None,
):
    """Return a Request with its body, Rejected or NotRun.

    `names` is a HeaderNames, `mesh_header_names` the result of `mesh_headers`
    for it. `service` is the one of the route's services that the request is
    sent to. `now` is the time of arrival in monotonic seconds.
    `read_body(deadline)` returns the body, or the outcome that is returned in
    place of the request. A timeout that the
    caller sends can shorten the route's timeout, but not extend it. Without
    `priority` the request has that of the route.
    """
    timeout_ms = _header_number(environ, names.timeout, route.timeout_ms)
    depth = _header_number(environ, names.depth, 0)
    retries = _header_number(environ, names.retries, math.inf)
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    rejection = _check_headers(environ, names, timeout_ms, depth, retries, key)
    if rejection is not None:
        return rejection
    timeout_ms = min(timeout_ms, route.timeout_ms)
    deadline = now + timeout_ms / MILLISECONDS_PER_SECOND
    body = read_body(deadline)
    if not isinstance(body, bytes):
        return body
    method = environ["REQUEST_METHOD"]
    path = environ["REQUEST_TARGET"]
    return Request(
        request_id=request_id,
        route_name=route_name,
        service=service,
        method=method,
        path=path,
        headers=caller_headers(environ["headers_raw"], mesh_header_names),
        body=body,
        deadline=deadline,
        idempotent=method in route.idempotent_methods,
        retries=min(retries, route.max_attempts - 1),
        depth=depth,
        key=key,
        traced=traced,
        caller=caller,
        priority=route.priority if priority is None else priority,
        objective_seconds=route.objective_ms / MILLISECONDS_PER_SECOND,
        arrived_at=now,
        fingerprint=fingerprint(
            route_host=route.host, method=method, path=path, body=body
        ),
        account=account,
    )


def _check_headers(environ, names, timeout_ms, depth, retries, key):
    """Return Rejected if a header is not valid, else None."""
    if timeout_ms is None or not 0 < timeout_ms <= MAX_TIMEOUT_MS:
        return Rejected(
            status=400,
            kind="bad-timeout",
            remedy=f"Set {names.timeout} to a number of milliseconds from 1 "
            f"to {MAX_TIMEOUT_MS}.",
        )
    if depth is None or retries is None:
        return Rejected(
            status=400,
            kind="bad-call-headers",
            remedy=f"Pass {names.depth} and {names.retries} on unchanged.",
        )
    if depth >= MAX_CALL_DEPTH:
        return Rejected(
            status=400,
            kind="too-deep",
            remedy=f"Nest calls at most {MAX_CALL_DEPTH} levels deep.",
        )
    if key and issued_at_ms(key) is None:
        return Rejected(
            status=400,
            kind="bad-key",
            remedy=f"Set {KEY_HEADER} to a version 7 UUID, or to the 13 "
            "digits of the milliseconds since 1970, a hyphen and any text.",
        )
    caller_id = environ.get(environ_name(names.request_id))
    if caller_id is not None and not REQUEST_ID_PATTERN.fullmatch(caller_id):
        return Rejected(
            status=400,
            kind="bad-request-id",
            remedy=f"Omit {names.request_id}, or set it to 1 to "
            f"{MAX_REQUEST_ID_CHARACTERS} visible ASCII characters.",
        )
    return None


def _header_number(environ, header, default):
    """Return the number in a header, or None if it is not a number.

    Returns the default if the request has no such header.
    """
    text = environ.get(environ_name(header)) if header else None
    if text is None:
        return default
    if not NUMBER_PATTERN.fullmatch(text):
        return None
    return int(text)
