"""Check announced targets before anything depends on them."""

import ipaddress
import re
import time

from verbenanotch.catalog import NAME_PATTERN
from verbenanotch.documents import MAX_INTEGER, value_problems
from verbenanotch.proxy import events
from verbenanotch.proxy._announcement_refusals import InvalidTarget
from verbenanotch.telemetry import LinePace, emit, metrics

MAX_PORT = 65535
MAX_SLOTS = 65536
MAX_SEQUENCE = 2**53
MAX_LOGGED_CHARACTERS = 64
# The id is sent in a header of each request.
ID_PATTERN = re.compile(r"[!-~]{1,256}")


class AnnouncementChecker:
    """Check the announcements of a host's targets; count and log refusals."""

    def __init__(self):
        """Start without refusals."""
        self._pace = LinePace()

    def refusal(self, record, sequence):
        """Return InvalidTarget if this can't be a target, else None.

        `record` is the announced TargetRecord.
        """
        refusal = _find_invalid(record, sequence)
        if refusal is None:
            return None
        metrics.increment("proxy.announcements_invalid")
        event = events.ANNOUNCEMENT_INVALID
        if self._pace.admit(event.number, time.monotonic()):
            emit(
                event,
                target=record.target_id[:MAX_LOGGED_CHARACTERS],
                problem=refusal.problem,
            )
        return refusal


def _find_invalid(record, sequence):
    for problem in value_problems(record):
        return InvalidTarget(
            problem=f"{problem.key}: {problem.text}", remedy=problem.remedy
        )
    if not ID_PATTERN.fullmatch(record.target_id):
        return InvalidTarget(
            problem="the id of the target does not fit into a header",
            remedy="Use up to 256 visible ASCII characters.",
        )
    if not NAME_PATTERN.fullmatch(record.service):
        return InvalidTarget(
            problem="the service is not a valid name",
            remedy="Use the name of a service of the mesh.",
        )
    if not _is_ipv4(record.address):
        return InvalidTarget(
            problem="the address is not an IPv4 address",
            remedy="Use the address at which the target listens.",
        )
    return (
        _find_out_of_range("port", record.port, 1, MAX_PORT)
        or _find_out_of_range("slots", record.slots, 1, MAX_SLOTS)
        or _find_out_of_range("sequence", sequence, 0, MAX_SEQUENCE)
        or _find_out_of_range(
            "incarnation", record.incarnation, 0, MAX_INTEGER
        )
    )


def _find_out_of_range(field, value, minimum, maximum):
    if minimum <= value <= maximum:
        return None
    return InvalidTarget(
        problem=f"{field} is out of range",
        remedy=f"Use {minimum} to {maximum}.",
    )


def _is_ipv4(text):
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True
