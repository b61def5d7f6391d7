"""The accepted versions: a state machine on the log, and its service.

Proxies do not import this package; they use the version numbers of
`catalog`.
"""

from verbenanotch.versions._service import VersionService
from verbenanotch.versions._state_machine import (
    VersionRecord,
    VersionStateMachine,
)

__all__ = ["VersionRecord", "VersionService", "VersionStateMachine"]
