"""Decide whether a request that has crashed targets may run.

The load pattern: a caller repeats, through any proxy, a request that crashes
every target that runs it. Other requests are in flight at the same targets
and are counted, too, until a target answers one of their repeats.
"""

import dataclasses

HOUR_SECONDS = 3600.0
RETENTION_SECONDS = 24 * HOUR_SECONDS
# Time after the last crash in which a request is refused, by the number of
# its crashes. The second crash may be a coincidence: a harmless request is
# allowed again soon, and its answer clears it. A third one hardly is.
BLOCK_SECONDS_BY_CRASH_COUNT = (
    0.0,
    0.0,
    2.0,
    600.0,
    HOUR_SECONDS,
    RETENTION_SECONDS,
)
MAX_CRASH_COUNT = len(BLOCK_SECONDS_BY_CRASH_COUNT) - 1
EXCLUSIVE_CRASH_COUNT = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Allowed:
    """The request may run at any target."""


ALLOWED = Allowed()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Exclusive:
    """The request may run once at a time, at one agreed target."""

    crash_count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Blocked:
    """The request is refused for `retry_after_seconds`."""

    crash_count: int
    retry_after_seconds: float


def decide(*, crash_count, seconds_since_last):
    """Return Allowed, Exclusive or Blocked for a request.

    `seconds_since_last` is the time since the last of its crashes.
    """
    block_seconds = BLOCK_SECONDS_BY_CRASH_COUNT[
        min(crash_count, MAX_CRASH_COUNT)
    ]
    remaining_seconds = block_seconds - seconds_since_last
    if remaining_seconds > 0:
        return Blocked(
            crash_count=crash_count, retry_after_seconds=remaining_seconds
        )
    if crash_count >= EXCLUSIVE_CRASH_COUNT:
        return Exclusive(crash_count=crash_count)
    return ALLOWED
