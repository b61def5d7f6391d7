"""Compare a file or a version with an accepted version."""

import difflib
import sys

import click

from verbenanotch.cli import _options
from verbenanotch.cli.commands.history import list_versions, show_version
from verbenanotch.cli.commands.submit import parse_version, read_file
from verbenanotch.cli.exceptions import InvalidInputError, ToolError


def diff_texts(old, new, *, old_name, new_name):
    """Return the unified diff of two texts, empty if they are equal."""
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), old_name, new_name, lineterm=""
    )
    return "\n".join(lines)


def fetch_text(client, version, *, local=False):
    """Return a version's text, or raise ToolError if it is unknown."""
    reply = show_version(client, version, local=local)
    if reply.exit_code:
        raise ToolError(_options.describe_refusal(reply.value))
    return reply.value["text"]


def fetch_newest_version(client, *, local=False):
    """Return the newest version, such as "3.41"; ToolError if none."""
    versions = list_versions(client, local=local).value.get("versions", [])
    if not versions:
        raise ToolError("no version was accepted yet; submit a file first")
    return versions[-1]["version"]


def _read_side(client, side, *, local):
    """Return a version's text, or a file's if `side` is not a version."""
    try:
        version = parse_version(side)
    except InvalidInputError:
        return read_file(side).decode("utf-8", errors="replace")
    return fetch_text(client, version, local=local)


@click.command("diff")
@click.argument("new")
@click.option("--base", default="", help="Version to compare with.")
@_options.local_option
@_options.json_option
@_options.reports_errors
@_options.server_options
def command(settings, client, new, base, local, as_json):
    """Show how NEW, a file or a version, differs from the base.

    The base is the newest version unless --base names another. Exits with 0
    if they are equal and with 1 if they differ.
    """
    base = base or fetch_newest_version(client, local=local)
    difference = diff_texts(
        fetch_text(client, parse_version(base), local=local),
        _read_side(client, new, local=local),
        old_name=base,
        new_name=new,
    )
    if as_json:
        _options.print_json({"base": base, "new": new, "diff": difference})
    elif difference:
        click.echo(difference)
    sys.exit(1 if difference else 0)
