"""Read the body of a caller's request, limited in size and time."""

import time

import eventlet
from eventlet import wsgi

from verbenanotch.proxy._outcome import Rejected


def read_body(environ, *, max_body_bytes, deadline):
    """Return the complete body, or Rejected if it is invalid or late.

    `deadline` is in monotonic seconds. The body may be sent with a
    Content-Length or chunked.
    """
    encoding = environ.get("HTTP_TRANSFER_ENCODING")
    if encoding is None:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length == 0:
            return b""
    elif encoding.lower() != "chunked":
        return Rejected(
            status=501,
            kind="bad-transfer-encoding",
            remedy="Send Content-Length, or Transfer-Encoding: chunked.",
        )
    else:
        length = None
    if length is not None and length > max_body_bytes:
        return _too_large(max_body_bytes)
    timeout = eventlet.Timeout(max(0, deadline - time.monotonic()))
    try:
        return _read(environ["wsgi.input"], length, max_body_bytes)
    except eventlet.Timeout as error:
        if error is not timeout:
            raise
        return Rejected(
            status=408,
            kind="body-late",
            remedy="Send the complete body before the request's deadline.",
        )
    finally:
        timeout.cancel()


def _read(stream, length, max_body_bytes):
    try:
        # One byte over the limit shows that a chunked body is too large.
        body = stream.read(max_body_bytes + 1 if length is None else length)
    except (OSError, ValueError, wsgi.ChunkReadError):
        return _cut_short()
    if length is not None and len(body) < length:
        return _cut_short()
    if len(body) > max_body_bytes:
        return _too_large(max_body_bytes)
    return body


def _cut_short():
    return Rejected(
        status=400,
        kind="body-cut-short",
        remedy="Send as many bytes as declared.",
    )


def _too_large(max_body_bytes):
    return Rejected(
        status=413,
        kind="body-too-large",
        remedy=f"Send at most {max_body_bytes} bytes.",
    )
