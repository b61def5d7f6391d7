"""Status of the whole mesh, merged from the control hosts' answers."""

import time

import attrs

from verbenanotch.catalog import NO_VERSION, Version
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
class ProxyStatus:
    """A proxy's last acknowledged version, as its zone knows it."""

    name: str
    availability_zone: str
    version: Version


@attrs.frozen(kw_only=True)
class MeshStatus:
    """What all control hosts that answered say together.

    `unreachable_by_server` holds the reasons of those that did not answer;
    proxies that only they know are missing.
    """

    replicas_by_server: dict[str, dict]
    proxies_by_name: dict[str, ProxyStatus]
    unreachable_by_server: dict[str, str]

    def lagging(self, version):
        """Return the names of known proxies that hold an older version."""
        return sorted(
            name
            for name, proxy in self.proxies_by_name.items()
            if proxy.version < version
        )


def collect(client):
    """Ask every control host and return the merged MeshStatus.

    Raises UnavailableError if none answers.
    """
    replicas_by_server = {}
    proxies_by_name = {}
    unreachable_by_server = {}
    for server in client.servers:
        match client.ask(server, "GET", "/v1/status"):
            case Reply(status=200, value=value):
                replicas_by_server[server] = value.get("replica", {})
                _merge(proxies_by_name, value.get("proxies", []))
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
        proxies_by_name=proxies_by_name,
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
        in_force = status.proxies_by_name and not status.lagging(version)
        if in_force and not status.unreachable_by_server:
            return status
        if time.monotonic() >= end:
            raise _not_in_force(status, version)
        time.sleep(POLL_SECONDS)


def _merge(proxies_by_name, entries):
    for entry in entries:
        proxy = ProxyStatus(
            name=entry["name"],
            availability_zone=entry.get("availability_zone", ""),
            version=Version.parse(entry.get("version") or str(NO_VERSION)),
        )
        known = proxies_by_name.get(proxy.name)
        if known is None or known.version < proxy.version:
            proxies_by_name[proxy.name] = proxy


def _not_in_force(status, version):
    lagging = status.lagging(version)
    if lagging or not status.proxies_by_name:
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
