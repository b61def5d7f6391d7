"""The process on each target's host: entry, peer streams, target side."""

from verbenanotch.proxy._announcements import TargetInterface
from verbenanotch.proxy._callers import CallerWatch
from verbenanotch.proxy._crashes import CrashGuard
from verbenanotch.proxy._dispatcher import Dispatcher
from verbenanotch.proxy._entry import EntryInterface
from verbenanotch.proxy._finder import TargetFinder
from verbenanotch.proxy._keyed import KeyedRequests
from verbenanotch.proxy._lease_monitor import LeaseMonitor
from verbenanotch.proxy._local import LocalTargets
from verbenanotch.proxy._peer_pool import PeerPool
from verbenanotch.proxy._peer_server import PeerServer
from verbenanotch.proxy._probe import TargetProbe
from verbenanotch.proxy._readiness import ReadinessInterface
from verbenanotch.proxy._record_server import RecordServer

__all__ = [
    "CallerWatch",
    "CrashGuard",
    "Dispatcher",
    "EntryInterface",
    "KeyedRequests",
    "LeaseMonitor",
    "LocalTargets",
    "PeerPool",
    "PeerServer",
    "ReadinessInterface",
    "RecordServer",
    "TargetFinder",
    "TargetInterface",
    "TargetProbe",
]
