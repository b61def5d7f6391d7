"""Which version is in force at which proxy of the zone."""

from verbenanotch.catalog import NO_VERSION
from verbenanotch.membership import ZoneSummary

MAX_LAGGARDS = 16


class Acknowledgements:
    """Keep the greatest version that each proxy acknowledged."""

    def __init__(self):
        """Start without any."""
        self.versions_by_host = {}

    def note(self, host, version):
        """Take an acknowledgement.

        A restarted proxy starts below what it held; crossed messages of two
        streams do not matter, as the next renewal repeats the version.
        """
        self.versions_by_host[host] = version

    def retain(self, hosts):
        """Forget the proxies that are not among `hosts`."""
        self.versions_by_host = {
            host: version
            for host, version in self.versions_by_host.items()
            if host in hosts
        }

    def version(self, host):
        """Return the version in force at a proxy, NO_VERSION if none."""
        return self.versions_by_host.get(host, NO_VERSION)

    def summary(self, *, hosts, availability_zone, source, current):
        """Return the ZoneSummary over the proxies that hold a lease."""
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
