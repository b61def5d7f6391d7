"""Routing and load balancing of requests.

Finds the route of a request, chooses its target, and decides whether the
request is queued, retried or refused.
"""

from verbenanotch.routing._choice import Candidates, choose
from verbenanotch.routing._choice_outcomes import Chosen, NoTarget
from verbenanotch.routing._durations import (
    SERVICE_TIME_EWMA_WEIGHT,
    LongestTimes,
    RouteDurations,
    RouteSizes,
    ServiceTimes,
    cross_zone_penalty_seconds,
)
from verbenanotch.routing._exposure import (
    FULL_SHARE_PPM,
    UNKNOWN_VERSION,
    CandidatesWithFallback,
    ExposureMeter,
    TargetGroups,
    choose_by_version,
    divide_targets,
    established_targets,
    established_version,
    is_rejected,
)
from verbenanotch.routing._limit import AdaptiveLimit
from verbenanotch.routing._link import LinkPacer
from verbenanotch.routing._outliers import Ejected, OutlierDetector
from verbenanotch.routing._pace import PaceMeter
from verbenanotch.routing._queue import (
    DeadlineQueue,
    Dequeued,
    Queued,
    QueueRefused,
)
from verbenanotch.routing._rate_limit import NamedLimit
from verbenanotch.routing._rate_shares import DemandRate, RateShares
from verbenanotch.routing._retries import (
    AttemptContext,
    NoRetry,
    Retry,
    RetryBudget,
    decide_retry,
)
from verbenanotch.routing._routes import RouteTable, choose_service
from verbenanotch.routing._target import OutcomeKind, TargetLoad, TargetState
from verbenanotch.routing._zones import keep_in_zone

__all__ = [
    "AdaptiveLimit",
    "AttemptContext",
    "Candidates",
    "CandidatesWithFallback",
    "Chosen",
    "DemandRate",
    "DeadlineQueue",
    "Dequeued",
    "Ejected",
    "LinkPacer",
    "LongestTimes",
    "ExposureMeter",
    "FULL_SHARE_PPM",
    "NamedLimit",
    "NoRetry",
    "NoTarget",
    "OutcomeKind",
    "OutlierDetector",
    "PaceMeter",
    "QueueRefused",
    "Queued",
    "RateShares",
    "Retry",
    "RetryBudget",
    "RouteDurations",
    "RouteSizes",
    "RouteTable",
    "SERVICE_TIME_EWMA_WEIGHT",
    "ServiceTimes",
    "TargetGroups",
    "TargetLoad",
    "TargetState",
    "UNKNOWN_VERSION",
    "choose",
    "choose_by_version",
    "choose_service",
    "cross_zone_penalty_seconds",
    "decide_retry",
    "keep_in_zone",
    "divide_targets",
    "established_targets",
    "established_version",
    "is_rejected",
]
