"""Status of the whole mesh, merged from the control hosts' replies."""

import time

import attrs

from verbenanotch.catalog import NO_VERSION, Version
from verbenanotch.cli._client import Failure, Reply
from verbenanotch.cli.exceptions import (
    ToolError,
    UnavailableError,
    UnknownOutcomeError,
)

POLL_INTERVAL_SECONDS = 0.2


class VersionNotActiveError(ToolError):
    """A proxy did not activate the version before the timeout."""

    kind = "not-in-force"


@attrs.frozen(kw_only=True)
class ProxyStatus:
    """The last version that a proxy acknowledged to its zone.

    A `suspect` proxy has not renewed its lease recently.
    """

    name: str
    availability_zone: str
    version: Version
    suspect: bool = False


@attrs.frozen(kw_only=True)
class ZoneStatus:
    """Summary of the versions that the proxies of a zone acknowledged.

    `proxies` is the number of proxies, `lowest` the lowest version active at
    any of them, and `laggards` the names of some whose version is older than
    the newest. A zone is not `live` if the control hosts that replied have
    no recent, complete summary of it; its state is then unknown.
    """

    availability_zone: str
    lowest: Version
    proxies: int
    laggards: tuple[str, ...] = ()
    live: bool = True

    def is_behind(self, version):
        """Return whether a proxy is known to have an older version."""
        return self.live and self.proxies and self.lowest < version

    def merge(self, other):
        """Return the summary to use if two control hosts report the zone.

        A live one takes precedence, then the one with the lower version.
        """
        if self.live != other.live:
            return self if self.live else other
        return min(self, other, key=lambda zone: zone.lowest)


@attrs.frozen(kw_only=True)
class MeshStatus:
    """Merged status of all control hosts that replied.

    `unreachable_by_server` has the reason why each of the others gave no
    usable reply; proxies that only they know are missing.
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

    def lagging_proxies(self, version):
        """Return the names of proxies that have an older version."""
        names = {
            name
            for name, proxy in self.proxies_by_name.items()
            if proxy.version < version
        }
        for zone in self.zones_by_name.values():
            if zone.is_behind(version):
                names.update(zone.laggards)
        return sorted(names)

    def unknown_places(self):
        """Return the zones and control hosts whose state is unknown."""
        zones = [
            f"zone {name}"
            for name, zone in sorted(self.zones_by_name.items())
            if not zone.live
        ]
        return [*zones, *self.unreachable_by_server]

    def is_active(self, version):
        """Return whether every proxy is known to have the version.

        At least one proxy and the state of every zone and control host must
        be known.
        """
        has_proxies = self.proxies_by_name or any(
            zone.proxies for zone in self.zones_by_name.values()
        )
        behind = self.lagging_proxies(version) or any(
            zone.is_behind(version) for zone in self.zones_by_name.values()
        )
        return bool(has_proxies and not behind and not self.unknown_places())


def collect(client):
    """Query every control host and return the merged MeshStatus.

    Raises UnavailableError if none replies.
    """
    merger = _Merger()
    for server in client.servers:
        match client.request_from(server, "GET", "/v1/status"):
            case Reply(status=200, value=value):
                merger.add(server, value)
            case Reply(value=value):
                merger.add_unreachable(server, value.get("reason", "refused"))
            case Failure(reason=reason):
                merger.add_unreachable(server, reason)
    return merger.status()


def wait_until_active(client, version, *, timeout_seconds):
    """Return the MeshStatus once every proxy acknowledged the version.

    Raises VersionNotActiveError if a known proxy is behind at the timeout,
    and UnknownOutcomeError if none is, but the state of a zone or control
    host is unknown.
    """
    end = time.monotonic() + timeout_seconds
    while True:
        status = collect(client)
        if status.is_active(version):
            return status
        if time.monotonic() >= end:
            raise _not_active_error(status, version)
        time.sleep(POLL_INTERVAL_SECONDS)


class _Merger:
    """Build a MeshStatus from the replies of the control hosts."""

    def __init__(self):
        self._replicas_by_server = {}
        self._unreachable_by_server = {}
        self._proxies_by_name = {}
        self._zones_by_name = {}
        # The zones of the control hosts that replied, and whether one of
        # these reports its zone as live.
        self._live_by_own_zone = {}

    def add(self, server, value):
        """Add the reply of one control host."""
        replica = dict(value.get("replica") or {})
        if value.get("version"):
            replica["version"] = value["version"]
        self._replicas_by_server[server] = replica
        for entry in value.get("proxies", ()):
            self._add_proxy(entry)
        zones = value.get("zones", ())
        for entry in zones:
            self._add_zone(entry)
        # A control host lists its own zone first.
        for entry in zones[:1]:
            name = entry["availability_zone"]
            was_live = self._live_by_own_zone.get(name, False)
            self._live_by_own_zone[name] = was_live or entry["live"]

    def add_unreachable(self, server, reason):
        """Record why a control host gave no usable reply."""
        self._unreachable_by_server[server] = reason

    def status(self):
        """Return the MeshStatus, or raise UnavailableError without a reply."""
        if not self._replicas_by_server:
            raise UnavailableError(
                f"no control host answered: {self._unreachable_by_server}; "
                "check the addresses and the token"
            )
        own_zones_by_name = {
            zone: self._summarize(zone, live=live)
            for zone, live in self._live_by_own_zone.items()
        }
        return MeshStatus(
            replicas_by_server=self._replicas_by_server,
            proxies_by_name=self._proxies_by_name,
            zones_by_name=self._zones_by_name | own_zones_by_name,
            unreachable_by_server=self._unreachable_by_server,
        )

    def _add_proxy(self, entry):
        """Keep the highest version that any control host has for a proxy."""
        proxy = ProxyStatus(
            name=entry["name"],
            availability_zone=entry["availability_zone"],
            version=_parse_version(entry["version"]),
            suspect=entry.get("suspect", False),
        )
        previous = self._proxies_by_name.get(proxy.name)
        if previous is None or previous.version < proxy.version:
            self._proxies_by_name[proxy.name] = proxy

    def _add_zone(self, entry):
        zone = ZoneStatus(
            availability_zone=entry["availability_zone"],
            lowest=_parse_version(entry["lowest_in_force"]),
            proxies=entry["proxies"],
            laggards=tuple(entry["laggards"]),
            live=entry["live"],
        )
        previous = self._zones_by_name.get(zone.availability_zone, zone)
        self._zones_by_name[zone.availability_zone] = previous.merge(zone)

    def _summarize(self, zone, *, live):
        """Return a zone's state from the proxies of all its control hosts.

        The summary of a single control host may lack acknowledgements that
        another one received.
        """
        versions = [
            proxy.version
            for proxy in self._proxies_by_name.values()
            if proxy.availability_zone == zone
        ]
        return ZoneStatus(
            availability_zone=zone,
            lowest=min(versions, default=NO_VERSION),
            proxies=len(versions),
            live=live,
        )


def _parse_version(text):
    return Version.parse(text) if text else NO_VERSION


def _not_active_error(status, version):
    """Return the error of `wait_until_active` at its timeout."""
    lagging = status.lagging_proxies(version)
    zones = [
        f"zone {name}"
        for name, zone in sorted(status.zones_by_name.items())
        if zone.is_behind(version)
    ]
    places = status.unknown_places()
    if lagging or zones or not places:
        names = ", ".join(lagging or zones) or "no proxy is known"
        return VersionNotActiveError(
            f"version {version} is not in force; behind: {names}. "
            "Look up these hosts in the timeline"
        )
    return UnknownOutcomeError(
        f"no known proxy lacks {version}, but the state of "
        f"{', '.join(places)} is unknown. Retry when they can be reached, or "
        "without them if they were removed"
    )
