"""Submit the text of an old version as a new version."""

import functools
import json

import click

from verbenanotch.cli import _options
from verbenanotch.cli.commands.submit import (
    parse_version,
    run_submission,
    submission_headers,
    submission_options,
)


def roll_back(client, *, to, submission_id, operator, base):
    """Return the Reply to a rollback to the text of version `to`."""
    headers = submission_headers(
        submission_id=submission_id, operator=operator, base=base
    )
    return client.request(
        "POST",
        "/v1/rollbacks",
        headers=headers | {"Content-Type": "application/json"},
        body=json.dumps({"to": str(to)}),
    )


@click.command("rollback")
@click.argument("version")
@click.option(
    "--base",
    required=True,
    help="The newest version, which the rollback replaces.",
)
@submission_options
@_options.json_option
@_options.reports_errors
@_options.server_options
def command(
    settings, client, version, base, submission_id, wait, timeout, as_json
):
    """Submit the text of VERSION again as a new, higher version.

    The exit codes are those of `submit`.
    """
    send = functools.partial(
        roll_back,
        client,
        to=parse_version(version),
        operator=settings.operator,
        base=parse_version(base),
    )
    run_submission(
        send,
        submission_id=submission_id,
        as_json=as_json,
        client=client,
        wait=wait,
        timeout=timeout,
    )
