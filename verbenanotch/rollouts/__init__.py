"""Rollouts of new software versions of a service's targets."""

from verbenanotch.rollouts._messages import (
    OutcomeCount,
    RolloutsWatched,
    VersionOutcomes,
)
from verbenanotch.rollouts._outcome_counter import OutcomeCounter

__all__ = [
    "OutcomeCount",
    "OutcomeCounter",
    "RolloutsWatched",
    "VersionOutcomes",
]
