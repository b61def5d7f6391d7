"""What the hosts of a request believed when it was decided.

Reads nothing but the time line: the last event about each target, version
and control host that a decision rested on, and what follows from them.
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
TARGET_MISSING_EVENTS = frozenset(
    (
        "target-draining",
        "target-left",
        "target-expired",
        "target-died",
        "target-ejected",
    )
)
TARGET_EVENTS = TARGET_MISSING_EVENTS | {TARGET_ANNOUNCED}
# Refusals before any target was asked, as none could be.
WITHOUT_TARGET_REASONS = frozenset(("no-target", "draining", "unhealthy"))
# Lines about targets that cannot be asked; enough for a service of a few.
MAX_MISSING_TARGETS = 10


@attrs.frozen(kw_only=True)
class Explanation:
    """Events that a request's decisions rested on, and what follows."""

    beliefs: tuple
    findings: tuple[str, ...]


def explain_beliefs(entries, request_entries):
    """Return the Explanation of one request.

    `entries` is the whole time line, `request_entries` the request's part.
    """
    ended = _last(request_entries, REQUEST_ENDED)
    if ended is None:
        return Explanation(
            beliefs=(),
            findings=(
                "the entry proxy's last line is missing: it was not among the "
                "logs, or was dropped within the budget of lines",
            ),
        )
    before = [entry for entry in entries if entry.hlc <= ended.hlc]
    calls = [e for e in request_entries if e.name == CALL_ENDED]
    version = _version_beliefs(before, ended)
    targets = _target_beliefs(before, ended, calls)
    findings = [
        *_outcome_findings(ended, calls),
        *_target_findings(targets, ended),
        *_version_findings(version, ended),
    ]
    beliefs = sorted([*version, *targets], key=lambda e: (e.hlc, e.host))
    return Explanation(beliefs=tuple(beliefs), findings=tuple(findings))


def _version_beliefs(before, ended):
    """Return what the entry proxy held, and what was accepted since."""
    held = ended.fields.get("version", "")
    own = [entry for entry in before if entry.host == ended.host]
    in_force = [
        entry
        for entry in own
        if entry.name == VERSION_ACTIVE and entry.fields.get("version") == held
    ]
    accepted = [
        entry
        for entry in before
        if entry.name == VERSION_ACCEPTED
        and _parsed(entry.fields.get("version", "")) > _parsed(held)
    ]
    beliefs = [*in_force[-1:], *accepted[-1:]]
    if accepted:
        beliefs += [e for e in own if e.name in CONTROL_EVENTS][-1:]
    return beliefs


def _target_beliefs(before, ended, calls):
    """Return the last event about each target that was asked.

    Without any, those about targets that cannot be asked.
    """
    last_by_target = {
        entry.fields["target"]: entry
        for entry in before
        if entry.name in TARGET_EVENTS and "target" in entry.fields
    }
    if calls:
        asked = {call.fields.get("target") for call in calls}
        return [e for t, e in last_by_target.items() if t in asked]
    if ended.fields.get("reason") not in WITHOUT_TARGET_REASONS:
        return []
    missing = [
        entry
        for entry in last_by_target.values()
        if entry.name in TARGET_MISSING_EVENTS
    ]
    return sorted(missing, key=lambda entry: entry.hlc)[-MAX_MISSING_TARGETS:]


def _outcome_findings(ended, calls):
    """Tell how the request ended, and how each call did."""
    fields = ended.fields
    reason = fields.get("reason", "")
    because = f", as {reason}" if reason else ""
    yield (
        f"{ended.host} ended it as {fields.get('outcome')}{because}, by "
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
        yield "it may have run at the last of these targets: ask its log"
    elif fields.get("outcome") in ("NotRun", "Rejected"):
        yield "it did not run"


def _target_findings(targets, ended):
    for entry in targets:
        if entry.name == TARGET_ANNOUNCED:
            continue
        yield (
            f"target {entry.fields['target']}: {entry.name} at {entry.host}, "
            f"{_milliseconds_between(entry, ended)} ms before the end"
        )


def _version_findings(version, ended):
    for entry in version:
        milliseconds = _milliseconds_between(entry, ended)
        if entry.name == VERSION_ACCEPTED:
            yield (
                f"version {entry.fields['version']} had been accepted "
                f"{milliseconds} ms before and was not in force at "
                f"{ended.host}"
            )
        elif entry.name in CONTROL_EVENTS:
            yield (
                f"{ended.host}: {entry.name} of "
                f"{entry.fields.get('peer', '-')}, {milliseconds} ms before "
                "the end"
            )


def _last(entries, name):
    found = [entry for entry in entries if entry.name == name]
    return found[-1] if found else None


def _parsed(version):
    """Return the Version of a text, the least one if it is none."""
    try:
        return Version.parse(version)
    except ValueError:
        return NO_VERSION


def _milliseconds_between(entry, later):
    return physical_milliseconds(later.hlc) - physical_milliseconds(entry.hlc)
