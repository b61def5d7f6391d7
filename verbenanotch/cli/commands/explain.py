"""Explain what happened to one request."""

import sys

import click

from verbenanotch.cli import _options
from verbenanotch.cli._catalogue import load_catalogue
from verbenanotch.cli._timeline import (
    describe_entry,
    find_event_files,
    read_timeline,
    to_value,
)
from verbenanotch.cli.exceptions import EXIT_REFUSED
from verbenanotch.telemetry import events_by_number


def explain_request(request_id, paths):
    """Return the request's events, hosts and remedies as JSON values."""
    timeline = read_timeline(paths, request=request_id)
    numbers = sorted({entry.number for entry in timeline.entries})
    remedies = [
        events_by_number[number].remedy
        for number in numbers
        if number in events_by_number and events_by_number[number].remedy
    ]
    return {
        "request": request_id,
        "hosts": list(dict.fromkeys(e.host for e in timeline.entries)),
        "entries": [to_value(entry) for entry in timeline.entries],
        "lines": [describe_entry(entry) for entry in timeline.entries],
        "remedies": remedies,
    }


@click.command("explain")
@click.argument("request_id")
@click.argument("places", nargs=-1, required=True, type=click.Path())
@_options.json_option
@_options.reports_errors
def command(request_id, places, as_json):
    """Explain what happened to REQUEST_ID by the events in PLACES.

    These are event files, logs, folders of them, or - for standard input.
    Exits with 1 if no event mentions the request.
    """
    load_catalogue()
    value = explain_request(request_id, find_event_files(places))
    if as_json:
        _options.print_json(value)
    elif value["lines"]:
        click.echo(f"request {request_id} on {', '.join(value['hosts'])}:")
        for line in [*value["lines"], *value["remedies"]]:
            click.echo(line)
    else:
        click.echo(
            f"no event mentions request {request_id}; name the event files "
            "of every host, and check the id",
            err=True,
        )
    if not value["lines"]:
        sys.exit(EXIT_REFUSED)
