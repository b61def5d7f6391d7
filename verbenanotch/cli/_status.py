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
    """A proxy's last acknowledged version, as its zone knows it.

    A `suspect` proxy has not renewed its lease lately.
    """

    name: str
    availability_zone: str
    version: Version
    suspect: bool = False


@attrs.frozen(kw_only=True)
class ZoneStatus:
    """What a zone's proxies have acknowledged altogether.

    `lowest` is the least version in force at any of its proxies, and
    `laggards` names some that are behind. A zone that no control host heard
    of lately is not `live`; its state is unknown.
    """

    availability_zone: str
    lowest: Version
    proxies: int
    laggards: tuple[str, ...] = ()
    live: bool = True

    def is_behind(self, version):
        """Return whether a proxy of the zone surely lacks the version."""
        return self.live and self.proxies and self.lowest < version

    def merged(self, other):
        """Return the more cautious of two live views of the zone."""
        if self.live != other.live:
            return self if self.live else other
        return min(self, other, key=lambda zone: zone.lowest)


@attrs.frozen(kw_only=True)
class MeshStatus:
    """What all control hosts that answered say together.

    `unreachable_by_server` holds the reasons of those that did not answer;
    proxies that only they know are missing.
    """

    replicas_by_server: dict[str, dict]
    proxies_by_name: dict[str, ProxyStatus]
    zones_by_name: dict[str, ZoneStatus]
    unreachable_by_server: dict[str, str]

    @property
    def versions_by_proxy(self):
        """Return the last acknowledged version of each known proxy."""
        return {
            name: proxy.version for name, proxy in self.proxies_by_name.items()
        }

    def lagging(self, version):
        """Return the names of proxies that hold an older version."""
        names = {
            name
            for name, proxy in self.proxies_by_name.items()
            if proxy.version < version
        }
        for zone in self.zones_by_name.values():
            if zone.is_behind(version):
                names.update(zone.laggards)
        return sorted(names)

    def unknown(self):
        """Return the zones and control hosts whose state is not known."""
        zones = [
            f"zone {name}"
            for name, zone in sorted(self.zones_by_name.items())
            if not zone.live
        ]
        return [*zones, *self.unreachable_by_server]

    def is_in_force(self, version):
        """Return whether every proxy of every zone surely holds it."""
        known = self.proxies_by_name or any(
            zone.proxies for zone in self.zones_by_name.values()
        )
        behind = self.lagging(version) or any(
            zone.is_behind(version) for zone in self.zones_by_name.values()
        )
        return bool(known and not behind and not self.unknown())


def collect(client):
    """Ask every control host and return the merged MeshStatus.

    Raises UnavailableError if none answers.
    """
    replicas_by_server = {}
    proxies_by_name = {}
    zones_by_name = {}
    answering_zones = set()
    unreachable_by_server = {}
    for server in client.servers:
        match client.ask(server, "GET", "/v1/status"):
            case Reply(status=200, value=value):
                replicas_by_server[server] = _read_replica(value)
                _merge_proxies(proxies_by_name, value.get("proxies", ()))
                zones = value.get("zones", ())
                _merge_zones(zones_by_name, zones)
                # A control host lists its own zone first.
                answering_zones.update(
                    zone["availability_zone"] for zone in zones[:1]
                )
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
    for zone in answering_zones:
        zones_by_name[zone] = _summarize(zone, proxies_by_name)
    return MeshStatus(
        replicas_by_server=replicas_by_server,
        proxies_by_name=proxies_by_name,
        zones_by_name=zones_by_name,
        unreachable_by_server=unreachable_by_server,
    )


def wait_in_force(client, version, *, timeout_seconds):
    """Return the MeshStatus once every proxy acknowledged the version.

    Raises NotInForceError if a known proxy lags at the end of the time, and
    UnknownOutcomeError if none does but a zone or control host is silent.
    """
    end = time.monotonic() + timeout_seconds
    while True:
        status = collect(client)
        if status.is_in_force(version):
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


def _merge_proxies(proxies_by_name, entries):
    """Keep the greatest version that any control host has of each proxy."""
    for entry in entries:
        proxy = ProxyStatus(
            name=entry["name"],
            availability_zone=entry["availability_zone"],
            version=_parse_version(entry["version"]),
            suspect=entry.get("suspect", False),
        )
        known = proxies_by_name.get(proxy.name)
        if known is None or known.version < proxy.version:
            proxies_by_name[proxy.name] = proxy


def _merge_zones(zones_by_name, entries):
    for entry in entries:
        zone = ZoneStatus(
            availability_zone=entry["availability_zone"],
            lowest=_parse_version(entry["lowest_in_force"]),
            proxies=entry["proxies"],
            laggards=tuple(entry["laggards"]),
            live=entry["live"],
        )
        known = zones_by_name.get(zone.availability_zone, zone)
        zones_by_name[zone.availability_zone] = known.merged(zone)


def _summarize(zone, proxies_by_name):
    """Return a zone's state by what its control hosts know together.

    One of them alone may not have heard a proxy's acknowledgement.
    """
    versions = [
        proxy.version
        for proxy in proxies_by_name.values()
        if proxy.availability_zone == zone
    ]
    return ZoneStatus(
        availability_zone=zone,
        lowest=min(versions, default=NO_VERSION),
        proxies=len(versions),
    )


def _parse_version(text):
    return Version.parse(text) if text else NO_VERSION


def _not_in_force(status, version):
    lagging = status.lagging(version)
    zones = [
        f"zone {name}"
        for name, zone in sorted(status.zones_by_name.items())
        if zone.is_behind(version)
    ]
    unknown = status.unknown()
    if lagging or zones or not unknown:
        names = ", ".join(lagging or zones) or "no proxy is known"
        return NotInForceError(
            f"version {version} is not in force; behind: {names}. "
            "Look for these hosts in the time line"
        )
    return UnknownOutcomeError(
        f"no known proxy lacks {version}, but nothing is known of "
        f"{', '.join(unknown)}. Ask again when they can be reached, or "
        "without them if they are gone"
    )
