"""The control hosts' side of rollouts: state, steps and judge.

It is apart from the package, so that proxies need not load it.
"""

from verbenanotch.rollouts._commands import Ordered, Refused
from verbenanotch.rollouts._conductor import RolloutConductor
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
    "Phase",
    "Refused",
    "Rollout",
    "RolloutConductor",
    "RolloutService",
    "RolloutTable",
]
