"""Outcomes of the choice of a target."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, kw_only=True)
class Chosen:
    """The request goes to this target.

    `panicked` is True if the target was chosen without regard to health. The
    target's proxy refuses the request if it would have to wait there for
    longer than `max_wait_seconds`.
    """

    target_id: str
    panicked: bool = False
    max_wait_seconds: float = math.inf


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoTarget:
    """No target can accept the request now; it was not run.

    `reason` is `no-target`, `excluded`, `unhealthy` or `overloaded`.
    """

    reason: str
    retry_after_ms: int
