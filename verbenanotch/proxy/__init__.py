"""The process on each target's host: entry, peer streams, target side."""

from verbenanotch.proxy._announcements import TargetInterface
from verbenanotch.proxy._entry import EntryInterface
from verbenanotch.proxy._local import LocalTargets
from verbenanotch.proxy._mesh import Dispatcher
from verbenanotch.proxy._peers import PeerPool, PeerServer

__all__ = [
    "Dispatcher",
    "EntryInterface",
    "LocalTargets",
    "PeerPool",
    "PeerServer",
    "TargetInterface",
]
