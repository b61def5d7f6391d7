"""Distribution of mesh versions and targets from control hosts to proxies."""

from verbenanotch.distribution._leader_channel import (
    LeaderChannel,
    ProxyChannel,
)
from verbenanotch.distribution._minimum_version import MinimumVersionResponder
from verbenanotch.distribution._publisher import Publisher
from verbenanotch.distribution._snapshot import Snapshot
from verbenanotch.distribution._snapshot_store import (
    Applied,
    BelowMinimumVersion,
    DanglingReference,
    Outdated,
    SnapshotStore,
    WrongBase,
)
from verbenanotch.distribution._subscriber import Subscriber

__all__ = [
    "Applied",
    "BelowMinimumVersion",
    "DanglingReference",
    "LeaderChannel",
    "MinimumVersionResponder",
    "Outdated",
    "ProxyChannel",
    "Publisher",
    "Snapshot",
    "SnapshotStore",
    "Subscriber",
    "WrongBase",
]
