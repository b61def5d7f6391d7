"""The platform's liveness reports as announcements of targets."""

import attrs

from verbenanotch.membership import TargetRecord
from verbenanotch.platform._answers import answer_json, read_body
from verbenanotch.platform._fields import field, load_object
from verbenanotch.platform.exceptions import MalformedDocumentError

REPORT_PREFIX = "/instances/"
MAX_REPORT_BYTES = 16 * 1024
DRAINING_BY_STATE = {"ready": False, "draining": True}
MAX_PORT = 65535


@attrs.frozen(kw_only=True)
class Report:
    """What a target says of itself.

    `sequence` grows by report of one start of the target.
    """

    target: TargetRecord
    sequence: int


class ReportInterface:
    """WSGI application by which the host's target announces itself."""

    def __init__(self, *, local_targets):
        """Keep announcements in `local_targets`."""
        self._local_targets = local_targets

    def application(self, environ, start_response):
        """Answer one request; the WSGI entry point."""
        target_id = environ["PATH_INFO"].removeprefix(REPORT_PREFIX)
        if not target_id or target_id == environ["PATH_INFO"]:
            return answer_json(start_response, 404, reason="no such path")
        match environ["REQUEST_METHOD"]:
            case "PUT":
                return self._put(target_id, environ, start_response)
            case "DELETE":
                self._local_targets.remove(target_id)
                return answer_json(start_response, 200)
        return answer_json(start_response, 405, reason="use PUT or DELETE")

    def _put(self, target_id, environ, start_response):
        try:
            report = read_report(
                target_id, read_body(environ, max_bytes=MAX_REPORT_BYTES)
            )
        except MalformedDocumentError as error:
            return answer_json(start_response, 400, reason=str(error))
        if self._local_targets.announce(
            report.target, sequence=report.sequence
        ):
            return answer_json(start_response, 200)
        return answer_json(start_response, 409, reason="not the latest report")


def read_report(target_id, data):
    """Return the Report in a body.

    Raises MalformedDocumentError.
    """
    values = load_object(data)
    state = field(values, "State", str)
    if state not in DRAINING_BY_STATE:
        raise MalformedDocumentError(f"State is {state!r}")
    address, _, port = field(values, "Addr", str).rpartition(":")
    if not (port.isascii() and port.isdecimal()) or int(port) > MAX_PORT:
        raise MalformedDocumentError("Addr has no port")
    slots = field(values, "Slots", int)
    if slots < 1:
        raise MalformedDocumentError(f"Slots is {slots}")
    return Report(
        target=TargetRecord(
            target_id=target_id,
            service=field(values, "Service", str),
            address=address,
            port=int(port),
            slots=slots,
            # When the target started, in milliseconds since 1970.
            incarnation=field(values, "born", int),
            draining=DRAINING_BY_STATE[state],
        ),
        sequence=field(values, "Seq", int),
    )
