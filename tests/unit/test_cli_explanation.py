"""Output of `verbenanotch explain` for given log lines."""

import json

import pytest
from click.testing import CliRunner

from verbenanotch.cli import _explanation
from verbenanotch.cli._catalogue import load_catalogue
from verbenanotch.cli.tool import main

HOST = "p1"


@pytest.fixture
def explain(tmp_path):
    """Return a function that explains request r1 from the given lines."""

    def run(*lines):
        path = tmp_path / "all.log"
        path.write_text("\n".join(map(json.dumps, lines)) + "\n")
        result = CliRunner().invoke(main, ["explain", "r1", str(path)])
        assert result.exit_code == 0, result.output
        return result.stdout

    return run


def log_line(milliseconds, number, name, host=HOST, **fields):
    return {
        # The lower 16 bits of the clock are its logical counter.
        "hlc": milliseconds << 16,
        "host": host,
        "number": number,
        "name": name,
        "level": "info",
        "event": name,
        **fields,
    }


def request_ended(milliseconds, outcome, reason="", version="1.2"):
    return log_line(
        milliseconds,
        5001,
        "request-ended",
        request="r1",
        outcome=outcome,
        reason=reason,
        version=version,
    )


def call_ended(milliseconds, outcome, reason="", target="t1", **fields):
    values = {"attempt": 1, "busy": 36, "slots": 18, "error_share": 0.0}
    return log_line(
        milliseconds,
        5007,
        "call-ended",
        request="r1",
        target=target,
        outcome=outcome,
        reason=reason,
        **(values | fields),
    )


GOLDEN = """\
request r1 on p1:
lines:
  00:00:00.500 p1 [5007] a call ended request=r1 target=t1 outcome=NotRun \
reason=target-full attempt=1 busy=36 slots=18 error_share=0.0
  00:00:00.501 p1 [5001] a request ended request=r1 outcome=NotRun \
reason=target-full version=1.2
beliefs:
  00:00:00.100 p1 [4001] a new version is in force version=1.2
  00:00:00.200 p2 [5013] a target that keeps failing gets no requests for a \
while target=t1
findings:
  p1 ended it as NotRun, as target-full, by version 1.2
  attempt 1 at target t1: NotRun (target-full); it had 36 requests in 18 \
slots, and 0.0 of its last calls failed
  it did not run
  target t1: target-ejected at p2, 301 ms before the end
remedies:
  Check the target's log; the target is tried again automatically.
"""


def test_a_refusal_is_explained_with_load_and_context_events(explain):
    output = explain(
        log_line(100, 4001, "version-in-force", version="1.2"),
        log_line(150, 5013, "target-ejected", host="p3", target="t2"),
        log_line(200, 5013, "target-ejected", host="p2", target="t1"),
        call_ended(500, "NotRun", "target-full"),
        request_ended(501, "NotRun", "target-full"),
        log_line(900, 5005, "target-left", host="p2", target="t1"),
    )
    assert output == GOLDEN


def test_all_event_names_are_in_the_catalogue():
    used = {
        _explanation.REQUEST_ENDED,
        _explanation.CALL_ENDED,
        _explanation.VERSION_ACTIVE,
        _explanation.VERSION_ACCEPTED,
        *_explanation.CONTROL_EVENTS,
        *_explanation.TARGET_EVENTS,
        _explanation.CRASHING_REQUEST_REFUSED,
    }
    assert used <= {event.name for event in load_catalogue()}


def test_versions_are_compared_as_numbers(explain):
    output = explain(
        log_line(1, 2501, "version-accepted", host="c1", version="1.9"),
        log_line(2, 4001, "version-in-force", version="1.10"),
        log_line(3, 4004, "control-lost", peer="c1"),
        request_ended(9, "Answered", "200", version="1.10"),
    )
    assert "was not in force" not in output
    assert "control-lost" not in output


def test_a_version_accepted_later_is_not_a_cause(explain):
    output = explain(
        log_line(2, 4001, "version-in-force", version="1.2"),
        request_ended(9, "Rejected", "no-route"),
        log_line(10, 2501, "version-accepted", host="c1", version="1.3"),
    )
    assert "was not in force" not in output
    assert "it did not run" in output


def test_without_a_target_unavailable_targets_are_listed(explain):
    output = explain(
        log_line(1, 5002, "target-announced", target="t1"),
        log_line(2, 5002, "target-announced", target="t2"),
        log_line(3, 5003, "target-expired", target="t2"),
        request_ended(9, "NotRun", "no-target"),
    )
    assert "target t2: target-expired at p1, 6 ms before the end" in output
    assert "target t1" not in output


def test_a_missing_last_line_is_reported(explain):
    output = explain(call_ended(5, "Unknown", "peer-lost"))
    assert "the entry proxy's last line is missing" in output


def target_crashed(milliseconds, request="r1", target="t1"):
    return log_line(
        milliseconds,
        5016,
        "target-died",
        host="p2",
        request=request,
        target=target,
        fingerprint="f1",
    )


def test_a_crash_found_after_the_last_line_belongs_to_the_request(explain):
    output = explain(
        call_ended(100, "Unknown", "target-broke-off: RemoteDisconnected"),
        request_ended(101, "Unknown"),
        target_crashed(158),
        target_crashed(170, request="r2"),
    )
    assert "target t1: target-died at p2, 57 ms after the end" in output


def test_a_refused_request_names_the_targets_that_it_crashed(explain):
    output = explain(
        target_crashed(50, request="r0", target="t2"),
        log_line(
            100,
            5027,
            "crashing-request-refused",
            request="r1",
            fingerprint="f1",
            crash_count=2,
        ),
        request_ended(101, "NotRun", "crashes-targets"),
    )
    assert "it did not run" in output
    assert "the same request crashed target t2 as r0, 51 ms before" in output


@pytest.mark.parametrize(
    ("outcome", "reason", "finding"),
    [
        ("Rejected", "account-key-missing", "it had no key"),
        ("Rejected", "account-key-unknown", "no client account of that"),
        ("NotRun", "accounts-behind", "not refused for good"),
        ("Unknown", "key-accounts-behind", "not refused for good"),
        ("NotRun", "accounts-unconfirmed", "accounts_lease_seconds"),
    ],
)
def test_the_check_of_a_key_is_explained(explain, outcome, reason, finding):
    assert finding in explain(request_ended(1000, outcome, reason))


@pytest.mark.parametrize(
    ("cause", "finding"),
    [
        ("fraction", "the leader of the log admits 0.25 of its requests"),
        ("share", "the leader was not heard"),
        ("rate", "its whole rate at this proxy alone"),
    ],
)
def test_a_refusal_for_the_rate_of_an_account_is_explained(
    explain, cause, finding
):
    ended = request_ended(1500, "NotRun", reason="account-limited")
    output = explain(
        log_line(
            1400,
            7003,
            "account-requests-refused",
            account="acme",
            cause=cause,
            fraction=0.25,
            age_ms=120,
        ),
        log_line(
            1450,
            7003,
            "account-requests-refused",
            account="other",
            cause="rate",
        ),
        {**ended, "account": "acme"},
    )
    assert "client account acme was beyond its rate" in output
    assert finding in output
    assert "was heard 120 ms before" in output
    assert "account other" not in output
