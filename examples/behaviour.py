"""Behaviour of a stand-in target, and the ledger of its runs."""

import json
import time

import attrs


@attrs.frozen(kw_only=True)
class Behaviour:
    """How the target treats requests; fields can change at run time.

    `fail_status` above 0 replaces the status 200 of the answers. `cut_body`
    sends only half of each body, with the full length in the headers. With
    `honour_cancellation` a run ends when its client disconnects. A request
    whose body contains `crash_marker` kills the process `crash_after_ms` after
    the run is in the ledger, whether or not its client is still connected.
    `reported_health` (an HTTP status) and
    `reported_in_flight` replace the true values unless they have their
    defaults. With `shed_over` above 0, a request is refused when at least
    that many others are in flight. `call_on` is a path that each run
    requests through the mesh before it answers. `announced_slots` above 0
    replaces the true number of slots in the announcement; it is read only at
    the start. `named_limit` is the rate that all answers name as the target's
    limit, in requests per second; a comma makes two headers of it. With
    `says_leaving`, all answers say that the target is about to exit. With
    `told_pace`, all answers tell the target's load with that pace.
    `software_version` is in the announcement unless it is empty; it is read
    only at the start. Without `announces`, announcements are not renewed.
    """

    latency_ms: int = 0
    fail_status: int = 0
    crash_marker: str = ""
    crash_after_ms: int = 0
    reported_health: int = 0
    reported_in_flight: int = -1
    padding_bytes: int = 0
    cut_body: bool = False
    honour_cancellation: bool = True
    shed_over: int = 0
    call_on: str = ""
    announced_slots: int = 0
    named_limit: str = ""
    says_leaving: bool = False
    software_version: str = ""
    told_pace: str = ""
    announces: bool = True

    def with_changes(self, values):
        """Return a copy with the given values by field name.

        Strings are converted to the type of the field; unknown names are
        ignored.
        """
        changes = {}
        for field in attrs.fields(type(self)):
            if field.name in values:
                changes[field.name] = _convert(
                    values[field.name], field.default
                )
        return attrs.evolve(self, **changes)


def _convert(value, default):
    if isinstance(default, bool):
        return value in (True, 1, "1", "true")
    return type(default)(value)


class Ledger:
    """Append-only file of runs, one JSON object per line."""

    def __init__(self, *, path, target):
        """Open the file at `path` for appending."""
        self._file = open(  # noqa: SIM115 (open until the process exits)
            path, "a", encoding="utf-8", buffering=1
        )
        self._target = target

    def write(self, phase, request):
        """Record a run's phase: `started`, `finished` or `cancelled`."""
        record = {
            "phase": phase,
            "target": self._target,
            "time": time.time(),
            **attrs.asdict(request),
        }
        self._file.write(json.dumps(record) + "\n")
