"""The tables of all zones, as one control host knows them."""

import attrs

from verbenanotch.membership._records import HostRecord


@attrs.define(kw_only=True)
class ZoneFeed:
    """The last table received from one control host of another zone."""

    availability_zone: str
    source: str
    source_incarnation: int
    sequence: int
    records_by_host: dict[str, HostRecord]


class Directory:
    """Own zone's table merged with the feeds of the other zones."""

    def __init__(self, *, zone_table):
        """Start with the own zone alone."""
        self.zone_table = zone_table
        self._feeds_by_source = {}

    def receive(self, update):
        """Take a zone's table unless a later one of its source is held."""
        feed = self._feeds_by_source.get(update.source)
        order = (update.source_incarnation, update.sequence)
        if feed is not None:
            held = (feed.source_incarnation, feed.sequence)
            if order <= held:
                return False
        self._feeds_by_source[update.source] = ZoneFeed(
            availability_zone=update.availability_zone,
            source=update.source,
            source_incarnation=update.source_incarnation,
            sequence=update.sequence,
            records_by_host={record.host: record for record in update.records},
        )
        return True

    @property
    def records_by_host(self):
        """The latest record of each host of every zone."""
        merged = {}
        for feed in self._feeds_by_source.values():
            for host, record in feed.records_by_host.items():
                held = merged.get(host)
                if held is None or held.order < record.order:
                    merged[host] = record
        merged.update(self.zone_table.records_by_host)
        return merged
