"""Messages between proxies and control hosts, and between zones."""

import attrs

from verbenanotch.catalog import Version
from verbenanotch.membership._records import HostRecord
from verbenanotch.wire import message


@message(200)
@attrs.frozen(kw_only=True)
class Announce:
    """A proxy announces its targets and takes a lease for them."""

    record: HostRecord


@message(201)
@attrs.frozen(kw_only=True)
class RenewLease:
    """A proxy renews its lease; nothing has changed since `sequence`.

    `current_version` is the version in force there.
    """

    host: str
    incarnation: int
    sequence: int
    current_version: Version


@message(202)
@attrs.frozen(kw_only=True)
class ReannounceRequired:
    """The control host does not hold the renewed record."""


@message(203)
@attrs.frozen(kw_only=True)
class ReleaseLease:
    """A proxy gives up its lease before it exits."""

    host: str
    incarnation: int


@message(204)
@attrs.frozen(kw_only=True)
class LeaseRenewed:
    """The lease goes on; `current` is the control host's version."""

    current: Version


@message(205)
@attrs.frozen(kw_only=True)
class StaleIncarnation:
    """A record of a greater incarnation of the host is held.

    The host's clock has been set back between two starts: its records count
    again once their incarnation is above this one.
    """

    incarnation: int


@message(210)
@attrs.frozen(kw_only=True)
class ZoneHello:
    """A control host asks another one for the table of its zone.

    `current_digest` names the table that it holds already; 0 if none.
    """

    availability_zone: str
    current_digest: int


@message(211)
@attrs.frozen(kw_only=True)
class ZoneTableUpdate:
    """A change of a zone's table, as one control host of it sees it.

    `source_incarnation` grows with each start of the sending control host.
    A `full` update has no base. `changed` holds encoded HostRecords by
    host; `digest` is that of the resulting table.
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
    """The last update did not fit; the whole table is needed."""


@message(213)
@attrs.frozen(kw_only=True)
class ZoneSummary:
    """What the proxies of a zone acknowledged; also the heartbeat.

    `lowest` is the least version in force at any of `count` proxies.
    `laggards` names some that are behind the sender's version.
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
    """A target of the receiver's zone is to get no new work."""

    target_id: str
