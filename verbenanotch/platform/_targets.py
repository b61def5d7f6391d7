"""Convert the platform's liveness reports to target announcements."""

import attrs

from verbenanotch.membership import TargetRecord
from verbenanotch.platform._fields import get_field, load_object
from verbenanotch.platform._responses import read_body, respond_json
from verbenanotch.platform.exceptions import MalformedDocumentError

REPORT_PREFIX = "/instances/"
MAX_REPORT_BYTES = 16 * 1024
DRAINING_BY_STATE = {"ready": False, "draining": True}
MAX_PORT = 65535


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
        if self._local_targets.announce(
            report.target, sequence=report.sequence
        ):
            return respond_json(start_response, 200)
        return respond_json(
            start_response, 409, reason="not the latest report"
        )


def read_report(target_id, data):
    """Parse the body of a target's report into a Report.

    Raises MalformedDocumentError.
    """
    values = load_object(data)
    state = get_field(values, "State", str)
    if state not in DRAINING_BY_STATE:
        raise MalformedDocumentError(f"State has the unknown value {state!r}")
    address, _, port = get_field(values, "Addr", str).rpartition(":")
    if not (port.isascii() and port.isdecimal()) or int(port) > MAX_PORT:
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
            # The start time of the target in milliseconds since 1970.
            incarnation=get_field(values, "born", int),
            draining=DRAINING_BY_STATE[state],
            software_version=_software_version(values),
        ),
        sequence=get_field(values, "Seq", int),
    )


def _software_version(values):
    """Return the version in a report; empty if it is missing or no text."""
    value = values.get("Version", "")
    return value if type(value) is str else ""
