"""How a stand-in target behaves, and the ledger of what it ran."""

import json
import time

import attrs


@attrs.frozen(kw_only=True)
class Behaviour:
    """How the target treats requests; all of it can change at run time.

    `crash_marker` is a text in a body that kills the process once the run
    is in the ledger. `reported_health` and `reported_in_flight` replace the
    true reports when set. `shed_over` refuses work when more requests are
    in flight; 0 never does. `call_on` is a path that each run asks for
    through the mesh before it answers. `announced_slots` replaces the true
    number of slots in the announcement.
    """

    latency_ms: int = 0
    fail_status: int = 0
    crash_marker: str = ""
    reported_health: int = 0
    reported_in_flight: int = -1
    padding_bytes: int = 0
    cut_body: bool = False
    honour_cancellation: bool = True
    shed_over: int = 0
    call_on: str = ""
    announced_slots: int = 0

    def changed(self, values):
        """Return a copy with `values`, texts included; ignore the rest."""
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
    """Append-only file of runs, one JSON object a line."""

    def __init__(self, *, path, target):
        """Open the file at `path` for appending."""
        self._file = open(  # noqa: SIM115 (open until the process exits)
            path, "a", encoding="utf-8", buffering=1
        )
        self._target = target

    def write(self, phase, request):
        """Record that a run has `started`, `finished` or was `cancelled`."""
        record = {
            "phase": phase,
            "target": self._target,
            "time": time.time(),
            **attrs.asdict(request),
        }
        self._file.write(json.dumps(record) + "\n")
