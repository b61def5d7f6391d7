"""What follows for one request from the time line of all hosts."""

import json

import pytest
from click.testing import CliRunner

from verbenanotch.cli import _beliefs
from verbenanotch.cli._catalogue import load_catalogue
from verbenanotch.cli.tool import main

HOST = "p1"


@pytest.fixture
def explain(tmp_path):
    """Return the findings about request r1 by lines of a log."""

    def run(*lines):
        path = tmp_path / "all.log"
        path.write_text("\n".join(map(json.dumps, lines)) + "\n")
        result = CliRunner().invoke(main, ["explain", "r1", str(path)])
        assert result.exit_code == 0, result.output
        return result.stdout

    return run


def line(milliseconds, number, name, host=HOST, **fields):
    return {
        "hlc": milliseconds << 16,
        "host": host,
        "number": number,
        "name": name,
        "level": "info",
        "event": name,
        **fields,
    }


def ended(milliseconds, outcome, reason="", version="1.2"):
    return line(
        milliseconds,
        5001,
        "request-ended",
        request="r1",
        outcome=outcome,
        reason=reason,
        version=version,
    )


def call(milliseconds, outcome, reason="", target="t1", **fields):
    values = {"attempt": 1, "busy": 36, "slots": 18, "error_share": 0.0}
    return line(
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
  Look at the target's own log; it is tried again by itself.
"""


def test_a_refusal_is_told_with_load_and_belief(explain):
    output = explain(
        line(100, 4001, "version-in-force", version="1.2"),
        line(150, 5013, "target-ejected", host="p3", target="t2"),
        line(200, 5013, "target-ejected", host="p2", target="t1"),
        call(500, "NotRun", "target-full"),
        ended(501, "NotRun", "target-full"),
        line(900, 5005, "target-left", host="p2", target="t1"),
    )
    assert output == GOLDEN


def test_the_names_of_events_are_those_of_the_catalogue():
    used = {
        _beliefs.REQUEST_ENDED,
        _beliefs.CALL_ENDED,
        _beliefs.VERSION_ACTIVE,
        _beliefs.VERSION_ACCEPTED,
        *_beliefs.CONTROL_EVENTS,
        *_beliefs.TARGET_EVENTS,
    }
    assert used <= {event.name for event in load_catalogue()}


def test_versions_compare_by_their_numbers(explain):
    output = explain(
        line(1, 2501, "version-accepted", host="c1", version="1.9"),
        line(2, 4001, "version-in-force", version="1.10"),
        line(3, 4004, "control-lost", peer="c1"),
        ended(9, "Answered", "200", version="1.10"),
    )
    assert "was not in force" not in output
    assert "control-lost" not in output


def test_a_version_that_came_later_is_no_cause(explain):
    output = explain(
        line(2, 4001, "version-in-force", version="1.2"),
        ended(9, "Rejected", "no-route"),
        line(10, 2501, "version-accepted", host="c1", version="1.3"),
    )
    assert "was not in force" not in output
    assert "it did not run" in output


def test_without_any_target_those_that_are_missing_are_told(explain):
    output = explain(
        line(1, 5002, "target-announced", target="t1"),
        line(2, 5002, "target-announced", target="t2"),
        line(3, 5003, "target-expired", target="t2"),
        ended(9, "NotRun", "no-target"),
    )
    assert "target t2: target-expired at p1, 6 ms before the end" in output
    assert "target t1" not in output


def test_a_missing_last_line_is_said(explain):
    output = explain(call(5, "Unknown", "peer-lost"))
    assert "the entry proxy's last line is missing" in output
