"""Show which versions the proxies have."""

import click

from verbenanotch.cli import _options, _status
from verbenanotch.cli.commands.submit import (
    DEFAULT_WAIT_SECONDS,
    parse_version,
)

SHOWN_REPLICA_FIELDS = ("name", "role", "leader", "term", "version", "error")


def to_value(status):
    """Return a MeshStatus as plain JSON values."""
    newest = newest_version(status)
    return {
        "newest": newest and str(newest),
        "replicas_by_server": status.replicas_by_server,
        "proxies": [
            {
                "name": proxy.name,
                "availability_zone": proxy.availability_zone,
                "version": str(proxy.version),
                "suspect": proxy.suspect,
            }
            for _, proxy in sorted(status.proxies_by_name.items())
        ],
        "zones": [
            {
                "availability_zone": zone.availability_zone,
                "lowest_in_force": str(zone.lowest),
                "proxies": zone.proxies,
                "live": zone.live,
            }
            for _, zone in sorted(status.zones_by_name.items())
        ],
        "lagging": status.lagging_proxies(newest) if newest else [],
        "unreachable_by_server": status.unreachable_by_server,
    }


def newest_version(status):
    """Return the newest version of any replica or proxy, or None."""
    versions = [proxy.version for proxy in status.proxies_by_name.values()]
    for replica in status.replicas_by_server.values():
        if replica.get("version"):
            versions.append(parse_version(replica["version"]))
    return max(versions, default=None)


def describe(value):
    """Return the text of a status."""
    lines = [f"newest version: {value['newest'] or 'none'}"]
    for server, replica in value["replicas_by_server"].items():
        details = ", ".join(
            f"{key} {replica.get(key) or 'none'}"
            for key in SHOWN_REPLICA_FIELDS
        )
        voters = " ".join(sorted(replica.get("voters_by_name") or ()))
        lines.append(f"control host {server}: {details}, voters {voters}")
    for server, reason in value["unreachable_by_server"].items():
        lines.append(f"control host {server}: no answer ({reason})")
    for zone in value["zones"]:
        liveness = "" if zone["live"] else " (not heard of recently)"
        lowest_version = (
            f", lowest version {zone['lowest_in_force']}"
            if zone["proxies"]
            else ""
        )
        lines.append(
            f"zone {zone['availability_zone']}: {zone['proxies']} proxies"
            f"{lowest_version}{liveness}"
        )
    for proxy in value["proxies"]:
        lines.append(_describe_proxy(proxy, value["lagging"]))
    return "\n".join(lines)


def _describe_proxy(proxy, lagging):
    marks = []
    if proxy["name"] in lagging:
        marks.append("behind")
    if proxy["suspect"]:
        marks.append("lease expired")
    suffix = f" ({', '.join(marks)})" if marks else ""
    return (
        f"proxy {proxy['name']} in {proxy['availability_zone']}: "
        f"{proxy['version']}{suffix}"
    )


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
    """Show the versions that control hosts and proxies have.

    Every given control host is queried, since each knows only the proxies of
    its own availability zone. Exits with 0, with 1 if a proxy is behind at
    the end of --wait, with 3 if no control host responds, and with 4 if all
    known proxies have the version but the state of a zone or control host is
    unknown.
    """
    if version:
        status = _status.wait_until_active(
            client, parse_version(version), timeout_seconds=timeout
        )
    else:
        status = _status.collect(client)
    value = to_value(status)
    if as_json:
        _options.print_json(value)
    else:
        click.echo(describe(value))
