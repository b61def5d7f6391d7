"""Wiring of the two roles of the daemon."""

from verbenanotch.daemon._interfaces import Interfaces
from verbenanotch.daemon._run import run

__all__ = ["Interfaces", "interfaces", "run"]

# What the daemon speaks unless it is told otherwise.
interfaces = Interfaces()
