"""Order, show and abort rollouts of software versions."""

import json
import sys
import time

import click

from verbenanotch.cli import _options
from verbenanotch.cli.exceptions import EXIT_REFUSED

POLL_SECONDS = 0.5
RUNNING_PHASES = ("running", "shifting")


def order_rollout(client, *, service, version, within, operator):
    """Return the Reply to an order; it may be sent again."""
    return _post(
        client,
        "/v1/rollouts",
        operator,
        {
            "service": service,
            "version": version,
            "finish_by_seconds": within,
        },
    )


def show_rollout(client, service):
    """Return the Reply with the last rollout of a service."""
    return client.request("GET", f"/v1/rollouts/{service}")


def list_rollouts(client, service):
    """Return the Reply with all rollouts of a service that are kept."""
    return client.request("GET", f"/v1/rollouts/{service}/history")


def abort_rollout(client, *, service, version, operator):
    """Return the Reply to an abort; it may be sent again."""
    return _post(
        client,
        f"/v1/rollouts/{service}/abort",
        operator,
        {"version": version},
    )


def describe(rollout):
    """Return the state of a rollout as text."""
    lines = [
        f"{rollout['service']} to {rollout['candidate']}: "
        f"{rollout['phase']}, share {rollout['share_ppm'] / 10_000:g}%, "
        f"step {rollout['step']} at {rollout['elapsed_ms'] / 1000:.1f} s "
        f"of {rollout['finish_by_ms'] / 1000:g} s, "
        f"ordered by {rollout['operator']}"
    ]
    if rollout["reason"]:
        lines.append(f"  {rollout['reason']}")
    if rollout["evidence"]:
        lines.append(f"  {rollout['evidence']}")
    return "\n".join(lines)


def describe_all(value):
    """Return the states of all rollouts of a service, oldest first."""
    lines = [describe(rollout) for rollout in value["rollouts"]]
    return "\n".join(lines) or "the service had no rollout"


@click.group("rollout")
def command():
    """Bring a new software version of a service in beside the old one."""


@command.command("start")
@click.argument("service")
@click.argument("version")
@click.option(
    "--within",
    type=float,
    required=True,
    help="Seconds in which to finish.",
)
@click.option("--wait", is_flag=True, help="Wait until it has ended.")
@_options.json_option
@_options.reports_errors
@_options.server_options
def start(settings, client, service, version, within, wait, as_json):
    """Move the traffic of SERVICE to targets that run VERSION.

    The order may be sent again: it is followed once. Exits with 1 if it is
    refused or, with --wait, if it was rolled back.
    """
    reply = order_rollout(
        client,
        service=service,
        version=version,
        within=within,
        operator=settings.operator,
    )
    while (
        wait and not reply.exit_code and reply.value["phase"] in RUNNING_PHASES
    ):
        time.sleep(POLL_SECONDS)
        reply = show_rollout(client, service)
    if wait and reply.value.get("phase") == "rolled_back":
        if as_json:
            _options.print_json(reply.value)
        else:
            click.echo(describe(reply.value))
        sys.exit(EXIT_REFUSED)
    _options.exit_with_reply(reply, as_json=as_json, describe=describe)


@command.command("status")
@click.argument("service")
@_options.json_option
@_options.reports_errors
@_options.server_options
def status(settings, client, service, as_json):
    """Show the last rollout of SERVICE; exits with 1 if it had none."""
    _options.exit_with_reply(
        show_rollout(client, service), as_json=as_json, describe=describe
    )


@command.command("history")
@click.argument("service")
@_options.json_option
@_options.reports_errors
@_options.server_options
def history(settings, client, service, as_json):
    """List the rollouts of SERVICE that are kept."""
    _options.exit_with_reply(
        list_rollouts(client, service), as_json=as_json, describe=describe_all
    )


@command.command("abort")
@click.argument("service")
@click.argument("version")
@_options.json_option
@_options.reports_errors
@_options.server_options
def abort(settings, client, service, version, as_json):
    """Roll the rollout of SERVICE to VERSION back at once.

    The version gets no requests again. Exits with 1 if the rollout is
    completed or is not the last one of the service.
    """
    _options.exit_with_reply(
        abort_rollout(
            client,
            service=service,
            version=version,
            operator=settings.operator,
        ),
        as_json=as_json,
        describe=describe,
    )


def _post(client, path, operator, value):
    return client.request(
        "POST",
        path,
        headers={
            "X-Operator": operator,
            "Content-Type": "application/json",
        },
        body=json.dumps(value),
    )
