"""Announced targets, their leases, and the tables of all zones."""

from verbenanotch.membership._auto_reset_event import Signal
from verbenanotch.membership._entry_set import (
    EntryDelta,
    EntrySet,
    decode_entry,
    encode_entry,
)
from verbenanotch.membership._exchange import ZoneExchange
from verbenanotch.membership._messages import (
    Announce,
    AnnounceNeeded,
    AnnounceOutdated,
    Release,
    Renew,
    Renewed,
    ZoneDrain,
    ZoneHello,
    ZoneResync,
    ZoneSummary,
    ZoneTableUpdate,
)
from verbenanotch.membership._published import PublishedTable
from verbenanotch.membership._records import HostRecord, TargetRecord
from verbenanotch.membership._target_registry import (
    ALL_HOSTS,
    Directory,
    Stale,
    Taken,
    WrongBase,
    ZoneFeed,
)
from verbenanotch.membership._zone_table import Expiry, ZoneTable

__all__ = [
    "ALL_HOSTS",
    "Announce",
    "AnnounceNeeded",
    "AnnounceOutdated",
    "Directory",
    "EntryDelta",
    "EntrySet",
    "Expiry",
    "HostRecord",
    "PublishedTable",
    "Release",
    "Renew",
    "Renewed",
    "Signal",
    "Stale",
    "Taken",
    "TargetRecord",
    "WrongBase",
    "ZoneDrain",
    "ZoneExchange",
    "ZoneFeed",
    "ZoneHello",
    "ZoneResync",
    "ZoneSummary",
    "ZoneTable",
    "ZoneTableUpdate",
    "decode_entry",
    "encode_entry",
]
