"""List the accepted versions."""

import datetime

import click

from verbenanotch.cli import _options

MILLISECONDS_PER_SECOND = 1000


def list_versions(client, *, local=False):
    """Return the Reply with the versions, oldest first.

    With `local`, a control host replies with its own copy even without a
    quorum.
    """
    return client.request("GET", f"/v1/versions{_query_string(local)}")


def show_version(client, version, *, local=False):
    """Return the Reply with one version and its text."""
    return client.request(
        "GET", f"/v1/versions/{version}{_query_string(local)}"
    )


def _query_string(local):
    return "?local=1" if local else ""


def describe(value):
    """Return one line for each version."""
    lines = [
        f"{entry['version']}  {_format_time(entry['submitted_at_ms'])}  "
        f"{entry['operator']}  {entry['mesh']}  {entry['submission_id']}"
        for entry in value["versions"]
    ]
    return "\n".join(lines) or "no version was accepted yet"


def _format_time(milliseconds):
    moment = datetime.datetime.fromtimestamp(
        milliseconds / MILLISECONDS_PER_SECOND, tz=datetime.UTC
    )
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")


@click.command("history")
@click.option("--text", "version", default="", help="Print this version.")
@_options.local_option
@_options.json_option
@_options.reports_errors
@_options.server_options
def command(settings, client, version, local, as_json):
    """List the accepted versions, or print the text of one.

    Exits with 1 if the version is unknown and with 3 or 4 if no control
    host with a quorum responds.
    """
    if version:
        reply = show_version(client, version, local=local)
        _options.exit_with_reply(
            reply, as_json=as_json, describe=lambda value: value["text"]
        )
    _options.exit_with_reply(
        list_versions(client, local=local), as_json=as_json, describe=describe
    )
