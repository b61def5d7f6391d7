"""Explain the outcome of a request from the timeline.

An explanation consists of the last events before the end of the request
about the targets, versions and control hosts involved, and of conclusions
drawn from them.
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
TARGET_CRASHED = "target-died"
CRASHING_REQUEST_REFUSED = "crashing-request-refused"
TARGET_EVENTS = TARGET_UNAVAILABLE_EVENTS | {TARGET_ANNOUNCED}
LIMIT_CHANGED = "target-limit-changed"
# Reasons for refusing a request because of the limits that targets name.
LIMIT_REASONS = frozenset(("rate-limited", "target-limited"))
ACCOUNT_REFUSED = "account-requests-refused"
# Findings by the cause of a refusal for the rate of a client account.
ACCOUNT_FINDINGS_BY_CAUSE = {
    "rate": "it asked for its whole rate at this proxy alone",
    "fraction": "the leader of the log admits {fraction} of its requests",
    "share": "the leader was not heard, and the proxy's share is used up",
}
# Reasons for refusing a request without trying a target.
NO_TARGET_REASONS = frozenset(("no-target", "draining", "unhealthy"))
# What the reasons of the check of callers' keys mean.
ACCOUNT_FINDINGS_BY_REASON = {
    "account-key-missing": "its route is not public, and it had no key of a "
    "client account",
    "account-key-unknown": "no client account of that version holds its key, "
    "and a control host had confirmed that version as the newest one",
    "accounts-behind": "its key is unknown to that version, which may not "
    "have been the newest one: the key was not refused for good",
    "accounts-unconfirmed": "no control host had confirmed that version "
    "within proxy.accounts_lease_seconds, so that its key may be withdrawn",
}
# Reasons for which the proxy's contact with control hosts matters.
POSTPONED_REASONS = frozenset(("accounts-behind", "accounts-unconfirmed"))
# Maximum number of events about unavailable targets in an explanation;
# enough for the targets of a small service.
MAX_UNAVAILABLE_TARGETS = 10
# Maximum number of targets with a named limit in an explanation.
MAX_LIMITED_TARGETS = 10
# Maximum number of earlier crashes by the same request in an explanation.
MAX_CRASHES = 10


@attrs.frozen(kw_only=True)
class Explanation:
    """Explanation of one request.

    `context_events` are the timeline entries that its decisions were based
    on, `findings` the conclusions as lines of text.
    """

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
    earlier_entries = [
        entry for entry in entries if entry.hlc <= request_end.hlc
    ]
    calls = [e for e in request_entries if e.name == CALL_ENDED]
    version_events = _version_events(earlier_entries, request_end)
    # A crash of a target may be found after the request has ended.
    late_crashes = [
        entry
        for entry in request_entries
        if entry.name == TARGET_CRASHED and entry.hlc > request_end.hlc
    ]
    target_events = _target_events(
        earlier_entries + late_crashes, request_end, calls
    )
    crash_events = _crash_events(earlier_entries, request_entries)
    limit_events = _limit_events(earlier_entries, request_end)
    account_events = _account_events(earlier_entries, request_end)
    findings = [
        *_outcome_findings(request_end, calls),
        *_key_findings(request_end),
        *_target_findings(target_events, request_end),
        *_limit_findings(limit_events, request_end),
        *_account_findings(account_events, request_end),
        *_crash_findings(crash_events, request_end),
        *_version_findings(version_events, request_end),
    ]
    context_events = sorted(
        [
            *version_events,
            *target_events,
            *limit_events,
            *account_events,
            *crash_events,
        ],
        key=lambda e: (e.hlc, e.host),
    )
    return Explanation(
        context_events=tuple(context_events), findings=tuple(findings)
    )


def _version_events(earlier_entries, request_end):
    """Return the events that explain which version the entry proxy used.

    These are the activation of that version and, if a newer version had
    been accepted, the acceptance of the last one and the proxy's last
    problem with a control host.
    """
    used_version = request_end.fields.get("version", "")
    proxy_entries = [
        entry for entry in earlier_entries if entry.host == request_end.host
    ]
    activated = [
        entry
        for entry in proxy_entries
        if entry.name == VERSION_ACTIVE
        and entry.fields.get("version") == used_version
    ]
    accepted = [
        entry
        for entry in earlier_entries
        if entry.name == VERSION_ACCEPTED
        and _parse_version(entry.fields.get("version", ""))
        > _parse_version(used_version)
    ]
    events = [*activated[-1:], *accepted[-1:]]
    if accepted or _account_reason(request_end) in POSTPONED_REASONS:
        events += [e for e in proxy_entries if e.name in CONTROL_EVENTS][-1:]
    return events


def _target_events(earlier_entries, request_end, calls):
    """Return the last event about each target that was tried.

    If none was tried because no target was available, returns the last
    events about unavailable targets instead.
    """
    last_by_target = {
        entry.fields["target"]: entry
        for entry in earlier_entries
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


def _limit_events(earlier_entries, request_end):
    """Return the last limit of each target, if limits refused the request."""
    if request_end.fields.get("reason") not in LIMIT_REASONS:
        return []
    last_by_target = {
        entry.fields.get("target"): entry
        for entry in earlier_entries
        if entry.name == LIMIT_CHANGED
    }
    return sorted(last_by_target.values(), key=lambda entry: entry.hlc)[
        -MAX_LIMITED_TARGETS:
    ]


def _account_events(earlier_entries, request_end):
    """Return the last line about refusals of the request's account."""
    account = request_end.fields.get("account")
    if not account:
        return []
    return [
        entry
        for entry in earlier_entries
        if entry.name == ACCOUNT_REFUSED
        and entry.host == request_end.host
        and entry.fields.get("account") == account
    ][-1:]


def _crash_events(earlier_entries, request_entries):
    """Return the crashes for which the request was refused, if it was."""
    fingerprints = {
        entry.fields.get("fingerprint")
        for entry in request_entries
        if entry.name == CRASHING_REQUEST_REFUSED
    }
    return [
        entry
        for entry in earlier_entries
        if entry.name == TARGET_CRASHED
        and entry.fields.get("fingerprint") in fingerprints
    ][-MAX_CRASHES:]


def _outcome_findings(request_end, calls):
    """Yield the outcome of the request and of each call to a target."""
    fields = request_end.fields
    reason = fields.get("reason", "")
    suffix = f", as {reason}" if reason else ""
    yield (
        f"{request_end.host} ended it as {fields.get('outcome')}{suffix}, by "
        f"version {fields.get('version')}"
    )
    for call in calls:
        values = call.fields
        suffix = f" ({values['reason']})" if values.get("reason") else ""
        yield (
            f"attempt {values.get('attempt')} at target "
            f"{values.get('target')}: {values.get('outcome')}{suffix}; it "
            f"had {values.get('busy')} requests in {values.get('slots')} "
            f"slots, and {values.get('error_share')} of its last calls failed"
        )
    if fields.get("outcome") == "Unknown" and calls:
        yield "it may have run at the last of these targets: check its log"
    elif fields.get("outcome") in ("NotRun", "Rejected"):
        yield "it did not run"


def _key_findings(request_end):
    reason = _account_reason(request_end)
    if reason in ACCOUNT_FINDINGS_BY_REASON:
        yield ACCOUNT_FINDINGS_BY_REASON[reason]


def _account_reason(request_end):
    """Return the reason without the prefix for idempotency keys."""
    return request_end.fields.get("reason", "").removeprefix("key-")


def _target_findings(target_events, request_end):
    for entry in target_events:
        if entry.name == TARGET_ANNOUNCED:
            continue
        yield (
            f"target {entry.fields['target']}: {entry.name} at {entry.host}, "
            f"{_distance_to_end(entry, request_end)}"
        )


def _limit_findings(limit_events, request_end):
    for entry in limit_events:
        yield (
            f"target {entry.fields.get('target')} takes "
            f"{entry.fields.get('requests_per_second')} requests a second "
            f"from all proxies (0.0: no limit), as it said "
            f"{_distance_to_end(entry, request_end)}"
        )


def _account_findings(account_events, request_end):
    for entry in account_events:
        fields = entry.fields
        cause = ACCOUNT_FINDINGS_BY_CAUSE.get(fields.get("cause"), "")
        yield (
            f"client account {fields.get('account')} was beyond its rate "
            f"{_distance_to_end(entry, request_end)}: "
            f"{cause.format(fraction=fields.get('fraction'))}; the leader "
            f"was heard {fields.get('age_ms')} ms before (-1: never)"
        )


def _crash_findings(crash_events, request_end):
    for entry in crash_events:
        yield (
            f"the same request crashed target {entry.fields.get('target')} as "
            f"{entry.fields.get('request')}, "
            f"{_distance_to_end(entry, request_end)}"
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
    matching = [entry for entry in entries if entry.name == name]
    return matching[-1] if matching else None


def _parse_version(version):
    """Return the Version in `version`, or NO_VERSION if it is invalid."""
    try:
        return Version.parse(version)
    except ValueError:
        return NO_VERSION


def _distance_to_end(entry, request_end):
    """Return how long before or after the end of the request an event was."""
    milliseconds = _milliseconds_between(entry, request_end)
    if milliseconds < 0:
        return f"{-milliseconds} ms after the end"
    return f"{milliseconds} ms before the end"


def _milliseconds_between(entry, later):
    return physical_milliseconds(later.hlc) - physical_milliseconds(entry.hlc)
