"""What a target says of its own state in the headers of its answers."""

import re

import attrs

from verbenanotch.proxy import events
from verbenanotch.telemetry import emit, metrics

# A positive decimal number of at most nine digits on each side of the point.
RATE_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
LEAVING_VALUE = "1"
MAX_LOGGED_CHARACTERS = 64


@attrs.frozen(kw_only=True)
class TargetNotices:
    """The notices in one answer.

    `limit` is the requests per second that the target takes from the whole
    mesh, None if it names none. A header that can't be read is listed in
    `invalid_headers`, with its value; `limit` then says nothing.
    """

    limit: float | None = None
    is_leaving: bool = False
    invalid_headers: tuple[tuple[str, str], ...] = ()

    def has_invalid(self, header):
        """Return whether a header was there, but could not be read."""
        return any(name == header for name, _ in self.invalid_headers)


NO_NOTICES = TargetNotices()


def read_notices(headers, names):
    """Return the TargetNotices in an answer.

    `headers` is an `http.client.HTTPMessage`, `names` a HeaderNames.
    """
    limits = _values(headers, names.target_limit)
    leaving = _values(headers, names.target_leaving)
    if not limits and not leaving:
        return NO_NOTICES
    invalid = []
    limit = None
    if limits:
        limit = _parse_rate(limits)
        if limit is None:
            invalid.append((names.target_limit, ", ".join(limits)))
    is_leaving = leaving == [LEAVING_VALUE]
    if leaving and not is_leaving:
        invalid.append((names.target_leaving, ", ".join(leaving)))
    return TargetNotices(
        limit=limit, is_leaving=is_leaving, invalid_headers=tuple(invalid)
    )


def log_invalid_headers(notices, target_id, request_id):
    """Log the headers that could not be read; the target stays in use."""
    for header, value in notices.invalid_headers:
        metrics.increment("proxy.target_headers_invalid")
        emit(
            events.TARGET_HEADER_INVALID,
            request=request_id,
            target=target_id,
            header=header,
            value=value[:MAX_LOGGED_CHARACTERS],
        )


def _values(headers, name):
    """Return all values of a header; none for an empty name."""
    return headers.get_all(name, []) if name else []


def _parse_rate(values):
    """Return the one positive number in a list of values, or None."""
    if len(values) != 1 or not RATE_PATTERN.fullmatch(values[0].strip()):
        return None
    return float(values[0]) or None
