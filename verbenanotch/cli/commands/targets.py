"""List the announced targets."""

import click

from verbenanotch.cli import _options
from verbenanotch.cli._client import Failure, Reply
from verbenanotch.cli.exceptions import UnavailableError


def collect_targets(client):
    """Return targets keyed by id, and failures keyed by server.

    Every control host is queried, since one that has lost its connections to
    the others may have an outdated list. Raises UnavailableError if none
    replies.
    """
    targets_by_id = {}
    failures_by_server = {}
    for server in client.servers:
        match client.request_from(server, "GET", "/v1/targets"):
            case Reply(status=200, value=value):
                for target in value["targets"]:
                    targets_by_id.setdefault(target["target_id"], target)
            case Reply(value=value):
                failures_by_server[server] = value.get("reason", "refused")
            case Failure(reason=reason):
                failures_by_server[server] = reason
    if len(failures_by_server) == len(client.servers):
        raise UnavailableError(
            f"no control host answered: {failures_by_server}; "
            "check the addresses and the token"
        )
    return targets_by_id, failures_by_server


def describe(target):
    """Return one line of text about a target."""
    details = ", ".join(
        f"{key} {value}"
        for key, value in sorted(target.items())
        if key != "target_id"
    )
    return f"{target['target_id']}: {details}"


@click.command("targets")
@click.option("--service", default="", help="Only targets of this service.")
@_options.json_option
@_options.reports_errors
@_options.server_options
def command(settings, client, service, as_json):
    """List the targets that the control hosts know."""
    targets_by_id, failures_by_server = collect_targets(client)
    shown = [
        target
        for target_id, target in sorted(targets_by_id.items())
        if not service or target_id.startswith(f"{service}/")
    ]
    if as_json:
        _options.print_json(
            {"targets": shown, "unreachable_by_server": failures_by_server}
        )
        return
    for target in shown:
        click.echo(describe(target))
    for server, reason in failures_by_server.items():
        click.echo(f"control host {server}: no answer ({reason})", err=True)
