"""The accepted versions: a state machine on the log, and its service.

Proxies know versions only by their numbers, from `catalog`.
"""

from verbenanotch.versions._service import VersionService
from verbenanotch.versions._state_machine import (
    VersionRecord,
    VersionStateMachine,
)

__all__ = ["VersionRecord", "VersionService", "VersionStateMachine"]
