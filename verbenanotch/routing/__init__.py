"""Which target a request goes to, and whether it goes at all."""

from verbenanotch.routing._choice import Candidates, Chosen, NoTarget, choose
from verbenanotch.routing._limit import AdaptiveLimit
from verbenanotch.routing._routes import RouteTable
from verbenanotch.routing._target import OutcomeKind, TargetState

__all__ = [
    "AdaptiveLimit",
    "Candidates",
    "Chosen",
    "NoTarget",
    "OutcomeKind",
    "RouteTable",
    "TargetState",
    "choose",
]
