"""Messages between proxies and control hosts, and between zones."""

import attrs

from verbenanotch.membership._records import HostRecord
from verbenanotch.wire import message


@message(200)
@attrs.frozen(kw_only=True)
class Announce:
    """A proxy announces its targets and takes a lease for them."""

    record: HostRecord


@message(201)
@attrs.frozen(kw_only=True)
class Renew:
    """A proxy renews its lease; nothing has changed since `sequence`."""

    host: str
    incarnation: int
    sequence: int


@message(202)
@attrs.frozen(kw_only=True)
class AnnounceNeeded:
    """The control host does not hold the renewed record."""


@message(203)
@attrs.frozen(kw_only=True)
class Release:
    """A proxy gives up its lease before it exits."""

    host: str
    incarnation: int


@message(210)
@attrs.frozen(kw_only=True)
class ZoneHello:
    """A control host asks another one for the table of its zone."""

    availability_zone: str


@message(211)
@attrs.frozen(kw_only=True)
class ZoneTableUpdate:
    """The whole table of a zone, as one control host of it sees it.

    `source_incarnation` grows with each start of the sending control host.
    """

    availability_zone: str
    source: str
    source_incarnation: int
    sequence: int
    records: tuple[HostRecord, ...]
