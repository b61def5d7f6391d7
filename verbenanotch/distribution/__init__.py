"""Distribute versions and targets to proxies, whole and in order."""

from verbenanotch.distribution._minimum_version import FloorResponder
from verbenanotch.distribution._publisher import Publisher
from verbenanotch.distribution._snapshot import Snapshot
from verbenanotch.distribution._snapshot_store import (
    Applied,
    BelowFloor,
    Outdated,
    SnapshotStore,
    Unclosed,
    WrongBase,
)
from verbenanotch.distribution._subscriber import Subscriber

__all__ = [
    "Applied",
    "BelowFloor",
    "FloorResponder",
    "Outdated",
    "Publisher",
    "Snapshot",
    "SnapshotStore",
    "Subscriber",
    "Unclosed",
    "WrongBase",
]
