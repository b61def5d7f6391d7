"""A caller's request, checked before anything is done for it."""

import math
import re
import uuid

import attrs

from verbenanotch.catalog import MAX_CALL_DEPTH, MAX_TIMEOUT_MS
from verbenanotch.idempotency import issued_at_ms
from verbenanotch.proxy._headers import (
    DEPTH_HEADER,
    KEY_HEADER,
    REQUEST_ID_HEADER,
    RETRIES_HEADER,
    TIMEOUT_HEADER,
    caller_headers,
)
from verbenanotch.proxy._outcome import Rejected

MILLISECONDS_PER_SECOND = 1000
MAX_REQUEST_ID_CHARACTERS = 512
REQUEST_ID_PATTERN = re.compile(rf"[!-~]{{1,{MAX_REQUEST_ID_CHARACTERS}}}")
NUMBER_PATTERN = re.compile(r"[0-9]{1,9}")


@attrs.frozen(kw_only=True)
class Request:
    """A caller's request; `deadline` is in monotonic seconds.

    `retries` is how often it may be run again, here and below. `key` is
    the caller's idempotency key, or empty.
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


def request_id_of(environ):
    """Return the request id that the caller gave, or a new one."""
    given = environ.get("HTTP_X_REQUEST_ID", "")
    if REQUEST_ID_PATTERN.fullmatch(given):
        return given
    return uuid.uuid4().hex


def check_request(
    environ, *, request_id, route_name, route, now, read_body, traced=False
):
    """Return a Request with its body, or Rejected.

    `now` is the time of arrival in monotonic seconds. `read_body` takes the
    deadline and returns the body, or Rejected.
    """
    timeout_ms = _number(environ, TIMEOUT_HEADER, route.timeout_ms)
    depth = _number(environ, DEPTH_HEADER, 0)
    retries = _number(environ, RETRIES_HEADER, math.inf)
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    rejected = _rejected(environ, timeout_ms, depth, retries, key)
    if rejected is not None:
        return rejected
    deadline = now + timeout_ms / MILLISECONDS_PER_SECOND
    body = read_body(deadline)
    if isinstance(body, Rejected):
        return body
    method = environ["REQUEST_METHOD"]
    query = environ.get("QUERY_STRING")
    path = environ["RAW_PATH_INFO"]
    return Request(
        request_id=request_id,
        route_name=route_name,
        service=route.service,
        method=method,
        path=f"{path}?{query}" if query else path,
        headers=caller_headers(environ["headers_raw"]),
        body=body,
        deadline=deadline,
        idempotent=method in route.idempotent_methods,
        retries=min(retries, route.max_attempts - 1),
        depth=depth,
        key=key,
        traced=traced,
    )


def _rejected(environ, timeout_ms, depth, retries, key):
    if timeout_ms is None or not 0 < timeout_ms <= MAX_TIMEOUT_MS:
        return Rejected(
            status=400,
            kind="bad-timeout",
            remedy=f"Send {TIMEOUT_HEADER} of 1 to {MAX_TIMEOUT_MS}.",
        )
    if depth is None or retries is None:
        return Rejected(
            status=400,
            kind="bad-call-headers",
            remedy=f"Pass {DEPTH_HEADER} and {RETRIES_HEADER} on unchanged.",
        )
    if depth >= MAX_CALL_DEPTH:
        return Rejected(
            status=400,
            kind="too-deep",
            remedy=f"Keep calls within {MAX_CALL_DEPTH} levels.",
        )
    if key and issued_at_ms(key) is None:
        return Rejected(
            status=400,
            kind="bad-key",
            remedy=f"Send as {KEY_HEADER} a version 7 UUID, or the 13 "
            "digits of the milliseconds since 1970, a hyphen and any text.",
        )
    given = environ.get("HTTP_X_REQUEST_ID")
    if given is not None and not REQUEST_ID_PATTERN.fullmatch(given):
        return Rejected(
            status=400,
            kind="bad-request-id",
            remedy=f"Send {REQUEST_ID_HEADER} of at most "
            f"{MAX_REQUEST_ID_CHARACTERS} visible ASCII characters, or none.",
        )
    return None


def _number(environ, header, default):
    """Return a header's number, None if it is none, or the default."""
    text = environ.get("HTTP_" + header.upper().replace("-", "_"))
    if text is None:
        return default
    if not NUMBER_PATTERN.fullmatch(text):
        return None
    return int(text)
