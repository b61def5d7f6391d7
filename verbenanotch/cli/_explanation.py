"""Explain a request by what its hosts knew when they decided about it.

The only input is the timeline: the last event about each target, version
and control host that a decision was based on, and the conclusions.
"""

import attrs

from verbenanotch.catalog import NO_VERSION, Version
from verbenanotch.telemetry import physical_milliseconds

REQUEST_ENDED = "request-ended"
CALL_ENDED = "call-ended"
VERSION_ACTIVE = "version-in-force"
VERSION_ACCEPTED = "version-accepted"
CONTROL_EVENTS = frozenset(
    ("control-lost", "control-silent", "control-stale", "floor-open")
)
TARGET_ANNOUNCED = "target-announced"
TARGET_UNAVAILABLE_EVENTS = frozenset(
    (
        "target-draining",
        "target-left",
        "target-expired",
        "target-died",
        "target-ejected",
    )
)
TARGET_EVENTS = TARGET_UNAVAILABLE_EVENTS | {TARGET_ANNOUNCED}
# Reasons for refusing a request without trying a target.
NO_TARGET_REASONS = frozenset(("no-target", "draining", "unhealthy"))
# Limits the events about unavailable targets; enough for small services.
MAX_UNAVAILABLE_TARGETS = 10


@attrs.frozen(kw_only=True)
class Explanation:
    """Events that the decisions were based on, and the conclusions."""

    context_events: tuple
    findings: tuple[str, ...]


def explain_decisions(entries, request_entries):
    """Return the Explanation of one request.

    `entries` is the full timeline, `request_entries` the entries that
    mention the request.
    """
    request_end = _last_entry(request_entries, REQUEST_ENDED)
    if request_end is None:
        return Explanation(
            context_events=(),
            findings=(
                "the entry proxy's last line is missing: it was not among the "
                "logs, or was dropped by the limit on log lines",
            ),
        )
    before = [entry for entry in entries if entry.hlc <= request_end.hlc]
    calls = [e for e in request_entries if e.name == CALL_ENDED]
    version_events = _version_events(before, request_end)
    target_events = _target_events(before, request_end, calls)
    findings = [
        *_outcome_findings(request_end, calls),
        *_target_findings(target_events, request_end),
        *_version_findings(version_events, request_end),
    ]
    context_events = sorted(
        [*version_events, *target_events], key=lambda e: (e.hlc, e.host)
    )
    return Explanation(
        context_events=tuple(context_events), findings=tuple(findings)
    )


def _version_events(before, request_end):
    """Return the events that explain the entry proxy's version.

    These are the activation of its version, the last newer version that
    was accepted and, if there is one, the last problem with a control host.
    """
    current = request_end.fields.get("version", "")
    own = [entry for entry in before if entry.host == request_end.host]
    activated = [
        entry
        for entry in own
        if entry.name == VERSION_ACTIVE
        and entry.fields.get("version") == current
    ]
    accepted = [
        entry
        for entry in before
        if entry.name == VERSION_ACCEPTED
        and _parse_version(entry.fields.get("version", ""))
        > _parse_version(current)
    ]
    events = [*activated[-1:], *accepted[-1:]]
    if accepted:
        events += [e for e in own if e.name in CONTROL_EVENTS][-1:]
    return events


def _target_events(before, request_end, calls):
    """Return the last event about each target that was tried.

    If none was tried because there was no target, return the last events
    about unavailable targets.
    """
    last_by_target = {
        entry.fields["target"]: entry
        for entry in before
        if entry.name in TARGET_EVENTS and "target" in entry.fields
    }
    if calls:
        tried = {call.fields.get("target") for call in calls}
        return [e for t, e in last_by_target.items() if t in tried]
    if request_end.fields.get("reason") not in NO_TARGET_REASONS:
        return []
    unavailable = [
        entry
        for entry in last_by_target.values()
        if entry.name in TARGET_UNAVAILABLE_EVENTS
    ]
    return sorted(unavailable, key=lambda entry: entry.hlc)[
        -MAX_UNAVAILABLE_TARGETS:
    ]


def _outcome_findings(request_end, calls):
    """Yield the outcome of the request and of each call."""
    fields = request_end.fields
    reason = fields.get("reason", "")
    because = f", as {reason}" if reason else ""
    yield (
        f"{request_end.host} ended it as {fields.get('outcome')}{because}, by "
        f"version {fields.get('version')}"
    )
    for call in calls:
        values = call.fields
        because = f" ({values['reason']})" if values.get("reason") else ""
        yield (
            f"attempt {values.get('attempt')} at target "
            f"{values.get('target')}: {values.get('outcome')}{because}; it "
            f"had {values.get('busy')} requests in {values.get('slots')} "
            f"slots, and {values.get('error_share')} of its last calls failed"
        )
    if fields.get("outcome") == "Unknown" and calls:
        yield "it may have run at the last of these targets: check its log"
    elif fields.get("outcome") in ("NotRun", "Rejected"):
        yield "it did not run"


def _target_findings(target_events, request_end):
    for entry in target_events:
        if entry.name == TARGET_ANNOUNCED:
            continue
        yield (
            f"target {entry.fields['target']}: {entry.name} at {entry.host}, "
            f"{_milliseconds_between(entry, request_end)} ms before the end"
        )


def _version_findings(version_events, request_end):
    for entry in version_events:
        milliseconds = _milliseconds_between(entry, request_end)
        if entry.name == VERSION_ACCEPTED:
            yield (
                f"version {entry.fields['version']} had been accepted "
                f"{milliseconds} ms before and was not in force at "
                f"{request_end.host}"
            )
        elif entry.name in CONTROL_EVENTS:
            yield (
                f"{request_end.host}: {entry.name} of "
                f"{entry.fields.get('peer', '-')}, {milliseconds} ms before "
                "the end"
            )


def _last_entry(entries, name):
    found = [entry for entry in entries if entry.name == name]
    return found[-1] if found else None


def _parse_version(version):
    """Return the Version in `version`, or NO_VERSION if it is invalid."""
    try:
        return Version.parse(version)
    except ValueError:
        return NO_VERSION


def _milliseconds_between(entry, later):
    return physical_milliseconds(later.hlc) - physical_milliseconds(entry.hlc)
