"""Announced targets, their leases, and the tables of all zones."""

from verbenanotch.membership._directory import Directory, ZoneFeed
from verbenanotch.membership._exchange import ZoneExchange
from verbenanotch.membership._messages import (
    Announce,
    AnnounceNeeded,
    Release,
    Renew,
    ZoneHello,
    ZoneTableUpdate,
)
from verbenanotch.membership._records import HostRecord, TargetRecord
from verbenanotch.membership._zone_table import ZoneTable

__all__ = [
    "Announce",
    "AnnounceNeeded",
    "Directory",
    "HostRecord",
    "Release",
    "Renew",
    "TargetRecord",
    "ZoneExchange",
    "ZoneFeed",
    "ZoneHello",
    "ZoneTable",
    "ZoneTableUpdate",
]
