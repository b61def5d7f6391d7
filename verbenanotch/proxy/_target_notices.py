"""What a target says of its own state in the headers of its answers."""

import re

import attrs

from verbenanotch.proxy import events
from verbenanotch.telemetry import LinePace, emit, metrics

# A positive decimal number of at most nine digits on each side of the point.
RATE_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
# A positive decimal number below 10,000 with at most nine decimal places.
PACE_PATTERN = re.compile(r"[0-9]{1,4}(\.[0-9]{1,9})?")
LOAD_FIELDS_WITHOUT_PACE = 3
LEAVING_VALUE = "1"
MAX_LOGGED_CHARACTERS = 64


@attrs.frozen(kw_only=True)
class TargetNotices:
    """The notices in one answer.

    `limit` is the requests per second that the target takes from the whole
    mesh, and `pace_percent` how long work takes there now, 100 as usual; each
    is None if the target tells none. A header that can't be read is listed in
    `invalid_headers`, with its value; what it tells is
    then None.
    """

    limit: float | None = None
    is_leaving: bool = False
    pace_percent: int | None = None
    invalid_headers: tuple[tuple[str, str], ...] = ()

    def has_invalid(self, header):
        """Return whether a header was there, but could not be read."""
        return any(name == header for name, _ in self.invalid_headers)


NO_NOTICES = TargetNotices()


def read_notices(headers, names):
    """Return the TargetNotices in an answer.

    `headers` are HeaderFields, `names` is a HeaderNames.
    """
    limits = _values(headers, names.target_limit)
    leaving = _values(headers, names.target_leaving)
    loads = _values(headers, names.target_load)
    if not limits and not leaving and not loads:
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
    pace_percent = None
    if _have_pace(loads):
        pace_percent = _parse_pace(loads)
        if pace_percent is None:
            invalid.append((names.target_load, ", ".join(loads)))
    return TargetNotices(
        limit=limit,
        is_leaving=is_leaving,
        pace_percent=pace_percent,
        invalid_headers=tuple(invalid),
    )


class NoticeLog:
    """Log what one target says of itself.

    A target may name another limit in each answer, so that each event is
    logged once a second; all are counted. Times are in
    monotonic seconds.
    """

    def __init__(self):
        """Start with nothing logged."""
        self._pace = LinePace()

    def limit_changed(self, record, rate, *, source, now):
        """Log the rate of a TargetRecord's target; 0 is always logged.

        `source` is the header that named it, or the host that knew it.
        """
        metrics.increment("proxy.target_limits_changed")
        event = events.TARGET_LIMIT_CHANGED
        if self._pace.admit(event.number, now) or not rate:
            emit(
                event,
                target=record.target_id,
                service=record.service,
                requests_per_second=rate,
                source=source,
            )

    def headers_invalid(self, notices, call, now):
        """Log the headers of an answer that could not be read."""
        if not notices.invalid_headers:
            return
        metrics.increment("proxy.target_headers_invalid")
        event = events.TARGET_HEADER_INVALID
        if self._pace.admit(event.number, now):
            header, value = notices.invalid_headers[0]
            emit(
                event,
                request=call.request_id,
                target=call.target_id,
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


def _have_pace(loads):
    """Return whether a target tells more than its requests and slots."""
    return any(load.count(",") >= LOAD_FIELDS_WITHOUT_PACE for load in loads)


def _parse_pace(loads):
    """Return the fourth figure of the one load, at least 1, or None."""
    if len(loads) != 1:
        return None
    *_, pace = fields = [field.strip() for field in loads[0].split(",")]
    if len(fields) != LOAD_FIELDS_WITHOUT_PACE + 1:
        return None
    if not PACE_PATTERN.fullmatch(pace):
        return None
    return round(float(pace)) or None
