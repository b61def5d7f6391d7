"""Timelines and explanations from several event files and logs."""

import json

import pytest
from click.testing import CliRunner

from verbenanotch.cli.tool import main


def write_events(path, *records):
    lines = [
        json.dumps(
            {
                # The lower 16 bits of the clock are its logical counter.
                "hlc": hlc << 16,
                "host": path.name.split(".")[0],
                "event": 8001,
                "name": "submission-answered",
                "level": "info",
                **fields,
            }
        )
        for hlc, fields in records
    ]
    path.write_text("\n".join(lines) + "\n")


@pytest.fixture
def directory(tmp_path):
    write_events(
        tmp_path / "a.events.jsonl",
        (3, {"request": "r1"}),
        (1, {"version": "1.2"}),
    )
    write_events(tmp_path / "b.events.jsonl", (2, {"request_id": "r1"}))
    return tmp_path


def run_as_json(*arguments):
    result = CliRunner().invoke(main, [*map(str, arguments), "--json"])
    return result.exit_code, json.loads(result.stdout)


def test_entries_are_ordered_by_the_clock_not_by_their_file(directory):
    _, value = run_as_json("timeline", directory)
    assert [e["hlc"] >> 16 for e in value["entries"]] == [1, 2, 3]
    assert [e["host"] for e in value["entries"]] == ["a", "b", "a"]


@pytest.mark.parametrize(
    ("filters", "count"),
    [
        (("--version", "1.2"), 1),
        (("--request", "r1"), 2),
        (("--host", "b"), 1),
        (("--host", "b", "--version", "1.2"), 0),
    ],
)
def test_filters_select_matching_entries(directory, filters, count):
    _, value = run_as_json("timeline", directory, *filters)
    assert len(value["entries"]) == count


def test_a_truncated_line_is_counted_and_skipped(directory):
    path = directory / "a.events.jsonl"
    path.write_text(path.read_text() + '{"hlc": 12')
    _, value = run_as_json("timeline", directory)
    assert len(value["entries"]) == 3
    assert value["skipped_by_path"] == {str(path): 1}


def test_explains_a_request_across_hosts(directory):
    code, value = run_as_json("explain", "r1", directory)
    assert (code, value["hosts"]) == (0, ["b", "a"])
    assert run_as_json("explain", "r9", directory)[0] == 1


LOG = """\
  0.4873 a {"number": 5007, "name": "call-ended", "hlc": 131072, "host": "a",\
 "request": "r1", "target": "t", "busy": 36, "event": "a call ended",\
 "level": "info"}
{"number": 5001, "name": "request-ended", "hlc": 196608, "host": "b",\
 "request": "r1", "outcome": "NotRun", "event": "a request ended",\
 "level": "info"}
{"event": "log lines were dropped", "lines": 4}
"""


def test_logs_are_read_if_there_are_no_event_files(tmp_path):
    (tmp_path / "all.log").write_text(LOG)
    code, value = run_as_json("explain", "r1", tmp_path)
    assert (code, value["hosts"]) == (0, ["a", "b"])
    assert [entry["number"] for entry in value["entries"]] == [5007, 5001]
    assert value["entries"][0]["fields"]["busy"] == 36
    assert "event" not in value["entries"][0]["fields"]


def test_logs_beside_event_files_are_ignored(directory):
    (directory / "all.log").write_text(LOG)
    _, value = run_as_json("timeline", directory)
    assert len(value["entries"]) == 3


def test_logs_are_read_from_standard_input():
    result = CliRunner().invoke(main, ["explain", "r1", "-"], input=LOG)
    assert result.exit_code == 0
    assert "busy=36" in result.stdout


def test_missing_event_files_exit_with_2(tmp_path):
    assert run_as_json("timeline", tmp_path)[0] == 2
    assert run_as_json("timeline", tmp_path / "none")[0] == 2
