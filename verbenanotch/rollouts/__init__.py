"""Rollouts of software versions: their state, steps and judge."""

from verbenanotch.rollouts._commands import Ordered, Refused
from verbenanotch.rollouts._messages import (
    OutcomeCount,
    RolloutsWatched,
    VersionOutcomes,
    WatchedRollout,
)
from verbenanotch.rollouts._rollout import Phase, Rollout
from verbenanotch.rollouts._service import RolloutService
from verbenanotch.rollouts._state_machine import (
    MeshStateMachine,
    RolloutTable,
)

__all__ = [
    "MeshStateMachine",
    "Ordered",
    "OutcomeCount",
    "Phase",
    "Refused",
    "Rollout",
    "RolloutService",
    "RolloutTable",
    "RolloutsWatched",
    "VersionOutcomes",
    "WatchedRollout",
]
