"""Distribute versions and targets to proxies, whole and in order."""

from verbenanotch.distribution._publisher import Publisher
from verbenanotch.distribution._snapshot import (
    Applied,
    Outdated,
    Snapshot,
    SnapshotHolder,
    Unclosed,
)
from verbenanotch.distribution._subscriber import Subscriber

__all__ = [
    "Applied",
    "Outdated",
    "Publisher",
    "Snapshot",
    "SnapshotHolder",
    "Subscriber",
    "Unclosed",
]
