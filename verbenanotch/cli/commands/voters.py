"""Change the voters of the replicated log."""

import json

import click

from verbenanotch.cli import _options
from verbenanotch.cli.exceptions import UnknownOutcomeError


def change_voters(client, *, operator, add="", remove=""):
    """Return the Reply to a change of voters."""
    try:
        return client.request(
            "POST",
            "/v1/voters",
            headers={
                "X-Operator": operator,
                "Content-Type": "application/json",
            },
            body=json.dumps({"add": add, "remove": remove}),
        )
    except UnknownOutcomeError as error:
        raise UnknownOutcomeError(
            f"{error} Check the voters in the status first."
        ) from error


@click.command("voters")
@click.argument("action", type=click.Choice(("add", "remove")))
@click.argument("host")
@_options.json_option
@_options.reports_errors
@_options.server_options
def command(settings, client, action, host, as_json):
    """Add or remove one HOST as a voter of the replicated log.

    A host to be added must be running and have caught up with the log. Exits
    with 3 if nothing was changed and with 4 if the outcome is unknown.
    """
    reply = change_voters(client, operator=settings.operator, **{action: host})
    _options.exit_with_reply(
        reply,
        as_json=as_json,
        describe=lambda value: f"voters changed: {action} {host}",
    )
