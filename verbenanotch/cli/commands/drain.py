"""Drain a target."""

import click

from verbenanotch.cli import _options
from verbenanotch.cli._client import Failure, Reply
from verbenanotch.cli.exceptions import UnavailableError


def drain_target(client, target_id):
    """Request a drain from the control hosts in turn until one accepts it.

    A control host refuses a target that it does not know. Returns the Reply
    of the control host that accepted, or else the last refusal. Raises
    UnavailableError if none replies.
    """
    refusal = None
    failures_by_server = {}
    for server in client.servers:
        match client.request_from(
            server, "POST", f"/v1/targets/{target_id}/drain"
        ):
            case Reply(exit_code=0) as reply:
                return reply
            case Reply() as reply:
                refusal = reply
            case Failure(reason=reason):
                failures_by_server[server] = reason
    if refusal is None:
        raise UnavailableError(
            f"no control host answered: {failures_by_server}; "
            "check the addresses and the token"
        )
    return refusal


@click.command("drain")
@click.argument("target_id")
@_options.json_option
@_options.reports_errors
@_options.server_options
def command(settings, client, target_id, as_json):
    """Stop sending requests to TARGET_ID; those in flight continue.

    A target id is SERVICE/ADDRESS:PORT, as `targets` lists it. Exits with 1
    if no control host knows the target.
    """
    _options.exit_with_reply(
        drain_target(client, target_id),
        as_json=as_json,
        describe=lambda value: f"draining {value['target']}",
    )
