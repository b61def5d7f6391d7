"""Take failing targets out of the choice for a growing time."""

import dataclasses

import attrs

from verbenanotch.routing._target import OutcomeKind

CONSECUTIVE_ERRORS = 5
MIN_SAMPLES = 10
ERROR_SHARE = 0.5
BASE_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 60.0
MAX_EJECTED_SHARE = 0.5
# A target that fails no more than the others by this much is not the cause:
# what it calls, or the requests themselves, fail everywhere.
MIN_EXCESS = 0.25
FORGET_SECONDS = 120.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ejected:
    """The target gets no requests until `until` (monotonic seconds)."""

    target_id: str
    until: float
    times: int


@attrs.define(kw_only=True)
class _History:
    consecutive_errors: int = 0
    samples: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")


class OutlierDetector:
    """Eject targets of one service by the outcomes of own requests.

    At most `max_ejected_share` of the targets are ejected at a time, rounded
    down, so that a service with one target keeps it.
    """

    def __init__(self, *, max_ejected_share=MAX_EJECTED_SHARE):
        """Start with no target ejected."""
        self._max_ejected_share = max_ejected_share
        self._histories_by_id = {}
        self.capped = 0

    def record_outcome(
        self,
        target,
        outcome_kind,
        *,
        now,
        target_count,
        others_error_share=0.0,
    ):
        """Note an outcome; eject the target if it is due.

        `others_error_share` is the mean of the service's other targets.

        Call after `target.record_outcome`. Returns Ejected, or None. A
        target that was due but would exceed the cap is counted in `capped`.
        The target starts slowly when its time is over.
        """
        match outcome_kind:
            case OutcomeKind.ANSWERED:
                history = self._histories_by_id.get(target.target_id)
                if history is not None:
                    history.consecutive_errors = 0
                    history.samples += 1
                return None
            case OutcomeKind.FAILED | OutcomeKind.UNKNOWN:
                return self._failed(
                    target, now, target_count, others_error_share
                )
            case _:
                return None

    def forget(self, target_id):
        """Drop what is known of a target that is gone."""
        self._histories_by_id.pop(target_id, None)

    def ejected_count(self, now):
        """Return how many targets are ejected."""
        return sum(
            now < history.ejected_until
            for history in self._histories_by_id.values()
        )

    def _failed(self, target, now, target_count, others_error_share):
        history = self._histories_by_id.setdefault(
            target.target_id, _History()
        )
        history.consecutive_errors += 1
        history.samples += 1
        if now < history.ejected_until or not _is_due(target, history):
            return None
        if target.error_share < others_error_share + MIN_EXCESS:
            return None
        if self.ejected_count(now) + 1 > target_count * (
            self._max_ejected_share
        ):
            self.capped += 1
            return None
        return _eject(target, history, now)


def _is_due(target, history):
    return history.consecutive_errors >= CONSECUTIVE_ERRORS or (
        history.samples >= MIN_SAMPLES and target.error_share >= ERROR_SHARE
    )


def _eject(target, history, now):
    if now - history.ejected_until > FORGET_SECONDS:
        history.ejections = 0
    history.ejections += 1
    seconds = min(
        MAX_EJECTION_SECONDS,
        BASE_EJECTION_SECONDS * 2 ** (history.ejections - 1),
    )
    history.ejected_until = now + seconds
    history.consecutive_errors = 0
    history.samples = 0
    target.ejected_until = history.ejected_until
    target.first_seen = history.ejected_until
    target.error_share = 0.0
    return Ejected(
        target_id=target.target_id,
        until=history.ejected_until,
        times=history.ejections,
    )
