"""Read the body of a caller's request, limited in size and time."""

import contextlib
import time

import eventlet
from eventlet import wsgi

from verbenanotch import loop
from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy._outcome import NotRun, Rejected
from verbenanotch.proxy.exceptions import BodiesFullError, BodyGivenUpError
from verbenanotch.telemetry import metrics

READ_BYTES = 64 * 1024
# Of a body without a length; each further piece is at most as long as what has
# arrived, so that short bodies reserve little.
FIRST_READ_BYTES = 8 * 1024


def read_body(environ, *, max_body_bytes, deadline, reservation, unfinished):
    """Return the complete body, Rejected if it is invalid or late, or NotRun.

    `deadline` is in monotonic seconds. The body may be sent with a
    Content-Length or chunked. Its bytes are taken from `reservation`; NotRun
    means that there are not enough left. Until it has arrived, it is one of
    the UnfinishedBodies `unfinished`.
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
        stream = environ["wsgi.input"]
        with _receipt(stream, length, reservation, unfinished):
            return _read(
                stream, length, max_body_bytes, reservation, unfinished
            )
    except BodiesFullError:
        metrics.increment(f"proxy.refused.{reasons.BODIES_FULL}")
        return NotRun(reason=reasons.BODIES_FULL)
    except BodyGivenUpError as error:
        reservation.release()
        return Rejected(
            status=408,
            kind=error.kind,
            remedy="Send the complete body without a break.",
        )
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
        # Its traceback refers to the frames with the body.
        del timeout


def _receipt(stream, length, reservation, unfinished):
    """Return the context manager in which a body is read.

    One that has arrived costs nothing besides its bytes.
    """
    if length is not None and loop.has_input(stream.rfile, behind=length - 1):
        return contextlib.nullcontext()
    return unfinished.receive(reservation)


def _read(stream, length, max_body_bytes, reservation, unfinished):
    # One byte over the limit shows that a chunked body is too large.
    expected_bytes = max_body_bytes + 1 if length is None else length
    if length is not None:
        unfinished.check(reservation, length)
    max_first_bytes = FIRST_READ_BYTES if length is None else READ_BYTES
    try:
        body = _read_pieces(
            stream, expected_bytes, max_first_bytes, reservation, unfinished
        )
    except (OSError, ValueError, wsgi.ChunkReadError):
        return _cut_short()
    if length is not None and len(body) < length:
        return _cut_short()
    if len(body) > max_body_bytes:
        return _too_large(max_body_bytes)
    return body


def _read_pieces(
    stream, expected_bytes, max_first_bytes, reservation, unfinished
):
    """Return up to `expected_bytes`, each piece taken before it is read."""
    pieces = []
    max_bytes = max_first_bytes
    while expected_bytes:
        size = min(max_bytes, expected_bytes)
        unfinished.take(reservation, size)
        piece = stream.read(size)
        reservation.keep(len(piece) - size)
        unfinished.record_progress(reservation)
        expected_bytes -= len(piece)
        pieces.append(piece)
        if len(piece) < size:
            break
        max_bytes = min(READ_BYTES, reservation.used_bytes)
    return pieces[0] if len(pieces) == 1 else b"".join(pieces)


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
