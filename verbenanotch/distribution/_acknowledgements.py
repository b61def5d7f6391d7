"""The active version of each proxy of the zone."""

from verbenanotch.catalog import NO_VERSION
from verbenanotch.membership import ZoneSummary

MAX_LAGGARDS = 16


class Acknowledgements:
    """The version that each proxy acknowledged last."""

    def __init__(self):
        """Start without acknowledgements."""
        self.versions_by_host = {}

    def record(self, host, version):
        """Record the version that is active at a proxy.

        It replaces a higher version too, as a restarted proxy begins with
        none. If messages of an old and a new connection arrive out of order,
        the next renewal corrects the version.
        """
        self.versions_by_host[host] = version

    def retain(self, hosts):
        """Remove the proxies that are not in `hosts`."""
        self.versions_by_host = {
            host: version
            for host, version in self.versions_by_host.items()
            if host in hosts
        }

    def version(self, host):
        """Return the version active at a proxy, NO_VERSION if unknown."""
        return self.versions_by_host.get(host, NO_VERSION)

    def summary(self, *, hosts, availability_zone, source, current):
        """Return the ZoneSummary of `hosts`, the proxies with a lease.

        It names at most MAX_LAGGARDS proxies that are behind `current`.
        """
        versions = {host: self.version(host) for host in hosts}
        laggards = sorted(
            host for host, version in versions.items() if version < current
        )
        return ZoneSummary(
            availability_zone=availability_zone,
            source=source,
            current=current,
            lowest=min(versions.values(), default=current),
            count=len(versions),
            laggards=tuple(laggards[:MAX_LAGGARDS]),
        )
