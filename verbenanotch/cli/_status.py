"""Status of the whole mesh, merged from the control hosts' answers."""

import time

import attrs

from verbenanotch.catalog import Version
from verbenanotch.cli._client import Failure, Reply
from verbenanotch.cli.exceptions import (
    ToolError,
    UnavailableError,
    UnknownOutcomeError,
)

POLL_SECONDS = 0.2


class NotInForceError(ToolError):
    """Some proxies do not hold the version within the time."""

    kind = "not-in-force"


@attrs.frozen(kw_only=True)
class MeshStatus:
    """What all control hosts that answered say together.

    `versions_by_proxy` are the last acknowledged versions. `suspects` are
    proxies whose lease has ended: they may be dead, or cut off with what
    they last acknowledged.
    `unreachable_by_server` holds the reasons of those that did not answer;
    proxies that only they know are missing.
    """

    replicas_by_server: dict[str, dict]
    versions_by_proxy: dict[str, Version]
    suspects: frozenset[str]
    unreachable_by_server: dict[str, str]

    def lagging(self, version):
        """Return the names of known proxies that hold an older version."""
        return sorted(
            name
            for name, held in self.versions_by_proxy.items()
            if held < version
        )


def collect(client):
    """Ask every control host and return the merged MeshStatus.

    Raises UnavailableError if none answers.
    """
    replicas_by_server = {}
    versions_by_proxy = {}
    suspects = set()
    unreachable_by_server = {}
    for server in client.servers:
        match client.ask(server, "GET", "/v1/status"):
            case Reply(status=200, value=value):
                replicas_by_server[server] = _read_replica(value)
                proxies = value.get("proxies", ())
                _merge(versions_by_proxy, proxies)
                suspects |= {p["name"] for p in proxies if p["suspect"]}
            case Reply(value=value):
                reason = value.get("reason", "refused")
                unreachable_by_server[server] = reason
            case Failure(reason=reason):
                unreachable_by_server[server] = reason
    if not replicas_by_server:
        raise UnavailableError(
            f"no control host answered: {unreachable_by_server}; "
            "check the addresses and the token"
        )
    return MeshStatus(
        replicas_by_server=replicas_by_server,
        versions_by_proxy=versions_by_proxy,
        suspects=frozenset(suspects),
        unreachable_by_server=unreachable_by_server,
    )


def wait_in_force(client, version, *, timeout_seconds):
    """Return the MeshStatus once every proxy acknowledged the version.

    Raises NotInForceError if a known proxy lags at the end of the time, and
    UnknownOutcomeError if no known one does but a control host is silent.
    """
    end = time.monotonic() + timeout_seconds
    while True:
        status = collect(client)
        in_force = status.versions_by_proxy and not status.lagging(version)
        if in_force and not status.unreachable_by_server:
            return status
        if time.monotonic() >= end:
            raise _not_in_force(status, version)
        time.sleep(POLL_SECONDS)


def _read_replica(value):
    """Return a replica's state with the version that it holds."""
    replica = dict(value.get("replica") or {})
    if value.get("version"):
        replica["version"] = value["version"]
    return replica


def _merge(versions_by_proxy, proxies):
    """Keep the greatest version that any control host has of each proxy."""
    for proxy in proxies:
        name = proxy["name"]
        version = Version.parse(proxy["version"])
        known = versions_by_proxy.get(name, version)
        versions_by_proxy[name] = max(known, version)


def _not_in_force(status, version):
    lagging = status.lagging(version)
    if lagging or not status.versions_by_proxy:
        names = ", ".join(lagging) or "no proxy is known"
        return NotInForceError(
            f"version {version} is not in force; behind: {names}. "
            "Look for these hosts in the time line"
        )
    silent = ", ".join(status.unreachable_by_server)
    return UnknownOutcomeError(
        f"every known proxy holds {version}, but these control hosts did "
        f"not answer: {silent}. Ask again without them if they are gone"
    )
