"""Print the catalogue of numbered events."""

import attrs
import click

from verbenanotch.cli import _options
from verbenanotch.cli._catalogue import load_catalogue, make_page


@click.command("events")
@click.option("--markdown", is_flag=True, help="Print the reference page.")
@_options.json_option
@_options.reports_errors
def command(markdown, as_json):
    """Print every numbered event with its meaning and remedy."""
    events = load_catalogue()
    if as_json:
        _options.print_json([attrs.asdict(event) for event in events])
    elif markdown:
        click.echo(make_page(events), nl=False)
    else:
        for event in events:
            remedy = f" {event.remedy}" if event.remedy else ""
            click.echo(
                f"{event.number} {event.name} ({event.level}): "
                f"{event.text}.{remedy}"
            )
