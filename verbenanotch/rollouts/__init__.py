"""Rollouts of software versions: their state, steps and judge."""

from verbenanotch.rollouts._commands import Ordered, Refused
from verbenanotch.rollouts._conductor import RolloutConductor
from verbenanotch.rollouts._messages import (
    OutcomeCount,
    RolloutsWatched,
    VersionOutcomes,
)
from verbenanotch.rollouts._rollout import Phase, Rollout
from verbenanotch.rollouts._service import RolloutService
from verbenanotch.rollouts._state_machine import (
    MeshStateMachine,
    RolloutTable,
)
from verbenanotch.rollouts._steps import Limits
from verbenanotch.rollouts._view import MeshView

__all__ = [
    "Limits",
    "MeshStateMachine",
    "MeshView",
    "Ordered",
    "OutcomeCount",
    "Phase",
    "Refused",
    "Rollout",
    "RolloutConductor",
    "RolloutService",
    "RolloutTable",
    "RolloutsWatched",
    "VersionOutcomes",
]
