"""Show which versions the proxies hold."""

import click

from verbenanotch.cli import _options, _status
from verbenanotch.cli.commands.submit import (
    DEFAULT_WAIT_SECONDS,
    parse_version,
)


def to_value(status):
    """Return a MeshStatus as plain JSON values."""
    newest = newest_version(status)
    return {
        "newest": newest and str(newest),
        "replicas_by_server": status.replicas_by_server,
        "versions_by_proxy": {
            name: str(version)
            for name, version in sorted(status.versions_by_proxy.items())
        },
        "suspects": sorted(status.suspects),
        "lagging": status.lagging(newest) if newest else [],
        "unreachable_by_server": status.unreachable_by_server,
    }


def newest_version(status):
    """Return the newest version that a replica or a proxy holds."""
    versions = list(status.versions_by_proxy.values())
    for replica in status.replicas_by_server.values():
        if replica.get("version"):
            versions.append(parse_version(replica["version"]))
    return max(versions, default=None)


def describe(value):
    """Return the text of a status."""
    lines = [f"newest version: {value['newest'] or 'none'}"]
    for server, replica in value["replicas_by_server"].items():
        details = ", ".join(
            f"{key} {item}" for key, item in sorted(replica.items())
        )
        lines.append(f"control host {server}: {details}")
    for server, reason in value["unreachable_by_server"].items():
        lines.append(f"control host {server}: no answer ({reason})")
    for name, version in value["versions_by_proxy"].items():
        behind = " (behind)" if name in value["lagging"] else ""
        suspect = " (lease ended)" if name in value["suspects"] else ""
        lines.append(f"proxy {name}: {version}{behind}{suspect}")
    return "\n".join(lines)


@click.command("status")
@click.option(
    "--wait",
    "version",
    default="",
    metavar="VERSION",
    help="Wait until this version is in force on every proxy.",
)
@click.option(
    "--timeout", default=DEFAULT_WAIT_SECONDS, help="Seconds to wait."
)
@_options.json_option
@_options.reports_errors
@_options.server_options
def command(settings, client, version, timeout, as_json):
    """Show the versions that control hosts and proxies hold.

    Every named control host is asked, since each knows the proxies of its
    availability zone. Exits with 0, with 1 if a proxy is behind at the end
    of --wait, with 3 if no control host answers, and with 4 if all known
    proxies hold the version but a control host is silent.
    """
    if version:
        status = _status.wait_in_force(
            client, parse_version(version), timeout_seconds=timeout
        )
    else:
        status = _status.collect(client)
    value = to_value(status)
    if as_json:
        _options.print_json(value)
    else:
        click.echo(describe(value))
