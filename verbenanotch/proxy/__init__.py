"""The proxy that runs on each target's host.

It consists of the entry interface for callers, the connections between
proxies, the access to the host's targets and the records of keyed requests.
"""

from verbenanotch.proxy._account_gate import AccountGate
from verbenanotch.proxy._announcement_refusals import InvalidTarget
from verbenanotch.proxy._announcements import TargetInterface
from verbenanotch.proxy._body_budget import BodyBudget
from verbenanotch.proxy._crashes import CrashGuard
from verbenanotch.proxy._disconnect_monitor import DisconnectMonitor
from verbenanotch.proxy._dispatcher import Dispatcher
from verbenanotch.proxy._entry import (
    ARRIVED_AT,
    CONNECTION,
    EntryInterface,
)
from verbenanotch.proxy._keyed_requests import KeyedRequests
from verbenanotch.proxy._large_answers import LargeAnswers
from verbenanotch.proxy._lease_monitor import LeaseMonitor
from verbenanotch.proxy._local_targets import LocalTargets
from verbenanotch.proxy._peer_pool import PeerPool
from verbenanotch.proxy._peer_server import PeerServer
from verbenanotch.proxy._probe import TargetProbe
from verbenanotch.proxy._readiness import ReadinessInterface
from verbenanotch.proxy._record_server import RecordServer
from verbenanotch.proxy._stop_window import StopWindow
from verbenanotch.proxy._target_discovery import TargetDiscovery
from verbenanotch.proxy._version_calls import OutcomeReporter

__all__ = [
    "ARRIVED_AT",
    "CONNECTION",
    "BodyBudget",
    "AccountGate",
    "CrashGuard",
    "DisconnectMonitor",
    "Dispatcher",
    "EntryInterface",
    "InvalidTarget",
    "KeyedRequests",
    "LargeAnswers",
    "LeaseMonitor",
    "LocalTargets",
    "OutcomeReporter",
    "PeerPool",
    "PeerServer",
    "ReadinessInterface",
    "RecordServer",
    "StopWindow",
    "TargetDiscovery",
    "TargetInterface",
    "TargetProbe",
]
