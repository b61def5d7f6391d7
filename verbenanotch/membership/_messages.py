"""Messages of leases and of the exchange between control hosts."""

import attrs

from verbenanotch.catalog import Version
from verbenanotch.membership._records import HostRecord
from verbenanotch.wire import message


@message(200)
@attrs.frozen(kw_only=True)
class Announce:
    """A proxy announces its targets and requests a lease for them."""

    record: HostRecord


@message(201)
@attrs.frozen(kw_only=True)
class RenewLease:
    """A proxy renews the lease of its record, which has not changed.

    `incarnation` and `sequence` are those of the announced record,
    `current_version` is the version that is active at the proxy.
    """

    host: str
    incarnation: int
    sequence: int
    current_version: Version


@message(202)
@attrs.frozen(kw_only=True)
class ReannounceRequired:
    """The control host does not have the renewed record."""


@message(203)
@attrs.frozen(kw_only=True)
class ReleaseLease:
    """A proxy releases its lease before it exits."""

    host: str
    incarnation: int


@message(204)
@attrs.frozen(kw_only=True)
class LeaseRenewed:
    """The lease is renewed; `current` is the control host's version.

    `is_in_contact` is whether the control host was recently in contact with
    a leader that has a quorum, so that no newer version can be much older.
    """

    current: Version
    is_in_contact: bool


@message(205)
@attrs.frozen(kw_only=True)
class StaleIncarnation:
    """The control host has a record of the host with a higher incarnation.

    The host's clock was set back between two starts. Its announcements are
    accepted again once their incarnation is higher than this one.
    """

    incarnation: int


@message(210)
@attrs.frozen(kw_only=True)
class ZoneHello:
    """A control host requests the zone table of another control host.

    `availability_zone` is the sender's zone, `current_digest` the digest of
    the receiver's table that it already has, 0 if none.
    """

    availability_zone: str
    current_digest: int


@message(211)
@attrs.frozen(kw_only=True)
class ZoneTableUpdate:
    """A change of a zone's table, as seen by one of its control hosts.

    `source_incarnation` increases with each start of the sending control
    host, `sequence` with each change of its table. `base_digest` is the digest
    of the table that the update changes; a `full` update replaces the table.
    `changed` has encoded HostRecords by host; `digest` is that of the
    resulting table.
    """

    availability_zone: str
    source: str
    source_incarnation: int
    sequence: int
    full: bool
    base_digest: int
    digest: int
    changed: dict[str, bytes]
    removed: tuple[str, ...]


@message(212)
@attrs.frozen(kw_only=True)
class ZoneResync:
    """Request the full table, as the last update did not match its base."""


@message(213)
@attrs.frozen(kw_only=True)
class ZoneSummary:
    """The versions that a zone's proxies acknowledged.

    It is sent periodically, as the heartbeat of the connection.

    `current` is the sender's version, `lowest` the lowest one that is active
    at any of the `count` proxies. `laggards` names some proxies that are
    behind `current`.
    """

    availability_zone: str
    source: str
    current: Version
    lowest: Version
    count: int
    laggards: tuple[str, ...]


@message(214)
@attrs.frozen(kw_only=True)
class ZoneDrain:
    """A target of the receiver's zone must receive no new requests."""

    target_id: str
