"""Announced targets, their leases, and the tables of all zones."""

from verbenanotch.membership._auto_reset_event import AutoResetEvent
from verbenanotch.membership._entry_set import (
    EntryDelta,
    EntrySet,
    decode_entry,
    encode_entry,
)
from verbenanotch.membership._exchange import ZoneExchange
from verbenanotch.membership._messages import (
    Announce,
    LeaseRenewed,
    ReannounceRequired,
    ReleaseLease,
    RenewLease,
    StaleIncarnation,
    ZoneDrain,
    ZoneHello,
    ZoneResync,
    ZoneSummary,
    ZoneTableUpdate,
)
from verbenanotch.membership._published_table import PublishedTable
from verbenanotch.membership._records import HostRecord, TargetRecord
from verbenanotch.membership._target_registry import (
    ALL_HOSTS,
    Merged,
    RemoteTable,
    Stale,
    TargetRegistry,
    WrongBase,
)
from verbenanotch.membership._zone_table import Expiry, ZoneTable

__all__ = [
    "ALL_HOSTS",
    "Announce",
    "AutoResetEvent",
    "EntryDelta",
    "EntrySet",
    "Expiry",
    "HostRecord",
    "LeaseRenewed",
    "Merged",
    "PublishedTable",
    "ReannounceRequired",
    "ReleaseLease",
    "RemoteTable",
    "RenewLease",
    "Stale",
    "StaleIncarnation",
    "TargetRecord",
    "TargetRegistry",
    "WrongBase",
    "ZoneDrain",
    "ZoneExchange",
    "ZoneHello",
    "ZoneResync",
    "ZoneSummary",
    "ZoneTable",
    "ZoneTableUpdate",
    "decode_entry",
    "encode_entry",
]
