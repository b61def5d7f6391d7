"""Show the merged timeline of all processes."""

import click

from verbenanotch.cli import _options
from verbenanotch.cli._catalogue import load_catalogue
from verbenanotch.cli._timeline import (
    describe_entry,
    find_event_files,
    read_timeline,
    to_value,
)


def print_timeline(timeline, *, as_json):
    """Print a Timeline and the number of skipped lines."""
    if as_json:
        _options.print_json(
            {
                "entries": [to_value(entry) for entry in timeline.entries],
                "skipped_by_path": timeline.skipped_by_path,
            }
        )
        return
    for entry in timeline.entries:
        click.echo(describe_entry(entry))
    for path, count in timeline.skipped_by_path.items():
        click.echo(f"{path}: skipped {count} lines without an event", err=True)


@click.command("timeline")
@click.argument("places", nargs=-1, required=True, type=click.Path())
@click.option("--version", default="", help="Only events of this version.")
@click.option("--request", default="", help="Only events of this request.")
@click.option("--host", default="", help="Only events of this host.")
@_options.json_option
@_options.reports_errors
def command(places, version, request, host, as_json):
    """Merge the events in PLACES into one timeline.

    PLACES are event files, logs, directories with them, or - for standard
    input. Events are ordered by the hybrid logical clock. Exits with 2 if no
    event file can be read.
    """
    load_catalogue()
    timeline = read_timeline(
        find_event_files(places), version=version, request=request, host=host
    )
    print_timeline(timeline, as_json=as_json)
