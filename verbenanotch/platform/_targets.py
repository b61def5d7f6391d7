"""Convert the platform's liveness reports to target announcements."""

import re
import time

import attrs

from verbenanotch.membership import TargetRecord
from verbenanotch.platform._fields import get_field, load_checked_object
from verbenanotch.platform._responses import read_body, respond_json
from verbenanotch.platform.exceptions import MalformedDocumentError
from verbenanotch.proxy import InvalidTarget

REPORT_PREFIX = "/instances/"
MAX_REPORT_BYTES = 16 * 1024
DRAINING_BY_STATE = {"ready": False, "draining": True}
MAX_COLD_SECONDS = 24 * 3600
# The clocks of two hosts, or of one before and after a step, differ by less.
MAX_CLOCK_LEAD_MS = 3600 * 1000
MILLISECONDS_PER_SECOND = 1000
MAX_PORT = 65535
PORT_PATTERN = re.compile(r"[0-9]{1,5}")


@attrs.frozen(kw_only=True)
class Report:
    """The announcement in one report of a target.

    `sequence` increases with each report of one incarnation of the target.
    """

    target: TargetRecord
    sequence: int


class ReportInterface:
    """WSGI application through which local targets announce themselves."""

    def __init__(self, *, local_targets):
        """Store the LocalTargets that receive the announcements."""
        self._local_targets = local_targets

    def application(self, environ, start_response):
        """Handle one request as a WSGI callable."""
        target_id = environ["PATH_INFO"].removeprefix(REPORT_PREFIX)
        if not target_id or target_id == environ["PATH_INFO"]:
            return respond_json(start_response, 404, reason="no such path")
        match environ["REQUEST_METHOD"]:
            case "PUT":
                return self._put(target_id, environ, start_response)
            case "DELETE":
                self._local_targets.remove(target_id)
                return respond_json(start_response, 200)
        return respond_json(start_response, 405, reason="use PUT or DELETE")

    def _put(self, target_id, environ, start_response):
        try:
            report = read_report(
                target_id, read_body(environ, max_bytes=MAX_REPORT_BYTES)
            )
        except MalformedDocumentError as error:
            return respond_json(start_response, 400, reason=str(error))
        refusal = self._local_targets.announce_or_explain(
            report.target, sequence=report.sequence
        )
        match refusal:
            case None:
                return respond_json(start_response, 200)
            case InvalidTarget(problem=problem):
                return respond_json(start_response, 400, reason=problem)
        return respond_json(
            start_response, 409, reason="not the latest report"
        )


def read_report(target_id, data):
    """Parse the body of a target's report into a Report.

    Raises MalformedDocumentError.
    """
    values = load_checked_object(data)
    _check_other_fields(values)
    state = get_field(values, "State", str)
    if state not in DRAINING_BY_STATE:
        raise MalformedDocumentError(f"State has the unknown value {state!r}")
    address, _, port = get_field(values, "Addr", str).rpartition(":")
    if not PORT_PATTERN.fullmatch(port) or int(port) > MAX_PORT:
        raise MalformedDocumentError("Addr has no valid port")
    slots = get_field(values, "Slots", int)
    if slots < 1:
        raise MalformedDocumentError(f"Slots must be positive: {slots}")
    return Report(
        target=TargetRecord(
            target_id=target_id,
            service=get_field(values, "Service", str),
            address=address,
            port=int(port),
            slots=slots,
            incarnation=_started_at_ms(values),
            draining=DRAINING_BY_STATE[state],
            software_version=_software_version(values),
        ),
        sequence=get_field(values, "Seq", int),
    )


def _check_other_fields(values):
    """Check the fields of a report that announce nothing, if it has them."""
    get_field(values, "Zone", str, default="")
    cold_left_seconds = get_field(values, "ColdLeftS", int, float, default=0)
    if not 0 <= cold_left_seconds <= MAX_COLD_SECONDS:
        raise MalformedDocumentError("ColdLeftS is out of range")


def _started_at_ms(values):
    """Return when the target started, in milliseconds since 1970."""
    born_ms = get_field(values, "born", int)
    now_ms = time.time() * MILLISECONDS_PER_SECOND
    if not 0 <= born_ms <= now_ms + MAX_CLOCK_LEAD_MS:
        raise MalformedDocumentError("born is not a time of the past")
    return born_ms


def _software_version(values):
    """Return the version in a report; empty if it is missing or no text."""
    value = values.get("Version", "")
    return value if type(value) is str else ""
