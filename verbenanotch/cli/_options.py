"""Options and output functions that the commands share."""

import functools
import json
import sys

import click

from verbenanotch.cli._client import OperatorClient
from verbenanotch.cli._tool_settings import ToolSettings, resolve_settings
from verbenanotch.cli.exceptions import ToolError

_SERVER_OPTIONS = (
    click.option(
        "--server",
        "servers",
        multiple=True,
        envvar="VERBENANOTCH_SERVERS",
        help="ADDRESS:PORT of a control host; give several to try in turn.",
    ),
    click.option(
        "--token",
        default="",
        envvar="VERBENANOTCH_TOKEN",
        help="Token of the operator interface.",
    ),
    click.option(
        "--operator",
        default="",
        envvar="VERBENANOTCH_OPERATOR",
        help="Name recorded with your changes; default: the current user.",
    ),
    click.option(
        "--tool-settings",
        default="",
        envvar="VERBENANOTCH_TOOL_SETTINGS",
        help="TOML file with servers, token and operator.",
    ),
)

json_option = click.option(
    "--json", "as_json", is_flag=True, help="Print JSON."
)

local_option = click.option(
    "--local",
    is_flag=True,
    help="Read a control host's own copy, even without a quorum.",
)


def server_options(command):
    """Add the options in `_SERVER_OPTIONS` to a command.

    The command gets a ToolSettings as `settings` and an OperatorClient as
    `client` in place of their values.
    """

    @functools.wraps(command)
    def run(servers, token, operator, tool_settings, **arguments):
        given = ToolSettings(servers=servers, token=token, operator=operator)
        settings = resolve_settings(given=given, path=tool_settings)
        client = OperatorClient(servers=settings.servers, token=settings.token)
        return command(settings=settings, client=client, **arguments)

    for option in reversed(_SERVER_OPTIONS):
        run = option(run)
    return run


def reports_errors(command):
    """Make a command print a ToolError and exit with its code.

    The error is printed as text or, with `as_json`, as JSON.
    """

    @functools.wraps(command)
    def run(as_json, **arguments):
        try:
            return command(as_json=as_json, **arguments)
        except ToolError as error:
            if as_json:
                print_json({"kind": error.kind, "reason": str(error)})
            else:
                click.echo(f"{error.kind}: {error}", err=True)
            sys.exit(error.exit_code)

    return run


def print_json(value):
    """Print a value as indented JSON with sorted keys."""
    click.echo(json.dumps(value, indent=2, sort_keys=True))


def exit_with_reply(reply, *, as_json, describe):
    """Print a Reply and exit with its exit code.

    `describe` converts the value of a successful reply to text.
    """
    if as_json:
        print_json(reply.value)
    elif reply.exit_code:
        click.echo(describe_refusal(reply.value), err=True)
    else:
        click.echo(describe(reply.value))
    sys.exit(reply.exit_code)


def describe_refusal(value):
    """Return the kind, reason, problems and remedy of a refusal as text."""
    lines = [f"{value.get('kind', 'refused')}: {_reason(value)}"]
    for problem in value.get("problems", ()):
        place = f"line {problem['line']}: " if problem["line"] else ""
        lines.append(
            f"  {place}{problem['key']}: {problem['text']}. "
            f"{problem['remedy']}"
        )
    if "remedy" in value:
        lines.append(value["remedy"])
    return "\n".join(lines)


def _reason(value):
    """Return why a request was refused; a conflict has no `reason`."""
    if "winner" in value:
        return (
            f"version {value['winner']} of {value['winner_operator']} "
            "was accepted first; nothing was applied"
        )
    return value.get("reason", "nothing was applied")
