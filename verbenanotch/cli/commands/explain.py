"""Explain what happened to one request."""

import sys

import click

from verbenanotch.cli import _options
from verbenanotch.cli._catalogue import load_catalogue
from verbenanotch.cli._explanation import explain_decisions
from verbenanotch.cli._timeline import (
    describe_entry,
    find_event_files,
    read_timeline,
    to_value,
)
from verbenanotch.cli.exceptions import EXIT_REFUSED
from verbenanotch.telemetry import events_by_number


def explain_request(request_id, paths):
    """Return a request's events and their explanation as JSON values.

    `entries` and, as text, `lines` are the events that mention the request,
    `beliefs` the events that the decisions about it were based on,
    `findings` the conclusions from both.
    """
    timeline_entries = read_timeline(paths).entries
    entries = [e for e in timeline_entries if e.matches(request=request_id)]
    explanation = explain_decisions(timeline_entries, entries)
    numbers = sorted(
        {e.number for e in (*entries, *explanation.context_events)}
    )
    remedies = [
        events_by_number[number].remedy
        for number in numbers
        if number in events_by_number and events_by_number[number].remedy
    ]
    return {
        "request": request_id,
        "hosts": list(dict.fromkeys(entry.host for entry in entries)),
        "entries": [to_value(entry) for entry in entries],
        "lines": [describe_entry(entry) for entry in entries],
        "beliefs": [
            describe_entry(entry) for entry in explanation.context_events
        ],
        "findings": list(explanation.findings),
        "remedies": remedies,
    }


@click.command("explain")
@click.argument("request_id")
@click.argument("places", nargs=-1, required=True, type=click.Path())
@_options.json_option
@_options.reports_errors
def command(request_id, places, as_json):
    """Explain what happened to REQUEST_ID from the events in PLACES.

    PLACES are event files, logs, directories with them, or - for standard
    input. Exits with 1 if no event mentions the request.
    """
    load_catalogue()
    value = explain_request(request_id, find_event_files(places))
    if as_json:
        _options.print_json(value)
    elif value["lines"]:
        click.echo(f"request {request_id} on {', '.join(value['hosts'])}:")
        for title in ("lines", "beliefs", "findings", "remedies"):
            if value[title]:
                click.echo(f"{title}:")
            for line in value[title]:
                click.echo(f"  {line}")
    else:
        click.echo(
            f"no event mentions request {request_id}; name the event files "
            "of every host, and check the id",
            err=True,
        )
    if not value["lines"]:
        sys.exit(EXIT_REFUSED)
