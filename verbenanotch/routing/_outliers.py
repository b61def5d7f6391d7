"""Eject failing targets from target selection for increasing periods."""

import dataclasses

import attrs

from verbenanotch.routing._target import OutcomeKind

# A target is ejected after this many consecutive errors, or if it has at least
# `EJECTION_MIN_SAMPLES` outcomes and its error share is at least
# `EJECTION_ERROR_SHARE`.
EJECTION_CONSECUTIVE_ERRORS = 5
EJECTION_MIN_SAMPLES = 10
EJECTION_ERROR_SHARE = 0.5
BASE_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 60.0
MAX_EJECTED_SHARE = 0.5
# A target whose error share does not exceed that of the other targets by this
# much is not the cause: the services that it calls, or the requests
# themselves, fail at all targets.
MIN_EXCESS_ERROR_SHARE = 0.25
# The next ejection has the base duration again if the target's last one ended
# longer ago than this.
BACKOFF_RESET_SECONDS = 120.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ejected:
    """The target receives no requests until `until` (monotonic seconds).

    `ejection_count` is the number of its ejections, with this one, since the
    backoff was last reset.
    """

    target_id: str
    until: float
    ejection_count: int


@attrs.define(kw_only=True)
class _History:
    """The counted outcomes and ejections of one target."""

    consecutive_error_count: int = 0
    sample_count: int = 0
    ejection_count: int = 0
    ejected_until: float = float("-inf")


class OutlierDetector:
    """Eject targets of one service by the outcomes of this proxy's requests.

    At most `max_ejected_share` of the targets are ejected at once, rounded
    down, so that the only target of a service is never ejected.
    `capped_count` counts the ejections that this cap prevented.
    """

    def __init__(self, *, max_ejected_share=MAX_EJECTED_SHARE):
        """Start with no target ejected."""
        self._max_ejected_share = max_ejected_share
        self._histories_by_id = {}
        self.capped_count = 0

    def record_outcome(
        self,
        target,
        outcome_kind,
        *,
        now,
        target_count,
        others_error_share=0.0,
    ):
        """Record an outcome; return Ejected if it ejects the target, or None.

        Call this after `target.record_outcome`. `now` is in monotonic
        seconds. `target_count` is the number of the service's targets, and
        `others_error_share` the mean error share of the service's other
        targets. An ejected target goes through its slow start when the
        ejection ends.
        """
        match outcome_kind:
            case OutcomeKind.ANSWERED:
                history = self._histories_by_id.get(target.target_id)
                if history is not None:
                    history.consecutive_error_count = 0
                    history.sample_count += 1
                return None
            case OutcomeKind.FAILED | OutcomeKind.UNKNOWN:
                return self._record_failure(
                    target, now, target_count, others_error_share
                )
            case _:
                return None

    def forget(self, target_id):
        """Remove the history of a target that was removed."""
        self._histories_by_id.pop(target_id, None)

    def ejected_count(self, now):
        """Return the number of targets ejected at `now`."""
        return sum(
            now < history.ejected_until
            for history in self._histories_by_id.values()
        )

    def _record_failure(self, target, now, target_count, others_error_share):
        history = self._histories_by_id.setdefault(
            target.target_id, _History()
        )
        history.consecutive_error_count += 1
        history.sample_count += 1
        if now < history.ejected_until or not _exceeds_error_threshold(
            target, history
        ):
            return None
        if target.error_share < others_error_share + MIN_EXCESS_ERROR_SHARE:
            return None
        if self.ejected_count(now) + 1 > target_count * (
            self._max_ejected_share
        ):
            self.capped_count += 1
            return None
        return _eject(target, history, now)


def _exceeds_error_threshold(target, history):
    return history.consecutive_error_count >= EJECTION_CONSECUTIVE_ERRORS or (
        history.sample_count >= EJECTION_MIN_SAMPLES
        and target.error_share >= EJECTION_ERROR_SHARE
    )


def _eject(target, history, now):
    if now - history.ejected_until > BACKOFF_RESET_SECONDS:
        history.ejection_count = 0
    history.ejection_count += 1
    ejection_seconds = min(
        MAX_EJECTION_SECONDS,
        BASE_EJECTION_SECONDS * 2 ** (history.ejection_count - 1),
    )
    history.ejected_until = now + ejection_seconds
    history.consecutive_error_count = 0
    history.sample_count = 0
    target.ejected_until = history.ejected_until
    target.slow_start_at = history.ejected_until
    target.error_share = 0.0
    return Ejected(
        target_id=target.target_id,
        until=history.ejected_until,
        ejection_count=history.ejection_count,
    )
